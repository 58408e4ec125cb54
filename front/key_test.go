package front_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"wasabidock.dev/dock/front"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/once"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/plain"
)

// trafficRecorder records every byte that leaves the process.
type trafficRecorder struct {
	mu  sync.Mutex
	all []string
}

func (s *trafficRecorder) add(what, v string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, what+": "+v)
}

// recordedConn is a connection accepted by the backend server, whose incoming
// bytes are recorded.
type recordedConn struct {
	net.Conn
	s *trafficRecorder
}

func (c *recordedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.s.add("backend request", string(b[:n]))
	return n, err
}

type recordedListener struct {
	net.Listener
	s *trafficRecorder
}

func (l *recordedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordedConn{c, l.s}, nil
}

// fakeHome is a peer that runs all calls with an idempotency key.
type fakeHome struct {
	peerpbconnect.OnceServiceClient
	s *trafficRecorder
}

func (p fakeHome) Run(_ context.Context, req *peerpb.RunRequest) (*peerpb.RunResponse, error) {
	b, _ := proto.Marshal(req)
	p.s.add("peer message", string(b))
	return &peerpb.RunResponse{Outcome: peerpb.Outcome_OUTCOME_DONE, Status: 201}, nil
}

func (p fakeHome) Once(ident.Instance) (peerpbconnect.OnceServiceClient, error) { return p, nil }

// remoteHome is a configuration in which another instance is the home of all calls.
type remoteHome struct{}

func (remoteHome) View() (once.View, bool) { return remoteHome{}, true }
func (remoteHome) Revision() uint64        { return 7 }
func (remoteHome) Seats() []intent.Member  { return []intent.Member{{Instance: "a2", Centre: "a"}} }
func (remoteHome) Routes() []once.Route    { return nil }
func (remoteHome) Route(r ident.Route) (once.Route, bool) {
	return once.Route{Name: r}, true
}

// recordTraffic connects w to a real backend server for calls without an
// idempotency key, and to a fake peer for the others. It records what both receive.
func recordTraffic(t *testing.T, w *testServer) *trafficRecorder {
	s := &trafficRecorder{}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = rw.Write([]byte("ok"))
	}))
	srv.Listener = &recordedListener{srv.Listener, s}
	srv.Start()
	t.Cleanup(srv.Close)
	w.call = plain.New(plain.Config{Servers: singleServer{srv.URL}, Clock: w.clock}).Call
	w.callKeyed = once.New(once.Config{
		Self: ident.Node{Instance: "a1", Incarnation: 1}, Table: remoteHome{}, Dialer: fakeHome{s: s},
		Caller: plainCaller{w}, Clock: w.clock, Log: zerolog.New(w.log),
	}).Run
	return s
}

type singleServer struct{ url string }

func (o singleServer) Servers(ident.Route) []plain.Server {
	return []plain.Server{{Name: "app-1", URL: o.url}}
}

