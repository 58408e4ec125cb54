package proxy

import (
	"context"
	"sync"
	"syscall"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// maxInvalidLimits bounds the servers whose last invalid limit is kept.
const maxInvalidLimits = 1024

// errWrongServer reports that a different server now uses the address.
var errWrongServer = errors.New("a different server uses the address")

// classifyFailure returns the kind of server failure for the error of a failed call.
func classifyFailure(err error) health.Failure {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, errWrongServer):
		return health.Absent
	case fail.Outcome(err) == ident.NotRun:
		return health.ConnectTimeout
	default:
		return health.BadResponse
	}
}

// recordFailure records a failure of a server, unless the caller has disconnected and may
// have caused it.
func (x *exchange) recordFailure(s *route.Server, failure health.Failure) {
	if !x.callerGone() {
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
// of its response.
func (x *exchange) do(ctx context.Context, s *route.Server, req *link.Request) (*link.Response, error) {
	if _, ok := x.h.cfg.Limits.Of(s.Hash()); ok {
		x.h.cfg.Meter.Count("server_limit_requests_total", "server", s.ID, 1)
	}
	sent := x.h.cfg.Clock.Now()
	resp, err := x.h.cfg.Client.Do(ctx, req)
	if err != nil {
		return nil, err
	}
	x.recordServerState(s, resp)
	x.recordLimit(s, resp, sent)
	return resp, nil
}

// recordLimit records the limit that a server names in the header of its response, or that it names
// none. sent is the instant at which the request was sent. After an invalid value, the last valid
// one stays in force.
func (x *exchange) recordLimit(s *route.Server, resp *link.Response, sent tick.Instant) {
	h := x.h
	if h.cfg.Protocol.WrongServer(resp.Status) {
		return
	}
	rate, limited, err := h.cfg.Protocol.ServerLimit(resp.Header)
	if err != nil {
		if h.invalidLimits.first(s.ID, err.Error()) {
			h.cfg.Log.Warn().Err(err).Str("server", s.ID).Str("id", x.info.ID).Msg("relay: invalid limit from server; keeping the last valid one")
		}
		return
	}
	switch h.cfg.Limits.Record(s.Hash(), permit.Statement{Rate: rate, Limited: limited, Sent: sent, Received: h.cfg.Clock.Now()}) {
	case permit.Named, permit.Altered:
		h.cfg.Log.Info().Str("server", s.ID).Str("id", x.info.ID).Float64("limit", rate).Msg("relay: server names a limit for all instances together")
	case permit.Lifted:
		h.cfg.Log.Info().Str("server", s.ID).Str("id", x.info.ID).Msg("relay: server names no limit any more")
	case permit.Unchanged:
	}
}

// invalidLimits holds the last invalid limit of each server, by server ID, so that it is logged once.
type invalidLimits struct {
	mu   sync.Mutex
	text map[string]string
}

// first reports whether the text differs from the last one of the server.
func (l *invalidLimits) first(server, text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text[server] == text {
		return false
	}
	if l.text == nil || len(l.text) >= maxInvalidLimits {
		l.text = make(map[string]string)
	}
	l.text[server] = text
	return true
}

// recordServerState records the state of a server from the header of its response: whether the
// server is draining, and for how long it accepts no requests.
func (x *exchange) recordServerState(s *route.Server, resp *link.Response) {
	h := x.h
	if h.cfg.Protocol.WrongServer(resp.Status) {
		return // the response may come from a different server
	}
	now := h.cfg.Clock.Now()
	if h.cfg.Protocol.Draining(resp.Header) && h.cfg.Health.RecordDraining(s.Key(), now) {
		h.cfg.Log.Info().Str("server", s.ID).Str("id", x.info.ID).Msg("relay: server is draining; sending it no more requests")
	}
	pause, err := h.cfg.Protocol.RetryAfter(resp.Status, resp.Header)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Str("server", s.ID).Str("id", x.info.ID).Msg("relay: invalid Retry-After from server; using the corrected value")
	}
	if pause > 0 {
		h.cfg.Health.Pause(s.Key(), now+pause, now)
	}
}

// rejectsRequests reports whether a server accepts no requests now.
func (x *exchange) rejectsRequests(s *route.Server) bool {
	now := x.h.cfg.Clock.Now()
	return x.h.cfg.Health.ClosedUntil(s.Key(), now) > now
}
