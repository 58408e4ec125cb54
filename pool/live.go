package pool

import (
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

// ownerTimeout is the time after which the placements of an owner that sends nothing are released.
const ownerTimeout = 5 * time.Second

// responseTimeout is the time after which an owner that does not report a placement cannot have
// received it.
const responseTimeout = 500 * time.Millisecond

// livePlacement is a placement that has not ended.
type livePlacement struct {
	owner         ident.Instance
	customer      ident.Customer
	reservation   place.Reservation
	stage         place.Stage
	chargedTokens int64 // output tokens charged to the customer in the queue
	confirmed     bool  // the owner has reported the placement
	missing       bool  // a checksum or full report of the owner did not include the placement
	missingSince  tick.Instant
}

// ownerState holds the live placements of an owner: the instance that received their requests.
type ownerState struct {
	lastSeen    tick.Instant
	incarnation uint64 // 0 until it is known
	mismatches  int    // consecutive checksums that did not match
	live        map[string]*livePlacement
}

// Progress is the state of a placement as its owner reports it. The fields after the first three let
// a scheduler restore a placement that it did not make.
type Progress struct {
	ID           string
	Stage        place.Stage
	OutputTokens int64 // output tokens generated so far
	Prefill      ident.Server
	Decode       ident.Server
	Customer     ident.Customer
	PromptTokens int64
}

// LivePlacements returns the number of placements that have not ended.
func (s *Scheduler) LivePlacements() int { return len(s.live) }

// RecordProgress updates a placement of the owner. It restores a placement that the scheduler does
// not have and releases one that has ended. It ignores a stage that is older than the recorded one.
func (s *Scheduler) RecordProgress(owner ident.Instance, p *Progress, now tick.Instant) {
	e := s.owner(owner, now)
	l, ok := s.live[p.ID]
	if !ok {
		if !p.Stage.Ended() {
			s.restore(e, owner, p, now)
		}
		return
	}
	l.confirmed = true
	if p.Stage < l.stage && !p.Stage.Ended() {
		return
	}
	s.applyStage(l, p, now)
	if p.Stage.Ended() {
		s.release(p.ID, l, now)
	}
}

// Reconcile replaces the placements of an owner by all, its full report. It releases placements
// that are missing from the report, except those whose response may still be in transit to the
// owner. If the owner has restarted (another incarnation), the placements of its former incarnation
// are released first.
func (s *Scheduler) Reconcile(owner ident.Instance, incarnation uint64, all []Progress, now tick.Instant) {
	e := s.owner(owner, now)
	if e.incarnation != incarnation && e.incarnation != 0 {
		s.releaseAll(e, now)
	}
	e.incarnation = incarnation
	e.mismatches = 0
	reported := make(map[string]bool, len(all))
	for i := range all {
		reported[all[i].ID] = true
		s.RecordProgress(owner, &all[i], now)
	}
	for id, l := range e.live {
		switch {
		case reported[id]:
		case l.confirmed || l.responseLost(now):
			s.release(id, l, now)
		}
	}
}

// Expire releases the placements of owners that have sent nothing for ownerTimeout.
func (s *Scheduler) Expire(now tick.Instant) {
	for name, e := range s.owners {
		if now-e.lastSeen > ownerTimeout {
			s.releaseAll(e, now)
			delete(s.owners, name)
		}
	}
}

func (s *Scheduler) releaseAll(e *ownerState, now tick.Instant) {
	for id, l := range e.live {
		s.release(id, l, now)
	}
}

func (s *Scheduler) owner(name ident.Instance, now tick.Instant) *ownerState {
	e, ok := s.owners[name]
	if !ok {
		e = &ownerState{live: make(map[string]*livePlacement)}
		s.owners[name] = e
	}
	e.lastSeen = now
	return e
}

// restore reserves capacity for a placement that another scheduler has made.
func (s *Scheduler) restore(e *ownerState, owner ident.Instance, p *Progress, now tick.Instant) {
	l := &livePlacement{
		owner:         owner,
		customer:      p.Customer,
		reservation:   place.Reservation{Prefill: p.Prefill, Decode: p.Decode},
		stage:         p.Stage,
		chargedTokens: p.OutputTokens,
		confirmed:     true,
	}
	if p.Stage <= place.StagePrefill {
		l.reservation.PendingTokens = p.PromptTokens
	}
	s.pool.Restore(l.reservation, now)
	s.live[p.ID] = l
	e.live[p.ID] = l
}

// applyStage updates the reservation, the health of the servers and the charge of the customer for
// the stage that the placement has reached.
func (s *Scheduler) applyStage(l *livePlacement, p *Progress, now tick.Instant) {
	switch p.Stage {
	case place.StageTransfer:
		if l.stage < place.StageTransfer {
			s.pool.RecordSuccess(l.reservation.Prefill)
		}
		s.pool.PrefillDone(&l.reservation, now)
	case place.StageDecode:
		s.pool.PrefillDone(&l.reservation, now)
		if l.stage < place.StageDecode {
			s.pool.RecordSuccess(l.reservation.Prefill)
			s.pool.RecordSuccess(l.reservation.Decode)
		}
	case place.StageDone:
		if p.OutputTokens > 0 {
			s.outputEstimator.Record(l.customer, p.OutputTokens)
		}
	case place.StageFailedPrefill:
		s.pool.RecordFailure(l.reservation.Prefill, now)
	case place.StageFailedTransfer:
		s.pool.RecordFailure(l.reservation.Prefill, now)
		s.pool.RecordFailure(l.reservation.Decode, now)
	case place.StageFailedDecode:
		s.pool.RecordFailure(l.reservation.Decode, now)
	}
	l.stage = p.Stage
	if p.OutputTokens > l.chargedTokens {
		s.adjustCharge(l, p.OutputTokens)
	}
	if p.Stage.Ended() {
		s.adjustCharge(l, p.OutputTokens)
	}
}

// adjustCharge sets the number of output tokens for which the customer is charged. It replaces the
// estimate charged so far.
func (s *Scheduler) adjustCharge(l *livePlacement, output int64) {
	s.queue.AdjustCost(l.customer, s.queue.Cost(0, output-l.chargedTokens))
	l.chargedTokens = output
}

// release releases the reservation of a placement and removes the placement.
func (s *Scheduler) release(id string, l *livePlacement, now tick.Instant) {
	s.pool.Release(&l.reservation, now)
	delete(s.live, id)
	if e, ok := s.owners[l.owner]; ok {
		delete(e.live, id)
	}
}
