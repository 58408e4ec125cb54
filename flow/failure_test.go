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

// phase is a point in the processing of a request.
type phase string

const (
	beforeReserve phase = "before reserve"
	afterReserve  phase = "after reserve"
	duringPrefill phase = "during prefill"
	afterPrefill  phase = "after prefill"
	duringImport  phase = "during import"
	afterImport   phase = "after import"
	midStream     phase = "mid-stream"
	lastToken     phase = "last token"
)

// ending is how a request ends.
type ending string

const (
	complete            ending = "whole"   // complete answer
	truncated           ending = "cut"     // error after some tokens were sent
	failed              ending = "failed"  // error before any token was sent; an engine may have worked
	rejected            ending = "refused" // error and no engine worked
	completeOrTruncated ending = "on way"  // complete if the end event was already in transit, else truncated
)

// faultInjector calls do once, when the request reaches the phase at. It passes each phase on to
// next.
type faultInjector struct {
	flow.EngineClient
	timer   tick.Clock
	at      phase
	do      func()
	next    *faultInjector
	counter func() stand.EngineCounts // counts of the first prefill engine
}

func (h *faultInjector) fire(m phase) {
	if h.at == m && h.do != nil {
		do := h.do
		h.do = nil
		do()
	}
	if h.next != nil {
		h.next.fire(m)
	}
}

// isPending reports whether a function is still to be called in a phase.
func (h *faultInjector) isPending(m phase) bool {
	return (h.at == m && h.do != nil) || (h.next != nil && h.next.isPending(m))
}

// during runs call and fires the phase while it runs, after the engine has started work.
func (h *faultInjector) during(m phase, started func(stand.EngineCounts) bool, call func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for h.isPending(m) && !started(h.counter()) && tick.Sleep(ctx, h.timer, time.Millisecond) == nil {
		}
		h.fire(m)
	}()
	call()
	cancel()
	<-done
}

func (h *faultInjector) Reserve(ctx context.Context, s ident.Server, r flow.ReserveRequest) (flow.Slot, error) {
	h.fire(beforeReserve)
	defer h.fire(afterReserve)
	return h.EngineClient.Reserve(ctx, s, r)
}

func (h *faultInjector) Prefill(ctx context.Context, s ident.Server, p flow.PrefillRequest) (k flow.KV, err error) {
	defer h.fire(afterPrefill)
	started := func(c stand.EngineCounts) bool { return c.Prefills > 0 }
	h.during(duringPrefill, started, func() { k, err = h.EngineClient.Prefill(ctx, s, p) })
	return k, err
}

func (h *faultInjector) Import(ctx context.Context, s ident.Server, t flow.ImportRequest) (err error) {
	defer h.fire(afterImport)
	started := func(c stand.EngineCounts) bool { return c.Exports > 0 }
	h.during(duringImport, started, func() { err = h.EngineClient.Import(ctx, s, t) })
	return err
}

// faultTarget holds the objects that a failure function acts on.
type faultTarget struct {
	*cluster
	cancel context.CancelCauseFunc
}

var errKeyWithdrawn = errors.New("key was withdrawn")

func (t *faultTarget) injectAll(f stand.Fault) {
	for _, e := range t.engines {
		e.Inject(f)
	}
}

func (t *faultTarget) delayCalls(path string) {
	t.injectAll(stand.Fault{Kind: stand.FaultLate, Path: path, N: 1, DelayMS: 200})
}

func (t *faultTarget) blackhole(up, down bool) {
	for _, r := range t.proxies {
		r.blackhole(up, down)
	}
}

// TestFailures injects one failure into a request, in a given phase, and checks how the request ends.
func TestFailures(t *testing.T) {
	for _, c := range failureCases {
		for _, exact := range []bool{true, false} {
			kind, want := "sampled", c.sampled
			if exact {
				kind, want = "exact", c.exact
			}
			t.Run(strings.Join([]string{c.failure, string(c.at), kind}, "/"), func(t *testing.T) {
				t.Parallel()
				runFailureCase(t, c, exact, want)
			})
		}
	}
}

