package flow_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/stand"
	"wasabidock.dev/dock/tick"
)

// moment is a point in the life of a request.
type moment string

const (
	beforeReserve moment = "before reserve"
	afterReserve  moment = "after reserve"
	duringPrefill moment = "during prefill"
	afterPrefill  moment = "after prefill"
	duringImport  moment = "during import"
	afterImport   moment = "after import"
	midStream     moment = "mid-stream"
	lastToken     moment = "last token"
)

// ending is how a request ends.
type ending string

const (
	whole   ending = "whole"   // the whole answer
	cut     ending = "cut"     // an explicit error after a part
	failed  ending = "failed"  // an explicit error, nothing sent, may have run
	refused ending = "refused" // an explicit error, not run
	onWay   ending = "on way"  // whole if the end was on its way already, cut if not
)

// hooks calls a function once at a moment, and then the same of next.
type hooks struct {
	flow.EngineClient
	timer   tick.Clock
	at      moment
	do      func()
	next    *hooks
	counter func() stand.EngineCounts // of the first prefill engine
}

func (h *hooks) fire(m moment) {
	if h.at == m && h.do != nil {
		do := h.do
		h.do = nil
		do()
	}
	if h.next != nil {
		h.next.fire(m)
	}
}

// expects reports whether something is still to be called at a moment.
func (h *hooks) expects(m moment) bool {
	return (h.at == m && h.do != nil) || (h.next != nil && h.next.expects(m))
}

// during fires while call runs, once the engine has begun with it.
func (h *hooks) during(m moment, began func(stand.EngineCounts) bool, call func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for h.expects(m) && !began(h.counter()) && tick.Sleep(ctx, h.timer, time.Millisecond) == nil {
		}
		h.fire(m)
	}()
	call()
	cancel()
	<-done
}

func (h *hooks) Reserve(ctx context.Context, s ident.Server, r flow.ReserveRequest) (flow.Slot, error) {
	h.fire(beforeReserve)
	defer h.fire(afterReserve)
	return h.EngineClient.Reserve(ctx, s, r)
}

func (h *hooks) Prefill(ctx context.Context, s ident.Server, p flow.PrefillRequest) (k flow.KV, err error) {
	defer h.fire(afterPrefill)
	began := func(c stand.EngineCounts) bool { return c.Prefills > 0 }
	h.during(duringPrefill, began, func() { k, err = h.EngineClient.Prefill(ctx, s, p) })
	return k, err
}

func (h *hooks) Import(ctx context.Context, s ident.Server, t flow.ImportRequest) (err error) {
	defer h.fire(afterImport)
	began := func(c stand.EngineCounts) bool { return c.Exports > 0 }
	h.during(duringImport, began, func() { err = h.EngineClient.Import(ctx, s, t) })
	return err
}

// trial is what a failure may act on.
type trial struct {
	*world
	cancel context.CancelCauseFunc
}

var errWithdrawn = errors.New("key was withdrawn")

func (t *trial) fault(f stand.Fault) {
	for _, e := range t.engines {
		e.Inject(f)
	}
}

func (t *trial) late(path string) {
	t.fault(stand.Fault{Kind: stand.FaultLate, Path: path, N: 1, DelayMS: 200})
}

func (t *trial) silence(up, down bool) {
	for _, r := range t.relays {
		r.silence(up, down)
	}
}

func TestFailures(t *testing.T) {
	for _, c := range cells {
		for _, exact := range []bool{true, false} {
			kind, want := "sampled", c.sampled
			if exact {
				kind, want = "exact", c.exact
			}
			t.Run(strings.Join([]string{c.failure, string(c.at), kind}, "/"), func(t *testing.T) {
				t.Parallel()
				runCell(t, c, exact, want)
			})
		}
	}
}

