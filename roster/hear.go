package roster

import (
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Hear takes the entry that a node sent of itself. It returns ErrSuperseded if
// another process has taken the seat of the node.
func (r *Roster) Hear(e Entry, now tick.Instant) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Node.Instance == r.cfg.Self.Instance {
		return nil
	}
	s := r.open(e.Node.Instance)
	if s == nil {
		return nil
	}
	if s.superseded(e.Node.Incarnation) {
		return ErrSuperseded
	}
	if e.State < Starting || e.State > Draining {
		e.State = Starting
	}
	if s.entry.Node.Incarnation != e.Node.Incarnation || !s.met {
		r.replace(s, e, now, now)
		return nil
	}
	s.failures = 0
	if s.entry.State != e.State || s.entry.Address != e.Address {
		r.announce(s)
	}
	s.entry = e
	s.heard = now
	return nil
}

// replace makes the node of e the current one of its seat.
func (r *Roster) replace(s *seat, e Entry, heard, now tick.Instant) {
	if old := s.entry.Node.Incarnation; old != 0 && old != e.Node.Incarnation {
		s.old = append(s.old, old)
		if len(s.old) > maxOld {
			s.old = s.old[1:]
		}
	}
	s.entry = e
	s.met = true
	s.heard = heard
	s.first = now
	s.failures = 0
	r.announce(s)
}

// Merge takes the entries that a peer passed on.
func (r *Roster) Merge(entries []Entry, now tick.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		if e.Node.Incarnation == 0 {
			r.learn(e)
			continue
		}
		if e.Age < 0 || e.State < Starting || e.State > Lost {
			continue
		}
		if e.Node.Instance == r.cfg.Self.Instance {
			continue // the own node answers for itself
		}
		if s := r.open(e.Node.Instance); s != nil {
			r.merge(s, e, now)
		}
	}
}

// learn takes the address of an instance that nobody has heard.
func (r *Roster) learn(e Entry) {
	if e.Node.Instance == r.cfg.Self.Instance || e.Address == "" {
		return
	}
	if s := r.open(e.Node.Instance); s != nil && s.entry.Address == "" {
		s.entry.Address = e.Address
		s.entry.Centre = e.Centre
	}
}

func (r *Roster) merge(s *seat, e Entry, now tick.Instant) {
	heard := now - e.Age
	if s.superseded(e.Node.Incarnation) {
		return
	}
	if !s.met {
		r.replace(s, e, heard, now)
		return
	}
	if s.entry.Node.Incarnation != e.Node.Incarnation {
		r.mergeOther(s, e, heard, now)
		return
	}
	s.entry.Revision = max(s.entry.Revision, e.Revision)
	switch later := heard > s.heard+ageSlack; {
	case e.State == Lost:
		r.mergeLost(s, heard)
	case s.entry.State == Lost && later, later && e.State != s.entry.State:
		s.entry.State = e.State
		s.heard = heard
		r.cleared(s, heard)
		r.announce(s)
	case s.entry.State == Lost && heard < s.heard-ageSlack:
		// The sender has older news and will be told.
		r.announce(s)
	case s.entry.State != Lost && e.State > s.entry.State:
		s.entry.State = e.State
		r.announce(s)
	case later:
		s.heard = heard
		r.cleared(s, heard)
	}
}

// mergeOther takes the entry of a process that is not the current one of the
// seat. What others say counts only if the two lives do not overlap; else the
// nodes themselves will be heard.
func (r *Roster) mergeOther(s *seat, e Entry, heard, now tick.Instant) {
	switch {
	case e.State != Lost && heard > s.heard+ageSlack:
		r.replace(s, e, heard, now)
	case heard < s.first-ageSlack && heard < s.heard-ageSlack:
		s.old = append(s.old, e.Node.Incarnation)
		if len(s.old) > maxOld {
			s.old = s.old[1:]
		}
		r.announce(s)
	}
}

func (r *Roster) mergeLost(s *seat, heard tick.Instant) {
	if s.entry.State == Lost {
		return
	}
	r.announce(s)
	if heard+ageSlack < s.heard {
		return // heard later than the sender: pass that on instead
	}
	s.entry.State = Lost
}

// cleared forgets failures that a later sign of life outdates. A node that
// still cannot be reached stays lost.
func (r *Roster) cleared(s *seat, heard tick.Instant) {
	if s.failures == 0 {
		return
	}
	if heard > s.failed {
		s.failures = 0
		return
	}
	r.lose(s)
}

// Failed takes note that a call to an instance got no answer.
func (r *Roster) Failed(name ident.Instance, now tick.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.seats[name]
	if !ok || s.failures > 0 && now-s.failed < failureGap {
		return
	}
	s.failures++
	s.failed = now
	r.lose(s)
}

func (r *Roster) lose(s *seat) {
	if s.failures < lossFailures || !s.met || s.entry.State == Lost {
		return
	}
	s.entry.State = Lost
	r.announce(s)
}
