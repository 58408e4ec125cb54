package place

import (
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// maxRecentChanges is the number of the scheduler's own changes at a server that are kept. Those that
	// a load report does not cover yet are added to it.
	maxRecentChanges = 64
	// restartAge is the age of the last report after which a report with a smaller sequence number is
	// accepted, as that of a restarted server.
	restartAge = 5 * time.Second
)

// serverState is the state of one server as recorded by this scheduler. The placements and changes in
// it are those that this scheduler made.
type serverState struct {
	spec             Server
	markedDraining   bool // set by Pool.SetDraining
	reportedDraining bool // set by the last load report

	pendingTokens int64        // prompt tokens placed by this scheduler and not prefilled yet
	prefillEnd    tick.Instant // expected end of the pending prefills placed by this scheduler
	ownSlots      int          // placements of this scheduler that hold a decode slot
	linkFreeAt    tick.Instant // end of the last reserved transfer

	seq              uint64                   // sequence number of the last report
	reportTime       tick.Instant             // instant that the last report describes
	reported         bool                     // a report has been applied
	reportedTokens   int64                    // prompt tokens queued or running in the last report
	reportedBusy     int                      // decode slots in use in the last report
	tokenInterval    time.Duration            // time between two output tokens in the last report
	recent           [maxRecentChanges]change // ring of the last changes
	changeCount      int                      // total number of changes, also of those no longer in recent
	unreportedTokens int64                    // prompt tokens placed by this scheduler after reportTime
	unreportedSlots  int                      // decode slots that this scheduler reserved less those it released after reportTime

	health health
}

// change is a placement or release by this scheduler at a server. A release has a negative number of
// slots.
type change struct {
	at     tick.Instant
	tokens int64
	slots  int
}

func (s *serverState) hasRole(r Role) bool { return s.spec.Role&r != 0 }

func (s *serverState) isDraining() bool { return s.markedDraining || s.reportedDraining }

// apply applies a load report, unless a newer one has been applied.
func (s *serverState) apply(r *LoadReport, now tick.Instant) {
	at := now - r.Age
	if s.reported && r.Seq <= s.seq && at < s.reportTime+restartAge {
		return
	}
	s.reported = true
	s.seq = r.Seq
	s.reportTime = at
	s.reportedTokens = r.QueuedTokens
	s.reportedBusy = r.BusySlots
	s.tokenInterval = r.TokenInterval
	s.reportedDraining = r.Draining
	s.unreportedTokens, s.unreportedSlots = 0, 0
	for i := range min(s.changeCount, maxRecentChanges) {
		if c := &s.recent[i]; c.at > at {
			s.unreportedTokens += c.tokens
			s.unreportedSlots += c.slots
		}
	}
}

// recordChange records a change by this scheduler that the last report does not cover.
func (s *serverState) recordChange(c change) {
	s.recent[s.changeCount%maxRecentChanges] = c
	s.changeCount++
	s.unreportedTokens += c.tokens
	s.unreportedSlots += c.slots
}

// prefillWait returns the expected time until a prefill that is placed now would start.
func (s *serverState) prefillWait(now tick.Instant) time.Duration {
	own := s.prefillEnd - now
	if s.pendingTokens > 0 && own < 0 {
		// The longer a prefill is overdue, the longer it may still take.
		own = -own
	}
	own = max(own, 0)
	if !s.reported {
		return own
	}
	fromReport := s.prefillTime(s.reportedTokens+s.unreportedTokens) - (now - s.reportTime)
	return max(own, fromReport)
}

// busySlots returns the expected number of decode slots in use.
func (s *serverState) busySlots() int {
	if !s.reported {
		return s.ownSlots
	}
	return max(s.ownSlots, s.reportedBusy+s.unreportedSlots)
}

// prefillTime returns the time to prefill the tokens, zero if the prefill rate is unknown.
func (s *serverState) prefillTime(tokens int64) time.Duration {
	if s.spec.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / s.spec.PrefillRate * float64(time.Second))
}

// queuePrefill reserves prefill time for the tokens and returns the expected end of the prefill.
func (s *serverState) queuePrefill(tokens int64, now tick.Instant) tick.Instant {
	s.prefillEnd = now + s.prefillWait(now) + s.prefillTime(tokens)
	s.pendingTokens += tokens
	s.recordChange(change{at: now, tokens: tokens})
	return s.prefillEnd
}

// endPrefill removes a completed or failed prefill from the queue.
func (s *serverState) endPrefill(tokens int64, now tick.Instant) {
	s.pendingTokens = max(0, s.pendingTokens-tokens)
	s.prefillEnd = now + s.prefillTime(s.pendingTokens)
}

// addSlots adds n to the decode slots in use; a negative n releases slots.
func (s *serverState) addSlots(n int, now tick.Instant) {
	s.ownSlots += n
	s.recordChange(change{at: now, slots: n})
}
