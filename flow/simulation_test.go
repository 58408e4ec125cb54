package flow_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

// simClock is a fake clock that advances on its own when a request waits for less than a second.
type simClock struct{ *tick.Fake }

func (c simClock) After(d time.Duration) tick.Timer {
	t := c.Fake.After(d)
	if d < time.Second {
		c.Advance(d)
	}
	return t
}

// simulation runs one request against in-memory engines that fail at random. It checks the calls it
// receives. Everything runs in the goroutine of the request.
type simulation struct {
	t              *testing.T
	seed           uint64
	rnd            *rand.Rand
	clock          simClock
	failurePercent int // probability in percent that a call fails
	cancel         context.CancelFunc
	deadline       tick.Instant
	total          int64
	exact          bool
	builds         map[ident.Server]string

	purpose      map[ident.Attempt]string       // server and kind of call of each attempt
	held         map[ident.Attempt]ident.Server // registered by Keep and not yet released
	released     map[ident.Attempt]bool
	slots        map[ident.Attempt]*simSlot
	caches       map[string]*simCache
	prefillCalls int      // prefill calls received
	prefills     int      // prefills that ran
	outputs      []string // full outputs of the attempts that were streamed
	injected     flow.DroppedEvents
	sent         []string
	chargeValid  func() bool
}

type simSlot struct {
	server ident.Server
	ready  bool
	output []string
}

type simCache struct {
	server ident.Server
	until  tick.Instant
}

const (
	simKVTTL   = 900 * time.Millisecond
	simHoldTTL = 10 * time.Second
)

func newSimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{
		t:        t,
		seed:     seed,
		rnd:      rand.New(rand.NewPCG(seed, 2)),
		clock:    simClock{tick.NewFake(0)},
		builds:   make(map[ident.Server]string),
		purpose:  make(map[ident.Attempt]string),
		held:     make(map[ident.Attempt]ident.Server),
		released: make(map[ident.Attempt]bool),
		slots:    make(map[ident.Attempt]*simSlot),
		caches:   make(map[string]*simCache),
	}
	w.failurePercent = []int{0, 5, 15, 40}[w.rnd.IntN(4)]
	w.total = 1 + w.rnd.Int64N(30)
	w.exact = w.rnd.IntN(2) == 0
	for _, s := range []ident.Server{"d1", "d2", "d3"} {
		w.builds[s] = []string{"b1", "b1", "b2", ""}[w.rnd.IntN(4)]
	}
	if w.rnd.IntN(4) == 0 {
		w.deadline = time.Duration(1+w.rnd.IntN(20)) * time.Second
	}
	return w
}

func (w *simulation) errorf(format string, args ...any) {
	w.t.Helper()
	w.t.Errorf("seed %d: "+format, append([]any{w.seed}, args...)...)
}

// advance advances the clock. If the deadline has passed, it waits until the context is done.
func (w *simulation) advance(ctx context.Context, d time.Duration) {
	w.clock.Advance(d)
	if w.deadline > 0 && w.clock.Now() >= w.deadline {
		<-ctx.Done()
	}
}

// Place implements flow.Placer.
func (w *simulation) Place(ctx context.Context, req place.Request) (place.Placement, error) {
	w.advance(ctx, time.Duration(w.rnd.IntN(50))*time.Millisecond)
	if ctx.Err() != nil {
		return place.Placement{}, ctx.Err()
	}
	p := firstAllowed(w.shuffled("p1", "p2", "p3"), req.Avoid)
	d := firstAllowed(w.shuffled("d1", "d2", "d3"), req.Avoid)
	if p == "" || d == "" {
		return place.Placement{}, fail.Refuse(fail.CodeNoServer, time.Second, "no server left")
	}
	return place.Placement{ID: "pl", Prefill: p, Decode: d}, nil
}

func (w *simulation) shuffled(ss ...ident.Server) []ident.Server {
	w.rnd.Shuffle(len(ss), func(i, j int) { ss[i], ss[j] = ss[j], ss[i] })
	return ss
}

// Progress implements flow.Placer.
func (w *simulation) ReportProgress(place.Placement, place.Stage, int64) {}

// Keep implements flow.HoldKeeper.
func (w *simulation) Keep(s ident.Server, a ident.Attempt) {
	if _, ok := w.held[a]; ok || w.released[a] {
		w.errorf("attempt %s is reused", a)
	}
	w.held[a] = s
}

// SetStreaming implements flow.HoldKeeper.
func (w *simulation) SetStreaming(s ident.Server, a ident.Attempt, _ bool) {
	if w.held[a] != s {
		w.errorf("stream of attempt %s at %s has no hold", a, s)
	}
}

// Release implements flow.HoldKeeper.
func (w *simulation) Release(s ident.Server, a ident.Attempt) {
	if w.held[a] != s {
		w.errorf("attempt %s is released at %s, but its hold is at %q", a, s, w.held[a])
	}
	delete(w.held, a)
	w.released[a] = true
	delete(w.slots, a)
}

