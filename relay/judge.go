package relay

import (
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
		return health.Silent
	default:
		return health.Bad
	}
}

// blame notes that a server failed the request, unless it was the caller that
// ended it.
func (j *job) blame(s *route.Server, how health.Failure) {
	if !j.gone() {
		j.h.cfg.Health.Failed(s.Key(), how, j.h.cfg.Clock.Now())
	}
}

// misled notes that an answer came from another server than the one meant.
func (j *job) misled(s *route.Server, a *link.Answer) {
	if j.h.cfg.Wire.Elsewhere(a.Status) {
		j.blame(s, health.Absent)
	}
}
