package proxy

import (
	"context"
	"os"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// What became of requests whose servers were silent for longer than maxSilence, for metrics.
const (
	SilenceWentOn     = "went_on"    // the server has sent the next event
	SilenceResumed    = "resumed"    // another server has
	SilenceCut        = "cut"        // the response was cut
	SilenceUnanswered = "unanswered" // the request was answered with an error, or its caller has left
)

// SilenceEnds returns the values of the metric for requests whose servers were silent.
func SilenceEnds() []string {
	return []string{SilenceWentOn, SilenceResumed, SilenceCut, SilenceUnanswered}
}

// isTimeout reports whether a call was ended because its server did not answer in time.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// recordUnanswered records that a server has not answered a call that costs it no work. A sound server may be silent for a
// time, but accepts connections.
func (x *exchange) recordUnanswered(ctx context.Context, s *route.Server, since tick.Instant) {
	err := x.h.cfg.Client.Probe(ctx, s.Addr, x.dialTimeout(s))
	switch {
	case ctx.Err() != nil:
	case err != nil:
		x.recordErrorAs(s, err, health.ConnectTimeout)
	default:
		x.h.cfg.Health.RecordUnanswered(s.Key(), since, x.h.cfg.Clock.Now())
	}
}

// endedBy returns who has ended a response that failed, for logs.
func (m *modelExchange) endedBy() string {
	switch {
	case m.closedByProcess():
		return "process"
	case m.callerGone():
		return "caller"
	case m.remaining() <= 0:
		return "deadline"
	case m.left:
		return "silence"
	default:
		return "server"
	}
}

// leave records that the request leaves a server at which it has failed. If the server was only silent, the request
// may return to it.
func (m *modelExchange) leave(s *route.Server, err error) {
	if !m.left {
		m.recordError(s, err)
		m.exclude(s)
		return
	}
	m.h.cfg.Log.Info().Err(err).Str("server", s.ID).Str("id", m.info.ID).Int64("event", m.lastEventID).
		Dur("silent", m.h.cfg.Clock.Now()-m.progress).Str("next", m.next.placement.Decode.ID).
		Msg("relay: server is silent; the request goes on at another one")
}

// countSilence counts what became of a request whose server was silent.
func (m *modelExchange) countSilence(end string) {
	if m.silentAt != nil {
		m.silentAt = nil
		m.h.cfg.Meter.Count("silent_runs_total", "end", end, 1)
	}
}

// recordSound records that a server has sent an event after a silence of a server of the request.
func (m *modelExchange) recordSound(s *route.Server) {
	switch {
	case m.silentAt == nil:
	case m.silentAt.Key() == s.Key():
		m.countSilence(SilenceWentOn)
		m.h.cfg.Health.RecordSuccess(s.Key(), m.h.cfg.Clock.Now())
	default:
		m.countSilence(SilenceResumed)
	}
}

// endSilence counts a request whose server was silent up to its end.
func (m *modelExchange) endSilence() {
	switch {
	case m.complete:
		m.countSilence(SilenceResumed)
	case m.headerWritten && m.lastEventID > m.info.LastEventID:
		m.countSilence(SilenceCut)
	default:
		m.countSilence(SilenceUnanswered)
	}
}