// Token implements flow.Sink.
func (w *simulation) Token(offset int64, text string) error {
	if offset != int64(len(w.sent)) {
		w.errorf("token at offset %d, want %d", offset, len(w.sent))
	}
	w.sent = append(w.sent, text)
	if w.failurePercent > 0 && w.rnd.IntN(200) == 0 {
		return errors.New("caller is gone")
	}
	return nil
}

// run runs the request and checks how it ended.
func (w *simulation) run() (flow.Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.cancel = cancel
	r := flow.New(flow.Config{
		Node:    ident.Node{Instance: "a", Incarnation: 3},
		Engines: w,
		Placer:  w,
		Holds:   w,
		Timer:   w.clock,
	})
	res, err := r.Run(ctx, flow.Request{
		ID:           "r",
		PromptTokens: 100,
		MaxOutput:    w.total,
		Exact:        w.exact,
		Deadline:     w.deadline,
		ChargeValid:  w.chargeValid,
	}, w)
	w.check(res, err)
	return res, err
}

func (w *simulation) check(res flow.Result, err error) {
	text := strings.Join(w.sent, "")
	from := 0
	for _, d := range w.outputs {
		if (err == nil && text == d) || (err != nil && strings.HasPrefix(d, text)) {
			from++
		}
	}
	if from == 0 && (err == nil || text != "") {
		w.errorf("sent %q, which is not the output of any single run; error %v", text, err)
	}
	if err == nil && int64(len(w.sent)) != w.total {
		w.errorf("request succeeded with %d of %d tokens", len(w.sent), w.total)
	}
	if (err == nil) != (res.Outcome == ident.Done) {
		w.errorf("outcome %v with error %v", res.Outcome, err)
	}
	if fail.Outcome(err) == ident.NotRun && w.prefills > 0 {
		w.errorf("outcome is not run, but %d prefills ran; error %v", w.prefills, err)
	}
	if res.Restarts > 0 && !w.exact {
		w.errorf("%d restarts of an output that is not reproducible", res.Restarts)
	}
	if len(w.held) > 0 {
		w.errorf("run ended without releasing its holds: %v", w.held)
	}
	if res.Dropped != w.injected {
		w.errorf("dropped events %+v, injected %+v", res.Dropped, w.injected)
	}
	if res.WastedTokens > res.ComputedTokens || (err != nil && res.OutputTokens == 0 && res.WastedTokens != res.ComputedTokens) {
		w.errorf("%d prompt tokens wasted of %d computed; error %v", res.WastedTokens, res.ComputedTokens, err)
	}
}

// TestRunSendsNoPrefillAfterPause guards against a prefill for a request that is no longer valid. The
// process pauses right before the prefill is sent, until the deadline has passed or the charge has
// expired.
func TestRunSendsNoPrefillAfterPause(t *testing.T) {
	tests := []struct {
		name        string
		pause       time.Duration // the deadline is after a minute
		chargeValid bool
		codes       []fail.Code // one of them
	}{
		{"deadline has passed", time.Hour, true, []fail.Code{fail.CodeDeadline}},
		{"charge has expired", 30 * time.Second, false, []fail.Code{fail.CodeRateLimited}},
		{"both", time.Hour, false, []fail.Code{fail.CodeDeadline, fail.CodeRateLimited}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newSimulation(t, 0)
			w.failurePercent = 0
			w.deadline = time.Minute
			w.chargeValid = func() bool {
				w.clock.Advance(tt.pause)
				return tt.chargeValid
			}
			_, err := w.run()
			if code, _ := flow.ErrorCode(err); !slices.Contains(tt.codes, code) {
				t.Errorf("code %q, want one of %q; error %v", code, tt.codes, err)
			}
			if w.prefillCalls != 0 || fail.Outcome(err) != ident.NotRun {
				t.Errorf("%d prefills requested, want 0; error %v", w.prefillCalls, err)
			}
		})
	}
}

// TestRandomFailures runs requests against engines that fail at random. It guards against wrong,
// duplicated or missing tokens, leaked holds and wrong outcomes.
func TestRandomFailures(t *testing.T) {
	const simulations = 5000
	ends := make(map[ending]int)
	var dropped, restarts, resumes int64
	for seed := range uint64(simulations) {
		w := newSimulation(t, seed)
		res, err := w.run()
		ends[endingOf(res, err)]++
		dropped += res.Dropped.Stale + res.Dropped.Duplicate + res.Dropped.Foreign
		restarts += int64(res.Restarts)
		resumes += int64(res.Resumes)
		if t.Failed() {
			return
		}
	}
	for _, e := range []ending{complete, truncated, failed, rejected} {
		if ends[e] == 0 {
			t.Errorf("no request ended %s, so the simulation covers too little", e)
		}
	}
	if dropped == 0 || restarts == 0 || resumes == 0 {
		t.Errorf("%d dropped events, %d restarts, %d resumes: the simulation covers too little", dropped, restarts, resumes)
	}
	t.Logf("%d simulations: %v, %d events dropped, %d restarts, %d resumes", simulations, ends, dropped, restarts, resumes)
}
