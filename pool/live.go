package pool

import (
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

// entryLife is the time after which the placements of a silent entry instance
// are dropped.
const entryLife = 5 * time.Second

// answerLife is the time after which an entry instance that does not name a
// placement has not received it.
const answerLife = 500 * time.Millisecond

// live is a placement that has not ended.
type live struct {
	owner    ident.Instance
	customer ident.Customer
	hold     place.Reservation
	stage    place.Stage
	charged  int64 // output tokens that the customer's account holds
	named    bool  // the entry instance has named the placement
	missed   bool  // a heartbeat has not named it
	missedAt tick.Instant
}

// entry is an entry instance and its live placements.
type entry struct {
	heard       tick.Instant
	incarnation uint64
	differs     int // beats in a row whose sum was another one
	live        map[string]*live
}

// Progress tells how far a placement has come. Beside the first three fields
// it carries what a scheduler needs that has not seen the placement.
type Progress struct {
	ID           string
	Stage        place.Stage
	OutputTokens int64 // tokens so far
	Prefill      ident.Server
	Decode       ident.Server
	Customer     ident.Customer
	PromptTokens int64
}

// LivePlacements returns the number of live placements.
func (s *Scheduler) LivePlacements() int { return len(s.live) }

// RecordProgress takes in how far a placement has come.
func (s *Scheduler) RecordProgress(owner ident.Instance, p *Progress, now tick.Instant) {
	e := s.entry(owner, now)
	l, ok := s.live[p.ID]
	if !ok {
		if !p.Stage.Ended() {
			s.adopt(e, owner, p, now)
		}
		return
	}
	l.named = true
	if p.Stage < l.stage && !p.Stage.Ended() {
		return
	}
	s.advance(l, p, now)
	if p.Stage.Ended() {
		s.end(p.ID, l, now)
	}
}

// Reconcile takes in all live placements of an entry instance. Those that it
// does not name have ended, except for placements that may still be on their
// way to it.
func (s *Scheduler) Reconcile(owner ident.Instance, incarnation uint64, all []Progress, now tick.Instant) {
	e := s.entry(owner, now)
	if e.incarnation != incarnation && e.incarnation != 0 {
		s.dropAll(e, now)
	}
	e.incarnation = incarnation
	e.differs = 0
	named := make(map[string]bool, len(all))
	for i := range all {
		named[all[i].ID] = true
		s.RecordProgress(owner, &all[i], now)
	}
	for id, l := range e.live {
		switch {
		case named[id]:
		case l.named || l.miss(now):
			s.end(id, l, now)
		}
	}
}

// Expire drops the placements of entry instances that have been silent.
func (s *Scheduler) Expire(now tick.Instant) {
	for name, e := range s.entries {
		if now-e.heard > entryLife {
			s.dropAll(e, now)
			delete(s.entries, name)
		}
	}
}

func (s *Scheduler) dropAll(e *entry, now tick.Instant) {
	for id, l := range e.live {
		s.end(id, l, now)
	}
}

func (s *Scheduler) entry(name ident.Instance, now tick.Instant) *entry {
	e, ok := s.entries[name]
	if !ok {
		e = &entry{live: make(map[string]*live)}
		s.entries[name] = e
	}
	e.heard = now
	return e
}

// adopt books a placement that another scheduler has made.
func (s *Scheduler) adopt(e *entry, owner ident.Instance, p *Progress, now tick.Instant) {
	l := &live{
		owner:    owner,
		customer: p.Customer,
		hold:     place.Reservation{Prefill: p.Prefill, Decode: p.Decode},
		stage:    p.Stage,
		charged:  p.OutputTokens,
		named:    true,
	}
	if p.Stage <= place.StagePrefill {
		l.hold.PendingTokens = p.PromptTokens
	}
	s.pool.Restore(l.hold, now)
	s.live[p.ID] = l
	e.live[p.ID] = l
}

// advance applies what a stage says of the servers and of the cost.
func (s *Scheduler) advance(l *live, p *Progress, now tick.Instant) {
	switch p.Stage {
	case place.StageTransfer:
		if l.stage < place.StageTransfer {
			s.pool.RecordSuccess(l.hold.Prefill)
		}
		s.pool.PrefillDone(&l.hold, now)
	case place.StageDecode:
		s.pool.PrefillDone(&l.hold, now)
		if l.stage < place.StageDecode {
			s.pool.RecordSuccess(l.hold.Prefill)
			s.pool.RecordSuccess(l.hold.Decode)
		}
	case place.StageDone:
		if p.OutputTokens > 0 {
			s.output.Record(l.customer, p.OutputTokens)
		}
	case place.StageFailedPrefill:
		s.pool.RecordFailure(l.hold.Prefill, now)
	case place.StageFailedTransfer:
		s.pool.RecordFailure(l.hold.Prefill, now)
		s.pool.RecordFailure(l.hold.Decode, now)
	case place.StageFailedDecode:
		s.pool.RecordFailure(l.hold.Decode, now)
	}
	l.stage = p.Stage
	if p.OutputTokens > l.charged {
		s.charge(l, p.OutputTokens)
	}
	if p.Stage.Ended() {
		s.charge(l, p.OutputTokens)
	}
}

// charge makes the customer's account hold the given number of output tokens.
func (s *Scheduler) charge(l *live, output int64) {
	s.queue.AdjustCost(l.customer, s.queue.Cost(0, output-l.charged))
	l.charged = output
}

func (s *Scheduler) end(id string, l *live, now tick.Instant) {
	s.pool.Release(&l.hold, now)
	delete(s.live, id)
	if e, ok := s.entries[l.owner]; ok {
		delete(e.live, id)
	}
}