// TestKeyNeverLeavesProcess guards against leaks of an API key. It sends the key in
// every place of a request and searches all responses, logs, metrics, peer messages
// and backend requests for it.
func TestKeyNeverLeavesProcess(t *testing.T) {
	const body = `{"model":"dossier","messages":[{"role":"user","content":"Fits?"}]`
	escaped := strings.ReplaceAll(url.QueryEscape(testKey), "s", "%73")
	json := "Content-Type: application/json"
	form := "Content-Type: application/x-www-form-urlencoded"
	tests := []struct {
		name   string
		in     string
		status string
	}{
		{"chat bearer", chat("", auth), "200"},
		{"chat x-api-key", chat("", "X-Api-Key: "+testKey), "200"},
		{"chat body field", chat(`,"api_key":"` + testKey + `"`), "200"},
		{"chat body field in other case", chat(`,"API_KEY":"` + testKey + `"`), "200"},
		{"chat query", request("POST", "/v1/chat/completions?api_key="+testKey, body+"}"), "200"},
		{"chat query key", request("POST", "/v1/chat/completions?key="+testKey, body+"}"), "200"},
		{"chat prompt repeats it", request("POST", "/v1/chat/completions", strings.Replace(body, "Fits?", testKey, 1)+"}", auth), "400"},
		{"chat stream", chat(`,"stream":true`, auth), "200"},
		{"plain bearer", request("POST", "/confirm", "x", auth), "200"},
		{"plain query", request("POST", "/confirm?a=1&api_key="+testKey+"&b=2", "x"), "200"},
		{"plain query escaped", request("POST", "/confirm?a=1&k%65y="+escaped, "x"), "200"},
		{"plain query semicolon", request("POST", "/confirm?a=1;key="+testKey, "x"), "200"},
		{"plain body field", request("POST", "/confirm", `{"pupil":7,"api_key":"`+testKey+`"}`, json), "200"},
		{"plain form", request("POST", "/confirm", "pupil=7&api_key="+testKey, form), "200"},
		{"plain two keys", request("POST", "/confirm?key=sk-other-key-9999", "x", auth, "X-Api-Key: "+testKey), "200"},
		{"plain request id", request("POST", "/confirm", "x", auth, "X-Request-Id: "+testKey), "200"},
		{"plain other headers", request("POST", "/confirm", "x", auth, "Cookie: k="+testKey, "Referer: https://x/?key="+testKey, "X-"+testKey+": 1"), "200"},
		{"plain path repeats it", request("POST", "/confirm/"+testKey, "x", auth), "400"},
		{"plain query repeats it", request("POST", "/confirm?note="+escaped, "x", auth), "400"},
		{"plain body repeats it", request("POST", "/confirm", "note "+testKey, auth), "400"},
		{"keyed bearer", request("POST", "/confirm", "x", auth, "Idempotency-Key: k-1"), "201"},
		{"keyed by the key itself", request("POST", "/confirm", "x", auth, "Idempotency-Key: "+testKey), "400"},
		{"keyed body field", request("POST", "/confirm", `{"api_key":"`+testKey+`"}`, json, "Idempotency-Key: k-1"), "201"},
		{"open bearer", request("POST", "/open", "x", auth), "200"},
		{"open query", request("GET", "/open?key="+testKey, ""), "200"},
		{"open body field", request("POST", "/open", `{"api_key":"`+testKey+`"}`, json), "200"},
		{"wrong key", request("POST", "/confirm?key=wrong-"+testKey, "x"), "401"},
		{"unknown route", request("GET", "/"+testKey+"?key="+testKey, ""), "404"},
		{"wrong method", request("PUT", "/v1/models?key="+testKey, "", auth), "405"},
		{"bad JSON", request("POST", "/v1/chat/completions", `{"api_key":"`+testKey+`",`, auth), "400"},
		{"basic", request("POST", "/confirm", "x", "Authorization: Basic "+testKey), "401"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestServer(t)
			s := recordTraffic(t, w)
			out := w.exchange(tt.in)
			is.True(strings.HasPrefix(out, "HTTP/1.1 "+tt.status)) // status of the answer
			w.drain()
			var metrics strings.Builder
			is.NoErr(w.meter.Write(&metrics))
			s.add("answer", out)
			s.add("log", w.log.String())
			s.add("metrics", metrics.String())
			s.add("generations", formatGenerations(w))
			checkNoKey(t, s)
		})
	}
}

// formatGenerations formats the requests that the generator received, without
// their function fields.
func formatGenerations(w *testServer) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	for _, g := range w.generations {
		g.ChargeValid = nil
		_, _ = fmt.Fprintf(&b, "%+v", g)
	}
	return b.String()
}

func checkNoKey(t *testing.T, s *trafficRecorder) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.all {
		plainText, err := url.QueryUnescape(v)
		if err != nil {
			plainText = v
		}
		for _, form := range []string{testKey, "sk-other-key-9999", hex.EncodeToString([]byte(testKey))} {
			if strings.Contains(v, form) || strings.Contains(plainText, form) {
				t.Errorf("output of the process contains an API key:\n%s", v)
			}
		}
	}
}

// FuzzKeys checks that extractQueryKeys leaves no key parameter in the query.
func FuzzKeys(f *testing.F) {
	f.Add("a=1&api_key=" + testKey)
	f.Add("key=x;api_key=" + testKey + "&%61pi_key=y")
	f.Add("%zz=1&key=%zz")
	f.Fuzz(func(t *testing.T, query string) {
		rest, keys := front.ExtractQueryKeys(query)
		for _, part := range strings.FieldsFunc(rest, func(r rune) bool { return r == '&' || r == ';' }) {
			name, _, _ := strings.Cut(part, "=")
			if name, err := url.QueryUnescape(name); err == nil && (name == "key" || name == "api_key") {
				t.Errorf("rest %q of query %q still has a key parameter; keys found: %q", rest, query, keys)
			}
		}
	})
}

// FuzzChat checks that the error for an invalid body is short, so that it cannot
// repeat much more of the body than field names, and that a valid body gives a
// complete prompt.
func FuzzChat(f *testing.F) {
	f.Add(`{"model":"dossier","messages":[{"role":"user","content":"a"}]}`)
	f.Add(`{"model":"dossier","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":0}`)
	f.Add(`{"model":7} {`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, body string) {
		prompt, err := front.ParseChat(body)
		if err == nil && !strings.HasSuffix(prompt, "assistant:\n") {
			t.Errorf("body %q gives the incomplete prompt %q", body, prompt)
		}
		if err != nil && len(err.Error()) > 200 {
			t.Errorf("body %q gives the long error %q", body, err)
		}
	})
}