func runFailureCase(t *testing.T, c failureCase, exact bool, want ending) {
	is := is.New(t)
	w := newCluster(t)
	h, res, err := runWithFaults(t, w, exact, c)
	t.Logf("result %+v, error %v", res, err)
	is.True(h.do == nil) // the failure was injected
	got := endingOf(res, err)
	is.True(got == want || (want == completeOrTruncated && (got == complete || got == truncated)))
	if c.failure == "tokens duplicated and foreign" {
		is.Equal(res.Dropped.Foreign, int64(7))
		is.True(res.Dropped.Duplicate >= 6)
	}
	if c.failure == "key is withdrawn" {
		is.True(errors.Is(err, errKeyWithdrawn))
	}
}

// runWithFaults runs a request while failures are injected and checks the invariants that hold for
// every request.
func runWithFaults(t *testing.T, w *cluster, exact bool, cs ...failureCase) (*faultInjector, flow.Result, error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	target := &faultTarget{cluster: w, cancel: cancel}
	var h *faultInjector
	var holds flow.HoldKeeper = w.keeper
	for _, c := range cs {
		h = &faultInjector{
			EngineClient: w.client,
			timer:        w.timer,
			at:           c.at,
			do:           func() { failures[c.failure](target) },
			next:         h,
			counter:      w.engines["p1"].Counts,
		}
		if c.failure == "router pauses" {
			holds = pausedHolds{w.keeper}
		}
	}
	r := w.newRunner(h, holds)

	req := request(strings.Repeat("a long letter of the family ", 100))
	req.Exact = exact
	total := int64(len(strings.Fields(wantAnswer(req))))
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
	checkInvariants(t, w, req, sink, res, err)
	return h, res, err
}

// TestFailurePairs injects two random failures into a request, each in a random phase. No ending is
// expected; only the invariants that hold for every request are checked.
func TestFailurePairs(t *testing.T) {
	const pairs = 100
	var names []string
	for name := range failures {
		names = append(names, name)
	}
	slices.Sort(names)
	phases := []phase{beforeReserve, afterReserve, duringPrefill, afterPrefill, duringImport, afterImport, midStream, lastToken}
	rnd := rand.New(rand.NewPCG(1, 3))
	for n := range pairs {
		cs := []failureCase{
			{failure: names[rnd.IntN(len(names))], at: phases[rnd.IntN(len(phases))]},
			{failure: names[rnd.IntN(len(names))], at: phases[rnd.IntN(len(phases))]},
		}
		name := strings.Join([]string{cs[0].failure, string(cs[0].at), "and " + cs[1].failure, string(cs[1].at)}, "/")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newCluster(t)
			_, res, err := runWithFaults(t, w, n%2 == 0, cs...)
			t.Logf("ended %s: %+v, error %v", endingOf(res, err), res, err)
		})
	}
}

// endingOf returns how a request ended.
func endingOf(res flow.Result, err error) ending {
	switch {
	case err == nil:
		return complete
	case res.OutputTokens > 0:
		return truncated
	case fail.Outcome(err) == ident.NotRun:
		return rejected
	default:
		return failed
	}
}

// checkInvariants checks the invariants of every request, however it ended.
func checkInvariants(t *testing.T, w *cluster, req flow.Request, sink *textSink, res flow.Result, err error) {
	t.Helper()
	is := is.New(t)
	is.Equal(res.OutputTokens, sink.next)
	is.Equal(res.Outcome, fail.Outcome(err))
	if err == nil {
		is.Equal(sink.text.String(), wantAnswer(req)) // the answer is complete
	} else {
		is.True(strings.HasPrefix(wantAnswer(req), sink.text.String())) // what was sent is a prefix of the answer
		is.True(res.Reason == "")
	}
	var prefills int64
	for _, e := range w.engines {
		counts := e.Counts()
		prefills += counts.Prefills
		is.Equal(counts.Repeated, 0) // no attempt ran twice
	}
	if fail.Outcome(err) == ident.NotRun {
		is.Equal(prefills, int64(0)) // an error with outcome "not run" means that no prefill ran
	}
	is.Equal(w.awaitNoHolds(5*time.Second), 0)
}
