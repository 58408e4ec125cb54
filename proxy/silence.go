package proxy

import (
	"os"

	"github.com/go-faster/errors"
)

// What became of runs that were ended because their servers were silent, for metrics.
const (
	SilenceResumed    = "resumed"    // another server has sent the next event
	SilenceCut        = "cut"        // the response was cut
	SilenceUnanswered = "unanswered" // the request was answered with an error, or its caller has left
)

// SilenceEnds returns the values of the metric for runs that were ended because their servers were silent.
func SilenceEnds() []string { return []string{SilenceResumed, SilenceCut, SilenceUnanswered} }

// isSilence reports whether a call was ended because its server was silent for too long.
func isSilence(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// endedBy returns who has ended a response that failed with an error, for logs.
func (m *modelExchange) endedBy(err error) string {
	switch {
	case m.callerGone():
		return "caller"
	case m.cutOff():
		return "process"
	case m.remaining() <= 0:
		return "deadline"
	case isSilence(err):
		return "silence"
	default:
		return "server"
	}
}

// recordSilence records that a run has failed with an error, if that is the silence of its server.
func (m *modelExchange) recordSilence(err error) {
	if m.endedBy(err) == "silence" {
		m.silenced = true
	}
}

// countSilence counts what became of a run that was ended because its server was silent.
func (m *modelExchange) countSilence(end string) {
	if m.silenced {
		m.silenced = false
		m.h.cfg.Meter.Count("silent_runs_total", "end", end, 1)
	}
}

// endSilence counts a run that was ended because its server was silent, and that no other server has resumed.
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
