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
	testModel   = ident.Model("dossier")
	testHoldTTL = 5 * time.Second
)

// cluster is a set of fake engines on loopback and the components that call them.
type cluster struct {
	t       *testing.T
	timer   tick.Clock
	engines map[ident.Server]*stand.Engine
	servers map[ident.Server]*httptest.Server
	proxies map[ident.Server]*tcpProxy
	client  *engine.Client
	keeper  *sweep.Keeper
	placer  *listPlacer
	runner  *flow.Runner
	stop    context.CancelFunc
	// touchOnly means that an open stream does not renew the hold of its attempt.
	touchOnly bool
}

// pausedHolds is a HoldKeeper that renews no holds, as in a process that is paused.
type pausedHolds struct{ *sweep.Keeper }

func (p pausedHolds) Keep(ident.Server, ident.Attempt) {}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	return newClusterWith(t, func(*stand.EngineConfig) {})
}

// newClusterWith returns a cluster. change may modify the configuration of each engine.
func newClusterWith(t *testing.T, change func(cfg *stand.EngineConfig)) *cluster {
	t.Helper()
	w := &cluster{
		t:       t,
		timer:   tick.NewReal(),
		engines: make(map[ident.Server]*stand.Engine),
		servers: make(map[ident.Server]*httptest.Server),
		proxies: make(map[ident.Server]*tcpProxy),
	}
	for _, s := range []ident.Server{"p1", "p2"} {
		w.addEngine(s, stand.RolePrefill, change)
	}
	for _, s := range []ident.Server{"d1", "d2"} {
		w.addEngine(s, stand.RoleDecode, change)
	}
	w.client = engine.New(engine.Config{Clock: w.timer, Directory: w, StallTimeout: 600 * time.Millisecond, CallTimeout: 3 * time.Second})
	w.placer = &listPlacer{prefill: []ident.Server{"p1", "p2"}, decode: []ident.Server{"d1", "d2"}}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.keeper = sweep.NewKeeper(sweep.KeeperConfig{
		Engines: w.client,
		Timer:   w.timer,
		Life:    testHoldTTL,
		Touch:   testHoldTTL / 8,
		Retry:   5 * time.Millisecond,
		Streams: w.touchOnly,
	})
	w.keeper.Start(ctx)
	w.runner = w.newRunner(w.client, w.keeper)
	t.Cleanup(w.close)
	return w
}

func (w *cluster) newRunner(e flow.EngineClient, h flow.HoldKeeper) *flow.Runner {
	return flow.New(flow.Config{
		Node:    ident.Node{Instance: "a", Incarnation: 1},
		Engines: e,
		Placer:  w.placer,
		Holds:   h,
		Timer:   w.timer,
		HoldTTL: testHoldTTL,
		Backoff: time.Millisecond,
	})
}

func (w *cluster) addEngine(s ident.Server, role string, change func(cfg *stand.EngineConfig)) {
	cfg := stand.EngineConfig{
		Server:       s,
		Role:         role,
		Models:       []engine.LoadedModel{{Model: testModel}},
		Build:        "b1",
		Timer:        w.timer,
		PrefillToken: 20 * time.Microsecond,
		TokenTime:    time.Millisecond,
		KVLife:       1500 * time.Millisecond,
		Link:         stand.NewLink(1 << 30),
		HoldLife:     testHoldTTL,
		Heartbeat:    20 * time.Millisecond,
	}
	change(&cfg)
	w.touchOnly = cfg.TouchOnly
	e := stand.NewEngine(cfg)
	w.engines[s] = e
	w.servers[s] = httptest.NewServer(e)
	w.proxies[s] = newTCPProxy(w.t, w.servers[s].Listener.Addr().String())
}

// Address implements engine.Directory. It returns the address of the proxy in front of the server.
func (w *cluster) Address(s ident.Server) (string, bool) {
	r, ok := w.proxies[s]
	if !ok {
		return "", false
	}
	return r.addr(), true
}

func (w *cluster) close() {
	w.stop()
	<-w.keeper.Done()
	w.client.Close()
	for _, e := range w.engines {
		e.Kill()
	}
	for s, r := range w.proxies {
		r.close()
		w.servers[s].Close()
		w.engines[s].Close()
	}
}

// holds returns the total number of holds at all engines.
func (w *cluster) holds() int {
	n := 0
	for _, e := range w.engines {
		n += e.Counts().Holds
	}
	return n
}

// awaitNoHolds waits until no engine has a hold, at most for the TTL of a hold and some slack. It
// returns the number of holds that remain.
func (w *cluster) awaitNoHolds(slack time.Duration) int {
	ctx, stop := tick.WithTimeout(context.Background(), w.timer, testHoldTTL+slack, context.DeadlineExceeded)
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

// wantAnswer returns the complete answer to a request.
func wantAnswer(r flow.Request) string {
	tokens, _ := stand.Answer(r.Prompt, r.MaxOutput)
	return strings.Join(tokens, "")
}

// textSink collects the answer. It fails the test if a token is out of order.
type textSink struct {
	t     *testing.T
	next  int64
	text  strings.Builder
	after func(n int64) error // called with the number of tokens received
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

// listPlacer chooses the first servers in its lists that are not excluded.
type listPlacer struct {
	prefill []ident.Server
	decode  []ident.Server
	before  func(req place.Request) // called before each placement

	mu     sync.Mutex
	stages []place.Stage
}

func (l *listPlacer) Place(ctx context.Context, req place.Request) (place.Placement, error) {
	if l.before != nil {
		l.before(req)
	}
	p, d := firstAllowed(l.prefill, req.Avoid), firstAllowed(l.decode, req.Avoid)
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

// last returns the last reported stage.
func (l *listPlacer) last() place.Stage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stages[len(l.stages)-1]
}

func firstAllowed(from, avoid []ident.Server) ident.Server {
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
