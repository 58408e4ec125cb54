package pool

import (
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/fair"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

// Dispatch places the requests for which there is capacity, rejects those that cannot meet their
// target, and appends the decisions to out.
func (s *Scheduler) Dispatch(now tick.Instant, out []Decision) []Decision {
	s.dispatchKVWaiters(now)
	s.dispatchQueue(now)
	if now-s.lastSweep >= sweepInterval {
		s.lastSweep = now
		s.rejectLate(now)
	}
	out = append(out, s.decisions...)
	clear(s.decisions)
	s.decisions = s.decisions[:0]
	return out
}

func (s *Scheduler) dispatchKVWaiters(now tick.Instant) {
	remaining := s.kvWaiters[:0]
	for _, w := range s.kvWaiters {
		c, v := s.pool.Choose(&w.query, now)
		switch {
		case c.Decode != "":
			// Place it even if the first token is late: rejecting it would waste the prefill.
			s.place(w, &c, now)
		case v == place.NoServer:
			s.reject(w, fail.CodeNoServer, noServerRetryAfter, ReasonNoServer, now)
		case now-w.queuedAt > maxKVWait:
			// The KV cache will expire before it is transferred. Prefill again if the target
			// leaves enough time.
			w.query.KVSource = ""
			s.enqueue(w, now)
		default:
			remaining = append(remaining, w)
		}
	}
	clear(s.kvWaiters[len(remaining):])
	s.kvWaiters = remaining
}

// dispatchQueue serves the queue in order. When the pool has no capacity for a deferrable request,
// it may still have some for the others.
func (s *Scheduler) dispatchQueue(now tick.Instant) {
	includeDeferrable := true
	for {
		it, ok := s.queue.Peek(includeDeferrable)
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
			s.reject(w, fail.CodeDeadline, s.retryAfter(w, now), ReasonTargetMissed, now)
		case place.NoServer:
			s.queue.Remove(it.ID)
			s.reject(w, fail.CodeNoServer, noServerRetryAfter, ReasonNoServer, now)
		default:
			if !includeDeferrable || it.Priority == fair.Interactive {
				return
			}
			includeDeferrable = false
		}
	}
}

func (s *Scheduler) rejectLate(now tick.Instant) {
	s.rejected = s.queue.RejectLate(now, s.rejected[:0])
	for i := range s.rejected {
		r := &s.rejected[i]
		if w, ok := s.waiting[Ticket(r.Item.ID)]; ok {
			s.reject(w, fail.CodeOverloaded, r.RetryAfter, ReasonQueueFull, now)
		}
	}
}
