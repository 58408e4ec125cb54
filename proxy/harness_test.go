package proxy_test

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
	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/drain"
	"wasabidock.dev/dock/filter"
	"wasabidock.dev/dock/health"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/metric"
	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/platform"
	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/proxy"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
	"wasabidock.dev/dock/warmup"
)

// harness is a Handler in front of fake backend servers.
type harness struct {
	live    *route.Live
	handler *proxy.Handler
	drain   *drain.Tracker
	proxy   *httptest.Server
	servers map[string]*fake.Server
	budget  *fakeBudget
	limiter *fakeLimiter
	clock   tick.Clock
	source  serverSource
	sched   *admit.Scheduler
	health  *health.Tracker
	gate    *permit.Gate
	warmups *warmup.Tracker
	crashes *crash.Gate
	log     logBuffer

	registry metrics.Registry
	memory   *memory.Budget
}

// counter returns the value of a counter of the handler.
func (h *harness) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, h.registry).Count()
}

// logBuffer collects the log. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// decisions returns the number of decision log lines.
func (l *logBuffer) decisions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), `"decision":true`)
}

// contains reports whether a text was logged.
func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.b.String(), text)
}

// text returns what was logged.
func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// fakeBudget grants a fixed number of retries and counts them.
type fakeBudget struct {
	mu    sync.Mutex
	left  int
	spent int
}

func (b *fakeBudget) RecordRequest(string) {}

func (b *fakeBudget) Allow(string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	b.spent++
	return true
}

// fakeLimiter admits all requests while retryAfter is 0, and rejects all otherwise.
type fakeLimiter struct {
	mu         sync.Mutex
	retryAfter time.Duration
	charged    int
}

func (l *fakeLimiter) Admit(_ context.Context, _ *route.Customer, tokens int, _ time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retryAfter > 0 {
		return l.retryAfter, false
	}
	l.charged += tokens
	return 0, true
}

func (l *fakeLimiter) Refund(_ *route.Customer, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charged -= tokens
}

// serverSource implements admit.Source on a route.Live.
type serverSource struct{ live *route.Live }

func (m serverSource) Servers(service string) ([]*route.Server, *route.Engine) {
	s, ok := m.live.Table().Service(service)
	if !ok {
		return nil, nil
	}
	return m.live.Fleet().ServersOf(service), s.Engine
}

const testKey = "customer-key"

// testSpec is a configuration with each kind of route.
func testSpec() route.Spec {
	newRoute := func(name, prefix string, k route.Kind, resumable bool, tries int, service string) *route.Route {
		return &route.Route{
			Name: name, Host: "host.example", Prefix: prefix, Kind: k, Resumable: resumable, MaxAttempts: tries,
			Timeout: 2 * time.Second, LatencyTarget: 400 * time.Millisecond, GapTarget: 100 * time.Millisecond,
			Model: service == "model", Targets: []route.Target{{Service: service, Weight: 1}},
		}
	}
	slow := newRoute("slow", "/slow/", route.Stream, true, 2, "model")
	slow.Timeout, slow.GapTarget = 5*time.Second, 700*time.Millisecond
	soon := newRoute("soon", "/soon/", route.Stream, false, 1, "model")
	soon.LatencyTarget = 60 * time.Millisecond
	open := newRoute("open", "/open/", route.Idempotent, false, 1, "app")
	open.Public = true
	return route.Spec{
		Version: 1, Revision: 1, KeysRequired: true,
		Routes: []*route.Route{
			newRoute("file", "/file/", route.Mutating, false, 1, "app"),
			newRoute("read", "/read/", route.Idempotent, false, 2, "app"),
			newRoute("once", "/once/", route.Stream, false, 1, "model"),
			newRoute("again", "/again/", route.Stream, true, 2, "model"),
			newRoute("thrice", "/thrice/", route.Stream, true, 3, "model"),
			open, slow, soon,
		},
		Services: []*route.Service{
			{Name: "app", MaxConns: 10},
			{Name: "model", MaxConns: 10, Engine: &route.Engine{
				Slots: 8, KVTokens: 10_000, HandleTTL: 500 * time.Millisecond, ReservationTTL: time.Second,
			}},
		},
		Customers: []*route.Customer{{Name: "sur", Keys: []route.Key{route.HashKey(testKey)}, DefaultTokens: 200}},
		Limits:    route.Limits{BodyBytes: 1000, HeaderBytes: 2000},
	}
}

// soleHome implements permit.Claimer for an instance without peers.
type soleHome struct{ issuer *permit.Issuer }

func (s soleHome) Claim(_ context.Context, c permit.Claim, now tick.Instant) (permit.Answer, error) {
	return s.issuer.Decide(c, 1, now), nil
}

