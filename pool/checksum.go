package pool

import (
	"github.com/cespare/xxhash/v2"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

// Checksum is a checksum over a set of live placements. It does not depend on their order.
type Checksum struct {
	Count uint32
	XOR   uint64 // XOR of the hashes of placement ID and stage
}

// Add adds a placement and its stage to the checksum.
func (s *Checksum) Add(id string, stage place.Stage) {
	var buf [128]byte
	b := append(append(buf[:0], id...), 0, byte(stage))
	s.Count++
	s.XOR ^= xxhash.Sum64(b)
}

// NeedsResync compares the checksum over the placements that an owner has reported with the
// scheduler's own. It reports whether the owner must send all its placements for Reconcile. A
// single mismatch is ignored, because a change may still be in transit.
func (s *Scheduler) NeedsResync(owner ident.Instance, incarnation uint64, want Checksum, now tick.Instant) bool {
	e := s.owner(owner, now)
	var have Checksum
	lost := false
	for id, l := range e.live {
		if l.confirmed {
			have.Add(id, l.stage)
			continue
		}
		lost = l.responseLost(now) || lost
	}
	if have != want {
		e.mismatches++
	} else {
		e.mismatches = 0
	}
	if e.incarnation == 0 && have == want {
		e.incarnation = incarnation
	}
	return lost || e.mismatches > 1 || e.incarnation != incarnation
}

// responseLost records that the owner has not reported the placement. It reports whether the
// response that announced the placement to the owner must have been lost.
func (l *livePlacement) responseLost(now tick.Instant) bool {
	if !l.missing {
		l.missing = true
		l.missingSince = now
	}
	return now-l.missingSince >= responseTimeout
}
