package flow_test

import (
	"context"
	"math/rand/v2"
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

// walkClock passes by itself while a request pauses.
type walkClock struct{ *tick.Fake }

func (c walkClock) After(d time.Duration) tick.Timer {
	t := c.Fake.After(d)
	if d < time.Second {
		c.Advance(d)
	}
	return t
}

// walk is one schedule: a request before engines in memory that fail at
// random. It checks how it is used, and everything happens in the goroutine of
// the request.
type walk struct {
	t        *testing.T
	seed     uint64
	rnd      *rand.Rand
	clock    walkClock
	trouble  int // chance in a hundred that a call goes wrong
	cancel   context.CancelFunc
	deadline tick.Instant
	total    int64
	exact    bool
	builds   map[ident.Server]string

	purpose  map[ident.Attempt]string       // server and kind of call
	kept     map[ident.Attempt]ident.Server // with Keep and not yet released
	released map[ident.Attempt]bool
	places   map[ident.Attempt]*walkPlace
	caches   map[string]*walkCache
	asked    int      // prefills
	prefills int      // prefills that ran
	decodes  []string // whole outputs of the attempts that were streamed
	strays   flow.DroppedEvents
	sent     []string
	fresh    func() bool
}

type walkPlace struct {
	server ident.Server
	ready  bool
	output []string
}

type walkCache struct {
	server ident.Server
	until  tick.Instant
}

const (
	walkKVLife = 900 * time.Millisecond
	walkHold   = 10 * time.Second
)

func newWalk(t *testing.T, seed uint64) *walk {
	w := &walk{
		t:        t,
		seed:     seed,
		rnd:      rand.New(rand.NewPCG(seed, 2)),
		clock:    walkClock{tick.NewFake(0)},
		builds:   make(map[ident.Server]string),
		purpose:  make(map[ident.Attempt]string),
		kept:     make(map[ident.Attempt]ident.Server),
		released: make(map[ident.Attempt]bool),
		places:   make(map[ident.Attempt]*walkPlace),
		caches:   make(map[string]*walkCache),
	}
	w.trouble = []int{0, 5, 15, 40}[w.rnd.IntN(4)]
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

func (w *walk) errorf(format string, args ...any) {
	w.t.Helper()
	w.t.Errorf("seed %d: "+format, append([]any{w.seed}, args...)...)
}

// pass lets time go by, and waits for the deadline's effect if it is over.
func (w *walk) pass(ctx context.Context, d time.Duration) {
	w.clock.Advance(d)
	if w.deadline > 0 && w.clock.Now() >= w.deadline {
		<-ctx.Done()
	}
}

// Place implements flow.Placer.
func (w *walk) Place(ctx context.Context, ask place.Request) (place.Placement, error) {
	w.pass(ctx, time.Duration(w.rnd.IntN(50))*time.Millisecond)
	if ctx.Err() != nil {
		return place.Placement{}, ctx.Err()
	}
	p := pick(w.shuffled("p1", "p2", "p3"), ask.Avoid)
	d := pick(w.shuffled("d1", "d2", "d3"), ask.Avoid)
	if p == "" || d == "" {
		return place.Placement{}, fail.Refuse(fail.CodeNoServer, time.Second, "no server left")
	}
	return place.Placement{ID: "pl", Prefill: p, Decode: d}, nil
}

func (w *walk) shuffled(ss ...ident.Server) []ident.Server {
	w.rnd.Shuffle(len(ss), func(i, j int) { ss[i], ss[j] = ss[j], ss[i] })
	return ss
}

// Progress implements flow.Placer.
func (w *walk) ReportProgress(place.Placement, place.Stage, int64) {}

// Keep implements flow.Holds.
func (w *walk) Keep(s ident.Server, a ident.Attempt) {
	if _, ok := w.kept[a]; ok || w.released[a] {
		w.errorf("attempt %s is used again", a)
	}
	w.kept[a] = s
}

// SetStreaming implements flow.Holds.
func (w *walk) SetStreaming(s ident.Server, a ident.Attempt, _ bool) {
	if w.kept[a] != s {
		w.errorf("stream of %s at %s without a hold", a, s)
	}
}

// Release implements flow.Holds.
func (w *walk) Release(s ident.Server, a ident.Attempt) {
	if w.kept[a] != s {
		w.errorf("release of %s at %s, kept at %q", a, s, w.kept[a])
	}
	delete(w.kept, a)
	w.released[a] = true
	delete(w.places, a)
}

// Token implements flow.Sink.
func (w *walk) Token(offset int64, text string) error {
	if offset != int64(len(w.sent)) {
		w.errorf("token at offset %d, want %d", offset, len(w.sent))
	}
	w.sent = append(w.sent, text)
	if w.trouble > 0 && w.rnd.IntN(200) == 0 {
		return errors.New("caller is gone")
	}
	return nil
}

// run carries one request through the schedule and checks its end.
func (w *walk) run() (flow.Result, error) {
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
		ChargeValid:  w.fresh,
	}, w)
	w.check(res, err)
	return res, err
}