// newHarness starts a server for each name in roles. Plain servers run the service app, the
// others the service model.
func newHarness(t *testing.T, roles map[string]fake.Role) *harness {
	t.Helper()
	h := &harness{
		live: route.NewLive(), servers: make(map[string]*fake.Server), clock: tick.NewReal(),
		budget: &fakeBudget{left: 10}, limiter: &fakeLimiter{}, registry: metrics.NewRegistry(), memory: memory.NewBudget(1 << 20),
	}
	h.live.SetTable(route.NewTable(testSpec()))
	h.live.SetFleet(route.NewFleet(1, nil))
	for name, role := range roles {
		h.addServer(t, name, role)
	}
	h.health = health.NewTracker()
	limits := permit.NewLimits()
	h.gate = permit.NewGate(limits, h.clock.Now)
	h.warmups = warmup.NewTracker(warmup.Config{Excess: 1}, h.live, h.clock.Now)
	h.gate.SetWarmups(h.warmups)
	h.gate.SetClaimer(soleHome{permit.NewIssuer("h", limits)})
	h.crashes = crash.NewGate(crash.NewTracker(crash.Config{}), h.clock, tick.SinceBoot)
	scheduler := h.newHandler()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go tick.Repeat(ctx, h.clock.Every(20*time.Millisecond), func(context.Context) { scheduler.Dispatch() })
	h.proxy = httptest.NewServer(h.handler)
	t.Cleanup(h.proxy.Close)
	return h
}

// addServer starts a server and adds it to the server list.
func (h *harness) addServer(t *testing.T, name string, role fake.Role) {
	t.Helper()
	stages := map[fake.Role]route.Stage{
		fake.Plain: route.StageBoth, fake.Prefill: route.StagePrefill, fake.Decode: route.StageDecode,
	}
	s := fake.NewServer(name, role)
	s.Register()
	t.Cleanup(s.Close)
	h.servers[name] = s
	service := "model"
	if role == fake.Plain {
		service = "app"
	}
	old := h.live.Fleet()
	h.live.SetFleet(route.NewFleet(old.Revision()+1, append(old.All(), &route.Server{
		ID: name, Service: service, Addr: s.Addr(), Centre: "a", Region: "r", Stage: stages[role], Slots: 8,
	})))
}

// newHandler replaces the handler and returns its new scheduler.
func (h *harness) newHandler() *admit.Scheduler {
	h.source = serverSource{h.live}
	scheduler := admit.NewScheduler(admit.Config{
		Centre: "a", Region: "r", Usable: h.health.Usable, Check: filter.New(h.live, h.health).Check,
	}, h.source, h.clock)
	h.sched, h.drain = scheduler, drain.New(h.clock)
	h.handler = proxy.New(proxy.Config{
		Centre: "a", Region: "r", Live: h.live, Protocol: platform.Protocol{},
		Client:  link.New(link.Config{Clock: h.clock, Memory: h.memory, IDHeader: platform.AttemptHeader}),
		Limiter: h.limiter, RetryBudget: h.budget, Placer: scheduler, Memory: h.memory, Health: h.health, Filter: filter.New(h.live, h.health), Warmups: h.warmups, Permits: h.gate, Crashes: h.crashes, Drain: h.drain, Clock: h.clock,
		Meter: metric.New(metric.Config{Registry: h.registry, Clock: h.clock}), Log: zerolog.New(&h.log),
	})
	return scheduler
}

// restart replaces the handler by that of a process that has just started and has no
// configuration.
func (h *harness) restart() {
	h.live = route.NewLive()
	h.newHandler()
	h.proxy.Config.Handler = h.handler
}

// allowBodies replaces the handler by one that accepts bodies of n bytes.
func (h *harness) allowBodies(n int) {
	spec := testSpec()
	spec.Version, spec.Revision, spec.Limits.BodyBytes = 2, 2, n
	h.live.SetTable(route.NewTable(spec))
	h.memory = memory.NewBudget(8 * int64(n))
	h.newHandler()
	h.proxy.Config.Handler = h.handler
}

// result is the response that a caller receives.
type result struct {
	status     int
	header     http.Header
	body       string
	closesConn bool  // the response closes its connection
	err        error // the body did not end regularly
}

// send sends a request after applying the changes to it.
func (h *harness) send(t *testing.T, method, path, body string, changes ...func(*http.Request)) result {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, h.proxy.URL+path, strings.NewReader(body))
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
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(bufio.NewReader(resp.Body))
	return result{status: resp.StatusCode, header: resp.Header, body: string(b), closesConn: resp.Close, err: err}
}

// withTokenCounts makes a request a model request.
func withTokenCounts(r *http.Request) {
	r.Header.Set("Wasabidock-Model", "m")
	r.Header.Set("Wasabidock-Token-Count", "100,50")
	r.Header.Set("Wasabidock-Prompt-Prefix", "a:60,b:40")
}

// withHeader returns a change that sets a header field.
func withHeader(k, v string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(k, v) }
}

// eventText returns the text of the events from first to last.
func eventText(first, last int64) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		b.WriteString(fake.Event(n))
	}
	return b.String()
}

// eventually waits for at most 5 s until ok returns true.
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

// cases are the cells of a generated table.
type cases struct {
	n    int
	most int // how many run at the same time
	name func(i int) string
	run  func(i int, t *testing.T, h *harness) error
}

// check runs all cases, each with a harness of its own, which is closed at the end of the case.
func (c cases) check(t *testing.T) {
	t.Helper()
	var ends sync.WaitGroup
	slots := make(chan struct{}, c.most)
	for i := range c.n {
		slots <- struct{}{}
		ends.Go(func() {
			defer func() { <-slots }()
			t.Run(c.name(i), func(t *testing.T) {
				if err := c.run(i, t, newHarness(t, nil)); err != nil {
					t.Error(err)
				}
			})
		})
	}
	ends.Wait()
}
