package proxy

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/event"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/route"
)

// errWrongServer reports that a different server now uses the address.
var errWrongServer = errors.New("a different server uses the address")

// classifyFailure returns the kind of server failure for the error of a failed call, which is no fail.LocalError.
func classifyFailure(err error) health.Failure {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, errWrongServer):
		return health.Absent
	case errors.Is(err, memory.ErrTooLong), errors.Is(err, link.ErrHeaderTooLong), errors.Is(err, event.ErrTooLong):
		return health.Oversized
	case fail.Outcome(err) == ident.NotRun:
		return health.ConnectTimeout
	default:
		return health.BadResponse
	}
}

// recordError records that a call to a server has failed, unless no server is at fault.
func (x *exchange) recordError(s *route.Server, err error) {
	x.recordErrorAs(s, err, health.BadResponse)
}

// recordErrorAs is recordError for a call whose failure is at least as severe as least.
func (x *exchange) recordErrorAs(s *route.Server, err error, least health.Failure) {
	if !fail.IsLocal(err) {
		x.recordFailure(s, max(classifyFailure(err), least))
	}
}

// recordFailure records a failure of a server, unless the caller has disconnected, or the request was
// cut off, and may have caused it.
func (x *exchange) recordFailure(s *route.Server, failure health.Failure) {
	if !x.callerGone() && !x.cutOff() {
		x.h.cfg.Health.RecordFailure(s.Key(), failure, x.h.cfg.Clock.Now())
	}
}

// recordWrongServer records a server as absent if the response came from a different server at
// its address.
func (x *exchange) recordWrongServer(s *route.Server, resp *link.Response) {
	if x.h.cfg.Protocol.WrongServer(resp.Status) {
		x.recordFailure(s, health.Absent)
	}
}

// do sends a request to a server and records the state that the server reports in the header
// of its response. If the server has a limit, do first takes a permit; if there is none, the error
// is a permit.DeniedError.
func (x *exchange) do(ctx context.Context, s *route.Server, req *link.Request) (*link.Response, error) {
	p, err := x.takePermit(ctx, s)
	if err != nil {
		return nil, err
	}
	return x.send(ctx, s, req, p)
}

// run is do for a request that makes the server work. If the server is ejected, the request is the
// trial that may end the ejection.
func (x *exchange) run(ctx context.Context, s *route.Server, req *link.Request) (*link.Response, error) {
	return x.runIf(ctx, s, req, x.checkWork)
}

// runIf is run with another check in place of checkWork.
func (x *exchange) runIf(ctx context.Context, s *route.Server, req *link.Request, check func() error) (*link.Response, error) {
	p, err := x.takePermit(ctx, s)
	if err != nil {
		return nil, err
	}
	if err := check(); err != nil {
		return nil, fail.New("relay: write", s.ID, ident.NotRun, err)
	}
	x.h.cfg.Health.RecordRequest(s.Key(), x.h.cfg.Clock.Now())
	req.BeforeWrite = func() error {
		x.h.cfg.Protocol.SetRemaining(req.Header, x.remaining())
		return check()
	}
	return x.send(ctx, s, req, p)
}

// send sends a request for which there is a permit.
func (x *exchange) send(ctx context.Context, s *route.Server, req *link.Request, p permit.Permit) (*link.Response, error) {
	check := req.BeforeWrite
	req.BeforeWrite = func() error {
		if err := x.checkWrite(s, p); err != nil || check == nil {
			return err
		}
		return check()
	}
	if p.Limited {
		x.h.cfg.Meter.Count("server_limit_requests_total", "server", s.ID, 1)
	}
	sent := x.h.cfg.Clock.Now()
	resp, err := x.h.cfg.Client.Do(ctx, req)
	if err != nil {
		return nil, err
	}
	if resp.Proven() {
		age := x.h.cfg.Clock.Now() - sent
		x.recordServerState(s, resp, age)
		x.recordLimit(s, resp, age)
	}
	return resp, nil
}

// recordServerState records the state of a server from the header of its response: whether the
// server is draining, and for how long it accepts no requests or is cold. age is the time since the request was sent.
func (x *exchange) recordServerState(s *route.Server, resp *link.Response, age time.Duration) {
	h := x.h
	if h.cfg.Protocol.WrongServer(resp.Status) {
		return // the response may come from a different server
	}
	now := h.cfg.Clock.Now()
	if h.cfg.Protocol.Draining(resp.Header) && h.cfg.Health.RecordDraining(s.Key(), now) {
		h.cfg.Log.Info().Str("server", s.ID).Str("id", x.info.ID).Msg("relay: server is draining; sending it no more requests")
	}
	if left, ok := h.cfg.Protocol.ColdFor(resp.Header); ok {
		h.cfg.Warmups.Reported(s.Hash(), left, age)
	}
	pause, err := h.cfg.Protocol.RetryAfter(resp.Status, resp.Header)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Str("server", s.ID).Str("id", x.info.ID).Msg("relay: invalid Retry-After from server; using the corrected value")
	}
	if pause > 0 {
		h.cfg.Health.Pause(s.Key(), now+pause, now)
	}
}
