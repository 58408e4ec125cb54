package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
)

var errNet = errors.New("network lost the call")

// network carries calls between the processes of a fleet. It loses, delays and duplicates them.
type network struct {
	f           *fleet
	partitioned map[ident.Centre]bool   // data centres that cannot reach the others
	isolated    map[ident.Instance]bool // instances that cannot reach any other
	lossRate    float64                 // fraction of calls and of responses lost
	lateRate    float64                 // fraction of responses that are late
	maxPause    time.Duration           // longest pause of a caller inside a call
	noDelay     bool                    // calls that arrive take no time

	mu    sync.Mutex // guards the fields below: a renewal calls its lessors in parallel
	rnd   map[edge]*rand.Rand
	calls int64
}

// maxDelayed bounds the number of calls that wait for a paused process.
const maxDelayed = 16

type edge struct{ from, to ident.Instance }

func newNetwork(f *fleet) network {
	return network{
		f:           f,
		partitioned: make(map[ident.Centre]bool),
		isolated:    make(map[ident.Instance]bool),
		rnd:         make(map[edge]*rand.Rand),
	}
}

// reaches reports whether a and b can exchange messages.
func (n *network) reaches(a, b ident.Instance) bool {
	if n.isolated[a] || n.isolated[b] {
		return false
	}
	ca, cb := centreOf(a), centreOf(b)
	return ca == cb || !n.partitioned[ca] && !n.partitioned[cb]
}

// chance reports true with probability p. Each edge has its own random source, so the order in
// which parallel calls run does not affect the results.
func (n *network) chance(e edge, p float64) bool {
	if p == 0 {
		return false
	}
	r, ok := n.rnd[e]
	if !ok {
		r = rand.New(rand.NewPCG(uint64(len(e.from))<<32|uint64(e.from[0])<<16|uint64(e.from[2]), uint64(e.to[0])<<16|uint64(e.to[2])))
		n.rnd[e] = r
	}
	return r.Float64() < p
}

// Limit implements Dialer for the Service of a proc.
func (p *proc) Limit(to ident.Instance) (peerpbconnect.LimitServiceClient, error) {
	return &fakeClient{from: p, to: to}, nil
}

// fakeClient is a client from one process to the present process of an instance.
type fakeClient struct {
	from *proc
	to   ident.Instance
}

func (l *fakeClient) edge() edge { return edge{l.from.node.Instance, l.to} }

func (l *fakeClient) Lease(ctx context.Context, req *peerpb.LeaseRequest) (*peerpb.LeaseResponse, error) {
	n := &l.from.f.net
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	f, to := l.from.f, l.from.f.procs[l.to]
	if !n.reaches(l.from.node.Instance, l.to) || !f.running(to) || n.chance(l.edge(), n.lossRate) {
		return nil, errNet
	}
	requested := l.from.Now()
	resp, err := to.svc.Lease(ctx, req)
	if err != nil || n.chance(l.edge(), n.lossRate) {
		return nil, errNet
	}
	if n.chance(l.edge(), n.lateRate) {
		// The response is recorded late, with the time of the request.
		f.events = append(f.events, event{f.now + 2*time.Second, func() {
			life := time.Duration(resp.GetLifeMs()) * time.Millisecond
			l.from.svc.holder.RecordLease(l.from.Now(), requested, l.to, resp.GetGranted(), resp.GetSharePpm(), life)
		}})
		return nil, errNet
	}
	return resp, nil
}

func (l *fakeClient) Charge(ctx context.Context, req *peerpb.ChargeRequest) (*peerpb.ChargeResponse, error) {
	timeout := localTimeout
	if req.GetLoan() {
		timeout = loanTimeout
	}
	f, n := l.from.f, &l.from.f.net
	to := f.procs[l.to]
	if !l.arrives(to, timeout, func() { _, _ = to.svc.Charge(ctx, req) }) {
		return nil, errNet
	}
	resp, err := to.svc.Charge(ctx, req)
	f.run(l.oneWay())
	if n.chance(l.edge(), n.lossRate) {
		f.run(timeout)
		return nil, errNet
	}
	if n.chance(l.edge(), n.lateRate) && f.now < trafficEnd {
		f.pause(l.from, time.Duration(f.rnd.Int64N(int64(n.maxPause)+1)))
	}
	return resp, err
}

func (l *fakeClient) Settle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	f, n := l.from.f, &l.from.f.net
	to := f.procs[l.to]
	again := func() { _, _ = to.svc.Settle(ctx, req) }
	if !l.arrives(to, settleTimeout, again) {
		return nil, errNet
	}
	resp, err := to.svc.Settle(ctx, req)
	if n.chance(l.edge(), n.lossRate) {
		return nil, errNet
	}
	if n.chance(l.edge(), n.lateRate) {
		f.after(time.Second, again)
	}
	return resp, err
}

// arrives reports whether a call reaches the peer. It advances the time by the one-way delay, or by
// the timeout if the call is lost. A paused peer runs delayed when it resumes.
func (l *fakeClient) arrives(to *proc, timeout time.Duration, delayed func()) bool {
	f, n := l.from.f, &l.from.f.net
	n.calls++
	switch {
	case !n.reaches(l.from.node.Instance, l.to) || n.chance(l.edge(), n.lossRate):
		f.run(timeout)
		return false
	case to.dead:
		return false
	case !f.running(to):
		if len(to.delayed) < maxDelayed {
			to.delayed = append(to.delayed, delayed)
		}
		f.run(timeout)
		return false
	}
	f.run(l.oneWay())
	return f.running(to)
}

func (l *fakeClient) oneWay() time.Duration {
	a, b := centreOf(l.from.node.Instance), centreOf(l.to)
	if l.from.f.net.noDelay {
		return 0
	}
	if a != b && (a == "c" || b == "c") {
		return 30 * time.Millisecond
	}
	return time.Millisecond
}

// pause stops a process for d while the others keep running.
func (f *fleet) pause(p *proc, d time.Duration) {
	p.pausedUntil = max(p.pausedUntil, f.now+d)
	f.run(d)
}
