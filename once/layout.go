package once

import (
	"slices"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/tick"
)

// maxLayouts is the maximum number of earlier layouts that are kept.
const maxLayouts = 16

// layout is the part of the table that determines the homes of calls.
type layout struct {
	seats []intent.Member
	homes map[ident.Route]home
	until tick.Instant // when the next layout was observed
}

// home is the part of a route that determines the homes of its calls.
type home struct {
	centre ident.Centre
	keep   time.Duration
}

// observe records a change of the layout. If there were too many changes, the
// journal counts as complete from now on only.
func (s *Service) observe(v View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen && v.Revision() == s.revision {
		return
	}
	next := newLayout(v)
	if s.seen && !s.current.same(next) {
		now := s.cfg.Clock.Now()
		s.lapse(s.current.seats, next.seats)
		s.current.until = now
		s.earlier = append(s.earlier, s.current)
		if len(s.earlier) > maxLayouts {
			s.earlier = nil
			s.since = now
		}
	}
	s.seen, s.revision, s.current = true, v.Revision(), next
}

// lapse invalidates the replicas of the seats of which this process was not a
// backup all the time: their calls may have been copied to other backups only.
func (s *Service) lapse(was, next []intent.Member) {
	self := s.cfg.Self.Instance
	for _, owner := range s.copies.Owners() {
		if !slices.Contains(intent.Backups(was, owner), self) || !slices.Contains(intent.Backups(next, owner), self) {
			s.copies.Invalidate(owner)
		}
	}
}

func newLayout(v View) layout {
	l := layout{seats: v.Seats(), homes: make(map[ident.Route]home)}
	for _, r := range v.Routes() {
		l.homes[r.Name] = home{centre: r.Centre, keep: r.keep()}
	}
	return l
}

func (l layout) same(o layout) bool {
	if len(l.seats) != len(o.seats) || len(l.homes) != len(o.homes) {
		return false
	}
	for i := range l.seats {
		if l.seats[i] != o.seats[i] {
			return false
		}
	}
	for r, h := range l.homes {
		if other, ok := o.homes[r]; !ok || other != h {
			return false
		}
	}
	return true
}

// known returns an error unless this process's journal would hold every call
// with the identifier whose key is still remembered. The caller holds mu.
func (s *Service) known(now tick.Instant, r Route, id intent.ID) error {
	if !s.joined {
		return unknown(r, retryHome, "the call's home has not read its journal yet")
	}
	if wait := s.since + r.hold() - now; wait > 0 {
		return unknown(r, wait, "the call's home has lost its journal and can't tell whether the key is fresh")
	}
	if wait := s.moved(now, r, id); wait > 0 {
		return unknown(r, wait, "the call's home has changed and can't tell whether the key is fresh")
	}
	return nil
}

// moved returns for how much longer a call with the identifier may be missing
// here, because its home was another seat or because its key was remembered for
// a shorter time. The caller holds mu.
func (s *Service) moved(now tick.Instant, r Route, id intent.ID) time.Duration {
	var wait time.Duration
	for _, l := range s.earlier {
		was, ok := l.homes[r.Name]
		if !ok {
			continue
		}
		seat, ok := intent.Home(l.seats, was.centre, id)
		if ok && (seat != s.cfg.Self.Instance || was.keep < r.keep()) {
			wait = max(wait, l.until+r.hold()+settleTime-now)
		}
	}
	return wait
}
