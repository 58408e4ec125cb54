package flow

import (
	"context"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/place"
)

// prefill sees that a KV cache is there: one of an earlier try that still
// lives, or a new one.
func (n *run) prefill(ctx context.Context, p place.Placement, st seat) *setback {
	now := n.cfg.Timer.Now()
	if n.kv != nil && now < n.kv.until {
		return nil
	}
	n.dropKV()
	if now-st.asked >= n.cfg.Hold {
		return &setback{step: "flow: prefill", server: p.Decode, err: ErrStale, free: true}
	}
	if !n.ran && n.req.FreshCharge != nil && !n.req.FreshCharge() {
		err := fail.Refuse(fail.CodeRateLimited, retryAfter, "the charge for the request ran out before it could run")
		return &setback{step: "flow: prefill", err: err, final: true}
	}
	if n.overdue() {
		return &setback{step: "flow: prefill", err: ErrDeadline, final: true}
	}
	n.cfg.Placer.ReportProgress(p, place.StagePrefill, n.sent)
	k, err := n.compute(ctx, p)
	if err != nil {
		n.avoid = append(n.avoid, p.Prefill)
		return &setback{step: "flow: prefill", server: p.Prefill, err: err, free: refusedBy(err)}
	}
	n.kv = k
	return nil
}

// overdue reports whether the deadline has passed. A process that wakes from a
// pause may see that here before its context has ended.
func (n *run) overdue() bool {
	return n.req.Deadline != 0 && n.cfg.Timer.Now() >= n.req.Deadline
}

// compute runs a prefill. A call whose answer is lost is repeated once, with
// the same attempt, which joins the prefill if it runs.
func (n *run) compute(ctx context.Context, p place.Placement) (*kv, error) {
	k := &kv{hold: n.take(p.Prefill)}
	in := Prefill{
		Attempt:  k.attempt,
		Model:    n.req.Model,
		Prompt:   n.req.Prompt,
		Hold:     n.cfg.Hold,
		Priority: n.req.Priority,
		Decode:   p.Decode,
	}
	began := false
	var err error
	for range 2 {
		k.KV, err = n.cfg.Engines.Prefill(ctx, p.Prefill, in)
		began = began || !refusedBy(err)
		if !mayJoin(err) || ctx.Err() != nil {
			break
		}
	}
	n.ran = n.ran || began
	if began {
		n.res.Prefills++
	}
	if err != nil {
		n.release(k.hold)
		if began {
			n.res.Computed += n.req.PromptTokens
			n.res.Wasted += n.req.PromptTokens
		}
		return nil, err
	}
	n.res.Computed += k.Tokens - k.Cached
	n.res.Cached += k.Cached
	k.until = n.cfg.Timer.Now() + k.Life
	return k, nil
}

// dropKV gives up the KV cache, if there is one.
func (n *run) dropKV() {
	if n.kv == nil {
		return
	}
	if !n.kv.used {
		n.res.Wasted += n.kv.Tokens - n.kv.Cached
	}
	n.release(n.kv.hold)
	n.kv = nil
}