func runCell(t *testing.T, c cell, exact bool, want ending) {
	is := is.New(t)
	w := newWorld(t)
	h, res, err := runHooked(t, w, exact, c)
	t.Logf("result %+v, error %v", res, err)
	is.True(h.do == nil) // the failure has happened
	got := endingOf(res, err)
	is.True(got == want || (want == onWay && (got == whole || got == cut)))
	if c.failure == "tokens doubled and crossed" {
		is.Equal(res.Dropped.Foreign, int64(7))
		is.True(res.Dropped.Duplicate >= 6)
	}
	if c.failure == "key is withdrawn" {
		is.True(errors.Is(err, errWithdrawn))
	}
}

// runHooked carries a request through failures and checks what holds for
// every request.
func runHooked(t *testing.T, w *world, exact bool, cs ...cell) (*hooks, flow.Result, error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	tr := &trial{world: w, cancel: cancel}
	var h *hooks
	var holds flow.HoldKeeper = w.keeper
	for _, c := range cs {
		h = &hooks{
			EngineClient: w.client,
			timer:        w.timer,
			at:           c.at,
			do:           func() { failures[c.failure](tr) },
			next:         h,
			counter:      w.engines["p1"].Counts,
		}
		if c.failure == "router pauses" {
			holds = pausable{w.keeper}
		}
	}
	r := w.newRunner(h, holds)

	req := request(strings.Repeat("a long letter of the family ", 100))
	req.Exact = exact
	total := int64(len(strings.Fields(wanted(req))))
	sink := &textSink{t: t, after: func(n int64) error {
		if n == 5 {
			h.fire(midStream)
		}
		if n == total {
			h.fire(lastToken)
		}
		return nil
	}}
	res, err := r.Run(ctx, req, sink)
	checkEnd(t, w, req, sink, res, err)
	return h, res, err
}

// TestFailurePairs lets two failures meet, each at a moment of its own. No
// ending is stated, but what holds for every request is checked.
func TestFailurePairs(t *testing.T) {
	const pairs = 100
	var names []string
	for name := range failures {
		names = append(names, name)
	}
	slices.Sort(names)
	moments := []moment{beforeReserve, afterReserve, duringPrefill, afterPrefill, duringImport, afterImport, midStream, lastToken}
	rnd := rand.New(rand.NewPCG(1, 3))
	for n := range pairs {
		cs := []cell{
			{failure: names[rnd.IntN(len(names))], at: moments[rnd.IntN(len(moments))]},
			{failure: names[rnd.IntN(len(names))], at: moments[rnd.IntN(len(moments))]},
		}
		name := strings.Join([]string{cs[0].failure, string(cs[0].at), "and " + cs[1].failure, string(cs[1].at)}, "/")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			_, res, err := runHooked(t, w, n%2 == 0, cs...)
			t.Logf("ended %s: %+v, error %v", endingOf(res, err), res, err)
		})
	}
}

// endingOf names the way in which a request ended.
func endingOf(res flow.Result, err error) ending {
	switch {
	case err == nil:
		return whole
	case res.OutputTokens > 0:
		return cut
	case fail.Outcome(err) == ident.NotRun:
		return refused
	default:
		return failed
	}
}

// checkEnd checks what holds for every request, however it ended.
func checkEnd(t *testing.T, w *world, req flow.Request, sink *textSink, res flow.Result, err error) {
	t.Helper()
	is := is.New(t)
	is.Equal(res.OutputTokens, sink.next)
	is.Equal(res.Outcome, fail.Outcome(err))
	if err == nil {
		is.Equal(sink.text.String(), wanted(req)) // the whole answer
	} else {
		is.True(strings.HasPrefix(wanted(req), sink.text.String())) // a true part
		is.True(res.Reason == "")
	}
	var prefills int64
	for _, e := range w.engines {
		counts := e.Counts()
		prefills += counts.Prefills
		is.Equal(counts.Repeated, 0) // no attempt ran twice
	}
	if fail.Outcome(err) == ident.NotRun {
		is.Equal(prefills, int64(0)) // not run is true
	}
	is.Equal(w.awaitNoHolds(5*time.Second), 0)
}
