package flow_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
)

// receiveCall checks the attempt of a call and decides at random what happens to the call. It may be
// rejected, the request or the response may be lost, or the process may pause. It returns whether
// the engine executes the call, and the error that the caller sees.
func (w *simulation) receiveCall(ctx context.Context, step string, s ident.Server, a ident.Attempt) (act bool, err error) {
	if w.held[a] != s {
		w.errorf("%s call of attempt %s at %s has no hold", step, a, s)
	}
	if p := w.purpose[a]; p != "" && p != string(s)+step {
		w.errorf("attempt %s is used for both %s and %s", a, p, string(s)+step)
	}
	w.purpose[a] = string(s) + step
	w.advance(ctx, time.Duration(w.rnd.IntN(30))*time.Millisecond)
	if ctx.Err() != nil {
		return false, fail.New(step, string(s), ident.NotRun, context.Cause(ctx))
	}
	if w.rnd.IntN(100) >= w.failurePercent {
		return true, nil
	}
	switch w.rnd.IntN(8) {
	case 0:
		return false, fail.New(step, string(s), ident.NotRun, flow.ErrFull)
	case 1:
		return false, fail.New(step, string(s), ident.NotRun, errors.New("dial refused"))
	case 2:
		w.restart(s)
		return false, fail.New(step, string(s), ident.Unknown, flow.ErrConnBroken)
	case 3:
		w.advance(ctx, 2*time.Second)
		return false, fail.New(step, string(s), ident.Unknown, flow.ErrStalled)
	case 4:
		return true, fail.New(step, string(s), ident.Unknown, flow.ErrConnBroken)
	case 5:
		w.advance(ctx, 2*time.Second)
		return true, fail.New(step, string(s), ident.Unknown, flow.ErrStalled)
	case 6:
		w.advance(ctx, simHoldTTL+time.Second) // the process pauses
		return true, nil
	default:
		w.cancel()
		return w.rnd.IntN(2) == 0, fail.New(step, string(s), ident.Unknown, context.Canceled)
	}
}

// restart restarts an engine, which loses its state.
func (w *simulation) restart(s ident.Server) {
	for a, p := range w.slots {
		if p.server == s {
			delete(w.slots, a)
		}
	}
	for name, k := range w.caches {
		if k.server == s {
			delete(w.caches, name)
		}
	}
}

// Reserve implements flow.EngineClient.
func (w *simulation) Reserve(ctx context.Context, s ident.Server, r flow.ReserveRequest) (flow.Slot, error) {
	act, err := w.receiveCall(ctx, "decode", s, r.Attempt)
	if act && w.slots[r.Attempt] == nil {
		w.slots[r.Attempt] = &simSlot{server: s}
	}
	return flow.Slot{ID: "place", Build: w.builds[s]}, err
}

// Prefill implements flow.EngineClient.
func (w *simulation) Prefill(ctx context.Context, s ident.Server, p flow.PrefillRequest) (flow.KV, error) {
	w.prefillCalls++
	act, err := w.receiveCall(ctx, "prefill", s, p.Attempt)
	name := p.Attempt.String()
	if act && w.caches[name] == nil {
		w.prefills++
		w.caches[name] = &simCache{server: s, until: w.clock.Now() + simKVTTL}
	}
	return flow.KV{Name: name, Tokens: 100, TTL: simKVTTL}, err
}

// Import implements flow.EngineClient.
func (w *simulation) Import(ctx context.Context, s ident.Server, t flow.ImportRequest) error {
	act, err := w.receiveCall(ctx, "decode", s, t.Attempt)
	if !act {
		return err
	}
	p, k := w.slots[t.Attempt], w.caches[t.KV]
	switch {
	case p == nil:
		return fail.New("import", string(s), ident.NotRun, flow.ErrUnknownAttempt)
	case p.ready:
		return err
	case k == nil || w.clock.Now() >= k.until:
		return fail.New("import", string(s), ident.NotRun, flow.ErrKVGone)
	case k.server != t.Source:
		w.errorf("KV cache %s is imported from %s, but was exported by %s", t.KV, t.Source, k.server)
	}
	p.ready = true
	p.output = w.output(s, t.Attempt)
	return err
}

