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

// testCluster is a data centre of Services that communicate by TLS and HTTP/2 on loopback.
type testCluster struct {
	clock     *tick.Fake
	instances []ident.Instance
	draining  []ident.Instance
	services  []*Service
	srv       *httptest.Server
	bytes     atomic.Int64
}

func newCluster(t testing.TB, n int) *testCluster {
	w := &testCluster{clock: tick.NewFake(time.Hour)}
	mux := http.NewServeMux()
	for i := range n {
		w.instances = append(w.instances, ident.Instance(fmt.Sprintf("sierra-a-%d", i+1)))
	}
	for i, instance := range w.instances {
		s := New(Config{Node: ident.Node{Instance: instance, Incarnation: 1<<60 + uint64(i)}, Centre: "sierra-a", Source: w, Membership: w, Dialer: w, Clock: w.clock, Log: zerolog.Nop(), MaxLeaseTTL: 12 * time.Second})
		path, handler := peerpbconnect.NewLimitServiceHandler(s)
		mux.Handle("/"+string(instance)+path, http.StripPrefix("/"+string(instance), handler))
		w.services = append(w.services, s)
	}
	w.srv = httptest.NewUnstartedServer(mux)
	w.srv.Listener = &countingListener{w.srv.Listener, &w.bytes}
	w.srv.EnableHTTP2 = true
	w.srv.StartTLS()
	t.Cleanup(w.srv.Close)
	return w
}

func (w *testCluster) Revision() uint64 { return 1 }
func (w *testCluster) Customers() []limit.Customer {
	return []limit.Customer{{Name: "sur", Limits: limit.Limits{Rate: 1000, Burst: 10_000}}}
}
func (w *testCluster) Share(ident.Instance) int64 { return limit.FullShare / int64(len(w.instances)) }
func (w *testCluster) Centres() []ident.Centre    { return []ident.Centre{"sierra-a"} }
func (w *testCluster) Live(ident.Centre) []ident.Instance {
	return w.instances
}
func (w *testCluster) Draining(ident.Centre) []ident.Instance { return w.draining }

func (w *testCluster) Current(ident.Node) bool       { return true }
func (w *testCluster) AppliedEverywhere(uint64) bool { return true }
func (w *testCluster) Limit(n ident.Instance) (peerpbconnect.LimitServiceClient, error) {
	return peerpbconnect.NewLimitServiceClient(w.srv.Client(), w.srv.URL+"/"+string(n)), nil
}

// renew renews the leases of all instances once and advances the clock to the next renewal.
func (w *testCluster) renew(ctx context.Context) {
	var every time.Duration
	for _, s := range w.services {
		every = s.renew(ctx)
	}
	w.clock.Advance(every)
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// TestLeaseTraffic logs the cost of leases by the number of instances in a data centre and guards
// against large messages. The largest size runs only if WASABI_SOAK is set.
func TestLeaseTraffic(t *testing.T) {
	const rounds = 3
	sizes := []int{3, 9, 27}
	if os.Getenv("WASABI_SOAK") != "" {
		sizes = append(sizes, 60)
	}
	for _, n := range sizes {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			w := newCluster(t, n)
			for range 40 {
				w.renew(ctx)
				if w.allLeased() {
					break
				}
			}
			w.renew(ctx)
			calls, bytes, from := w.leaseCalls(), w.bytes.Load(), w.clock.Now()
			for range rounds {
				w.renew(ctx)
			}
			seconds := (w.clock.Now() - from).Seconds()
			total, maxSent := 0.0, 0.0
			for i, c := range w.leaseCalls() {
				sent := float64(c-calls[i]) / seconds
				total += sent
				maxSent = max(maxSent, sent)
			}
			spent := float64(w.bytes.Load()-bytes) / seconds
			perCall := spent / total
			t.Logf("%.2f calls and %.0f bytes per second and instance, at most %.1f calls and %.0f bytes sent and received per second at one holder, %.0f bytes per call", total/float64(n), 2*spent/float64(n), maxSent, maxSent*perCall, perCall)
			is.True(perCall < 500)
			is.True(w.allLeased())
		})
	}
}

func (w *testCluster) leaseCalls() []int64 {
	calls := make([]int64, len(w.services))
	for i, s := range w.services {
		calls[i] = s.Status().LeaseCalls()
	}
	return calls
}

// allLeased reports whether every share of every group is leased.
func (w *testCluster) allLeased() bool {
	var held [limit.GroupCount]int64
	for _, s := range w.services {
		st := s.Status()
		for g := range held {
			held[g] += st.LeasedShare(uint32(g))
		}
	}
	for _, share := range held {
		if share != int64(len(w.instances))*w.Share("") {
			return false
		}
	}
	return true
}

// TestAdmitThroughPeers guards against tokens lost or refunded twice when requests are admitted,
// settled and rejected through an instance that is not the home.
func TestAdmitThroughPeers(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	w := newCluster(t, 3)
	for range 60 {
		w.renew(ctx)
	}
	home := limit.RankHolders(limit.GroupOf("sur"), w.instances)[0]
	for i, s := range w.services {
		c, err := s.Admit(ctx, "r", "sur", 3000)
		is.NoErr(err)
		is.True(c.Valid())
		c.Settle(0)
		if w.instances[i] != home {
			s.deliver(ctx, <-s.settlements.queue)
		}
	}
	c, err := w.services[0].Admit(ctx, "r", "sur", 9990)
	is.NoErr(err) // all tokens were refunded
	p := c.parts[0]
	req := &peerpb.SettleRequest{Incarnation: p.GetIncarnation() + 1, Charge: p.GetCharge(), Customer: "sur", Unused: 90}
	resp, err := w.service(home).Settle(ctx, req)
	is.NoErr(err)
	is.Equal(resp.GetCredited(), int64(0)) // the charge was made at another process
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
	is.NoErr(err) // the tokens have accrued after the Retry-After time
}
