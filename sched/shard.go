package sched

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
	"wasabidock.dev/dock/tick"
)

// shard is the scheduler of one pool and the calls that wait in its queue.
type shard struct {
	svc *Service

	mu     sync.Mutex // guards the fields below
	sch    *pool.Scheduler
	calls  map[pool.Ticket]chan pool.Decision
	closed bool
	buf    []pool.Decision
}

func (sh *shard) configure(p PoolSpec, gone map[ident.Server]bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sch.Configure(p.Spec, p.Classes)
	for _, w := range p.Weights {
		sh.sch.SetWeight(w.Customer, w.Weight)
	}
	for name := range gone {
		sh.sch.SetDraining(name, true)
	}
}

// place queues the request and waits for the decision.
func (sh *shard) place(ctx context.Context, a *place.Request, owner ident.Node) (place.Placement, error) {
	c := make(chan pool.Decision, 1)
	now := sh.svc.cfg.Clock.Now()
	sh.mu.Lock()
	if sh.closed {
		sh.mu.Unlock()
		return place.Placement{}, errPoolGone()
	}
	t := sh.sch.Submit(a, owner.Instance, now)
	sh.calls[t] = c
	out := sh.step(now)
	waits := len(sh.calls) > 0
	sh.mu.Unlock()
	sh.deliver(out)
	if waits {
		sh.svc.wait()
	}
	select {
	case d, ok := <-c:
		if !ok {
			return place.Placement{}, errPoolGone()
		}
		return answer(&d)
	case <-ctx.Done():
		sh.abandon(t, c, owner)
		return place.Placement{}, fail.New("sched: place", "", ident.NotRun, errors.Wrap(ctx.Err(), "wait for a placement"))
	}
}

func answer(d *pool.Decision) (place.Placement, error) {
	if !d.Placed() {
		return place.Placement{}, d.Refusal()
	}
	return d.Placement, nil
}

func errPoolGone() error {
	return fail.Refuse(fail.CodeUnknownModel, fail.NoRetry, "the pool of this model has left the table")
}

// abandon ends the call of a caller that is gone. A decision that crosses it
// is given back.
func (sh *shard) abandon(t pool.Ticket, c chan pool.Decision, owner ident.Node) {
	now := sh.svc.cfg.Clock.Now()
	sh.mu.Lock()
	_, waits := sh.calls[t]
	delete(sh.calls, t)
	if waits {
		sh.sch.Cancel(t)
	}
	sh.mu.Unlock()
	if waits {
		return
	}
	// The decision has been taken and its delivery does not block.
	d, ok := <-c
	if !ok || !d.Placed() {
		return
	}
	sh.mu.Lock()
	sh.sch.RecordProgress(owner.Instance, &pool.Progress{ID: d.Placement.ID, Stage: place.StageDone}, now)
	out := sh.step(now)
	sh.mu.Unlock()
	sh.deliver(out)
}

func (sh *shard) progress(owner ident.Node, items []pool.Progress, whole bool) {
	now := sh.svc.cfg.Clock.Now()
	sh.mu.Lock()
	if whole {
		sh.sch.Reconcile(owner.Instance, owner.Incarnation, items, now)
	} else {
		for i := range items {
			sh.sch.RecordProgress(owner.Instance, &items[i], now)
		}
	}
	out := sh.step(now)
	sh.mu.Unlock()
	sh.deliver(out)
}

func (sh *shard) beat(owner ident.Node, sum pool.Checksum) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.sch.NeedsResync(owner.Instance, owner.Incarnation, sum, sh.svc.cfg.Clock.Now())
}

// tick steps the scheduler and reports whether requests still wait.
func (sh *shard) tick() bool {
	now := sh.svc.cfg.Clock.Now()
	sh.mu.Lock()
	out := sh.step(now)
	waits := len(sh.calls) > 0
	sh.mu.Unlock()
	sh.deliver(out)
	return waits
}

func (sh *shard) expire() {
	now := sh.svc.cfg.Clock.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sch.Expire(now)
}

func (sh *shard) report(r place.LoadReport, now tick.Instant) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sch.ApplyReport(r, now)
}

func (sh *shard) events(e place.CacheEvent) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sch.ApplyEvents(e)
}

func (sh *shard) depart(name ident.Server, departing bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sch.SetDraining(name, departing)
}

// close refuses all calls that wait.
func (sh *shard) close(tick.Instant) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.closed = true
	for t, c := range sh.calls {
		sh.sch.Cancel(t)
		delete(sh.calls, t)
		close(c)
	}
}

// decided is a decision and the call that waits for it.
type decided struct {
	decision pool.Decision
	call     chan pool.Decision
}

// step runs the scheduler. The caller holds sh.mu.
func (sh *shard) step(now tick.Instant) []decided {
	sh.buf = sh.sch.Dispatch(now, sh.buf[:0])
	if len(sh.buf) == 0 {
		return nil
	}
	out := make([]decided, 0, len(sh.buf))
	for i := range sh.buf {
		t := sh.buf[i].Ticket
		out = append(out, decided{decision: sh.buf[i], call: sh.calls[t]})
		delete(sh.calls, t)
	}
	return out
}

// deliver writes the decision lines and answers the calls.
func (sh *shard) deliver(set []decided) {
	for i := range set {
		d := &set[i]
		sh.svc.line(&d.decision)
		if d.call != nil {
			d.call <- d.decision
		}
	}
}
