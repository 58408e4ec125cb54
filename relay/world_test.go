package relay_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/meter"
	"wasabidock.dev/dock/platform"
	"wasabidock.dev/dock/platform/mimic"
	"wasabidock.dev/dock/relay"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// world is a handler in front of stand-ins of servers.
type world struct {
	live    *route.Live
	handler *relay.Handler
	front   *httptest.Server
	servers map[string]*mimic.Server
	budget  *budget
	limiter *limiter
	clock   tick.Clock
	source  models
	health  *health.Tracker
	log     lockedBuffer

	measures metrics.Registry
}

// count returns a counter of the handler.
func (w *world) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, w.measures).Count()
}

// lockedBuffer takes the log.
type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// decisions returns the number of decision lines.
func (l *lockedBuffer) decisions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), `"decision":true`)
}

// has tells whether a text was logged.
func (l *lockedBuffer) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.b.String(), text)
}

// budget counts repeats.
type budget struct {
	mu    sync.Mutex
	left  int
	spent int
}

func (b *budget) RecordRequest(string) {}

func (b *budget) Allow(string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	b.spent++
	return true
}

// limiter refuses when it is told to.
type limiter struct {
	mu      sync.Mutex
	refuse  time.Duration
	charged int
}

func (l *limiter) Admit(_ context.Context, _ *route.Customer, tokens int, _ time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse > 0 {
		return l.refuse, false
	}
	l.charged += tokens
	return 0, true
}

func (l *limiter) Refund(_ *route.Customer, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charged -= tokens
}

type models struct{ live *route.Live }

func (m models) Servers(service string) ([]*route.Server, *route.Engine) {
	s, ok := m.live.Table().Service(service)
	if !ok {
		return nil, nil
	}
	return m.live.Fleet().ServersOf(service), s.Engine
}

const testKey = "customer-key"

// testTable is a configuration with each kind of route.
func testTable() *route.Table {
	mk := func(name, prefix string, k route.Kind, resumable bool, tries int, service string) *route.Route {
		return &route.Route{
			Name: name, Host: "host.example", Prefix: prefix, Kind: k, Resumable: resumable, MaxAttempts: tries,
			Timeout: 2 * time.Second, LatencyTarget: 400 * time.Millisecond, GapTarget: 100 * time.Millisecond,
			Model: service == "model", Targets: []route.Target{{Service: service, Weight: 1}},
		}
	}
	slow := mk("slow", "/slow/", route.Stream, true, 2, "model")
	slow.Timeout, slow.GapTarget = 5*time.Second, 700*time.Millisecond
	open := mk("open", "/open/", route.Idempotent, false, 1, "app")
	open.Public = true
	return route.NewTable(route.Spec{
		Version: 1, Revision: 1, KeysRequired: true,
		Routes: []*route.Route{
			mk("file", "/file/", route.Mutating, false, 1, "app"),
			mk("read", "/read/", route.Idempotent, false, 2, "app"),
			mk("once", "/once/", route.Stream, false, 1, "model"),
			mk("again", "/again/", route.Stream, true, 2, "model"),
			open, slow,
		},
		Services: []*route.Service{
			{Name: "app", MaxConns: 10},
			{Name: "model", MaxConns: 10, Engine: &route.Engine{
				Slots: 8, KVTokens: 10_000, HandleTTL: 500 * time.Millisecond, ReservationTTL: time.Second,
			}},
		},
		Customers: []*route.Customer{{Name: "sur", Keys: []route.Key{route.HashKey(testKey)}, DefaultTokens: 200}},
		Limits:    route.Limits{BodyBytes: 1000, HeaderBytes: 2000},
	})
}

// newWorld starts the servers, given as service/name with their roles.
func newWorld(t *testing.T, roles map[string]mimic.Role) *world {
	t.Helper()
	w := &world{
		live: route.NewLive(), servers: make(map[string]*mimic.Server), clock: tick.NewReal(),
		budget: &budget{left: 10}, limiter: &limiter{}, measures: metrics.NewRegistry(),
	}
	w.live.SetTable(testTable())
	stages := map[mimic.Role]route.Stage{
		mimic.Plain: route.StageBoth, mimic.Prefill: route.StagePrefill, mimic.Decode: route.StageDecode,
	}
	var list []*route.Server
	for name, role := range roles {
		s := mimic.NewServer(name, role)
		s.Register()
		t.Cleanup(s.Close)
		w.servers[name] = s
		service := "model"
		if role == mimic.Plain {
			service = "app"
		}
		list = append(list, &route.Server{
			ID: name, Service: service, Addr: s.Addr(), Centre: "a", Region: "r", Stage: stages[role], Slots: 8,
		})
	}
	w.live.SetFleet(route.NewFleet(2, list))
	w.health = health.NewTracker()
	desk := w.newHandler()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go tick.Repeat(ctx, w.clock.Every(20*time.Millisecond), func(context.Context) { desk.Dispatch() })
	w.front = httptest.NewServer(w.handler)
	t.Cleanup(w.front.Close)
	return w
}

// newHandler makes the handler and its desk anew.
func (w *world) newHandler() *admit.Scheduler {
	w.source = models{w.live}
	desk := admit.NewScheduler(admit.Config{
		Centre: "a", Region: "r", Usable: w.health.Usable, ClosedUntil: w.health.ClosedUntil,
	}, w.source, w.clock)
	w.handler = relay.New(relay.Config{
		Centre: "a", Region: "r", Live: w.live, Protocol: platform.Protocol{},
		Client:  link.New(link.Config{Clock: w.clock, IDHeader: platform.AttemptHeader}),
		Limiter: w.limiter, RetryBudget: w.budget, Placer: desk, MaxBodyBytes: 500, MaxBufferedBytes: 1 << 20, Health: w.health, Clock: w.clock,
		Meter: meter.New(meter.Config{Registry: w.measures, Clock: w.clock}), Log: zerolog.New(&w.log),
	})
	return desk
}

// forgetAll has a process take the place that has just started.
func (w *world) forgetAll() {
	w.live = route.NewLive()
	w.newHandler()
	w.front.Config.Handler = w.handler
}

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   string
	closes bool  // the connection ends with the answer
	err    error // the body did not end as it should
}

// ask sends a request. Changes alter it before it is sent.
func (w *world) ask(t *testing.T, method, path, body string, changes ...func(*http.Request)) answer {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, w.front.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "host.example"
	r.Header.Set("Wasabidock-Attempt-Id", "a1")
	r.Header.Set("Wasabidock-Deadline-Ms", "2000")
	r.Header.Set("Authorization", "Token "+testKey)
	for _, c := range changes {
		c(r)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(bufio.NewReader(resp.Body))
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), closes: resp.Close, err: err}
}

// sized makes a request one of a model.
func sized(r *http.Request) {
	r.Header.Set("Wasabidock-Model", "m")
	r.Header.Set("Wasabidock-Token-Count", "100,50")
	r.Header.Set("Wasabidock-Prompt-Prefix", "a:60,b:40")
}

func header(k, v string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(k, v) }
}

// events returns the text of the events from first to last.
func events(first, last int64) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		b.WriteString(mimic.Event(n))
	}
	return b.String()
}

// eventually waits until ok holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for !ok() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Log(what)
			is.Fail() // the state was not reached
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
