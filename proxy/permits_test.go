package proxy_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// TestServerWithLimitGetsNoMoreCallsOfAnyKind guards against calls that do not count against the
// limit of a server: first tries, repeats, reservations, prefills, deletions and resumed streams.
func TestServerWithLimitGetsNoMoreCallsOfAnyKind(t *testing.T) {
	const rate, burst, duration = 10.0, 5.0, 1500 * time.Millisecond
	plain := map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain}
	model := []func(*http.Request){withTokenCounts}
	tests := []struct {
		name    string
		roles   map[string]fake.Role
		limited []string
		faults  map[string]fake.Fault
		path    string
		changes []func(*http.Request)
	}{
		{"plain", plain, []string{"s1"}, nil, "/file/1", nil},
		{"plain, all limited", plain, []string{"s1", "s2"}, nil, "/file/1", nil},
		{"plain, repeats after errors", plain, []string{"s1", "s2"}, map[string]fake.Fault{"s1": fake.InternalError}, "/read/1", nil},
		{"plain, repeats after rejections", plain, []string{"s1", "s2"}, map[string]fake.Fault{"s1": fake.Shed, "s2": fake.Shed}, "/file/1", nil},
		{"plain, hedged", plain, []string{"s1", "s2"}, map[string]fake.Fault{"s1": fake.Slow}, "/read/1", nil},
		{"decode", splitPools, []string{"d1"}, nil, "/once/1", model},
		{"decode, all limited", splitPools, []string{"d1", "d2"}, nil, "/once/1", model},
		{"decode, expired KV caches", splitPools, []string{"d1", "d2"}, map[string]fake.Fault{"p1": fake.ExpiredKV, "p2": fake.ExpiredKV}, "/once/1", model},
		{"decode, resumed", splitPools, []string{"d1", "d2"}, map[string]fake.Fault{"d1": fake.TruncatedEvent}, "/again/1", model},
		{"prefill", splitPools, []string{"p1"}, nil, "/once/1", model},
		{"prefill, all limited", splitPools, []string{"p1", "p2"}, nil, "/once/1", model},
		{"all", splitPools, []string{"p1", "p2", "d1", "d2"}, nil, "/once/1", model},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.roles)
			h.budget.left = 10_000
			for id, f := range tt.faults {
				h.servers[id].SetFault(f)
			}
			for _, id := range tt.limited {
				h.servers[id].SetLimit(strconv.FormatFloat(rate, 'f', -1, 64))
			}
			for _, id := range tt.limited {
				eventually(t, "the limit of "+id+" is known", func() bool {
					h.send(t, http.MethodPost, tt.path, "b", tt.changes...)
					s, ok := h.live.Fleet().Server(id)
					return ok && h.gate.Limited(s)
				})
			}
			before := make(map[string]int)
			for _, id := range tt.limited {
				before[id] = len(h.servers[id].Calls())
			}
			start := time.Now()
			for time.Since(start) < duration {
				h.send(t, http.MethodPost, tt.path, "b", tt.changes...)
			}
			took := time.Since(start)
			for _, id := range tt.limited {
				got := len(h.servers[id].Calls()) - before[id]
				if most := rate*took.Seconds() + burst + 1; float64(got) > most {
					t.Errorf("%s got %d calls in %v, at most %.0f are allowed", id, got, took, most)
				}
			}
			is.True(h.budget.spent < 10_000)
		})
	}
}

// TestLimitedServersLeaveOthersToServe checks that requests beyond a limit are served by the servers
// without one, and that the limit is used.
func TestLimitedServersLeaveOthersToServe(t *testing.T) {
	tests := []struct {
		name    string
		roles   map[string]fake.Role
		limited string
		path    string
		changes []func(*http.Request)
	}{
		{"plain", map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain}, "s1", "/file/1", nil},
		{"decode", splitPools, "d1", "/once/1", []func(*http.Request){withTokenCounts}},
		{"prefill", splitPools, "p1", "/once/1", []func(*http.Request){withTokenCounts}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.roles)
			for id, s := range h.servers {
				if id == tt.limited {
					s.SetLimit("4")
				} else { // so that the server with the limit is the one that is chosen as long as the limit admits it
					s.SetFault(fake.Slow)
					s.SetSlowDelay(30 * time.Millisecond)
				}
			}
			start := time.Now()
			sent, longest := 0, time.Duration(0)
			for time.Since(start) < 2*time.Second {
				began := time.Now()
				is.Equal(h.send(t, http.MethodPost, tt.path, "b", tt.changes...).status, 200)
				sent++
				longest = max(longest, time.Since(began))
			}
			calls := len(h.servers[tt.limited].Calls())
			t.Logf("%d requests, %v at most; %d calls at the server with the limit", sent, longest, calls)
			is.True(calls >= 5)
		})
	}
}

