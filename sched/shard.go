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

// shard is the scheduler of one pool with the calls that wait for its decisions.
type shard struct {
	svc *Service

	mu     sync.Mutex // guards the fields below
	sch    *pool.Scheduler
	calls  map[pool.Ticket]chan pool.Decision
	closed bool // the pool was removed from the routing table
	buf    []pool.Decision
}

func (sh *shard) configure(p PoolSpec, draining map[ident.Server]bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sch.Configure(p.Spec, p.Classes)
	for _, w := range p.Weights {
		sh.sch.SetWeight(w.Customer, w.Weight)
	}
	for name := range draining {
		sh.sch.SetDraining(name, true)
	}
}

// place queues the request and waits for the decision.
func (sh *shard) place(ctx context.Context, req *place.Request, owner ident.Node) (place.Placement, error) {
	c := make(chan pool.Decision, 1)
	now := sh.svc.cfg.Clock.Now()
	sh.mu.Lock()
	if sh.closed {
		sh.mu.Unlock()
		return place.Placement{}, errPoolRemoved()
	}
	t := sh.sch.Submit(req, owner.Instance, now)
	sh.calls[t] = c
	out := sh.dispatch(now)
	queued := len(sh.calls) > 0
	sh.mu.Unlock()
	sh.deliver(out)
	if queued {
		sh.svc.wakeLoop()
	}
	select {
	case d, ok := <-c:
		if !ok {
			return place.Placement{}, errPoolRemoved()
		}
		return result(&d)
	case <-ctx.Done():
		sh.cancel(t, c, owner)
		return place.Placement{}, fail.New("sched: place", "", ident.NotRun, errors.Wrap(ctx.Err(), "wait for a placement"))
	}
}

// result returns the placement of a decision, or the error of a rejection.
func result(d *pool.Decision) (place.Placement, error) {
	if !d.Placed() {
		return place.Placement{}, d.Refusal()
	}
	return d.Placement, nil
}

func errPoolRemoved() error {
	return fail.Refuse(fail.CodeUnknownModel, fail.NoRetry, "the pool of this model has left the table")
}

// cancel ends the call of a caller that has given up. If the request has been placed in the
// meantime, the placement is released.
func (sh *shard) cancel(t pool.Ticket, c chan pool.Decision, owner ident.Node) {
	now := sh.svc.cfg.Clock.Now()
	sh.mu.Lock()
	_, queued := sh.calls[t]
	delete(sh.calls, t)
	if queued {
		sh.sch.Cancel(t)
	}
	sh.mu.Unlock()
	if queued {
		return
	}
	// The decision has been made, and its delivery does not block.
	d, ok := <-c
	if !ok || !d.Placed() {
		return
	}
	sh.mu.Lock()
	sh.sch.RecordProgress(owner.Instance, &pool.Progress{ID: d.Placement.ID, Stage: place.StageDone}, now)
	out := sh.dispatch(now)
	sh.mu.Unlock()
	sh.deliver(out)
}

func (sh *shard) recordProgress(owner ident.Node, items []pool.Progress, whole bool) {
	now := sh.svc.cfg.Clock.Now()
	sh.mu.Lock()
	if whole {
		sh.sch.Reconcile(owner.Instance, owner.Incarnation, items, now)
	} else {
		for i := range items {
			sh.sch.RecordProgress(owner.Instance, &items[i], now)
		}
	}
	out := sh.dispatch(now)
	sh.mu.Unlock()
	sh.deliver(out)
}

func (sh *shard) needsResync(owner ident.Node, sum pool.Checksum) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.sch.NeedsResync(owner.Instance, owner.Incarnation, sum, sh.svc.cfg.Clock.Now())
}

// tick dispatches and reports whether requests are still queued.
func (sh *shard) tick() bool {
	now := sh.svc.cfg.Clock.Now()
	sh.mu.Lock()
	out := sh.dispatch(now)
	queued := len(sh.calls) > 0
	sh.mu.Unlock()
	sh.deliver(out)
	return queued
}

func (sh *shard) expire() {
	now := sh.svc.cfg.Clock.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sch.Expire(now)
}

func (sh *shard) applyReport(r place.LoadReport, now tick.Instant) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sch.ApplyReport(r, now)
}

func (sh *shard) applyEvents(e place.CacheEvent) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sch.ApplyEvents(e)
}

func (sh *shard) setDraining(name ident.Server, draining bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.sch.SetDraining(name, draining)
}

// close rejects all calls that wait for a decision.
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

// decidedCall is a decision and the call that waits for it. The call is nil if no caller waits.
type decidedCall struct {
	decision pool.Decision
	call     chan pool.Decision
}

// dispatch runs the scheduler and returns its decisions. The caller holds sh.mu, and passes the
// decisions to deliver after releasing it.
func (sh *shard) dispatch(now tick.Instant) []decidedCall {
	sh.buf = sh.sch.Dispatch(now, sh.buf[:0])
	if len(sh.buf) == 0 {
		return nil
	}
	out := make([]decidedCall, 0, len(sh.buf))
	for i := range sh.buf {
		t := sh.buf[i].Ticket
		out = append(out, decidedCall{decision: sh.buf[i], call: sh.calls[t]})
		delete(sh.calls, t)
	}
	return out
}

// deliver logs the decisions and passes them to the waiting calls.
func (sh *shard) deliver(set []decidedCall) {
	for i := range set {
		d := &set[i]
		sh.svc.logDecision(&d.decision)
		if d.call != nil {
			d.call <- d.decision
		}
	}
}
