package pool

import (
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/fair"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

// Dispatch places what there is room for, refuses what cannot meet its target,
// and appends the decisions to out.
func (s *Scheduler) Dispatch(now tick.Instant, out []Decision) []Decision {
	s.stepHeld(now)
	s.stepQueue(now)
	if now-s.swept >= sweepEvery {
		s.swept = now
		s.sweep(now)
	}
	out = append(out, s.decided...)
	clear(s.decided)
	s.decided = s.decided[:0]
	return out
}

func (s *Scheduler) stepHeld(now tick.Instant) {
	kept := s.held[:0]
	for _, w := range s.held {
		c, v := s.pool.Choose(&w.query, now)
		switch {
		case c.Decode != "":
			// A late first token is still worth more than the prefill lost.
			s.place(w, &c, now)
		case v == place.NoServer:
			s.refuse(w, fail.CodeNoServer, noServerRetry, ReasonNoServer, now)
		case now-w.since > heldLife:
			// The cache will not live long enough: prefill again if the
			// target leaves the time.
			w.query.KVSource = ""
			s.enqueue(w, now)
		default:
			kept = append(kept, w)
		}
	}
	clear(s.held[len(kept):])
	s.held = kept
}

// stepQueue serves the queue in its order. When the pool has no room for a
// patient request, the others may still have some.
func (s *Scheduler) stepQueue(now tick.Instant) {
	patient := true
	for {
		it, ok := s.queue.Peek(patient)
		if !ok {
			return
		}
		w := s.waiting[Ticket(it.ID)]
		c, v := s.pool.Choose(&w.query, now)
		switch v {
		case place.Chosen:
			s.queue.Pop(it, now)
			s.place(w, &c, now)
		case place.TooLate:
			s.queue.Remove(it.ID)
			s.refuse(w, fail.CodeDeadline, s.turn(w, now), ReasonTargetMissed, now)
		case place.NoServer:
			s.queue.Remove(it.ID)
			s.refuse(w, fail.CodeNoServer, noServerRetry, ReasonNoServer, now)
		default:
			if !patient || it.Priority == fair.Interactive {
				return
			}
			patient = false
		}
	}
}

func (s *Scheduler) sweep(now tick.Instant) {
	s.refused = s.queue.RejectLate(now, s.refused[:0])
	for i := range s.refused {
		r := &s.refused[i]
		if w, ok := s.waiting[Ticket(r.Item.ID)]; ok {
			s.refuse(w, fail.CodeOverloaded, r.RetryAfter, ReasonQueueFull, now)
		}
	}
}
