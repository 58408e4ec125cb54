package proxy

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// handoverRetry is the time between two attempts to find another place for a request.
const handoverRetry = 200 * time.Millisecond

// handover looks for another place for a request while its server, which is silent, may still go on, and begins another run
// there beside the one at the silent server. The first run ends only when the other one has sent what the caller waits for. While
// the server has not been asked to run the request yet, a place where it can run is enough.
type handover struct {
	m    *modelExchange // state of the other run. It shares the exchange with the one that is silent.
	runs bool           // another run is begun, instead of only another place found

	stopSearch context.CancelFunc // ends the search for a place, not a run that was begun
	cancel     context.CancelFunc // ends both
	ended      atomic.Bool        // the run at the silent server was ended
	done       chan struct{}      // closed at the end
	found      *successor         // valid once done is closed, nil for none
}

// successor is where a request goes on: a run that has sent an event, or a placement whose server has given a reservation, with
// all retries paid.
type successor struct {
	placement   *admit.Placement
	reservation *reservation // nil for a run
	run         *modelRun    // nil for a place alone
}

// isRun reports whether the successor is a run.
func (s *successor) isRun() bool { return s != nil && s.run != nil }

// startHandover looks for another place than s for the request, and begins a run there if runs is set. If that succeeds, it
// calls end, which must end what the caller waits for. It returns at once. The caller must call stopHandover when the server goes
// on or finishHandover when its run ends, and must not use the state of the exchange before.
func (m *modelExchange) startHandover(ctx context.Context, s *route.Server, end func(), runs bool) {
	m.stopHandover()
	if m.next != nil {
		return
	}
	m.h.silent.add(s.Key(), 1)
	m.silentAt = s
	d := &handover{m: m.beside(), runs: runs, done: make(chan struct{})}
	ctx, d.cancel = context.WithCancel(ctx)
	var searchCtx context.Context
	searchCtx, d.stopSearch = context.WithCancel(ctx)
	m.search = d
	go d.run(ctx, searchCtx, end)
}

// beside returns the state of a run beside the current one.
func (m *modelExchange) beside() *modelExchange {
	return &modelExchange{exchange: m.exchange, placer: m.placer, placeReq: m.successorRequest(), prefillAttempts: m.prefillAttempts, others: m.uncounted()}
}

// stopHandover ends the search for another place, and a run that was begun there. After it, m.next is set if that run has
// already sent an event, or a place was found; the current run has then been ended.
func (m *modelExchange) stopHandover() {
	if m.search != nil {
		m.search.cancel()
	}
	m.finishHandover()
}

// finishHandover ends the search for another place, and waits for a run that was begun there: the current one has failed.
func (m *modelExchange) finishHandover() {
	if d := m.search; d != nil {
		m.left = d.ended.Load()
		d.stopSearch()
		<-d.done
		d.cancel()
		m.next, m.search = d.found, nil
		m.h.silent.add(m.silentAt.Key(), -1)
		m.prefillAttempts = d.m.prefillAttempts
		if d.runs {
			m.placeReq.Avoid = d.m.placeReq.Avoid
		}
	}
	if m.unrecorded != nil {
		m.recordRun()
	}
}

// dropNext gives back a place, or ends a run, that is not used.
func (m *modelExchange) dropNext() {
	n := m.next
	if n == nil {
		return
	}
	if n.run != nil {
		n.run.close()
	}
	m.placer.Release(n.placement)
	m.cancelReservation(n.reservation)
	m.next = nil
}

// successorRequest returns the request to the Placer for another place.
func (m *modelExchange) successorRequest() admit.Request {
	m.setPlacementDeadline()
	req := m.placeReq
	req.Avoid = slices.Clone(req.Avoid)
	req.Spare = true
	if m.kv != nil && m.kv.inUse {
		req.Prefilled = false
	}
	return req
}

// hasEnded reports whether the search has ended.
func (d *handover) hasEnded() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// goesOn reports whether another place may be looked for.
func (d *handover) goesOn(ctx context.Context) bool {
	return ctx.Err() == nil && d.m.h.cfg.Clock.Now() < d.m.placeReq.Deadline && (!d.runs || d.attemptsLeft() > 0)
}

// attemptsLeft returns how many more runs the route allows.
func (d *handover) attemptsLeft() int { return d.m.route.MaxAttempts - d.m.runCount() - d.m.others }

// run looks for another place, and begins a run there, until that succeeds. It ends with searchCtx, unless a run was
// begun, and with ctx.
func (d *handover) run(ctx, searchCtx context.Context, end func()) {
	defer close(d.done)
	m := d.m
	defer m.freeKV()
	var tried []string // servers that have not taken the request
	for d.goesOn(searchCtx) {
		req := m.placeReq
		req.Avoid = slices.Concat(req.Avoid, m.h.silent.keys(), tried)
		p, err := m.placer.Place(searchCtx, req)
		if err != nil {
			tried = nil
			_ = tick.Sleep(searchCtx, m.h.cfg.Clock, handoverRetry) // fails only if searchCtx ends, and with it the loop
			continue
		}
		d.found, err = d.successorAt(ctx, searchCtx, p)
		if err == nil {
			d.ended.Store(true)
			end()
			return
		}
		m.placer.Release(p)
		switch {
		case errors.Is(err, errNoPrefillRetry):
			m.placeReq.LocalPrefill = true
		case errors.Is(err, errNoRetry), errors.Is(err, errNotResumable):
			_ = tick.Sleep(searchCtx, m.h.cfg.Clock, handoverRetry) // fails only if searchCtx ends, and with it the loop
		default:
			tried = append(tried, p.Decode.Key())
		}
	}
}

// Errors for which a placement is no successor, though its server has room.
var (
	errNoRetry        = errors.New("no retry is left")
	errNoPrefillRetry = errors.New("no retry is left for another prefill")
	errNotResumable   = errors.New("the request may not be written to another server")
)

// successorAt makes sure that the request can go on at a placement: its server has room, the retries are paid, and the server
// has sent an event if a run is to be begun.
func (d *handover) successorAt(ctx, searchCtx context.Context, p *admit.Placement) (*successor, error) {
	m := d.m
	r, err := m.reserveAt(searchCtx, p.Decode, func() bool { return true })
	if err == nil {
		err = m.checkSuccessor(searchCtx, p)
	}
	if err != nil {
		m.cancelReservation(r)
		return nil, err
	}
	if !d.runs {
		return &successor{placement: p, reservation: r}, nil
	}
	m.reservation = r
	defer m.release()
	run, err := d.begin(ctx, searchCtx, p)
	switch {
	case err == nil:
		return &successor{placement: p, run: run}, nil
	case m.next.isRun():
		m.placer.Release(p)
		return m.next, nil
	default:
		return nil, err
	}
}

// checkSuccessor returns an error unless the request can go on at a placement at whose server memory is reserved.
func (m *modelExchange) checkSuccessor(ctx context.Context, p *admit.Placement) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case m.keyWithdrawn() || m.isSuspect():
		return errNotResumable
	case !m.arrivals.pay(1, m.spendRetry):
		return errNoRetry
	case p.Prefill != nil && m.stats.prefills > 0 && !m.arrivals.pay(2, m.spendRetry):
		return errNoPrefillRetry
	default:
		return nil
	}
}
