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

var errNet = errors.New("the network lost the call")

// network carries calls between the processes of a fleet and loses, delays and
// doubles them.
type network struct {
	f     *fleet
	cut   map[ident.Centre]bool   // data centres cut off from the others
	alone map[ident.Instance]bool // instances cut off from all others
	loss  float64                 // fraction of calls and of answers lost
	slow  float64                 // fraction of answers that are late
	pause time.Duration           // longest pause of a caller inside a call
	quick bool                    // calls that arrive take no time

	mu    sync.Mutex // a renewal asks its seats in parallel
	rnd   map[edge]*rand.Rand
	calls int64
}

// maxLate bounds the calls that wait for a process that is paused.
const maxLate = 16

type edge struct{ from, to ident.Instance }

func newNet(f *fleet) network {
	return network{
		f:     f,
		cut:   make(map[ident.Centre]bool),
		alone: make(map[ident.Instance]bool),
		rnd:   make(map[edge]*rand.Rand),
	}
}

func (n *network) reaches(a, b ident.Instance) bool {
	if n.alone[a] || n.alone[b] {
		return false
	}
	ca, cb := centreOf(a), centreOf(b)
	return ca == cb || !n.cut[ca] && !n.cut[cb]
}

// chance draws from a source of the edge, so that the order in which parallel
// calls run changes nothing.
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

// Limit makes a proc the Dialer of its Service.
func (p *proc) Limit(to ident.Instance) (peerpbconnect.LimitServiceClient, error) {
	return &line{from: p, to: to}, nil
}

// line is a client from one process to the present process of a seat.
type line struct {
	from *proc
	to   ident.Instance
}

func (l *line) edge() edge { return edge{l.from.node.Instance, l.to} }

func (l *line) Lease(ctx context.Context, req *peerpb.LeaseRequest) (*peerpb.LeaseResponse, error) {
	n := &l.from.f.net
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	f, to := l.from.f, l.from.f.procs[l.to]
	if !n.reaches(l.from.node.Instance, l.to) || !f.up(to) || n.chance(l.edge(), n.loss) {
		return nil, errNet
	}
	asked := l.from.Now()
	resp, err := to.svc.Lease(ctx, req)
	if err != nil || n.chance(l.edge(), n.loss) {
		return nil, errNet
	}
	if n.chance(l.edge(), n.slow) {
		// The answer is taken late, with the instant of the ask.
		f.agenda = append(f.agenda, event{f.now + 2*time.Second, func() {
			life := time.Duration(resp.GetLifeMs()) * time.Millisecond
			l.from.svc.holder.RecordLease(l.from.Now(), asked, l.to, resp.GetGranted(), resp.GetSharePpm(), life)
		}})
		return nil, errNet
	}
	return resp, nil
}

func (l *line) Charge(ctx context.Context, req *peerpb.ChargeRequest) (*peerpb.ChargeResponse, error) {
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
	if n.chance(l.edge(), n.loss) {
		f.run(timeout)
		return nil, errNet
	}
	if n.chance(l.edge(), n.slow) && f.now < longest {
		f.pause(l.from, time.Duration(f.rnd.Int64N(int64(n.pause)+1)))
	}
	return resp, err
}

func (l *line) Settle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	f, n := l.from.f, &l.from.f.net
	to := f.procs[l.to]
	again := func() { _, _ = to.svc.Settle(ctx, req) }
	if !l.arrives(to, settleTimeout, again) {
		return nil, errNet
	}
	resp, err := to.svc.Settle(ctx, req)
	if n.chance(l.edge(), n.loss) {
		return nil, errNet
	}
	if n.chance(l.edge(), n.slow) {
		f.after(time.Second, again)
	}
	return resp, err
}

// arrives moves the time by the way to the peer, or by the time-out.
func (l *line) arrives(to *proc, timeout time.Duration, late func()) bool {
	f, n := l.from.f, &l.from.f.net
	n.calls++
	switch {
	case !n.reaches(l.from.node.Instance, l.to) || n.chance(l.edge(), n.loss):
		f.run(timeout)
		return false
	case to.dead:
		return false
	case !f.up(to):
		if len(to.late) < maxLate {
			to.late = append(to.late, late)
		}
		f.run(timeout)
		return false
	}
	f.run(l.oneWay())
	return f.up(to)
}

func (l *line) oneWay() time.Duration {
	a, b := centreOf(l.from.node.Instance), centreOf(l.to)
	if l.from.f.net.quick {
		return 0
	}
	if a != b && (a == "c" || b == "c") {
		return 30 * time.Millisecond
	}
	return time.Millisecond
}

// pause stops a process while the others run on.
func (f *fleet) pause(p *proc, d time.Duration) {
	p.paused = max(p.paused, f.now+d)
	f.run(d)
}
