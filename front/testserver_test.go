package front_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/front"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/metric"
	"wasabidock.dev/dock/once"
	"wasabidock.dev/dock/plain"
	"wasabidock.dev/dock/tick"
)

// maxActive is the limit on requests in progress of a testServer.
const maxActive = 64

// stallTimeout is the write time limit of a testServer.
const stallTimeout = 200 * time.Millisecond

// testKey is the valid API key of customer sur.
const testKey = "sk-0123456789abcdefghijklmnop"

// testServer is a Server on a loopback address, with fakes for its dependencies.
type testServer struct {
	t      testing.TB
	clock  *tick.Fake
	config *fakeConfig
	log    *logBuffer
	meter  *metric.Meter
	s      *front.Server
	addr   string
	done   <-chan error

	generate  func(ctx context.Context, g front.Generation, s front.Sink) (front.Result, error)
	call      func(ctx context.Context, c plain.Call) (plain.Answer, error)
	callKeyed func(ctx context.Context, c once.Call) (plain.Answer, error)
	admit     func(tokens int64) error

	mu          sync.Mutex
	ids         int
	settled     []int64
	generations []front.Generation
}

// fakeConfig is a configuration of one customer, one model and some routes.
type fakeConfig struct {
	mu      sync.Mutex
	keys    map[[32]byte]ident.Customer
	missing bool
}

func (v *fakeConfig) View() (front.View, bool) { return v, !v.missing }
func (v *fakeConfig) Revision() uint64         { return 7 }
func (v *fakeConfig) Models() []ident.Model    { return []ident.Model{"dossier"} }

func (v *fakeConfig) KeyOwner(sum [32]byte) (ident.Customer, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c, ok := v.keys[sum]
	return c, ok
}

func (v *fakeConfig) removeKey(key string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.keys, sha256.Sum256([]byte(key)))
}

func (v *fakeConfig) Model(m ident.Model) (front.Model, bool) {
	return front.Model{Name: "dossier", Class: "batch", MaxPrompt: 100, MaxOutput: 64}, m == "dossier"
}

func (v *fakeConfig) Class(c ident.Class) (front.Class, bool) {
	return front.Class{Name: c, FirstTokenTarget: time.Second, GapTarget: 100 * time.Millisecond}, c == "batch" || c == "fast"
}

func (v *fakeConfig) RouteFor(path string) (front.Route, bool) {
	for _, r := range []front.Route{
		{Name: "status", Idempotent: true, MaxBody: 64},
		{Name: "confirm", MaxBody: 1 << 10, Tokens: 5},
		{Name: "open", Public: true, Idempotent: true, MaxBody: 1 << 10},
	} {
		if strings.HasPrefix(path, "/"+string(r.Name)) {
			return r, true
		}
	}
	return front.Route{}, false
}

// logBuffer holds log lines. It may be written and read concurrently.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func (w *testServer) Admit(_ context.Context, _ ident.Request, _ ident.Customer, tokens int64) (func(int64), func() bool, error) {
	if err := w.admit(tokens); err != nil {
		return nil, nil, err
	}
	settle := func(used int64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.settled = append(w.settled, used)
	}
	return settle, func() bool { return true }, nil
}

// generator and the types below implement the interfaces of package front with
// the functions of a testServer.
type generator struct{ w *testServer }

func (g generator) Run(ctx context.Context, r front.Generation, s front.Sink) (front.Result, error) {
	g.w.mu.Lock()
	g.w.generations = append(g.w.generations, r)
	g.w.mu.Unlock()
	return g.w.generate(ctx, r, s)
}

type plainCaller struct{ w *testServer }

func (p plainCaller) Call(ctx context.Context, c plain.Call) (plain.Answer, error) {
	return p.w.call(ctx, c)
}

type keyedCaller struct{ w *testServer }

func (k keyedCaller) Run(ctx context.Context, c once.Call) (plain.Answer, error) {
	return k.w.callKeyed(ctx, c)
}

type meterAdapter struct{ *metric.Meter }

func (m meterAdapter) RecordEnded(e front.RequestStats) {
	m.Meter.RecordEnded(metric.Sample{
		Customer: e.Customer, Model: e.Model, Outcome: e.Outcome, Good: e.Result.OnTime, Abandoned: e.Abandoned,
		FirstToken: e.Result.FirstToken, MaxGap: e.Result.MaxGap,
		PromptTokens: e.PromptTokens, OutputTokens: e.Result.OutputTokens, WastedTokens: e.Result.WastedTokens,
	})
}

