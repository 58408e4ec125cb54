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
	if now-st.asked >= n.cfg.HoldTTL {
		return &setback{step: "flow: prefill", server: p.Decode, err: ErrSlotExpired, free: true}
	}
	if !n.ran && n.req.ChargeValid != nil && !n.req.ChargeValid() {
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
	in := PrefillRequest{
		Attempt:  k.attempt,
		Model:    n.req.Model,
		Prompt:   n.req.Prompt,
		TTL:      n.cfg.HoldTTL,
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
			n.res.ComputedTokens += n.req.PromptTokens
			n.res.WastedTokens += n.req.PromptTokens
		}
		return nil, err
	}
	n.res.ComputedTokens += k.Tokens - k.CachedTokens
	n.res.CachedTokens += k.CachedTokens
	k.until = n.cfg.Timer.Now() + k.TTL
	return k, nil
}

// dropKV gives up the KV cache, if there is one.
func (n *run) dropKV() {
	if n.kv == nil {
		return
	}
	if !n.kv.used {
		n.res.WastedTokens += n.kv.Tokens - n.kv.CachedTokens
	}
	n.release(n.kv.hold)
	n.kv = nil
}