func (w *walk) check(res flow.Result, err error) {
	text := strings.Join(w.sent, "")
	from := 0
	for _, d := range w.decodes {
		if (err == nil && text == d) || (err != nil && strings.HasPrefix(d, text)) {
			from++
		}
	}
	if from == 0 && (err == nil || text != "") {
		w.errorf("sent %q, which is no output of one run; error %v", text, err)
	}
	if err == nil && int64(len(w.sent)) != w.total {
		w.errorf("%d tokens of %d look whole", len(w.sent), w.total)
	}
	if (err == nil) != (res.Outcome == ident.Done) {
		w.errorf("outcome %v with error %v", res.Outcome, err)
	}
	if fail.Outcome(err) == ident.NotRun && w.prefills > 0 {
		w.errorf("not run is false: %d prefills; error %v", w.prefills, err)
	}
	if res.Restarts > 0 && !w.exact {
		w.errorf("%d restarts of an output that is not repeatable", res.Restarts)
	}
	if len(w.kept) > 0 {
		w.errorf("holds are not released: %v", w.kept)
	}
	if res.Dropped != w.strays {
		w.errorf("dropped %+v, injected %+v", res.Dropped, w.strays)
	}
	if res.WastedTokens > res.ComputedTokens || (err != nil && res.OutputTokens == 0 && res.WastedTokens != res.ComputedTokens) {
		w.errorf("wasted %d of %d computed; error %v", res.WastedTokens, res.ComputedTokens, err)
	}
}

// TestNothingRunsAfterPause lets the process pause right before the prefill is
// sent, until the deadline, or the charge, has run out.
func TestNothingRunsAfterPause(t *testing.T) {
	tests := []struct {
		name  string
		fresh bool
		code  fail.Code
	}{
		{"deadline has passed", true, fail.CodeDeadline},
		{"charge ran out", false, fail.CodeRateLimited},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWalk(t, 0)
			w.trouble = 0
			w.deadline = time.Minute
			w.fresh = func() bool {
				w.clock.Advance(time.Hour)
				return tt.fresh
			}
			_, err := w.run()
			if code, _ := flow.ErrorCode(err); code != tt.code {
				t.Errorf("code %q, want %q; error %v", code, tt.code, err)
			}
			if w.asked != 0 || fail.Outcome(err) != ident.NotRun {
				t.Errorf("%d prefills asked for, error %v", w.asked, err)
			}
		})
	}
}

// TestWalk draws schedules of failures.
func TestWalk(t *testing.T) {
	const schedules = 5000
	ends := make(map[ending]int)
	var strays, restarts, resumes int64
	for seed := range uint64(schedules) {
		w := newWalk(t, seed)
		res, err := w.run()
		ends[endingOf(res, err)]++
		strays += res.Dropped.Stale + res.Dropped.Duplicate + res.Dropped.Foreign
		restarts += int64(res.Restarts)
		resumes += int64(res.Resumes)
		if t.Failed() {
			return
		}
	}
	for _, e := range []ending{whole, cut, failed, refused} {
		if ends[e] == 0 {
			t.Errorf("no request ended %s: the walk shows too little", e)
		}
	}
	if strays == 0 || restarts == 0 || resumes == 0 {
		t.Errorf("%d strays, %d restarts, %d resumes: the walk shows too little", strays, restarts, resumes)
	}
	t.Logf("%d schedules: %v, %d strays dropped, %d restarts, %d resumes", schedules, ends, strays, restarts, resumes)
}
