package pool

import (
	"strconv"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

const (
	// noServerRetry is the time after which to come back to a pool in which
	// no server may be used.
	noServerRetry = time.Second
	// minRetry is the shortest time that a refused caller is told to stay away.
	minRetry = 50 * time.Millisecond
)

// DefaultClass is the class of requests in a pool without classes.
var DefaultClass = Class{
	Name:             "interactive",
	FirstTokenTarget: 1200 * time.Millisecond,
	GapTarget:        77 * time.Millisecond,
}

// Reason says why a request was refused.
type Reason uint8

// The reasons of a refusal.
const (
	ReasonNone          Reason = iota
	ReasonTargetMissed         // the first token would come after its target
	ReasonPromptTooLong        // the prompt is too long for the first-token target
	ReasonQueueFull            // the customer's queue is too long for the target
	ReasonNoServer             // no server may be used
	ReasonRetryBudget          // too many requests are being placed again
)

// String returns the sentence for the caller.
func (r Reason) String() string {
	switch r {
	case ReasonTargetMissed:
		return "the first token would come after its target"
	case ReasonPromptTooLong:
		return "the prompt is too long for the first-token target of its class"
	case ReasonQueueFull:
		return "the queue is too long to meet the first-token target"
	case ReasonRetryBudget:
		return "too many requests are being placed again"
	case ReasonNoServer:
		return "no backend server may be used"
	default:
		return ""
	}
}

// Decision is the record of a placement or refusal.
type Decision struct {
	Ticket         Ticket
	Owner          ident.Instance
	Request        ident.Request
	Customer       ident.Customer
	Model          ident.Model
	Class          ident.Class
	PromptTokens   int64
	OutputEstimate int64         // estimated output tokens
	Waited         time.Duration // in the scheduler's queue
	Placement      place.Placement
	Choice         place.Choice
	Reason         Reason        // ReasonNone if placed
	Code           fail.Code     // empty if placed
	RetryAfter     time.Duration // if refused
	Queued         int           // requests in the scheduler's queue
	Backlog        int64         // their cost
	Rate           float64       // cost served per second
}

// Placed reports whether the request was placed.
func (d *Decision) Placed() bool { return d.Reason == ReasonNone }

// Refusal returns the refusal of a request that was not placed.
func (d *Decision) Refusal() *fail.Refusal {
	return fail.Refuse(d.Code, d.RetryAfter, d.Reason.String())
}

// place records a placement and reserves what it needs.
func (s *Scheduler) place(w *waiter, c *place.Choice, now tick.Instant) {
	l := &live{
		owner:    w.owner,
		customer: w.ask.Customer,
		hold:     s.pool.Reserve(&w.query, c, now),
		charged:  w.output,
	}
	held := w.query.KVSource != ""
	if held {
		l.stage = place.StageTransfer
	}
	d := s.record(w, now)
	d.Choice = *c
	d.Placement = place.Placement{
		ID:            s.placementID(),
		Scheduler:     s.cfg.Instance,
		Prefill:       c.Prefill,
		Decode:        c.Decode,
		TransferTime:  c.TransferTime,
		CachedTokens:  c.CachedTokens,
		RunnerUp:      c.RunnerUp,
		Score:         c.Score,
		RunnerUpScore: c.RunnerUpScore,
		Revision:      s.pool.Spec().Revision,
		ReusesKV:      held,
	}
	s.live[d.Placement.ID] = l
	s.entry(w.owner, now).live[d.Placement.ID] = l
	s.forget(w)
}

func (s *Scheduler) refuse(w *waiter, code fail.Code, retry time.Duration, r Reason, now tick.Instant) {
	d := s.record(w, now)
	d.Code = code
	d.Reason = r
	d.RetryAfter = retry
	s.forget(w)
}

// record appends a decision about w.
func (s *Scheduler) record(w *waiter, now tick.Instant) *Decision {
	s.decided = append(s.decided, Decision{
		Ticket:         w.ticket,
		Owner:          w.owner,
		Request:        w.ask.RequestID,
		Customer:       w.ask.Customer,
		Model:          w.ask.Model,
		Class:          w.class.Name,
		PromptTokens:   w.ask.PromptTokens,
		OutputEstimate: w.output,
		Waited:         now - w.since,
		Queued:         s.queue.Len(),
		Backlog:        s.queue.Backlog(),
		Rate:           s.queue.Rate(),
	})
	return &s.decided[len(s.decided)-1]
}

func (s *Scheduler) forget(w *waiter) {
	delete(s.waiting, w.ticket)
	s.recycle(w)
}

// placementID returns a new name "instance.incarnation.serial".
func (s *Scheduler) placementID() string {
	s.serial++
	var buf [96]byte
	b := append(buf[:0], s.idPrefix...)
	return string(strconv.AppendUint(b, s.serial, 10))
}

func placementPrefix(cfg Config) []byte {
	n := ident.Node{Instance: cfg.Instance, Incarnation: cfg.Incarnation}
	return []byte(n.String() + ".")
}
