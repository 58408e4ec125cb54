package proxy

import (
	"time"

	"wasabidock.dev/dock/route"
)

const (
	// callersPatience is the share of the time after which callers abandon a request that is used. The rest is for the way of
	// the next event.
	callersPatience = 0.9
	// Callers abandon a request without a new event after minGap, or a multiple of its targets.
	minGap        = 2 * time.Second
	latencyFactor = 4
	gapFactor     = 8
	// Another place is looked for after silenceShare of the callers' patience, and after minSilence at the earliest. Sound
	// servers are silent for a second, above all when they preempt a run, and what is left is for the other place.
	silenceShare = 0.5
	minSilence   = time.Second
)

// patience returns how long the callers of a route wait for the next event.
func patience(r *route.Route) time.Duration {
	return time.Duration(callersPatience * float64(max(minGap, latencyFactor*r.LatencyTarget, gapFactor*r.GapTarget)))
}

// maxSilence returns how long the server of a resumable stream may send no event before another place is looked for.
func maxSilence(r *route.Route) time.Duration {
	return max(minSilence, time.Duration(silenceShare*float64(patience(r))))
}