// TestLimitsOfAllServersRejectAtOnce checks what callers get when the limits of all servers are used
// up: a rejection at once, a different Retry-After for each, and no second run of a call.
func TestLimitsOfAllServersRejectAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain})
	h.servers["s1"].SetLimit("0.5")
	h.servers["s2"].SetLimit("0.5")
	var waits []float64
	for n := range 12 {
		start := time.Now()
		got := h.send(t, http.MethodPost, "/file/1", "b", withHeader("Wasabidock-Attempt-Id", fmt.Sprint("a", n)))
		is.True(time.Since(start) < 300*time.Millisecond)
		if got.status == 200 {
			continue
		}
		is.Equal(got.status, 503)
		retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		is.NoErr(err)
		waits = append(waits, retry)
	}
	is.True(len(waits) >= 8)
	// Both servers together serve one caller a second.
	first, last := waits[0], waits[len(waits)-1]
	is.True(first <= 2.1)
	is.True(last >= float64(len(waits)-1)*0.8 && last <= float64(len(waits)+1)*1.2)
	is.True(h.log.contains("within the limits that the servers name"))
	is.True(h.log.contains(`"limit":0.5,"limit_age":`))
	is.True(h.log.contains(`"limited":[`))
	ran := make(map[string]int)
	for _, s := range h.servers {
		for _, r := range s.Runs() {
			ran[r.ID]++
		}
	}
	for id, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// TestRetryAfterWithoutLimit guards against a caller that is told the turn at a limited server although
// a server without a limit may serve it sooner.
func TestRetryAfterWithoutLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain})
	h.servers["s1"].SetLimit("0.1")
	h.servers["s2"].SetFault(fake.Shed)
	eventually(t, "the limit is known", func() bool {
		h.send(t, http.MethodPost, "/file/1", "b")
		s, _ := h.live.Fleet().Server("s1")
		return h.gate.Limited(s)
	})
	got := h.send(t, http.MethodPost, "/file/1", "b")
	is.Equal(got.status, 503)
	retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(retry < 1)
}

// TestManyLimitedServers guards against a request that asks for a permit at one server after the other.
func TestManyLimitedServers(t *testing.T) {
	tests := []struct {
		name    string
		role    fake.Role
		path    string
		changes []func(*http.Request)
	}{
		{"plain", fake.Plain, "/file/1", nil},
		{"decode", fake.Decode, "/once/1", []func(*http.Request){withTokenCounts}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			roles := map[string]fake.Role{"unlimited": tt.role}
			for n := range 20 {
				roles[fmt.Sprint("s", n)] = tt.role
			}
			h := newHarness(t, roles)
			for id := range roles {
				if s, _ := h.live.Fleet().Server(id); id != "unlimited" {
					h.gate.Record(s, 0.01, true, 0)
				}
			}
			for range 3 {
				is.Equal(h.send(t, http.MethodPost, tt.path, "b", tt.changes...).status, 200)
			}
			is.True(h.counter(`permits_total{result="denied"}`) <= 12)
		})
	}
}

// TestRestartedServerHasNoLimit guards against a limit that outlives the process that named it.
func TestRestartedServerHasNoLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
	h.servers["s1"].SetLimit("0.1")
	is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 200)
	is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 503)
	h.servers["s1"].Restart()
	restarted := &route.Server{ID: "s1", Service: "app", Addr: h.servers["s1"].Addr(), Centre: "a", Region: "r", StartedMillis: 5}
	h.live.SetFleet(route.NewFleet(4, []*route.Server{restarted}))
	for range 5 {
		is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 200)
	}
}

// TestLimitOfWrongServer guards against a limit of the server that has taken over an address.
func TestLimitOfWrongServer(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
	intended := &route.Server{ID: "before", Service: "app", Addr: h.servers["s1"].Addr(), Centre: "a", Region: "r"}
	h.live.SetFleet(route.NewFleet(3, []*route.Server{intended}))
	h.servers["s1"].SetLimit("0.1")
	is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 503)
	is.True(!h.gate.Limited(intended))
}

// TestInvalidLimitKeepsLastValidOne checks that a value that cannot be read neither lifts nor sets a limit.
func TestInvalidLimitKeepsLastValidOne(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
	s, _ := h.live.Fleet().Server("s1")
	h.servers["s1"].SetLimit("soon")
	is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 200)
	is.True(!h.gate.Limited(s))
	h.servers["s1"].SetLimit("50")
	is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 200)
	h.servers["s1"].SetLimit("-1")
	eventually(t, "a request is served", func() bool { return h.send(t, http.MethodPost, "/file/1", "b").status == 200 })
	is.True(h.gate.Limited(s))
}
