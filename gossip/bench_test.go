package gossip

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/rate"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// noServers is an admit.Source without servers.
type noServers struct{}

func (noServers) Servers(string) ([]*route.Server, *route.Engine) { return nil, nil }

// discardConn is a connection that discards the datagrams written to it.
type discardConn struct{ net.PacketConn }

func (discardConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

// benchInstance is one instance with the encoded states that its peers send.
type benchInstance struct {
	*Service
	clock  *tick.Fake
	sender *sender
	states [][]byte
	next   int
	serial uint64
}

const (
	benchCentres            = 6
	benchServersPerInstance = 24 // backend servers on which each instance has placed load
)

func newBenchInstance(members, servers int) *benchInstance {
	clock := tick.NewFake(time.Second)
	c := &benchInstance{clock: clock}
	c.Service = New(Config{
		Self:  Member{Instance: "i000", Incarnation: 1, Address: "10.0.0.0:1", Datagrams: "10.0.0.0:2", Centre: "c0", Region: "r"},
		Store: &fakeStore{}, Usage: rate.NewLimiter(clock), Health: health.NewTracker(), Clock: clock, Log: zerolog.Nop(),
		Loads: admit.NewScheduler(admit.Config{Centre: "c0", Region: "r"}, noServers{}, clock),
	})
	c.sender = &sender{s: c.Service, pc: discardConn{}, offset: 1}
	for i := 1; i < members; i++ {
		name := fmt.Sprintf("i%03d", i)
		c.members.update(&peerpb.Member{
			Instance: name, Incarnation: 1, Address: "10.0.0.1:1", Datagrams: "10.0.0.1:2",
			Centre: fmt.Sprint("c", i%benchCentres), Region: "r",
		}, clock.Now())
		l := &peerpb.Load{Instance: name, Incarnation: 1}
		for k := range benchServersPerInstance {
			s := route.Hash(fmt.Sprint("s", (i*benchServersPerInstance+k)%servers))
			l.Placed = append(l.Placed, &peerpb.Placed{Server: s, Memory: int64(1000 + i), Running: 1})
		}
		for k := range 16 {
			l.Used = append(l.Used, &peerpb.Used{Customer: fmt.Sprint("customer", k), Tokens: int64(1000 * i)})
		}
		b, err := proto.Marshal(l)
		if err != nil {
			panic(err) // plain values always encode
		}
		c.states = append(c.states, b)
	}
	return c
}

// runSecond receives the datagrams that arrive in one second, and sends the instance's own datagrams.
func (c *benchInstance) runSecond() {
	perTick := 0.0
	for range int(time.Second / loadPeriod) {
		c.clock.Advance(loadPeriod)
		period := max(loadPeriod, time.Duration(len(c.states))*loadPeriodPerPeer)
		perTick += float64(len(c.states)) * float64(loadPeriod) / float64(period)
		for ; perTick >= 1; perTick-- {
			var l peerpb.Load
			if err := proto.Unmarshal(c.states[c.next%len(c.states)], &l); err != nil {
				panic(err) // the datagram was encoded by this benchmark
			}
			c.serial++
			l.Serial = c.serial
			c.next++
			c.receiveLoad(&l)
		}
		c.syncLoad(c.sender, c.clock.Now())
	}
}

// BenchmarkSecond measures the cost of one second of datagrams for one instance.
func BenchmarkSecond(b *testing.B) {
	for _, size := range []struct{ members, servers int }{{30, 300}, {100, 1000}, {300, 3000}, {360, 600}} {
		b.Run(fmt.Sprintf("%d members %d servers", size.members, size.servers), func(b *testing.B) {
			c := newBenchInstance(size.members, size.servers)
			c.runSecond()
			b.ResetTimer()
			for range b.N {
				c.runSecond()
			}
		})
	}
}

// BenchmarkPackConfiguration measures the compression of the configuration of 5,300 customers, once for each version, and its
// decompression.
func BenchmarkPackConfiguration(b *testing.B) {
	raw := []byte(configOf(5300))
	packed, err := (&packer{}).pack(Published{Raw: raw})
	if err != nil {
		b.Fatal(err)
	}
	b.Run("pack", func(b *testing.B) {
		for b.Loop() {
			_, _ = (&packer{}).pack(Published{Raw: raw}) // fails only without memory
		}
		b.ReportMetric(float64(len(raw)), "raw_bytes")
		b.ReportMetric(float64(len(packed)), "packed_bytes")
	})
	b.Run("unpack", func(b *testing.B) {
		for b.Loop() {
			_, _ = unpack(packed)
		}
	})
}