// newTestServer starts a testServer that runs until the end of the test. It uses
// TLS if a TLS configuration is passed.
func newTestServer(t testing.TB, cfg ...*tls.Config) *testServer {
	t.Helper()
	w := &testServer{
		t: t, clock: tick.NewFake(0), log: &logBuffer{},
		config: &fakeConfig{keys: map[[32]byte]ident.Customer{sha256.Sum256([]byte(testKey)): "sur"}},
	}
	w.meter = metric.New(metric.Config{Clock: w.clock})
	w.generate = generateWords("Placement", " fits", ".")
	w.admit = func(int64) error { return nil }
	w.call = func(_ context.Context, c plain.Call) (plain.Answer, error) {
		h := http.Header{"Content-Type": {"text/plain"}}
		return plain.Answer{Status: 200, Header: h, Body: []byte(c.Method + " " + c.Path), Server: "app-1", RunnerUp: "app-2"}, nil
	}
	w.callKeyed = func(ctx context.Context, c once.Call) (plain.Answer, error) { return w.call(ctx, c.Call) }
	var tlsConfig *tls.Config
	if len(cfg) > 0 {
		tlsConfig = cfg[0]
	}
	s, err := front.New(front.Config{
		TLS:    tlsConfig,
		Source: w.config, Limiter: w, Generator: generator{w}, Plain: plainCaller{w}, Keyed: keyedCaller{w},
		Meter: meterAdapter{w.meter}, Clock: w.clock, Log: zerolog.New(w.log), NewID: w.newID,
		WallClock: func() time.Time { return time.Unix(1_700_000_000, 0) },
		ErrorCode: errorCode, StallTimeout: stallTimeout, DrainDelay: time.Second,
		HeaderTimeout: 200 * time.Millisecond, BodyIdleTimeout: 200 * time.Millisecond, MaxActive: maxActive,
	})
	if err != nil {
		t.Fatal(err)
	}
	l, err := front.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.s, w.addr, w.done = s, l.Addr().String(), s.Serve(l)
	t.Cleanup(func() { _ = l.Close() })
	return w
}

func errorCode(err error) (fail.Code, time.Duration) {
	if strings.Contains(err.Error(), "cut") {
		return fail.CodeStreamCut, 2 * time.Second
	}
	return fail.CodeBackendFailed, 0
}

func (w *testServer) newID() ident.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return ident.Request("req-" + strconv.Itoa(w.ids))
}

// generateWords returns a generator that emits the words as tokens and completes.
func generateWords(words ...string) func(context.Context, front.Generation, front.Sink) (front.Result, error) {
	return func(_ context.Context, _ front.Generation, s front.Sink) (front.Result, error) {
		res := front.Result{
			Reason: "stop", OnTime: true, Attempts: 1, Prefill: "p1", Decode: "d1",
			FirstToken: 40 * time.Millisecond, MaxGap: 20 * time.Millisecond,
		}
		for i, word := range words {
			if err := s.Token(int64(i), word); err != nil {
				return res, err
			}
			res.OutputTokens++
		}
		return res, nil
	}
}

// dial opens a connection to the server.
func (w *testServer) dial() net.Conn {
	w.t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Close() })
	return c
}

var dateLine = regexp.MustCompile(`Date: [^\r]*\r\n`)

// exchange sends the bytes of one or more requests, the last of which closes the
// connection, and returns all bytes of the responses. Date headers are masked.
func (w *testServer) exchange(request string) string {
	w.t.Helper()
	c := w.dial()
	if _, err := io.WriteString(c, request); err != nil {
		w.t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err != nil && len(b) == 0 {
		w.t.Fatal(err)
	}
	return dateLine.ReplaceAllString(string(b), "Date: -\r\n")
}

// request returns the bytes of a request with "Connection: close".
func request(method, target, body string, headers ...string) string {
	var b strings.Builder
	b.WriteString(method + " " + target + " HTTP/1.1\r\nHost: dock\r\nConnection: close\r\n")
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	if body != "" {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	return b.String() + "\r\n" + body
}

const auth = "Authorization: Bearer " + testKey

// chat returns a chat completion request with additional JSON fields, each of which
// begins with a comma.
func chat(fields string, headers ...string) string {
	body := `{"model":"dossier","messages":[{"role":"user","content":"Does the family fit?"}]` + fields + `}`
	return request("POST", "/v1/chat/completions", body, headers...)
}
