package flow

import (
	"context"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/place"
)

// prefill makes sure that n.kv holds a KV cache. It reuses one from an earlier attempt that has not
// expired, or computes a new one.
func (n *run) prefill(ctx context.Context, p place.Placement, st reservedSlot) *attemptError {
	now := n.cfg.Timer.Now()
	if n.kv != nil && now < n.kv.expires {
		return nil
	}
	n.releaseKV()
	if now-st.requestedAt >= n.cfg.HoldTTL {
		return &attemptError{step: "flow: prefill", server: p.Decode, err: ErrSlotExpired, skipsBudget: true}
	}
	if !n.mayHaveRun && n.req.ChargeValid != nil && !n.req.ChargeValid() {
		err := fail.Refuse(fail.CodeRateLimited, retryAfter, "the charge for the request ran out before it could run")
		return &attemptError{step: "flow: prefill", err: err, permanent: true}
	}
	if n.deadlinePassed() {
		return &attemptError{step: "flow: prefill", err: ErrDeadline, permanent: true}
	}
	if err := n.checkParts(); err != nil {
		return &attemptError{step: "flow: prefill", err: err, skipsBudget: true}
	}
	n.cfg.Placer.ReportProgress(p, place.StagePrefill, n.sent)
	k, err := n.runPrefill(ctx, p)
	if err != nil {
		n.avoid = append(n.avoid, p.Prefill)
		return &attemptError{step: "flow: prefill", server: p.Prefill, err: err, skipsBudget: notRun(err)}
	}
	n.kv = k
	return nil
}

// deadlinePassed reports whether the deadline has passed. After a pause of the process, this can be
// true before the context is done.
func (n *run) deadlinePassed() bool {
	return n.req.Deadline != 0 && n.cfg.Timer.Now() >= n.req.Deadline
}

// runPrefill computes a KV cache. If the response to the call is lost, it repeats the call once with
// the same attempt ID. The second call joins the prefill if it is still running.
func (n *run) runPrefill(ctx context.Context, p place.Placement) (*exportedKV, error) {
	k := &exportedKV{hold: n.newHold(p.Prefill)}
	in := PrefillRequest{
		Attempt:  k.attempt,
		Model:    n.req.Model,
		Prompt:   n.req.Prompt,
		TTL:      n.cfg.HoldTTL,
		Priority: n.req.Priority,
		Decode:   p.Decode,
	}
	started := false
	var err error
	for range 2 {
		k.KV, err = n.cfg.Engines.Prefill(ctx, p.Prefill, in)
		started = started || !notRun(err)
		if !canRepeat(err) || ctx.Err() != nil {
			break
		}
	}
	n.mayHaveRun = n.mayHaveRun || started
	if started {
		n.res.Prefills++
	}
	if err != nil {
		n.release(k.hold)
		if started {
			n.res.ComputedTokens += n.req.PromptTokens
			n.res.WastedTokens += n.req.PromptTokens
		}
		return nil, err
	}
	n.res.ComputedTokens += k.Tokens - k.CachedTokens
	n.res.CachedTokens += k.CachedTokens
	k.expires = n.cfg.Timer.Now() + k.TTL
	return k, nil
}

// releaseKV releases the KV cache, if there is one.
func (n *run) releaseKV() {
	if n.kv == nil {
		return
	}
	if !n.kv.used {
		n.res.WastedTokens += n.kv.Tokens - n.kv.CachedTokens
	}
	n.release(n.kv.hold)
	n.kv = nil
}
