package probe_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/probe"
	"wasabidock.dev/dock/tick"
)

const (
	testPoll  = 500 * time.Millisecond
	testRetry = time.Second
)

// fakeEngine serves the load report and the event feed of one engine.
type fakeEngine struct {
	srv *httptest.Server

	mu     sync.Mutex
	seq    uint64 // sequence number of the last event
	events []engine.CacheEvent
	polls  int
	feeds  int           // open feeds
	cut    chan struct{} // closed to interrupt the open feeds
	more   chan struct{} // closed when there are more events
}

func newFakeEngine(t *testing.T) *fakeEngine {
	e := &fakeEngine{cut: make(chan struct{}), more: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc(engine.PathLoad, e.load)
	mux.HandleFunc(engine.PathEvents, e.feed)
	e.srv = httptest.NewServer(mux)
	t.Cleanup(e.srv.Close)
	return e
}

func (e *fakeEngine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls++
	_ = json.NewEncoder(w).Encode(engine.LoadReport{Seq: uint64(e.polls), QueuedTokens: 7, BusySlots: 3, TokenIntervalMS: 1.5, AgeMS: 20})
}

func (e *fakeEngine) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.count(1)
	defer e.count(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		e.mu.Lock()
		events, cut, more := e.events, e.cut, e.more
		e.mu.Unlock()
		for _, ev := range events {
			if ev.Seq > after {
				data, _ := json.Marshal(ev)
				_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
				after = ev.Seq
			}
		}
		w.(http.Flusher).Flush()
		select {
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-more:
		}
	}
}

func (e *fakeEngine) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.feeds += n
}

func (e *fakeEngine) open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.feeds
}

// add publishes an event that adds a block.
func (e *fakeEngine) add(piece uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	e.events = append(e.events, engine.CacheEvent{Seq: e.seq, Added: []uint64{piece}})
	close(e.more)
	e.more = make(chan struct{})
}

// breakFeeds interrupts the open feeds. With restart, the sequence numbers of the
// engine's events begin again.
func (e *fakeEngine) breakFeeds(restart bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.cut)
	e.cut = make(chan struct{})
	if restart {
		e.seq, e.events = 0, nil
	}
}

// world implements the directory, the targets and the sink of a Prober.
type world struct {
	engines map[ident.Server]*fakeEngine

	mu      sync.Mutex
	targets []ident.Server
	reports map[ident.Server][]place.LoadReport
	pieces  map[ident.Server]map[uint64]bool // seen in events
}

func (w *world) Address(s ident.Server) (string, bool) {
	e, ok := w.engines[s]
	if !ok {
		return "", false
	}
	return e.srv.Listener.Addr().String(), true
}

func (w *world) ApplyReport(r place.LoadReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports[r.Server] = append(w.reports[r.Server], r)
}

func (w *world) ApplyEvents(e place.CacheEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range e.Added {
		if w.pieces[e.Server] == nil {
			w.pieces[e.Server] = make(map[uint64]bool)
		}
		w.pieces[e.Server][p] = true
	}
}

func (w *world) follow(servers ...ident.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets = servers
}

func (w *world) following() []ident.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets
}

func (w *world) reported(s ident.Server) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.reports[s])
}

func (w *world) saw(s ident.Server, piece uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pieces[s][piece]
}

// start runs a Prober that follows the engines a and b at first. The function stop
// stops it and waits until it has ended.
func start(t *testing.T) (w *world, timer *tick.Fake, stop func()) {
	t.Helper()
	w = &world{
		engines: map[ident.Server]*fakeEngine{"a": newFakeEngine(t), "b": newFakeEngine(t)},
		targets: []ident.Server{"a", "b"},
		reports: make(map[ident.Server][]place.LoadReport),
		pieces:  make(map[ident.Server]map[uint64]bool),
	}
	timer = tick.NewFake(0)
	client := engine.New(engine.Config{Clock: tick.NewReal(), Directory: w, StallTimeout: time.Minute, CallTimeout: time.Minute})
	t.Cleanup(client.Close)
	p := probe.New(probe.Config{
		Engines: client, Targets: w.following, Sink: w, Timer: timer, Log: zerolog.Nop(),
		Poll: testPoll, Retry: testRetry,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run returned %v, want nil", err)
		}
	})
	t.Cleanup(stop)
	return w, timer, stop
}

// await waits until the goroutines of the Prober have made cond true. It
// advances the timer by step between two checks.
func await(t *testing.T, timer *tick.Fake, step time.Duration, cond func() bool) {
	t.Helper()
	real := tick.NewReal()
	for !cond() {
		if real.Now() > 10*time.Second {
			t.Fatal("condition was not met within 10 s")
		}
		timer.Advance(step)
		_ = tick.Sleep(context.Background(), real, time.Millisecond)
	}
}

func TestProberForwardsReports(t *testing.T) {
	is := is.New(t)
	w, timer, stop := start(t)
	await(t, timer, testPoll, func() bool { return w.reported("a") >= 3 && w.reported("b") >= 3 })
	stop()
	is.Equal(w.reports["a"][0], place.LoadReport{
		Server: "a", Seq: 1, QueuedTokens: 7, BusySlots: 3,
		TokenInterval: 1500 * time.Microsecond, Age: 20 * time.Millisecond,
	})
}

func TestProberFollowsChangedTargets(t *testing.T) {
	w, timer, _ := start(t)
	a, b := w.engines["a"], w.engines["b"]
	await(t, timer, 0, func() bool { return a.open() == 1 && b.open() == 1 })
	w.follow("b")
	await(t, timer, testPoll, func() bool { return a.open() == 0 })
	polled := w.reported("a")
	seen := w.reported("b")
	await(t, timer, testPoll, func() bool { return w.reported("b") >= seen+2 })
	if got := w.reported("a"); got != polled {
		t.Errorf("%d reports of a removed target, want %d", got, polled)
	}
	w.follow("a", "b")
	await(t, timer, testPoll, func() bool { return a.open() == 1 && w.reported("a") > polled })
	if got := b.open(); got != 1 {
		t.Errorf("%d feeds of a target that stayed, want 1", got)
	}
}

func TestProberReopensFailedFeed(t *testing.T) {
	tests := []struct {
		name    string
		restart bool
	}{
		{"connection is interrupted", false},
		{"engine restarts its sequence numbers", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, timer, _ := start(t)
			a := w.engines["a"]
			for p := range uint64(5) {
				a.add(p)
			}
			await(t, timer, 0, func() bool { return w.saw("a", 4) })
			a.breakFeeds(tt.restart)
			a.add(100)
			await(t, timer, testRetry, func() bool { return w.saw("a", 100) })
		})
	}
}

func TestProberStopsWithContext(t *testing.T) {
	w, timer, stop := start(t)
	a, b := w.engines["a"], w.engines["b"]
	await(t, timer, 0, func() bool { return a.open() == 1 && b.open() == 1 })
	stop()
	await(t, timer, 0, func() bool { return a.open() == 0 && b.open() == 0 })
}
