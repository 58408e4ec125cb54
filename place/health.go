package place

import (
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// maxFailures is the number of failures in a row that set a server aside.
	maxFailures = 3
	// The time for which a server is set aside doubles from minAside to
	// maxAside with each failed trial.
	minAside = time.Second
	maxAside = 30 * time.Second
)

// health follows the failures of a server. After a server's time aside is
// over, one request at a time tries it until one succeeds.
type health struct {
	failures int
	aside    time.Duration // zero while the server is in use
	until    tick.Instant
	trials   int // requests under way at a server on trial
}

func (h *health) outlier() bool { return h.aside > 0 }

// open reports whether the server may be given a request.
func (h *health) open(now tick.Instant) bool {
	return h.aside == 0 || now >= h.until && h.trials == 0
}

func (h *health) succeed() {
	h.failures = 0
	h.aside = 0
	h.trials = 0
}

// fail counts a failure and reports whether the server should be set aside.
func (h *health) fail() bool {
	h.failures++
	return h.aside > 0 || h.failures >= maxFailures
}

func (h *health) setAside(now tick.Instant) {
	if now < h.until {
		return
	}
	h.aside = min(max(2*h.aside, minAside), maxAside)
	h.until = now + h.aside
	h.trials = 0
}

// leave ends a request that tells nothing of the server.
func (h *health) leave() { h.trials = max(0, h.trials-1) }
