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

// sniffer keeps every byte that leaves the process.
type sniffer struct {
	mu  sync.Mutex
	all []string
}

func (s *sniffer) add(what, v string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, what+": "+v)
}

// sniffedConn is a connection to a backend server or from a caller.
type sniffedConn struct {
	net.Conn
	s *sniffer
}

func (c *sniffedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.s.add("backend request", string(b[:n]))
	return n, err
}

type sniffedListener struct {
	net.Listener
	s *sniffer
}

func (l *sniffedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &sniffedConn{c, l.s}, nil
}

// peer is the home of all keyed calls.
type peer struct {
	peerpbconnect.OnceServiceClient
	s *sniffer
}

func (p peer) Run(_ context.Context, req *peerpb.RunRequest) (*peerpb.RunResponse, error) {
	b, _ := proto.Marshal(req)
	p.s.add("peer message", string(b))
	return &peerpb.RunResponse{Outcome: peerpb.Outcome_OUTCOME_DONE, Status: 201}, nil
}

func (p peer) Once(ident.Instance) (peerpbconnect.OnceServiceClient, error) { return p, nil }

// away is a table whose only seat is another instance.
type away struct{}

func (away) View() (once.View, bool) { return away{}, true }
func (away) Revision() uint64        { return 7 }
func (away) Seats() []intent.Seat    { return []intent.Seat{{Instance: "a2", Centre: "a"}} }
func (away) Routes() []once.Route    { return nil }
func (away) Route(r ident.Route) (once.Route, bool) {
	return once.Route{Name: r}, true
}

// sniff puts a real service behind plain and keyed calls and records what
// leaves the process.
func sniff(t *testing.T, w *world) *sniffer {
	s := &sniffer{}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = rw.Write([]byte("ok"))
	}))
	srv.Listener = &sniffedListener{srv.Listener, s}
	srv.Start()
	t.Cleanup(srv.Close)
	w.call = plain.New(plain.Config{Servers: one{srv.URL}, Clock: w.clock}).Call
	w.keyed = once.New(once.Config{
		Self: ident.Node{Instance: "a1", Incarnation: 1}, Table: away{}, Dialer: peer{s: s},
		Caller: plainCaller{w}, Clock: w.clock, Log: zerolog.New(w.log),
	}).Run
	return s
}

type one struct{ url string }

func (o one) Servers(ident.Route) []plain.Server {
	return []plain.Server{{Name: "app-1", URL: o.url}}
}

