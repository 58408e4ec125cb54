package pool

import (
	"github.com/cespare/xxhash/v2"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

// Checksum sums up a set of live placements, in any order.
type Checksum struct {
	Count uint32
	XOR   uint64 // over the hashes of placement and stage
}

// Add takes a placement into the sum.
func (s *Checksum) Add(id string, stage place.Stage) {
	var buf [128]byte
	b := append(append(buf[:0], id...), 0, byte(stage))
	s.Count++
	s.XOR ^= xxhash.Sum64(b)
}

// NeedsResync takes in the sum over the placements that an entry instance has
// reported and reports whether it is to send them all with Heartbeat. What
// differs at one beat only may still be on its way.
func (s *Scheduler) NeedsResync(owner ident.Instance, incarnation uint64, want Checksum, now tick.Instant) bool {
	e := s.entry(owner, now)
	var have Checksum
	lost := false
	for id, l := range e.live {
		if l.named {
			have.Add(id, l.stage)
			continue
		}
		lost = l.miss(now) || lost
	}
	if have != want {
		e.differs++
	} else {
		e.differs = 0
	}
	if e.incarnation == 0 && have == want {
		e.incarnation = incarnation
	}
	return lost || e.differs > 1 || e.incarnation != incarnation
}

// miss notes that the entry instance has not named the placement, and reports
// whether the answer that told it must have been lost.
func (l *live) miss(now tick.Instant) bool {
	if !l.missed {
		l.missed = true
		l.missedAt = now
	}
	return now-l.missedAt >= answerLife
}
