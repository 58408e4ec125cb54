package proxy

import (
	"context"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/event"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/route"
)

// modelRun is a run of a model request at a decode server whose response has begun.
type modelRun struct {
	placement *admit.Placement
	resp      *link.Response
	events    *event.Scanner
	scanned   bool               // the scanner is at an event that was not passed on
	begun     bool               // a part of the next event was read while another run may go on
	cancel    context.CancelFunc // ends the run
	// silent is called when the server has been silent for silenceLimit, see link.Request.EndWait. It is nil while the run is
	// not the only one.
	silent func() bool
}

// close ends the run unless its response was read to the end.
func (r *modelRun) close() {
	if r.events != nil {
		r.events.Close()
	}
	r.resp.Close()
	r.cancel()
}

// attempt runs the request on the servers of a placement, or goes on with the run that was begun there. It returns true if the
// request has ended.
func (m *modelExchange) attempt(ctx context.Context, p *admit.Placement) bool {
	m.left, m.counted = false, false
	if m.current != nil {
		return m.goOn(ctx)
	}
	if !m.reserve(ctx, p) {
		return m.callerGone()
	}
	if err := m.prepare(ctx, p); err != nil {
		if errors.Is(err, errNoRetry) {
			m.giveUp(overloadRetry, "no repeat is left")
			return true
		}
		return m.callerGone()
	}
	runCtx, end := context.WithCancel(ctx)
	defer end()
	req := m.runRequest(p)
	req.HeaderTimeout = max(m.placeReq.Due-m.h.cfg.Clock.Now(), minSilence)
	req.EndWait = func() bool { return m.fallSilent(ctx, p.Decode, end) }
	m.progress = m.h.cfg.Clock.Now()
	resp, err := m.runIf(runCtx, p.Decode, req, func() error { return m.checkRun(m.mayHaveRun) })
	if err != nil {
		m.finishHandover()
		if m.skipUnwritten(p.Decode, err) {
			return m.callerGone()
		}
		m.recordNoRun(p, err)
		return !m.retryOrGiveUp()
	}
	run := &modelRun{placement: p, resp: resp, cancel: end}
	defer run.close()
	if m.h.cfg.Protocol.NotExecuted(resp.Status, resp.Header) {
		m.finishHandover()
		m.recordNotExecuted(run)
		return false
	}
	m.recordHead(p.Decode)
	return m.relayResponse(run)
}

// goOn passes on the response of the run that was begun beside the last one. It returns true if the request has ended.
func (m *modelExchange) goOn(ctx context.Context) bool {
	r := m.current
	m.current, m.counted = nil, true
	defer r.close()
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	r.silent = func() bool { return m.fallSilent(ctx, r.placement.Decode, r.cancel) }
	m.progress = m.h.cfg.Clock.Now()
	return m.relayResponse(r)
}

// errNoPrefill reports that the prompt was not read. The request must be placed again.
var errNoPrefill = errors.New("the prompt was not read")

// prepare has the prompt read if the placement has a prefill server, and pays for the run.
func (m *modelExchange) prepare(ctx context.Context, p *admit.Placement) error {
	if m.kvOutside() { // a new configuration has changed the regions
		m.dropKV()
		return errNoPrefill
	}
	if p.Prefill != nil {
		if !m.allowAttempt() {
			return errNoRetry
		}
		if !m.prefill(ctx, p) {
			return errNoPrefill
		}
	}
	if !m.mayServe(p.Decode) { // the prompt may have waited for longer than a server that leaves accepts requests
		m.skipServer(p.Decode)
		return errClosed
	}
	if !m.allowAttempt() {
		return errNoRetry
	}
	return nil
}

// runRequest returns the request to the decode server of a placement.
func (m *modelExchange) runRequest(p *admit.Placement) *link.Request {
	out := m.forwardInfo(p.Decode)
	out.LastEventID = m.lastEventID
	out.HasUrgency, out.Urgency = m.placed(), min(max(m.placeReq.Priority, 0), maxUrgency)
	if m.kv != nil {
		out.KVSource = m.kv.server.Addr + "/" + m.kv.handle
	}
	if m.reservation != nil {
		out.ReservationID = m.reservation.id
		m.stats.reservation = m.reservation.id + "/" + m.reservation.echoed
	}
	req := m.serverRequest(p.Decode, out)
	req.IdleTimeout = maxSilence(m.route)
	return req
}

// fallSilent is called when the server of the current run has sent no event for silenceLimit. It reports whether the wait for
// the server ends: only if no event can be missing. Otherwise it begins another run beside the
// current one if the route allows that. ctx is the context of the request, and end ends the current run.
func (m *modelExchange) fallSilent(ctx context.Context, s *route.Server, end func()) bool {
	if m.search != nil && !m.search.hasEnded() {
		return false
	}
	if m.headerWritten && (m.counted || m.unrecorded != nil) && m.outputExhausted() {
		return true
	}
	if !m.streams() || !m.route.Resumable || m.runCount()+m.uncounted() >= m.route.MaxAttempts {
		return false
	}
	if m.kv != nil {
		m.kv.inUse = true
	}
	m.h.cfg.Health.RecordSilence(s.Key(), m.progress, m.h.cfg.Clock.Now())
	m.startHandover(ctx, s, end, true)
	return false
}

// uncounted returns the number of runs that have been requested and are not included in runs.
func (m *modelExchange) uncounted() int {
	if m.counted {
		return m.others
	}
	return m.others + 1
}

// skipUnwritten reports whether the request was not written to a server because something has changed, and prepares the
// next placement.
func (m *modelExchange) skipUnwritten(s *route.Server, err error) bool {
	switch {
	case errors.Is(err, crash.ErrNotAdmitted):
		m.arrivals.uncount()
	case errors.Is(err, errOutsideKV):
		m.arrivals.uncount()
		m.dropKV()
	case isWithheld(err):
		m.arrivals.uncount()
		m.skipServer(s)
	default:
		return false
	}
	return true
}

// recordNoRun records a run whose server gave no answer.
func (m *modelExchange) recordNoRun(p *admit.Placement, err error) {
	m.counted = true
	if fail.Outcome(err) != ident.NotRun {
		m.loseReservation()
		m.countBrokenStart()
		m.recordBroken(p.Decode, err)
	}
	m.countNoResponse(p.Decode, err)
	m.leave(p.Decode, err)
}

// loseReservation gives up the reservation and the KV cache, which a run whose outcome is unknown may be using.
func (m *modelExchange) loseReservation() {
	m.reservation = nil
	if m.kv != nil {
		m.kv.inUse = true
	}
}

// recordNotExecuted records a run that its server has rejected, and prepares the next placement.
func (m *modelExchange) recordNotExecuted(r *modelRun) {
	m.recordWrite(r.placement.Decode)
	m.recordWrongServer(r.placement.Decode, r.resp)
	m.exchange.release(r.resp)
	m.handleNotExecuted(r.placement)
}

// recordHead records that the response of a run has begun, or leaves that to the end of the search.
func (m *modelExchange) recordHead(s *route.Server) {
	m.unrecorded = s
	if m.search == nil {
		m.recordRun()
	}
}

// recordRun records a run whose response has begun.
func (m *modelExchange) recordRun() {
	m.recordWrite(m.unrecorded)
	m.unrecorded, m.counted = nil, true
	if m.kv != nil {
		m.stats.transfers++
	}
	m.kv = nil          // the server has fetched the KV cache or runs the request without one
	m.reservation = nil // the server has used the reservation
	m.mayHaveRun = true
	m.runs.Add(1)
}
