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

// arrive checks an attempt and draws what happens to the call: it may be
// refused, lost on its way or have its answer lost.
func (w *walk) arrive(ctx context.Context, step string, s ident.Server, a ident.Attempt) (act bool, err error) {
	if w.kept[a] != s {
		w.errorf("%s of %s at %s without a hold", step, a, s)
	}
	if p := w.purpose[a]; p != "" && p != string(s)+step {
		w.errorf("attempt %s serves %s and %s", a, p, string(s)+step)
	}
	w.purpose[a] = string(s) + step
	w.pass(ctx, time.Duration(w.rnd.IntN(30))*time.Millisecond)
	if ctx.Err() != nil {
		return false, fail.New(step, string(s), ident.NotRun, context.Cause(ctx))
	}
	if w.rnd.IntN(100) >= w.trouble {
		return true, nil
	}
	switch w.rnd.IntN(8) {
	case 0:
		return false, fail.New(step, string(s), ident.NotRun, flow.ErrFull)
	case 1:
		return false, fail.New(step, string(s), ident.NotRun, errors.New("dial refused"))
	case 2:
		w.lose(s)
		return false, fail.New(step, string(s), ident.Unknown, flow.ErrConnBroken)
	case 3:
		w.pass(ctx, 2*time.Second)
		return false, fail.New(step, string(s), ident.Unknown, flow.ErrStalled)
	case 4:
		return true, fail.New(step, string(s), ident.Unknown, flow.ErrConnBroken)
	case 5:
		w.pass(ctx, 2*time.Second)
		return true, fail.New(step, string(s), ident.Unknown, flow.ErrStalled)
	case 6:
		w.pass(ctx, walkHold+time.Second) // the process pauses
		return true, nil
	default:
		w.cancel()
		return w.rnd.IntN(2) == 0, fail.New(step, string(s), ident.Unknown, context.Canceled)
	}
}

// lose lets an engine die and come back without its memory.
func (w *walk) lose(s ident.Server) {
	for a, p := range w.places {
		if p.server == s {
			delete(w.places, a)
		}
	}
	for name, k := range w.caches {
		if k.server == s {
			delete(w.caches, name)
		}
	}
}

// Reserve implements flow.Engines.
func (w *walk) Reserve(ctx context.Context, s ident.Server, r flow.ReserveRequest) (flow.Slot, error) {
	act, err := w.arrive(ctx, "decode", s, r.Attempt)
	if act && w.places[r.Attempt] == nil {
		w.places[r.Attempt] = &walkPlace{server: s}
	}
	return flow.Slot{ID: "place", Build: w.builds[s]}, err
}

// Prefill implements flow.Engines.
func (w *walk) Prefill(ctx context.Context, s ident.Server, p flow.PrefillRequest) (flow.KV, error) {
	w.asked++
	act, err := w.arrive(ctx, "prefill", s, p.Attempt)
	name := p.Attempt.String()
	if act && w.caches[name] == nil {
		w.prefills++
		w.caches[name] = &walkCache{server: s, until: w.clock.Now() + walkKVLife}
	}
	return flow.KV{Name: name, Tokens: 100, TTL: walkKVLife}, err
}

// Import implements flow.Engines.
func (w *walk) Import(ctx context.Context, s ident.Server, t flow.ImportRequest) error {
	act, err := w.arrive(ctx, "decode", s, t.Attempt)
	if !act {
		return err
	}
	p, k := w.places[t.Attempt], w.caches[t.KV]
	switch {
	case p == nil:
		return fail.New("import", string(s), ident.NotRun, flow.ErrUnknownAttempt)
	case p.ready:
		return err
	case k == nil || w.clock.Now() >= k.until:
		return fail.New("import", string(s), ident.NotRun, flow.ErrKVGone)
	case k.server != t.Source:
		w.errorf("import of %s from %s, exported by %s", t.KV, t.Source, k.server)
	}
	p.ready = true
	p.output = w.output(s, t.Attempt)
	return err
}

// output returns what an attempt generates. Only an exact request gives the
// same at engines of one build, and one build in ten only claims so.
func (w *walk) output(s ident.Server, a ident.Attempt) []string {
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

// Stream implements flow.Engines.
func (w *walk) Stream(ctx context.Context, s ident.Server, a ident.Attempt, offset int64) (flow.Stream, error) {
	act, err := w.arrive(ctx, "decode", s, a)
	p := w.places[a]
	if act && err == nil && (p == nil || !p.ready) {
		err = fail.New("stream", string(s), ident.NotRun, flow.ErrUnknownAttempt)
	}
	if !act || err != nil {
		return nil, err
	}
	w.decodes = append(w.decodes, strings.Join(p.output, ""))
	return &walkStream{w: w, ctx: ctx, a: a, p: p, next: offset, have: offset}, nil
}

// walkStream sends the output of an attempt, with events that do not belong.
type walkStream struct {
	w    *walk
	ctx  context.Context
	a    ident.Attempt
	p    *walkPlace
	next int64 // offset that the engine sends next
	have int64 // offset that the reader waits for
}

func (s *walkStream) Next() (flow.Event, error) {
	s.w.pass(s.ctx, time.Duration(s.w.rnd.IntN(30))*time.Millisecond)
	if s.ctx.Err() != nil {
		return flow.Event{}, context.Cause(s.ctx)
	}
	if s.w.rnd.IntN(100) < s.w.trouble/2 {
		return s.disturb()
	}
	return s.proper()
}

func (s *walkStream) proper() (flow.Event, error) {
	if s.next >= s.w.total {
		return flow.Event{Attempt: s.a, End: true, Total: s.w.total, Reason: "stop"}, nil
	}
	ev := flow.Event{Attempt: s.a, Offset: s.next, Text: s.p.output[s.next]}
	if s.next == s.have {
		s.have++
	}
	s.next++
	return ev, nil
}

// disturb draws what goes wrong.
func (s *walkStream) disturb() (flow.Event, error) {
	w := s.w
	switch w.rnd.IntN(9) {
	case 0:
		w.strays.Foreign++
		return flow.Event{Attempt: ident.Attempt{Node: ident.Node{Instance: "other"}, Serial: 9}, Offset: s.have, Text: "crossed"}, nil
	case 1:
		w.strays.Foreign++
		return flow.Event{Attempt: ident.Attempt{Serial: 1}, End: true, Total: s.have}, nil
	case 2:
		for a := range w.released {
			w.strays.Stale++
			return flow.Event{Attempt: a, Offset: s.have, Text: "late"}, nil
		}
	case 3:
		if s.have > 0 {
			w.strays.Duplicate++
			return flow.Event{Attempt: s.a, Offset: w.rnd.Int64N(s.have), Text: "doubled"}, nil
		}
	case 4:
		s.next = min(s.next+1, w.total) // one is lost
	case 5:
		return flow.Event{}, fail.New("stream", "d", ident.Unknown, flow.ErrConnBroken)
	case 6:
		w.pass(s.ctx, 2*time.Second)
		return flow.Event{}, fail.New("stream", "d", ident.Unknown, flow.ErrStalled)
	case 7:
		w.lose(s.p.server)
		return flow.Event{}, fail.New("stream", "d", ident.Unknown, flow.ErrConnBroken)
	default:
		if w.rnd.IntN(4) == 0 {
			w.cancel()
			return flow.Event{}, context.Canceled
		}
		if s.have > 0 {
			return flow.Event{Attempt: s.a, End: true, Total: s.have / 2, Reason: "stop"}, nil // a lie
		}
	}
	return s.proper()
}

func (s *walkStream) Close() {}
