package flow

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

// run is the state of one request. It belongs to the goroutine of Run.
type run struct {
	*Runner
	req  Request
	sink Sink
	res  Result

	avoid []ident.Server
	holds []hold // not yet given to release
	past  map[ident.Attempt]bool
	ran   bool // some engine may have worked on the request
	kv    *kv

	sent     int64 // tokens given to the sink
	sum      *xxhash.Digest
	build    string // of the engine whose output was sent
	lastSent tick.Instant
}

type hold struct {
	server  ident.Server
	attempt ident.Attempt
}

// kv is an exported KV cache.
type kv struct {
	KV
	hold
	until tick.Instant // when it is expected to be dropped
	used  bool         // a token of its output was sent
	moved bool         // transfers to one decode engine have failed
}

// seat is a reserved place.
type seat struct {
	Slot
	hold
	asked tick.Instant
}

func newRun(r *Runner, req Request, sink Sink) *run {
	return &run{
		Runner: r,
		req:    req,
		sink:   sink,
		past:   make(map[ident.Attempt]bool),
		sum:    xxhash.New(),
	}
}

// loop tries placements until one is carried to its end.
func (n *run) loop(ctx context.Context) error {
	for {
		n.res.Attempts++
		back := n.try(ctx)
		if back == nil {
			return nil
		}
		if err := context.Cause(ctx); err != nil {
			return n.end(back.step, back.server, err)
		}
		if back.final || n.res.Attempts >= n.cfg.MaxAttempts || (!back.free && !n.cfg.RetryBudget.Allow()) {
			return n.giveUp(back.step, back.server, back.err)
		}
	}
}

// end returns the error that ends the request.
func (n *run) end(step string, s ident.Server, err error) error {
	o := ident.NotRun
	if n.ran {
		o = ident.Unknown
	}
	return fail.New(step, string(s), o, err)
}

// giveUp ends a request that no further try can help.
func (n *run) giveUp(step string, s ident.Server, err error) error {
	if n.sent > 0 && !errors.Is(err, ErrCallerGone) && !errors.Is(err, ErrTruncated) {
		err = errors.Wrap(ErrTruncated, err.Error())
	}
	return n.end(step, s, err)
}

// try carries the request through one placement.
func (n *run) try(ctx context.Context) *setback {
	p, back := n.place(ctx)
	if back != nil {
		return back
	}
	st, back := n.reserve(ctx, p)
	if back != nil {
		n.failed(ctx, p, place.StageFailedDecode, back)
		return back
	}
	defer n.release(st.hold)
	if back := n.prefill(ctx, p, st); back != nil {
		n.failed(ctx, p, place.StageFailedPrefill, back)
		return back
	}
	if back := n.transfer(ctx, p, st); back != nil {
		n.failed(ctx, p, place.StageFailedTransfer, back)
		return back
	}
	if back := n.relay(ctx, p, st); back != nil {
		n.failed(ctx, p, place.StageFailedDecode, back)
		return back
	}
	n.cfg.Placer.ReportProgress(p, place.StageDone, n.sent)
	return nil
}

// failed reports the end of a placement. An engine is not blamed for being
// full, nor for what the caller or the router caused.
func (n *run) failed(ctx context.Context, p place.Placement, s place.Stage, back *setback) {
	if ctx.Err() != nil || back.server == "" || errors.Is(back.err, ErrCallerGone) || errors.Is(back.err, ErrSlotExpired) || errors.Is(back.err, ErrFull) {
		s = place.StageDone
	}
	n.cfg.Placer.ReportProgress(p, s, n.sent)
}

func (n *run) place(ctx context.Context) (place.Placement, *setback) {
	p, err := n.cfg.Placer.Place(ctx, place.Request{
		RequestID:       n.req.ID,
		Customer:        n.req.Customer,
		Model:           n.req.Model,
		Class:           n.req.Class,
		PromptTokens:    n.req.PromptTokens,
		MaxOutputTokens: n.req.MaxOutput,
		BlockHashes:     n.req.BlockHashes,
		Waited:          n.cfg.Timer.Now() - n.req.Arrived,
		Avoid:           n.avoid,
		Resumed:         n.ran,
		KVSource:        n.held(),
	})
	if err != nil {
		return p, &setback{step: "flow: place", err: err, final: true}
	}
	n.res.Placement = p.ID
	n.res.Prefill, n.res.Decode = p.Prefill, p.Decode
	return p, nil
}

// held returns the prefill server that still exports the request's KV cache, so
// that the scheduler looks for a decode place at once and for no prefill.
func (n *run) held() ident.Server {
	if n.kv == nil || n.cfg.Timer.Now() >= n.kv.until {
		return ""
	}
	return n.kv.server
}

// reserve takes a place at the decode engine. A call whose answer is lost is
// repeated once, with the same attempt.
func (n *run) reserve(ctx context.Context, p place.Placement) (seat, *setback) {
	st := seat{hold: n.take(p.Decode), asked: n.cfg.Timer.Now()}
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
	if mayJoin(err) && ctx.Err() == nil {
		st.Slot, err = n.cfg.Engines.Reserve(ctx, p.Decode, in)
	}
	if err == nil && n.sent > 0 && st.Build != n.build {
		err = fail.New("flow: reserve", string(p.Decode), ident.NotRun, ErrBuildMismatch)
	}
	if err != nil {
		n.release(st.hold)
		n.avoid = append(n.avoid, p.Decode)
		return st, &setback{step: "flow: reserve", server: p.Decode, err: err, free: true}
	}
	return st, nil
}

// take draws an attempt for an engine. From here on whatever the engine may
// hold for it is kept alive and in the end released.
func (n *run) take(s ident.Server) hold {
	h := hold{server: s, attempt: n.attempt()}
	n.holds = append(n.holds, h)
	n.cfg.Holds.Keep(h.server, h.attempt)
	return h
}

// release gives up a hold. Giving it up twice does nothing.
func (n *run) release(h hold) {
	for i, o := range n.holds {
		if o == h {
			n.holds = append(n.holds[:i], n.holds[i+1:]...)
			n.past[h.attempt] = true
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

// stall returns how long a transfer may make no progress before it is begun
// again: short enough for tries to two decode engines within the life of the
// KV cache.
func (n *run) stall() time.Duration {
	return max(n.kv.TTL/time.Duration(2*n.cfg.MaxTransfers), minStall)
}

const minStall = 50 * time.Millisecond