// TestKeyStaysInside greps every byte that leaves the process for the key, in
// whatever place it came.
func TestKeyStaysInside(t *testing.T) {
	const body = `{"model":"dossier","messages":[{"role":"user","content":"Fits?"}]`
	escaped := strings.ReplaceAll(url.QueryEscape(secret), "s", "%73")
	json := "Content-Type: application/json"
	form := "Content-Type: application/x-www-form-urlencoded"
	tests := []struct {
		name   string
		in     string
		status string
	}{
		{"chat bearer", chat("", auth), "200"},
		{"chat x-api-key", chat("", "X-Api-Key: "+secret), "200"},
		{"chat body field", chat(`,"api_key":"` + secret + `"`), "200"},
		{"chat body field in other case", chat(`,"API_KEY":"` + secret + `"`), "200"},
		{"chat query", request("POST", "/v1/chat/completions?api_key="+secret, body+"}"), "200"},
		{"chat query key", request("POST", "/v1/chat/completions?key="+secret, body+"}"), "200"},
		{"chat prompt repeats it", request("POST", "/v1/chat/completions", strings.Replace(body, "Fits?", secret, 1)+"}", auth), "400"},
		{"chat stream", chat(`,"stream":true`, auth), "200"},
		{"plain bearer", request("POST", "/confirm", "x", auth), "200"},
		{"plain query", request("POST", "/confirm?a=1&api_key="+secret+"&b=2", "x"), "200"},
		{"plain query escaped", request("POST", "/confirm?a=1&k%65y="+escaped, "x"), "200"},
		{"plain query semicolon", request("POST", "/confirm?a=1;key="+secret, "x"), "200"},
		{"plain body field", request("POST", "/confirm", `{"pupil":7,"api_key":"`+secret+`"}`, json), "200"},
		{"plain form", request("POST", "/confirm", "pupil=7&api_key="+secret, form), "200"},
		{"plain two keys", request("POST", "/confirm?key=sk-other-key-9999", "x", auth, "X-Api-Key: "+secret), "200"},
		{"plain request id", request("POST", "/confirm", "x", auth, "X-Request-Id: "+secret), "200"},
		{"plain other headers", request("POST", "/confirm", "x", auth, "Cookie: k="+secret, "Referer: https://x/?key="+secret, "X-"+secret+": 1"), "200"},
		{"plain path repeats it", request("POST", "/confirm/"+secret, "x", auth), "400"},
		{"plain query repeats it", request("POST", "/confirm?note="+escaped, "x", auth), "400"},
		{"plain body repeats it", request("POST", "/confirm", "note "+secret, auth), "400"},
		{"keyed bearer", request("POST", "/confirm", "x", auth, "Idempotency-Key: k-1"), "201"},
		{"keyed by the key itself", request("POST", "/confirm", "x", auth, "Idempotency-Key: "+secret), "400"},
		{"keyed body field", request("POST", "/confirm", `{"api_key":"`+secret+`"}`, json, "Idempotency-Key: k-1"), "201"},
		{"open bearer", request("POST", "/open", "x", auth), "200"},
		{"open query", request("GET", "/open?key="+secret, ""), "200"},
		{"open body field", request("POST", "/open", `{"api_key":"`+secret+`"}`, json), "200"},
		{"wrong key", request("POST", "/confirm?key=wrong-"+secret, "x"), "401"},
		{"unknown route", request("GET", "/"+secret+"?key="+secret, ""), "404"},
		{"wrong method", request("PUT", "/v1/models?key="+secret, "", auth), "405"},
		{"bad JSON", request("POST", "/v1/chat/completions", `{"api_key":"`+secret+`",`, auth), "400"},
		{"basic", request("POST", "/confirm", "x", "Authorization: Basic "+secret), "401"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			s := sniff(t, w)
			out := w.exchange(tt.in)
			is.True(strings.HasPrefix(out, "HTTP/1.1 "+tt.status)) // status of the answer
			w.idle()
			var metrics strings.Builder
			is.NoErr(w.meter.Write(&metrics))
			s.add("answer", out)
			s.add("log", w.log.String())
			s.add("metrics", metrics.String())
			s.add("generations", seen(w))
			leaks(t, s)
		})
	}
}

// seen prints what the generator got, without its functions.
func seen(w *world) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	for _, g := range w.seen {
		g.ChargeValid = nil
		_, _ = fmt.Fprintf(&b, "%+v", g)
	}
	return b.String()
}

func leaks(t *testing.T, s *sniffer) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.all {
		plainText, err := url.QueryUnescape(v)
		if err != nil {
			plainText = v
		}
		for _, form := range []string{secret, "sk-other-key-9999", hex.EncodeToString([]byte(secret))} {
			if strings.Contains(v, form) || strings.Contains(plainText, form) {
				t.Errorf("the key left the process:\n%s", v)
			}
		}
	}
}

// FuzzKeys checks that no key that takeKeys finds stays in the request.
func FuzzKeys(f *testing.F) {
	f.Add("a=1&api_key=" + secret)
	f.Add("key=x;api_key=" + secret + "&%61pi_key=y")
	f.Add("%zz=1&key=%zz")
	f.Fuzz(func(t *testing.T, query string) {
		rest, keys := front.ExtractQueryKeys(query)
		for _, part := range strings.FieldsFunc(rest, func(r rune) bool { return r == '&' || r == ';' }) {
			name, _, _ := strings.Cut(part, "=")
			if name, err := url.QueryUnescape(name); err == nil && (name == "key" || name == "api_key") {
				t.Errorf("%q keeps a key of %q, found %q", rest, query, keys)
			}
		}
	})
}

// FuzzChat checks that what a refusal says of a body repeats nothing of it but
// names of fields, and that a body that is taken is complete.
func FuzzChat(f *testing.F) {
	f.Add(`{"model":"dossier","messages":[{"role":"user","content":"a"}]}`)
	f.Add(`{"model":"dossier","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":0}`)
	f.Add(`{"model":7} {`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, body string) {
		prompt, err := front.ParseChat(body)
		if err == nil && !strings.HasSuffix(prompt, "assistant:\n") {
			t.Errorf("the body %q gives the prompt %q", body, prompt)
		}
		if err != nil && len(err.Error()) > 200 {
			t.Errorf("the body %q gives the error %q", body, err)
		}
	})
}
