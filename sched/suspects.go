package sched

import (
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// suspectTime is the time for which a scheduler that did not answer is asked
// after the others.
const suspectTime = 3 * time.Second

// suspects holds the schedulers that did not answer.
type suspects struct {
	mu  sync.Mutex // guards set
	set map[ident.Instance]tick.Instant
}

// note records whether a call to the scheduler was answered.
func (s *suspects) note(i ident.Instance, answered bool, now tick.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		delete(s.set, i)
		return
	}
	s.set[i] = now + suspectTime
}

// last moves the suspects behind the others and keeps the order otherwise.
func (s *suspects) last(ranked []ident.Instance, now tick.Instant) []ident.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]ident.Instance, 0, len(ranked))
	var late []ident.Instance
	for _, i := range ranked {
		if until, ok := s.set[i]; ok && now < until {
			late = append(late, i)
			continue
		}
		out = append(out, i)
	}
	return append(out, late...)
}