// output returns the output of an attempt. Only an exact request has the same output at all engines
// of one build. For one seed in ten the outputs differ nevertheless, although the builds are equal.
func (w *simulation) output(s ident.Server, a ident.Attempt) []string {
	source := a.String()
	if w.exact && w.builds[s] != "" && w.seed%10 != 0 {
		source = w.builds[s]
	}
	out := make([]string, w.total)
	for i := range out {
		out[i] = fmt.Sprintf("%s/%d ", source, i)
	}
	return out
}

// Stream implements flow.EngineClient.
func (w *simulation) Stream(ctx context.Context, s ident.Server, a ident.Attempt, offset int64) (flow.Stream, error) {
	act, err := w.receiveCall(ctx, "decode", s, a)
	p := w.slots[a]
	if act && err == nil && (p == nil || !p.ready) {
		err = fail.New("stream", string(s), ident.NotRun, flow.ErrUnknownAttempt)
	}
	if !act || err != nil {
		return nil, err
	}
	w.outputs = append(w.outputs, strings.Join(p.output, ""))
	return &simStream{w: w, ctx: ctx, a: a, p: p, next: offset, wantOffset: offset}, nil
}

// simStream sends the output of an attempt and random events that are not part of it.
type simStream struct {
	w          *simulation
	ctx        context.Context
	a          ident.Attempt
	p          *simSlot
	next       int64 // offset that the engine sends next
	wantOffset int64 // offset that the reader expects next
}

func (s *simStream) Next() (flow.Event, error) {
	s.w.advance(s.ctx, time.Duration(s.w.rnd.IntN(30))*time.Millisecond)
	if s.ctx.Err() != nil {
		return flow.Event{}, context.Cause(s.ctx)
	}
	if s.w.rnd.IntN(100) < s.w.failurePercent/2 {
		return s.injectFault()
	}
	return s.nextEvent()
}

func (s *simStream) nextEvent() (flow.Event, error) {
	if s.next >= s.w.total {
		return flow.Event{Attempt: s.a, End: true, Total: s.w.total, Reason: "stop"}, nil
	}
	ev := flow.Event{Attempt: s.a, Offset: s.next, Text: s.p.output[s.next]}
	if s.next == s.wantOffset {
		s.wantOffset++
	}
	s.next++
	return ev, nil
}

// injectFault injects a random fault into the stream.
func (s *simStream) injectFault() (flow.Event, error) {
	w := s.w
	switch w.rnd.IntN(9) {
	case 0:
		w.injected.Foreign++
		return flow.Event{Attempt: ident.Attempt{Node: ident.Node{Instance: "other"}, Serial: 9}, Offset: s.wantOffset, Text: "crossed"}, nil
	case 1:
		w.injected.Foreign++
		return flow.Event{Attempt: ident.Attempt{Serial: 1}, End: true, Total: s.wantOffset}, nil
	case 2:
		for a := range w.released {
			w.injected.Stale++
			return flow.Event{Attempt: a, Offset: s.wantOffset, Text: "late"}, nil
		}
	case 3:
		if s.wantOffset > 0 {
			w.injected.Duplicate++
			return flow.Event{Attempt: s.a, Offset: w.rnd.Int64N(s.wantOffset), Text: "doubled"}, nil
		}
	case 4:
		s.next = min(s.next+1, w.total) // one token is lost
	case 5:
		return flow.Event{}, fail.New("stream", "d", ident.Unknown, flow.ErrConnBroken)
	case 6:
		w.advance(s.ctx, 2*time.Second)
		return flow.Event{}, fail.New("stream", "d", ident.Unknown, flow.ErrStalled)
	case 7:
		w.restart(s.p.server)
		return flow.Event{}, fail.New("stream", "d", ident.Unknown, flow.ErrConnBroken)
	default:
		if w.rnd.IntN(4) == 0 {
			w.cancel()
			return flow.Event{}, context.Canceled
		}
		if s.wantOffset > 0 {
			return flow.Event{Attempt: s.a, End: true, Total: s.wantOffset / 2, Reason: "stop"}, nil // wrong total
		}
	}
	return s.nextEvent()
}

func (s *simStream) Close() {}
