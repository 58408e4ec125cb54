package app

import (
	"context"
	"sync"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/front"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/metric"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/quota"
)

// limiter lets package front admit requests.
type limiter struct{ s *quota.Service }

// Admit charges tokens to a customer.
func (l limiter) Admit(ctx context.Context, r ident.Request, c ident.Customer, tokens int64) (settle func(used int64), fresh func() bool, err error) {
	a := &admission{s: l.s, request: r, customer: c, tokens: tokens}
	a.charge, err = l.s.Admit(ctx, r, c, tokens)
	if err != nil {
		return nil, nil, err
	}
	return a.settle, func() bool { return a.fresh(ctx) }, nil
}

// admission is the charge of one request. A charge lives for a moment only and
// a request may wait longer for its servers: then the charge is given back and
// another one is taken right before the request runs.
type admission struct {
	s        *quota.Service
	request  ident.Request
	customer ident.Customer
	tokens   int64

	mu     sync.Mutex // guards charge
	charge *quota.Charge
}

// fresh reports whether the charge may still be used, if need be after it was
// taken anew.
func (a *admission) fresh(ctx context.Context) bool {
	a.mu.Lock()
	old := a.charge
	a.mu.Unlock()
	if old.Valid() {
		return true
	}
	old.Settle(0)
	ch, err := a.s.Admit(ctx, a.request, a.customer, a.tokens)
	if err != nil {
		return false
	}
	a.mu.Lock()
	a.charge = ch
	a.mu.Unlock()
	return ch.Valid()
}

func (a *admission) settle(used int64) {
	a.mu.Lock()
	ch := a.charge
	a.mu.Unlock()
	ch.Settle(used)
}

// toll pays for traffic between regions from the bucket of the link.
type toll struct{ s *quota.Service }

// Spend takes bytes from the allowance of the link.
func (t toll) Spend(ctx context.Context, from, to ident.Region, bytes int64) bool {
	ch, err := t.s.Admit(ctx, "", limit.LinkCustomer(from, to), bytes)
	if err != nil {
		return false
	}
	ch.Settle(bytes)
	return true
}

// generator lets package front run requests to models.
type generator struct {
	tables *tables
	runner *flow.Runner
}

// Run carries a request through its life.
func (g generator) Run(ctx context.Context, r front.Generation, s front.Sink) (front.Result, error) {
	req := flow.Request{
		ID:               r.Request,
		Customer:         r.Customer,
		Model:            r.Model,
		Class:            r.Class.Name,
		Prompt:           r.Prompt,
		PromptTokens:     r.PromptTokens,
		MaxOutput:        r.MaxOutput,
		Seed:             r.Seed,
		Exact:            r.Exact,
		FirstTokenTarget: r.Class.FirstTokenTarget,
		GapTarget:        r.Class.GapTarget,
		Arrived:          r.Arrived,
		Deadline:         r.Deadline,
		ChargeValid:      r.ChargeValid,
	}
	if t := g.tables.table(); t != nil {
		if m, ok := t.Model(r.Model); ok {
			req.BlockHashes = place.BlockHashes(r.Prompt, int(m.PieceTokens))
		}
		if c, ok := t.Class(r.Class.Name); ok {
			req.Priority = lowestPriority - c.Priority
		}
	}
	res, err := g.runner.Run(ctx, req, s)
	return front.Result{
		OutputTokens:   res.OutputTokens,
		Reason:         res.Reason,
		FirstToken:     res.FirstToken,
		MaxGap:         res.MaxGap,
		OnTime:         res.OnTime,
		WastedTokens:   res.WastedTokens,
		ComputedTokens: res.ComputedTokens,
		CachedTokens:   res.CachedTokens,
		Attempts:       res.Attempts,
		Prefills:       res.Prefills,
		Transfers:      res.Transfers,
		Resumes:        res.Resumes,
		Restarts:       res.Restarts,
		StrayEvents:    res.Dropped.Duplicate + res.Dropped.Stale + res.Dropped.Foreign,
		Prefill:        res.Prefill,
		Decode:         res.Decode,
	}, err
}

// lowestPriority turns the table's priorities, of which the larger goes first,
// into the engines', of which the smaller does.
const lowestPriority = 100

// measures lets package front tell the meter.
type measures struct{ m *metric.Meter }

// Ended counts a request that was admitted and has ended.
func (x measures) RecordEnded(e front.RequestStats) {
	x.m.RecordEnded(metric.Sample{
		Customer:       e.Customer,
		Model:          e.Model,
		Outcome:        e.Outcome,
		Good:           e.Result.OnTime,
		Abandoned:      e.Abandoned,
		FirstToken:     e.Result.FirstToken,
		MaxGap:         e.Result.MaxGap,
		PromptTokens:   e.PromptTokens,
		OutputTokens:   e.Result.OutputTokens,
		WastedTokens:   e.Result.WastedTokens,
		ComputedTokens: e.Result.ComputedTokens,
		CachedTokens:   e.Result.CachedTokens,
		Prefills:       e.Result.Prefills,
		Transfers:      e.Result.Transfers,
		Resumes:        e.Result.Resumes,
		Restarts:       e.Result.Restarts,
		StrayEvents:    e.Result.StrayEvents,
	})
}

// Refused counts a refusal.
func (x measures) RecordRejection(c ident.Customer, code fail.Code, within bool) {
	x.m.RecordRejection(c, code, within)
}

// pause is the longest wait between two looks at what has no subscription.
const pause = 250 * time.Millisecond
