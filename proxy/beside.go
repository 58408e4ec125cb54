package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/event"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
)

// What became of runs that were begun beside one at a silent server, for metrics.
const (
	BesideDelivered = "delivered" // they have sent the next event
	BesideFailed    = "failed"    // their server has failed, or had nothing to add
	BesideEnded     = "ended"     // the silent server has gone on, or the request has ended
)

// BesideEnds returns the values of the metric for runs beside one at a silent server.
func BesideEnds() []string { return []string{BesideDelivered, BesideFailed, BesideEnded} }

// bothRun bounds the time for which a server has begun to send an event while the silent one may go on with it too.
const bothRun = 300 * time.Millisecond

// errNothingToAdd reports a whole response without events, which continues a stream. It does not prove the end of the stream.
var errNothingToAdd = errors.New("response that continues the stream has an end and no events")

// begin runs the request at a placement whose server has given a reservation. It returns the run once it has sent what the
// caller waits for.
func (d *handover) begin(ctx, searchCtx context.Context, p *admit.Placement) (*modelRun, error) {
	m := d.m
	if err := m.prepare(ctx, p); err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	run, err := d.request(ctx, runCtx, searchCtx, p, cancel)
	if err == nil && !stop() {
		run.close()
		err = ctx.Err()
	}
	end := BesideDelivered
	switch {
	case err == nil:
		run.cancel = cancel
	case ctx.Err() != nil:
		end = BesideEnded
	default:
		end = BesideFailed
		m.h.cfg.Log.Info().Err(err).Str("server", p.Decode.ID).Str("id", m.info.ID).Int64("event", m.lastEventID).
			Msg("relay: no event from the run beside the one at a silent server, which is waited for")
	}
	m.h.cfg.Meter.Count("beside_runs_total", "end", end, 1)
	if err != nil {
		stop()
		cancel()
		return nil, err
	}
	return run, nil
}

// request writes the request and reads the response up to the first event. runCtx is the context of the run, and ctx ends
// when nobody waits for it. Once searchCtx has ended, this run is the only one, and another one may be begun beside it. end ends
// the run.
func (d *handover) request(ctx, runCtx, searchCtx context.Context, p *admit.Placement, end func()) (*modelRun, error) {
	m, s := d.m, p.Decode
	run := &modelRun{placement: p, cancel: func() {}}
	req := m.runRequest(p)
	req.HeaderTimeout = maxSilence(m.route)
	req.EndWait = func() bool {
		switch {
		case run.silent != nil:
			return run.silent()
		case searchCtx.Err() != nil:
			return m.fallSilent(ctx, s, end)
		default:
			return run.begun
		}
	}
	m.left, m.counted = false, false
	m.progress = m.h.cfg.Clock.Now()
	resp, err := m.runIf(runCtx, s, req, func() error { return m.checkRun(true) })
	if err != nil {
		m.finishHandover()
	}
	switch {
	case err == nil:
	case m.skipUnwritten(s, err):
		return nil, err
	case ctx.Err() != nil:
		if fail.Outcome(err) != ident.NotRun {
			m.loseReservation()
		}
		m.countNoResponse(s, err)
		return nil, err
	default:
		m.recordNoRun(p, err)
		return nil, err
	}
	run.resp = resp
	if err = m.readBeside(run); err == nil {
		m.stopHandover()
		if m.next == nil {
			return run, nil
		}
		err = errSuperseded
	}
	m.finishHandover()
	run.close()
	if ctx.Err() == nil {
		m.recordBesideFailure(run, err)
	}
	return nil, err
}

// Read implements io.Reader for the response of a run that was begun beside another one. The server works on the request from its first
// token on, so that what it has begun to send must follow soon.
func (r *modelRun) Read(b []byte) (int, error) {
	n, err := r.resp.Body.Read(b)
	if n > 0 && !r.begun && !r.scanned {
		r.begun = true
		r.resp.SetIdleTimeout(bothRun)
	}
	return n, err
}

// errNotExecuted reports that a server has rejected a run, and errNoStream that it has answered with an error.
var (
	errNotExecuted = errors.New("the server has rejected the request")
	errNoStream    = errors.New("the server did not send a stream")
)

// readBeside reads the response up to the first event.
func (m *modelExchange) readBeside(r *modelRun) error {
	if m.h.cfg.Protocol.NotExecuted(r.resp.Status, r.resp.Header) {
		m.finishHandover()
		m.recordNotExecuted(r)
		return errNotExecuted
	}
	m.recordHead(r.placement.Decode)
	if r.resp.Status != http.StatusOK {
		return errNoStream
	}
	if err := m.checkHeader(r.resp); err != nil {
		return err
	}
	r.events = event.NewScanner(r, maxEventBytes, m.h.cfg.Memory.Account())
	for r.events.Scan() {
		if r.events.Comment() {
			r.begun = false
			r.resp.SetIdleTimeout(maxSilence(m.route))
			continue
		}
		r.scanned = true
		return m.checkEvent(r.events.ID())
	}
	switch err := r.events.Err(); {
	case err != nil:
		return err
	case !m.headerWritten:
		return nil // the whole response has no events
	case r.resp.Framed():
		return errNothingToAdd
	default:
		return errNoEvents
	}
}

// recordBesideFailure records the failure of a run whose response has begun.
func (m *modelExchange) recordBesideFailure(r *modelRun, err error) {
	s := r.placement.Decode
	switch {
	case errors.Is(err, errNotExecuted):
		return
	case errors.Is(err, errNothingToAdd):
		m.exclude(s)
		return
	case errors.Is(err, errNoStream):
		m.recordFailure(s, health.BadResponse)
		m.exclude(s)
		return
	}
	m.recordBroken(s, err)
	m.leave(s, err)
}

// checkHeader returns an error if the header is not that of a server's stream. A response that
// continues a stream must have the content type with which the stream began.
func (m *modelExchange) checkHeader(resp *link.Response) error {
	if !m.h.cfg.Protocol.Sealed(resp.Header) {
		return errUnsealed
	}
	if m.headerWritten && mediaType(resp.Header) != mediaType(m.w.Header()) {
		return errStreamType
	}
	return nil
}
