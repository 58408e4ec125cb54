package flow

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

// run is the state of one request. It is used only by the goroutine of Run.
type run struct {
	*Runner
	req  Request
	sink Sink
	res  Result

	avoid            []ident.Server // excluded from further placements
	holds            []hold         // holds that are not yet released
	releasedAttempts map[ident.Attempt]bool
	mayHaveRun       bool // an engine may have done work for the request
	parts            []crash.Part
	grant            crash.Grant // admission of the request, if blocks of its prompt are suspect
	kv               *exportedKV

	sent       int64          // tokens sent to the sink
	sum        *xxhash.Digest // checksum of the tokens sent
	sentBuild  string         // build of the engine whose output was sent
	lastSentAt tick.Instant
}

// hold identifies the resources that an engine may have allocated to an attempt.
type hold struct {
	server  ident.Server
	attempt ident.Attempt
}

// exportedKV is a KV cache that a prefill engine exports for the request.
type exportedKV struct {
	KV
	hold
	expires      tick.Instant // instant at which the engine is expected to drop the cache
	used         bool         // a token generated from this cache was sent to the sink
	importFailed bool         // imports by one decode engine have failed
}

// reservedSlot is a slot reserved at a decode engine.
type reservedSlot struct {
	Slot
	hold
	requestedAt tick.Instant
}

func newRun(r *Runner, req Request, sink Sink) *run {
	return &run{
		Runner:           r,
		req:              req,
		sink:             sink,
		releasedAttempts: make(map[ident.Attempt]bool),
		sum:              xxhash.New(),
		parts:            promptParts(req),
	}
}

// runAttempts tries placements until one completes or no retry is allowed.
func (n *run) runAttempts(ctx context.Context) error {
	for {
		n.res.Attempts++
		aerr := n.tryPlacement(ctx)
		if aerr == nil {
			return nil
		}
		if err := context.Cause(ctx); err != nil {
			return n.requestError(aerr.step, aerr.server, err)
		}
		if aerr.permanent || n.res.Attempts >= n.cfg.MaxAttempts || (!aerr.skipsBudget && !n.cfg.RetryBudget.Allow()) {
			return n.abandon(aerr.step, aerr.server, aerr.err)
		}
	}
}

// requestError returns the error that ends the request, with its outcome.
func (n *run) requestError(step string, s ident.Server, err error) error {
	o := ident.NotRun
	if n.mayHaveRun {
		o = ident.Unknown
	}
	return fail.New(step, string(s), o, err)
}

// abandon returns the error of a request that is not retried. If tokens were sent, the error is
// ErrTruncated, unless the caller has disconnected.
func (n *run) abandon(step string, s ident.Server, err error) error {
	if n.sent > 0 && !errors.Is(err, ErrCallerGone) && !errors.Is(err, ErrTruncated) {
		err = errors.Wrap(ErrTruncated, err.Error())
	}
	return n.requestError(step, s, err)
}

// tryPlacement runs the request on one placement.
func (n *run) tryPlacement(ctx context.Context) *attemptError {
	if aerr := n.admit(ctx); aerr != nil {
		return aerr
	}
	p, aerr := n.place(ctx)
	if aerr != nil {
		return aerr
	}
	st, aerr := n.reserve(ctx, p)
	if aerr != nil {
		n.reportFailure(ctx, p, place.StageFailedDecode, aerr)
		return aerr
	}
	defer n.release(st.hold)
	if aerr := n.prefill(ctx, p, st); aerr != nil {
		n.reportFailure(ctx, p, place.StageFailedPrefill, aerr)
		return aerr
	}
	if aerr := n.transfer(ctx, p, st); aerr != nil {
		n.reportFailure(ctx, p, place.StageFailedTransfer, aerr)
		return aerr
	}
	if aerr := n.streamOutput(ctx, p, st); aerr != nil {
		n.reportFailure(ctx, p, place.StageFailedDecode, aerr)
		return aerr
	}
	n.cfg.Placer.ReportProgress(p, place.StageDone, n.sent)
	return nil
}

// reportFailure reports the end of a failed placement. It reports no engine failure if the engine
// was full or if the caller or the router caused the failure.
func (n *run) reportFailure(ctx context.Context, p place.Placement, s place.Stage, aerr *attemptError) {
	if ctx.Err() != nil || aerr.server == "" || errors.Is(aerr.err, ErrCallerGone) || errors.Is(aerr.err, ErrSlotExpired) || errors.Is(aerr.err, ErrFull) {
		s = place.StageDone
	}
	n.cfg.Placer.ReportProgress(p, s, n.sent)
}

