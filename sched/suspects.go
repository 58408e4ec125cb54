package sched

import (
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// suspectTimeout is the time during which a scheduler that did not respond is tried after the
// others.
const suspectTimeout = 3 * time.Second

// suspects holds the schedulers that did not respond, each with the time at which its entry
// expires.
type suspects struct {
	mu  sync.Mutex // guards set
	set map[ident.Instance]tick.Instant
}

// record records whether a scheduler responded to a call.
func (s *suspects) record(i ident.Instance, answered bool, now tick.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		delete(s.set, i)
		return
	}
	s.set[i] = now + suspectTimeout
}

// moveToEnd moves the suspects behind the other instances. Otherwise the order is kept.
func (s *suspects) moveToEnd(ranked []ident.Instance, now tick.Instant) []ident.Instance {
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
