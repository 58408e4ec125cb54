package place

import (
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// ejectionThreshold is the number of consecutive failures after which a server is ejected.
	ejectionThreshold = 3
	// The ejection time of a server doubles with each failed trial, from minEjection to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// health tracks the failures of a server. After the ejection time, the server is on trial: it gets
// one request at a time until one succeeds.
type health struct {
	failures     int           // consecutive failures
	ejectedFor   time.Duration // last ejection time; zero while the server is not ejected
	ejectedUntil tick.Instant
	trials       int // requests in progress at a server on trial
}

// ejected reports whether the server is ejected or on trial.
func (h *health) ejected() bool { return h.ejectedFor > 0 }

// available reports whether the server may be sent a request.
func (h *health) available(now tick.Instant) bool {
	return h.ejectedFor == 0 || now >= h.ejectedUntil && h.trials == 0
}

func (h *health) recordSuccess() {
	h.failures = 0
	h.ejectedFor = 0
	h.trials = 0
}

// recordFailure counts a failure and reports whether the server should be ejected.
func (h *health) recordFailure() bool {
	h.failures++
	return h.ejectedFor > 0 || h.failures >= ejectionThreshold
}

// eject ejects the server, unless it is ejected already and the time has not passed.
func (h *health) eject(now tick.Instant) {
	if now < h.ejectedUntil {
		return
	}
	h.ejectedFor = min(max(2*h.ejectedFor, minEjection), maxEjection)
	h.ejectedUntil = now + h.ejectedFor
	h.trials = 0
}

// endTrial ends a request whose result says nothing about the server's health.
func (h *health) endTrial() { h.trials = max(0, h.trials-1) }
