package proxy_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// TestDrainingServerGetsNoNewRequests guards against sending new requests to a server
// after it has reported in a response, to any kind of call, that it is draining.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	tests := []struct {
		name     string
		roles    map[string]fake.Role
		draining string // ID of the server that drains
		path     string
		changes  []func(*http.Request)
		maxCalls int // calls of any kind that the server may still receive
	}{
		{"plain", map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain}, "s1", "/file/1", nil, 1},
		{"plain, idempotent", map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain}, "s1", "/read/1", nil, 1},
		{"reservation", splitPools, "d1", "/once/1", []func(*http.Request){withTokenCounts}, 1},
		{"reservation, resumable", splitPools, "d1", "/again/1", []func(*http.Request){withTokenCounts}, 1},
		{"prompt", splitPools, "p1", "/once/1", []func(*http.Request){withTokenCounts}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.roles)
			h.servers[tt.draining].SetDraining(true)
			for i := range 12 {
				got := h.send(t, http.MethodPost, tt.path, "b", append(tt.changes, withHeader("Wasabidock-Attempt-Id", "a"+strconv.Itoa(i)))...)
				is.NoErr(got.err)
				is.Equal(got.status, 200)
			}
			is.True(len(h.servers[tt.draining].Calls()) <= tt.maxCalls)
		})
	}
}

// TestNamedLimitIsLogged checks what an operator sees of a limit: a line when the server names,
// changes, misspells and lifts it, the servers of each request, and the number of requests under it.
func TestNamedLimitIsLogged(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
	for _, tt := range []struct{ limit, line string }{
		{"200", `"limit":200,`},
		{"many", "not a decimal number"},
		{"300.5", `"limit":300.5,`},
		{"", "names no limit any more"},
	} {
		h.servers["s1"].SetLimit(tt.limit)
		eventually(t, "a request is served", func() bool { return h.send(t, http.MethodPost, "/file/1", "b").status == 200 })
		is.True(h.log.contains(tt.line))
	}
	is.True(h.log.contains(`"servers":["s1"]`))
	is.Equal(h.counter(`server_limit_requests_total{server="s1"}`), int64(3)) // all but the first
}

// TestRestartedServerGetsRequests restarts a draining server at the same address. The new process
// must get requests, and the old one none although it is still listed.
func TestRestartedServerGetsRequests(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
	h.servers["s1"].SetDraining(true)
	is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 200)
	h.servers["s1"].SetDraining(false)
	h.live.SetFleet(route.NewFleet(3, h.live.Fleet().All()))
	is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 503) // still the draining process, although the list is newer
	restarted := &route.Server{ID: "s1", Service: "app", Addr: h.servers["s1"].Addr(), Centre: "a", Region: "r", StartedMillis: 5}
	h.live.SetFleet(route.NewFleet(4, []*route.Server{restarted}))
	is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 200) // a process that started later
}

// TestDrainingReportOfWrongServer sends a request to an address that a different server has taken
// over. That server reports that it is draining, which must not be recorded for the intended
// server.
func TestDrainingReportOfWrongServer(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
	intended := &route.Server{ID: "before", Service: "app", Addr: h.servers["s1"].Addr(), Centre: "a", Region: "r"}
	h.live.SetFleet(route.NewFleet(3, []*route.Server{intended}))
	h.servers["s1"].SetDraining(true)
	is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 503)
	is.Equal(h.health.ClosedUntil(intended.Key(), h.clock.Now()), time.Duration(0))
}

// TestRetryAfterFromServer checks, for each kind of call, that a server that answers 503 with a
// Retry-After receives no request until that time is over, and requests afterwards.
func TestRetryAfterFromServer(t *testing.T) {
	tests := []struct {
		name    string
		roles   map[string]fake.Role
		paused  string // ID of the server that answers 503
		path    string
		changes []func(*http.Request)
	}{
		{"plain", map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain}, "s1", "/file/1", nil},
		{"plain, idempotent", map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain}, "s1", "/read/1", nil},
		{"reservation", splitPools, "d1", "/once/1", []func(*http.Request){withTokenCounts}},
		{"prompt", splitPools, "p1", "/once/1", []func(*http.Request){withTokenCounts}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.roles)
			s := h.servers[tt.paused]
			const pause = 400 * time.Millisecond
			s.SetRetryAfter("0.4")
			for len(s.Calls()) == 0 {
				is.Equal(h.send(t, http.MethodPost, tt.path, "b", tt.changes...).status, 200)
			}
			s.SetRetryAfter("")
			for time.Since(s.Calls()[0]) < 350*time.Millisecond {
				is.Equal(h.send(t, http.MethodPost, tt.path, "b", tt.changes...).status, 200)
			}
			calls := s.Calls()
			for _, at := range calls[1:] {
				is.True(at.Sub(calls[0]) >= pause) // none during the Retry-After
			}
			eventually(t, "the server is called again", func() bool {
				h.send(t, http.MethodPost, tt.path, "b", tt.changes...)
				return len(s.Calls()) > 1
			})
		})
	}
}

// TestRetryAfterFromAllServers checks that callers are rejected at once if all servers answer with
// a Retry-After. They must receive the shortest of the times.
func TestRetryAfterFromAllServers(t *testing.T) {
	tests := []struct {
		name       string
		roles      map[string]fake.Role
		retryAfter map[string]string // by server ID
		path       string
		changes    []func(*http.Request)
	}{
		{"plain", map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain}, map[string]string{"s1": "7", "s2": "9.5"}, "/file/1", nil},
		{"model", splitPools, map[string]string{"d1": "7", "d2": "9.5"}, "/once/1", []func(*http.Request){withTokenCounts}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.roles)
			for id, text := range tt.retryAfter {
				h.servers[id].SetRetryAfter(text)
			}
			for range 5 {
				start := time.Now()
				got := h.send(t, http.MethodPost, tt.path, "b", tt.changes...)
				is.Equal(got.status, 503)
				retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(retry > 6 && retry <= 7)
				is.True(time.Since(start) < time.Second)
			}
			for id := range tt.retryAfter {
				is.Equal(len(h.servers[id].Calls()), 1)
			}
		})
	}
}

// TestInvalidRetryAfterFromServer checks that a Retry-After that cannot be parsed is logged and does
// not prevent requests from being sent to its server.
func TestInvalidRetryAfterFromServer(t *testing.T) {
	for _, text := range []string{"-1", "soon", "NaN"} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
			h.servers["s1"].SetRetryAfter(text)
			is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 503)
			h.servers["s1"].SetRetryAfter("")
			is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 200)
			is.True(h.log.contains("not a number of seconds"))
		})
	}
}
