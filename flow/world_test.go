package flow_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/stand"
	"wasabidock.dev/dock/sweep"
	"wasabidock.dev/dock/tick"
)

const (
	testModel = ident.Model("dossier")
	testHold  = 5 * time.Second
)

// world is a few stand-in engines on loopback and the parts that talk to them.
type world struct {
	t       *testing.T
	timer   tick.Clock
	engines map[ident.Server]*stand.Engine
	servers map[ident.Server]*httptest.Server
	relays  map[ident.Server]*relay
	client  *engine.Client
	keeper  *sweep.Keeper
	placer  *listPlacer
	runner  *flow.Runner
	stop    context.CancelFunc
	// touchOnly tells that the engines do not count streams as contact.
	touchOnly bool
}

// pausable holds renew nothing while the process is paused.
type pausable struct{ *sweep.Keeper }

func (p pausable) Keep(ident.Server, ident.Attempt) {}

func newWorld(t *testing.T) *world {
	t.Helper()
	return newWorldOf(t, func(*stand.EngineConfig) {})
}

// newWorldOf returns a world whose engines are changed by a function.
func newWorldOf(t *testing.T, change func(cfg *stand.EngineConfig)) *world {
	t.Helper()
	w := &world{
		t:       t,
		timer:   tick.NewReal(),
		engines: make(map[ident.Server]*stand.Engine),
		servers: make(map[ident.Server]*httptest.Server),
		relays:  make(map[ident.Server]*relay),
	}
	for _, s := range []ident.Server{"p1", "p2"} {
		w.addEngine(s, stand.RolePrefill, change)
	}
	for _, s := range []ident.Server{"d1", "d2"} {
		w.addEngine(s, stand.RoleDecode, change)
	}
	w.client = engine.New(engine.Config{Timer: w.timer, Directory: w, Silence: 600 * time.Millisecond, Call: 3 * time.Second})
	w.placer = &listPlacer{prefill: []ident.Server{"p1", "p2"}, decode: []ident.Server{"d1", "d2"}}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.keeper = sweep.NewKeeper(sweep.KeeperConfig{
		Engines: w.client,
		Timer:   w.timer,
		Life:    testHold,
		Touch:   testHold / 8,
		Retry:   5 * time.Millisecond,
		Streams: w.touchOnly,
	})
	w.keeper.Start(ctx)
	w.runner = w.newRunner(w.client, w.keeper)
	t.Cleanup(w.close)
	return w
}

func (w *world) newRunner(e flow.EngineClient, h flow.HoldKeeper) *flow.Runner {
	return flow.New(flow.Config{
		Node:    ident.Node{Instance: "a", Incarnation: 1},
		Engines: e,
		Placer:  w.placer,
		Holds:   h,
		Timer:   w.timer,
		HoldTTL: testHold,
		Backoff: time.Millisecond,
	})
}

func (w *world) addEngine(s ident.Server, role string, change func(cfg *stand.EngineConfig)) {
	cfg := stand.EngineConfig{
		Server:       s,
		Role:         role,
		Models:       []engine.Loaded{{Model: testModel}},
		Build:        "b1",
		Timer:        w.timer,
		PrefillToken: 20 * time.Microsecond,
		TokenTime:    time.Millisecond,
		KVLife:       1500 * time.Millisecond,
		Link:         stand.NewLink(1 << 30),
		HoldLife:     testHold,
		Heartbeat:    20 * time.Millisecond,
	}
	change(&cfg)
	w.touchOnly = cfg.TouchOnly
	e := stand.NewEngine(cfg)
	w.engines[s] = e
	w.servers[s] = httptest.NewServer(e)
	w.relays[s] = newRelay(w.t, w.servers[s].Listener.Addr().String())
}

// Address leads through the relays.
func (w *world) Address(s ident.Server) (string, bool) {
	r, ok := w.relays[s]
	if !ok {
		return "", false
	}
	return r.addr(), true
}

func (w *world) close() {
	w.stop()
	<-w.keeper.Done()
	w.client.Close()
	for _, e := range w.engines {
		e.Kill()
	}
	for s, r := range w.relays {
		r.close()
		w.servers[s].Close()
		w.engines[s].Close()
	}
}

// holds returns the number of holds at all engines.
func (w *world) holds() int {
	n := 0
	for _, e := range w.engines {
		n += e.Counts().Holds
	}
	return n
}

// awaitNoHolds waits until no engine holds anything, at most for the life of
// a hold and some slack.
func (w *world) awaitNoHolds(slack time.Duration) int {
	ctx, stop := tick.WithTimeout(context.Background(), w.timer, testHold+slack, context.DeadlineExceeded)
	defer stop()
	for w.holds() > 0 && tick.Sleep(ctx, w.timer, 2*time.Millisecond) == nil {
	}
	return w.holds()
}

func request(prompt string) flow.Request {
	return flow.Request{
		ID:           "r1",
		Customer:     "sur",
		Model:        testModel,
		Prompt:       prompt,
		PromptTokens: int64(len(prompt)+3) / 4,
		MaxOutput:    60,
	}
}

// wanted returns the whole answer to a request.
func wanted(r flow.Request) string {
	tokens, _ := stand.Answer(r.Prompt, r.MaxOutput)
	return strings.Join(tokens, "")
}

// textSink collects the answer and fails on a token out of order.
type textSink struct {
	t     *testing.T
	next  int64
	text  strings.Builder
	after func(n int64) error // called with the number of tokens taken
}

func (s *textSink) Token(offset int64, text string) error {
	if offset != s.next {
		s.t.Errorf("token at offset %d, want %d", offset, s.next)
	}
	s.next++
	s.text.WriteString(text)
	if s.after != nil {
		return s.after(s.next)
	}
	return nil
}

// listPlacer places on the first servers that are not to be avoided.
type listPlacer struct {
	prefill []ident.Server
	decode  []ident.Server
	before  func(ask place.Request) // called before each placement

	mu     sync.Mutex
	stages []place.Stage
}

func (l *listPlacer) Place(ctx context.Context, ask place.Request) (place.Placement, error) {
	if l.before != nil {
		l.before(ask)
	}
	p, d := pick(l.prefill, ask.Avoid), pick(l.decode, ask.Avoid)
	if p == "" || d == "" {
		return place.Placement{}, fail.Refuse(fail.CodeNoServer, time.Second, "no server left")
	}
	return place.Placement{ID: "pl", Prefill: p, Decode: d, TransferTime: 10 * time.Millisecond}, context.Cause(ctx)
}

func (l *listPlacer) ReportProgress(_ place.Placement, s place.Stage, _ int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stages = append(l.stages, s)
}

// last returns the stage that was reported last.
func (l *listPlacer) last() place.Stage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stages[len(l.stages)-1]
}

func pick(from, avoid []ident.Server) ident.Server {
next:
	for _, s := range from {
		for _, a := range avoid {
			if a == s {
				continue next
			}
		}
		return s
	}
	return ""
}
