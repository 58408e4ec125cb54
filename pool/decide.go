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
	// noServerRetryAfter is the Retry-After of requests that are rejected because no server is
	// usable.
	noServerRetryAfter = time.Second
	// minRetryAfter is the shortest Retry-After computed from the length of the queue.
	minRetryAfter = 50 * time.Millisecond
)

// DefaultClass is the class of requests in a pool for which no classes are configured.
var DefaultClass = Class{
	Name:             "interactive",
	FirstTokenTarget: 1200 * time.Millisecond,
	GapTarget:        77 * time.Millisecond,
}

// Reason is the reason for rejecting a request.
type Reason uint8

// Reasons for rejecting a request.
const (
	ReasonNone          Reason = iota
	ReasonTargetMissed         // the first token would be later than the target
	ReasonPromptTooLong        // the prompt alone takes longer than the first-token target
	ReasonQueueFull            // the customer's queue is too long to meet the target
	ReasonNoServer             // no server is usable
	ReasonRetryBudget          // the retry budget is exhausted
)

// String returns the sentence for the caller. It is empty for ReasonNone.
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

// Decision records that a request was placed or rejected.
type Decision struct {
	Ticket         Ticket
	Owner          ident.Instance // instance that received the request
	Request        ident.Request
	Customer       ident.Customer
	Model          ident.Model
	Class          ident.Class
	PromptTokens   int64
	OutputEstimate int64         // estimated output tokens
	Waited         time.Duration // time in the scheduler's queue
	Placement      place.Placement
	Choice         place.Choice
	Reason         Reason        // ReasonNone if placed
	Code           fail.Code     // empty if placed
	RetryAfter     time.Duration // time after which a rejected request may be sent again; fail.NoRetry if a retry is useless
	Queued         int           // number of requests in the scheduler's queue
	Backlog        int64         // cost of the queued requests
	Rate           float64       // cost that the pool serves per second
}

// Placed reports whether the request was placed.
func (d *Decision) Placed() bool { return d.Reason == ReasonNone }

// Refusal returns the error for the caller of a request that was not placed.
func (d *Decision) Refusal() *fail.Refusal {
	return fail.Refuse(d.Code, d.RetryAfter, d.Reason.String())
}

// place reserves capacity for a request on the chosen servers and records the decision.
func (s *Scheduler) place(w *waiter, c *place.Choice, now tick.Instant) {
	l := &livePlacement{
		owner:         w.owner,
		customer:      w.req.Customer,
		reservation:   s.pool.Reserve(&w.query, c, now),
		chargedTokens: w.outputEstimate,
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
	s.owner(w.owner, now).live[d.Placement.ID] = l
	s.removeWaiter(w)
}

func (s *Scheduler) reject(w *waiter, code fail.Code, retry time.Duration, r Reason, now tick.Instant) {
	d := s.record(w, now)
	d.Code = code
	d.Reason = r
	d.RetryAfter = retry
	s.removeWaiter(w)
}

// record appends a new decision about w and returns it. The caller fills in the outcome.
func (s *Scheduler) record(w *waiter, now tick.Instant) *Decision {
	s.decisions = append(s.decisions, Decision{
		Ticket:         w.ticket,
		Owner:          w.owner,
		Request:        w.req.RequestID,
		Customer:       w.req.Customer,
		Model:          w.req.Model,
		Class:          w.class.Name,
		PromptTokens:   w.req.PromptTokens,
		OutputEstimate: w.outputEstimate,
		Waited:         now - w.queuedAt,
		Queued:         s.queue.Len(),
		Backlog:        s.queue.Backlog(),
		Rate:           s.queue.Rate(),
	})
	return &s.decisions[len(s.decisions)-1]
}

func (s *Scheduler) removeWaiter(w *waiter) {
	delete(s.waiting, w.ticket)
	s.recycle(w)
}

// placementID returns a new placement ID of the form "instance.incarnation.serial".
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
