package gossip

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowListener accepts connections that share a link of limited rate in the direction of the callers.
type slowListener struct {
	net.Listener
	bytesPerSecond float64

	mu sync.Mutex // held while the link is in use
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowConn{Conn: c, l: l}, err
}

type slowConn struct {
	net.Conn
	l *slowListener
}

// chunkBytes is the largest number of bytes that a connection sends before others have their turn.
const chunkBytes = 4 << 10

func (c *slowConn) Write(b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var sent int
		sent, err = c.send(b[n:min(len(b), n+chunkBytes)])
		n += sent
	}
	return n, err
}

func (c *slowConn) send(b []byte) (int, error) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	time.Sleep(time.Duration(float64(len(b)) / c.l.bytesPerSecond * float64(time.Second)))
	return c.Conn.Write(b)
}

// configOf returns a configuration with a number of customers.
func configOf(customers int) string {
	r := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	for i := range customers {
		fmt.Fprintf(&b, `{"name":"customer-%d","apiKeys":["%016x%016x"],"priority":%d,"plainTokens":256,"ratePerS":%d,"burst":%d},`,
			i, r.Uint64(), r.Uint64(), r.IntN(3), 10*(1+r.IntN(900)), 100*(1+r.IntN(900)))
	}
	return b.String()
}

// TestLargeConfigurationIsInForceInTime guards against a configuration that takes longer than a call may last to cross the
// link of an instance, or that its readers send to the others so slowly that it is late at the last ones.
func TestLargeConfigurationIsInForceInTime(t *testing.T) {
	const (
		instances   = 14
		customers   = 5300
		linkBytes   = 10e6 / 8 // bytes a second
		changeBound = 4 * time.Second
	)
	is := is.New(t)
	var fleet []*testInstance
	var seeds []string
	for i := range instances {
		l, pc := listen(t)
		n := startOn(t, &slowListener{Listener: l, bytesPerSecond: linkBytes}, pc, "a", fmt.Sprintf("i%02d", i), seeds...)
		if i < 3 {
			seeds = append(seeds, n.cfg.Self.Address)
		}
		fleet = append(fleet, n)
	}
	for _, n := range fleet {
		eventually(t, "the instances know each other", func() bool { return len(n.Members()) == instances-1 })
	}
	raw := configOf(customers)
	for position := int64(1); position <= 2; position++ {
		fleet[0].store.publish(raw, position)
		began := time.Now()
		for _, n := range fleet {
			eventually(t, "the configuration is in force", func() bool {
				table, _ := n.store.Revisions()
				return table.Position == position
			})
		}
		t.Log("in force everywhere after", time.Since(began))
		is.True(time.Since(began) < changeBound)
		for _, n := range fleet {
			is.Equal(string(n.store.Config().Raw), raw)
		}
		raw += configOf(1)
	}
}
