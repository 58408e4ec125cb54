package relay_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/mimic"
	"wasabidock.dev/dock/route"
)

// TestLeavingServerGetsNothingNew has servers say in their answers that they
// leave, to each kind of call.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	tests := []struct {
		name    string
		roles   map[string]mimic.Role
		leaves  string
		path    string
		changes []func(*http.Request)
		most    int // calls of any kind that may still come to it
	}{
		{"plain", map[string]mimic.Role{"s1": mimic.Plain, "s2": mimic.Plain}, "s1", "/file/1", nil, 1},
		{"plain, repeatable", map[string]mimic.Role{"s1": mimic.Plain, "s2": mimic.Plain}, "s1", "/read/1", nil, 1},
		{"reservation", split, "d1", "/once/1", []func(*http.Request){sized}, 1},
		{"reservation, resumable", split, "d1", "/again/1", []func(*http.Request){sized}, 1},
		{"prompt", split, "p1", "/once/1", []func(*http.Request){sized}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, tt.roles)
			w.servers[tt.leaves].SetDraining(true)
			for i := range 12 {
				got := w.ask(t, http.MethodPost, tt.path, "b", append(tt.changes, header("Wasabidock-Attempt-Id", "a"+strconv.Itoa(i)))...)
				is.NoErr(got.err)
				is.Equal(got.status, 200)
			}
			is.True(len(w.servers[tt.leaves].Calls()) <= tt.most)
		})
	}
}

// TestLeavingServerReturnsAnew has a server come back at the same address.
func TestLeavingServerReturnsAnew(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
	w.servers["s1"].SetDraining(true)
	is.Equal(w.ask(t, http.MethodPost, "/file/1", "b").status, 200)
	w.servers["s1"].SetDraining(false)
	w.live.SetFleet(route.NewFleet(3, w.live.Fleet().All()))
	is.Equal(w.ask(t, http.MethodPost, "/file/1", "b").status, 503) // it is listed again, and the same start of it
	again := &route.Server{ID: "s1", Service: "app", Addr: w.servers["s1"].Addr(), Centre: "a", Region: "r", StartedMillis: 5}
	w.live.SetFleet(route.NewFleet(4, []*route.Server{again}))
	is.Equal(w.ask(t, http.MethodPost, "/file/1", "b").status, 200) // a later start
}

// TestAnotherServerAtTheAddress has the one that took an address over say that
// it leaves: the server that was meant has not said so.
func TestAnotherServerAtTheAddress(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
	meant := &route.Server{ID: "before", Service: "app", Addr: w.servers["s1"].Addr(), Centre: "a", Region: "r"}
	w.live.SetFleet(route.NewFleet(3, []*route.Server{meant}))
	w.servers["s1"].SetDraining(true)
	is.Equal(w.ask(t, http.MethodPost, "/file/1", "b").status, 503)
	is.Equal(w.health.ClosedUntil(meant.Key(), w.clock.Now()), time.Duration(0))
}

// TestServerThatWantsNothing has servers answer 503 with a time, to calls of
// each kind, while callers go on asking.
func TestServerThatWantsNothing(t *testing.T) {
	tests := []struct {
		name    string
		roles   map[string]mimic.Role
		rests   string
		path    string
		changes []func(*http.Request)
	}{
		{"plain", map[string]mimic.Role{"s1": mimic.Plain, "s2": mimic.Plain}, "s1", "/file/1", nil},
		{"plain, repeatable", map[string]mimic.Role{"s1": mimic.Plain, "s2": mimic.Plain}, "s1", "/read/1", nil},
		{"reservation", split, "d1", "/once/1", []func(*http.Request){sized}},
		{"prompt", split, "p1", "/once/1", []func(*http.Request){sized}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, tt.roles)
			s := w.servers[tt.rests]
			s.SetRetryAfter("0.4")
			for len(s.Calls()) == 0 {
				is.Equal(w.ask(t, http.MethodPost, tt.path, "b", tt.changes...).status, 200)
			}
			s.SetRetryAfter("")
			for time.Since(s.Calls()[0]) < 350*time.Millisecond {
				is.Equal(w.ask(t, http.MethodPost, tt.path, "b", tt.changes...).status, 200)
			}
			is.Equal(len(s.Calls()), 1) // while it wants nothing
			eventually(t, "it is asked again", func() bool {
				w.ask(t, http.MethodPost, tt.path, "b", tt.changes...)
				return len(s.Calls()) > 1
			})
		})
	}
}

// TestAllWantNothing has all servers name a time: callers are told the least of
// them, at once.
func TestAllWantNothing(t *testing.T) {
	tests := []struct {
		name    string
		roles   map[string]mimic.Role
		rests   map[string]string
		path    string
		changes []func(*http.Request)
	}{
		{"plain", map[string]mimic.Role{"s1": mimic.Plain, "s2": mimic.Plain}, map[string]string{"s1": "7", "s2": "9.5"}, "/file/1", nil},
		{"model", split, map[string]string{"d1": "7", "d2": "9.5"}, "/once/1", []func(*http.Request){sized}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, tt.roles)
			for id, text := range tt.rests {
				w.servers[id].SetRetryAfter(text)
			}
			for range 5 {
				start := time.Now()
				got := w.ask(t, http.MethodPost, tt.path, "b", tt.changes...)
				is.Equal(got.status, 503)
				retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(retry > 6 && retry <= 7)
				is.True(time.Since(start) < time.Second)
			}
			for id := range tt.rests {
				is.Equal(len(w.servers[id].Calls()), 1)
			}
		})
	}
}

// TestNonsenseOfAServer has a server name times that are none.
func TestNonsenseOfAServer(t *testing.T) {
	for _, text := range []string{"-1", "soon", "NaN"} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
			w.servers["s1"].SetRetryAfter(text)
			is.Equal(w.ask(t, http.MethodPost, "/file/1", "b").status, 503)
			w.servers["s1"].SetRetryAfter("")
			is.Equal(w.ask(t, http.MethodPost, "/file/1", "b").status, 200)
			is.True(w.log.has("not a number of seconds"))
		})
	}
}
