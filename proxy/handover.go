package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// handoverRetry is the time between two attempts to find another place for a request.
const handoverRetry = 200 * time.Millisecond

// handover looks for another place for a request while its server, which is silent, may still go on. The run ends only when
// there is one.
type handover struct {
	cancel context.CancelFunc
	done   chan struct{} // closed at the end of the search
	found  *successor    // valid once done is closed, nil for none
}

// successor is a place to which a request can go on: a placement whose server has given a reservation, and paid retries.
type successor struct {
	placement   *admit.Placement
	reservation *reservation
}

// startHandover looks for another place than s for the request. If there is one, it calls end, which must end the current run.
// It returns at once. The caller must call stopHandover when the server goes on or the run ends, and must not use the
// state of the exchange before.
func (m *modelExchange) startHandover(ctx context.Context, s *route.Server, end func()) {
	m.stopHandover()
	if m.next != nil {
		return
	}
	m.h.silent.add(s.Key(), 1)
	m.silentAt = s
	ctx, cancel := context.WithCancel(ctx)
	m.search = &handover{cancel: cancel, done: make(chan struct{})}
	go m.search.run(ctx, m, m.successorRequest(), end)
}

// stopHandover ends the search for another place and waits for its end. After it, m.next is the place if there is one, and
// the current run has then been ended.
func (m *modelExchange) stopHandover() {
	if m.search == nil {
		return
	}
	m.search.cancel()
	<-m.search.done
	m.next, m.search = m.search.found, nil
	m.h.silent.add(m.silentAt.Key(), -1)
}

// dropNext gives back a place that is not used.
func (m *modelExchange) dropNext() {
	if m.next == nil {
		return
	}
	m.h.cfg.Placer.Release(m.next.placement)
	m.cancelReservation(m.next.reservation)
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

// run looks for another place for a request until there is one or ctx ends.
func (d *handover) run(ctx context.Context, m *modelExchange, req admit.Request, end func()) {
	defer close(d.done)
	avoid := req.Avoid
	var tried []string // servers that have not taken the request
	for ctx.Err() == nil && m.h.cfg.Clock.Now() < req.Deadline {
		req.Avoid = slices.Concat(avoid, m.h.silent.keys(), tried)
		p, err := m.h.cfg.Placer.Place(ctx, req)
		if err != nil {
			tried = nil
			_ = tick.Sleep(ctx, m.h.cfg.Clock, handoverRetry) // fails only if ctx ends, and with it the loop
			continue
		}
		d.found, err = m.successorAt(ctx, p)
		if err == nil {
			end()
			return
		}
		m.h.cfg.Placer.Release(p)
		switch {
		case errors.Is(err, errNoPrefillRetry):
			req.LocalPrefill = true
		case errors.Is(err, errNoRetry), errors.Is(err, errNotResumable):
			_ = tick.Sleep(ctx, m.h.cfg.Clock, handoverRetry) // fails only if ctx ends, and with it the loop
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

// successorAt makes sure that the request can go on at a placement: its server has room, and the retries are paid.
func (m *modelExchange) successorAt(ctx context.Context, p *admit.Placement) (*successor, error) {
	r, err := m.reserveAt(ctx, p.Decode, func() bool { return true })
	if err == nil {
		err = m.checkSuccessor(ctx, p)
	}
	if err != nil {
		m.cancelReservation(r)
		return nil, err
	}
	return &successor{p, r}, nil
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