// place requests a placement without the servers that failed the request. If no other is left, those may be used again: a
// failure may have passed, and the Placer does not choose an ejected server.
func (n *run) place(ctx context.Context) (place.Placement, *attemptError) {
	p, err := n.placeAvoiding(ctx)
	if r, ok := fail.AsRefusal(err); ok && r.Code() == fail.CodeNoServer && len(n.avoid) > 0 {
		n.avoid = nil
		if err = tick.Sleep(ctx, n.cfg.Timer, n.cfg.Backoff); err == nil {
			p, err = n.placeAvoiding(ctx)
		}
	}
	if err != nil {
		return p, &attemptError{step: "flow: place", err: err, permanent: true}
	}
	n.res.Placement = p.ID
	n.res.Prefill, n.res.Decode = p.Prefill, p.Decode
	return p, nil
}

func (n *run) placeAvoiding(ctx context.Context) (place.Placement, error) {
	return n.cfg.Placer.Place(ctx, place.Request{
		RequestID:       n.req.ID,
		Customer:        n.req.Customer,
		Model:           n.req.Model,
		Class:           n.req.Class,
		PromptTokens:    n.req.PromptTokens,
		MaxOutputTokens: n.req.MaxOutput,
		BlockHashes:     n.req.BlockHashes,
		Waited:          n.cfg.Timer.Now() - n.req.Arrived,
		Avoid:           n.avoid,
		Resumed:         n.mayHaveRun,
		KVSource:        n.kvSource(),
	})
}

// kvSource returns the prefill server that still exports the KV cache of the request, or "". If it
// is set, the scheduler looks for a decode slot at once and for no prefill server.
func (n *run) kvSource() ident.Server {
	if n.kv == nil || n.cfg.Timer.Now() >= n.kv.expires {
		return ""
	}
	return n.kv.server
}

// reserve reserves a slot at the decode engine. If the response to the call is lost, it repeats the
// call once with the same attempt ID.
func (n *run) reserve(ctx context.Context, p place.Placement) (reservedSlot, *attemptError) {
	st := reservedSlot{hold: n.newHold(p.Decode), requestedAt: n.cfg.Timer.Now()}
	in := ReserveRequest{
		Attempt:   st.attempt,
		Model:     n.req.Model,
		TTL:       n.cfg.HoldTTL,
		Priority:  n.req.Priority,
		MaxOutput: n.req.MaxOutput,
		Seed:      n.req.Seed,
		Exact:     n.req.Exact,
	}
	var err error
	st.Slot, err = n.cfg.Engines.Reserve(ctx, p.Decode, in)
	if canRepeat(err) && ctx.Err() == nil {
		st.Slot, err = n.cfg.Engines.Reserve(ctx, p.Decode, in)
	}
	if err == nil && n.sent > 0 && st.Build != n.sentBuild {
		err = fail.New("flow: reserve", string(p.Decode), ident.NotRun, ErrBuildMismatch)
	}
	if err != nil {
		n.release(st.hold)
		n.avoid = append(n.avoid, p.Decode)
		return st, &attemptError{step: "flow: reserve", server: p.Decode, err: err, skipsBudget: true}
	}
	return st, nil
}

// newHold creates an attempt ID for an engine and registers it with the HoldKeeper, which renews the
// engine's resources for the attempt until release is called.
func (n *run) newHold(s ident.Server) hold {
	h := hold{server: s, attempt: n.newAttempt()}
	n.holds = append(n.holds, h)
	n.cfg.Holds.Keep(h.server, h.attempt)
	return h
}

// release releases a hold. Releasing it a second time does nothing.
func (n *run) release(h hold) {
	for i, o := range n.holds {
		if o == h {
			n.holds = append(n.holds[:i], n.holds[i+1:]...)
			n.releasedAttempts[h.attempt] = true
			n.cfg.Holds.Release(h.server, h.attempt)
			return
		}
	}
}

func (n *run) releaseAll() {
	for len(n.holds) > 0 {
		n.release(n.holds[0])
	}
}

// stallTimeout returns how long a transfer may make no progress before it is restarted. It is short
// enough for all imports by two decode engines to be tried before the KV cache expires.
func (n *run) stallTimeout() time.Duration {
	return max(n.kv.TTL/time.Duration(2*n.cfg.MaxTransfers), minStallTimeout)
}

const minStallTimeout = 50 * time.Millisecond
