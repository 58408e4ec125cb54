package relay

import (
	"context"
	"syscall"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/route"
)

// errElsewhere reports that another server is at the address.
var errElsewhere = errors.New("another server is at the address")

// failure tells what a call without an answer says of its server.
func failure(err error) health.Failure {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, errElsewhere):
		return health.Absent
	case fail.Outcome(err) == ident.NotRun:
		return health.ConnectTimeout
	default:
		return health.BadResponse
	}
}

// blame notes that a server failed the request, unless it was the caller that
// ended it.
func (j *job) blame(s *route.Server, how health.Failure) {
	if !j.gone() {
		j.h.cfg.Health.RecordFailure(s.Key(), how, j.h.cfg.Clock.Now())
	}
}

// misled notes that an answer came from another server than the one meant.
func (j *job) misled(s *route.Server, a *link.Response) {
	if j.h.cfg.Protocol.WrongServer(a.Status) {
		j.blame(s, health.Absent)
	}
}

// do makes a call to a server and heeds what it says of itself beside its answer.
func (j *job) do(ctx context.Context, s *route.Server, c *link.Request) (*link.Response, error) {
	a, err := j.h.cfg.Client.Do(ctx, c)
	if err != nil {
		return nil, err
	}
	j.heed(s, a)
	return a, nil
}

// heed takes note of what a server says of itself beside its answer: that it
// leaves, or that it wants no request for a time.
func (j *job) heed(s *route.Server, a *link.Response) {
	h := j.h
	if h.cfg.Protocol.WrongServer(a.Status) {
		return // another server may have spoken
	}
	now := h.cfg.Clock.Now()
	if h.cfg.Protocol.Draining(a.Header) && h.cfg.Health.RecordDraining(s.Key(), now) {
		h.cfg.Log.Info().Str("server", s.ID).Str("id", j.ask.ID).Msg("relay: server leaves")
	}
	rest, err := h.cfg.Protocol.RetryAfter(a.Status, a.Header)
	if err != nil {
		h.cfg.Log.Warn().Err(err).Str("server", s.ID).Str("id", j.ask.ID).Msg("relay: server asks for a pause")
	}
	if rest > 0 {
		h.cfg.Health.Pause(s.Key(), now+rest, now)
	}
}

// closed tells whether a server wants no request now.
func (j *job) closed(s *route.Server) bool {
	now := j.h.cfg.Clock.Now()
	return j.h.cfg.Health.ClosedUntil(s.Key(), now) > now
}
