package place

import (
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// recentSize is the number of own changes at a server that are kept to be
	// added to a report that does not cover them.
	recentSize = 64
	// restartAge is the age of the last report after which a smaller sequence
	// number is taken as that of a restarted server.
	restartAge = 5 * time.Second
)

// state is what a scheduler knows of one server.
type state struct {
	spec      Server
	departing bool
	draining  bool

	pending int64        // own prompt tokens placed and not yet prefilled
	until   tick.Instant // expected end of the own pending prefill
	places  int          // own placements that hold a decode place
	link    tick.Instant // end of the last reserved transfer

	seq       uint64
	at        tick.Instant // instant that the last report describes
	reported  bool
	queue     int64
	busy      int
	tokenTime time.Duration
	recent    [recentSize]change
	changes   int
	newTokens int64 // own tokens placed after at
	newPlaces int   // own places taken less those given back after at

	health health
}

// change is an own placement or release at a server.
type change struct {
	at     tick.Instant
	tokens int64
	places int
}

func (s *state) is(r Role) bool { return s.spec.Role&r != 0 }

func (s *state) gone() bool { return s.departing || s.draining }

// apply takes a report in, unless a newer one has been applied.
func (s *state) apply(r *LoadReport, now tick.Instant) {
	at := now - r.Age
	if s.reported && r.Seq <= s.seq && at < s.at+restartAge {
		return
	}
	s.reported = true
	s.seq = r.Seq
	s.at = at
	s.queue = r.QueuedTokens
	s.busy = r.BusySlots
	s.tokenTime = r.TokenInterval
	s.draining = r.Draining
	s.newTokens, s.newPlaces = 0, 0
	for i := range min(s.changes, recentSize) {
		if c := &s.recent[i]; c.at > at {
			s.newTokens += c.tokens
			s.newPlaces += c.places
		}
	}
}

// note records an own change that the last report does not cover.
func (s *state) note(c change) {
	s.recent[s.changes%recentSize] = c
	s.changes++
	s.newTokens += c.tokens
	s.newPlaces += c.places
}

// wait returns the expected time until a prefill placed now would start.
func (s *state) wait(now tick.Instant) time.Duration {
	own := s.until - now
	if s.pending > 0 && own < 0 {
		// The longer a prefill is overdue, the longer it may yet take.
		own = -own
	}
	own = max(own, 0)
	if !s.reported {
		return own
	}
	seen := s.prefillTime(s.queue+s.newTokens) - (now - s.at)
	return max(own, seen)
}

// taken returns the expected number of decode places taken.
func (s *state) taken() int {
	if !s.reported {
		return s.places
	}
	return max(s.places, s.busy+s.newPlaces)
}

func (s *state) prefillTime(tokens int64) time.Duration {
	if s.spec.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / s.spec.PrefillRate * float64(time.Second))
}

// queuePrefill reserves prefill time and returns when the prefill will end.
func (s *state) queuePrefill(tokens int64, now tick.Instant) tick.Instant {
	s.until = now + s.wait(now) + s.prefillTime(tokens)
	s.pending += tokens
	s.note(change{at: now, tokens: tokens})
	return s.until
}

// endPrefill takes a prefill that ended or failed out of the queue.
func (s *state) endPrefill(tokens int64, now tick.Instant) {
	s.pending = max(0, s.pending-tokens)
	s.until = now + s.prefillTime(s.pending)
}

func (s *state) takePlace(n int, now tick.Instant) {
	s.places += n
	s.note(change{at: now, places: n})
}
