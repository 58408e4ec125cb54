package quota

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/tick"
)

// wire is a data centre of Services that talk over TLS and HTTP/2 on loopback.
type wire struct {
	clock    *tick.Fake
	seats    []ident.Instance
	leaving  []ident.Instance
	services []*Service
	srv      *httptest.Server
	bytes    atomic.Int64
}

func newWire(t testing.TB, n int) *wire {
	w := &wire{clock: tick.NewFake(time.Hour)}
	mux := http.NewServeMux()
	for i := range n {
		w.seats = append(w.seats, ident.Instance(fmt.Sprintf("sierra-a-%d", i+1)))
	}
	for i, seat := range w.seats {
		s := New(Config{Node: ident.Node{Instance: seat, Incarnation: 1<<60 + uint64(i)}, Centre: "sierra-a", Source: w, Membership: w, Dialer: w, Clock: w.clock, Log: zerolog.Nop(), MaxLeaseTTL: 12 * time.Second})
		path, handler := peerpbconnect.NewLimitServiceHandler(s)
		mux.Handle("/"+string(seat)+path, http.StripPrefix("/"+string(seat), handler))
		w.services = append(w.services, s)
	}
	w.srv = httptest.NewUnstartedServer(mux)
	w.srv.Listener = &countedListener{w.srv.Listener, &w.bytes}
	w.srv.EnableHTTP2 = true
	w.srv.StartTLS()
	t.Cleanup(w.srv.Close)
	return w
}

func (w *wire) Revision() uint64 { return 1 }
func (w *wire) Customers() []limit.Customer {
	return []limit.Customer{{Name: "sur", Limits: limit.Limits{Rate: 1000, Burst: 10_000}}}
}
func (w *wire) Share(ident.Instance) int64 { return limit.FullShare / int64(len(w.seats)) }
func (w *wire) Centres() []ident.Centre    { return []ident.Centre{"sierra-a"} }
func (w *wire) Live(ident.Centre) []ident.Instance {
	return w.seats
}
func (w *wire) Draining(ident.Centre) []ident.Instance { return w.leaving }

func (w *wire) Current(ident.Node) bool       { return true }
func (w *wire) AppliedEverywhere(uint64) bool { return true }
func (w *wire) Limit(n ident.Instance) (peerpbconnect.LimitServiceClient, error) {
	return peerpbconnect.NewLimitServiceClient(w.srv.Client(), w.srv.URL+"/"+string(n)), nil
}

// renew lets all instances renew once, and moves the clock to the next time.
func (w *wire) renew(ctx context.Context) {
	var every time.Duration
	for _, s := range w.services {
		every = s.renew(ctx)
	}
	w.clock.Advance(every)
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c, l.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// TestLeaseTraffic reports what leases cost by the number of seats in a data
// centre. The largest size belongs to the longer run.
func TestLeaseTraffic(t *testing.T) {
	const rounds = 3
	sizes := []int{3, 9, 27}
	if os.Getenv("WASABI_SOAK") != "" {
		sizes = append(sizes, 60)
	}
	for _, n := range sizes {
		t.Run(fmt.Sprintf("%d seats", n), func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			w := newWire(t, n)
			for range 40 {
				w.renew(ctx)
				if w.full() {
					break
				}
			}
			w.renew(ctx)
			calls, bytes, from := w.leaseCalls(), w.bytes.Load(), w.clock.Now()
			for range rounds {
				w.renew(ctx)
			}
			seconds := (w.clock.Now() - from).Seconds()
			total, most := 0.0, 0.0
			for i, c := range w.leaseCalls() {
				sent := float64(c-calls[i]) / seconds
				total += sent
				most = max(most, sent)
			}
			spent := float64(w.bytes.Load()-bytes) / seconds
			perCall := spent / total
			t.Logf("%.2f calls and %.0f bytes a second for each instance, at most %.1f calls and %.0f bytes sent and received by a holder; %.0f bytes a call", total/float64(n), 2*spent/float64(n), most, most*perCall, perCall)
			is.True(perCall < 500)
			is.True(w.full())
		})
	}
}

func (w *wire) leaseCalls() []int64 {
	calls := make([]int64, len(w.services))
	for i, s := range w.services {
		calls[i] = s.Status().LeaseCalls()
	}
	return calls
}

// full reports whether every share of every group is leased.
func (w *wire) full() bool {
	var held [limit.GroupCount]int64
	for _, s := range w.services {
		st := s.Status()
		for g := range held {
			held[g] += st.LeasedShare(uint32(g))
		}
	}
	for _, share := range held {
		if share != int64(len(w.seats))*w.Share("") {
			return false
		}
	}
	return true
}

// TestAdmitOverWire admits, settles and refuses through another instance.
func TestAdmitOverWire(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	w := newWire(t, 3)
	for range 60 {
		w.renew(ctx)
	}
	home := limit.RankHolders(limit.GroupOf("sur"), w.seats)[0]
	for i, s := range w.services {
		c, err := s.Admit(ctx, "r", "sur", 3000)
		is.NoErr(err)
		is.True(c.Valid())
		c.Settle(0)
		if w.seats[i] != home {
			s.deliver(ctx, <-s.settler.queue)
		}
	}
	c, err := w.services[0].Admit(ctx, "r", "sur", 9990)
	is.NoErr(err) // everything was given back
	p := c.parts[0]
	req := &peerpb.SettleRequest{Incarnation: p.GetIncarnation() + 1, Charge: p.GetCharge(), Customer: "sur", Unused: 90}
	resp, err := w.service(home).Settle(ctx, req)
	is.NoErr(err)
	is.Equal(resp.GetCredited(), int64(0)) // charged at another process
	req.Incarnation--
	resp, err = w.service(home).Settle(ctx, req)
	is.NoErr(err)
	is.Equal(resp.GetCredited(), int64(90))
	w.clock.Advance(limit.GrantTTL)
	is.True(!c.Valid())
	w.renew(ctx)

	_, err = w.services[0].Admit(ctx, "r", "sur", 10_001)
	refusal, ok := fail.AsRefusal(err)
	is.True(ok)
	is.Equal(refusal.RetryAfter(), fail.NoRetry)
	_, err = w.services[0].Admit(ctx, "r", "sur", 9_000)
	refusal, ok = fail.AsRefusal(err)
	is.True(ok)
	is.Equal(refusal.Code(), fail.CodeRateLimited)
	is.True(refusal.RetryAfter() > 8*time.Second)
	for until := w.clock.Now() + refusal.RetryAfter(); w.clock.Now() < until; {
		w.renew(ctx)
	}
	_, err = w.services[0].Admit(ctx, "r", "sur", 9_000)
	is.NoErr(err) // the retry time was true
}
