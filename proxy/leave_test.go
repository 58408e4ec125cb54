package proxy_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// relist replaces the entry of a server in the server list by what change returns, nil for none.
func (h *harness) relist(id string, change func(route.Server) *route.Server) {
	var list []*route.Server
	old := h.live.Fleet()
	for _, s := range old.All() {
		if s.ID == id {
			c := route.Server{ID: s.ID, Service: s.Service, Addr: s.Addr, Centre: s.Centre, Region: s.Region, Stage: s.Stage, Slots: s.Slots}
			if s = change(c); s == nil {
				continue
			}
		}
		list = append(list, s)
	}
	h.live.SetFleet(route.NewFleet(old.Revision()+1, list))
}

func gone(route.Server) *route.Server { return nil }

func restarted(s route.Server) *route.Server {
	s.StartedMillis++
	return &s
}

// TestServerThatLeavesWhilePromptIsRead guards against a request that reaches a decode server that has left while the prompt was read.
func TestServerThatLeavesWhilePromptIsRead(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		change func(route.Server) *route.Server
		second fake.Role // of a server that takes the request instead, Plain for none
		status int
	}{
		{name: "gone, another one", path: "/again/1", change: gone, second: fake.Decode, status: 200},
		{name: "gone, not resumable", path: "/once/1", change: gone, second: fake.Decode, status: 200},
		{name: "restarted, another one", path: "/once/1", change: restarted, second: fake.Decode, status: 200},
		{name: "gone after the patience of callers", path: "/soon/1", change: gone, second: fake.Decode, status: 200},
		{name: "gone, no other", path: "/once/1", change: gone, status: 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			roles := map[string]fake.Role{"p1": fake.Prefill, "d1": fake.Decode}
			h := newHarness(t, roles)
			p1, d1 := h.servers["p1"], h.servers["d1"]
			p1.SetFault(fake.Slow)
			p1.SetSlowDelay(250 * time.Millisecond)
			if tt.second != fake.Plain {
				h.addServer(t, "d2", tt.second)
			}
			got := make(chan result, 1)
			go func() {
				got <- h.send(t, http.MethodPost, tt.path, "b", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "1500"))
			}()
			eventually(t, "the prompt is sent", func() bool { return len(p1.Arrivals()) == 1 })
			leaver := d1
			if d2 := h.servers["d2"]; d2 != nil && len(d2.Calls()) > 0 {
				leaver = d2
			}
			h.relist(leaver.ID(), tt.change)
			leaver.SetFault(fake.NoMemory) // it reserves nothing after a restart
			r := <-got
			is.Equal(r.status, tt.status)
			is.Equal(len(leaver.Runs()), 0)
			is.Equal(len(p1.Arrivals()), 1) // the prompt is not read again
			h.budget.mu.Lock()
			defer h.budget.mu.Unlock()
			is.Equal(h.budget.spent, 0) // nothing was sent twice
			want := 150
			if tt.status != 200 {
				want = 0
			}
			is.Equal(h.limiter.charged, want)
		})
	}
}

// leavingHome implements permit.Claimer. It grants each claim, after it has called leave.
type leavingHome struct{ leave func() }

func (l leavingHome) Claim(context.Context, permit.Claim, tick.Instant) (permit.Answer, error) {
	l.leave()
	return permit.Answer{Granted: true, Issuer: "h"}, nil
}

// TestServerThatLeavesWhilePermitIsClaimed guards against a request that is written to a server that has left since it was chosen.
func TestServerThatLeavesWhilePermitIsClaimed(t *testing.T) {
	for _, path := range []string{"/file/1", "/read/1"} {
		is := is.New(t)
		h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
		s, _ := h.live.Fleet().Server("s1")
		h.gate.SetClaimer(leavingHome{func() { h.relist("s1", gone) }})
		h.gate.Record(s, 100, true, 0)
		got := h.send(t, http.MethodPost, path, "b")
		is.Equal(got.status, 503)
		is.Equal(len(h.servers["s1"].Runs()), 0)
		is.Equal(h.counter(`writes_withheld_total{reason="closed"}`), int64(1))
	}
}

// TestKeyWithdrawnWhileRequestWaits guards against a request that is sent to a server although its key was withdrawn while it waited.
func TestKeyWithdrawnWhileRequestWaits(t *testing.T) {
	withdraw := func(h *harness) {
		spec := testSpec()
		spec.Version, spec.Revision, spec.Customers = 2, 2, nil
		h.live.SetTable(route.NewTable(spec))
	}
	t.Run("permit", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain})
		for _, s := range h.live.Fleet().All() {
			h.gate.Record(s, 100, true, 0)
		}
		h.gate.SetClaimer(leavingHome{func() { withdraw(h) }})
		got := h.send(t, http.MethodPost, "/read/1", "b")
		is.Equal(got.status, 401)
		is.Equal(h.runCount(), 0)
		is.Equal(h.limiter.charged, 0)
	})
	t.Run("prompt", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, map[string]fake.Role{"p1": fake.Prefill, "d1": fake.Decode, "d2": fake.Decode})
		h.servers["p1"].SetFault(fake.Slow)
		h.servers["p1"].SetSlowDelay(200 * time.Millisecond)
		got := make(chan result, 1)
		go func() { got <- h.send(t, http.MethodPost, "/again/1", "b", withTokenCounts) }()
		eventually(t, "the prompt is sent", func() bool { return len(h.servers["p1"].Arrivals()) == 1 })
		withdraw(h)
		is.Equal((<-got).status, 401)
		is.Equal(h.runCount(), 0)
		is.Equal(h.limiter.charged, 0)
		is.Equal(h.counter(`writes_withheld_total{reason="key"}`), int64(1))
	})
}

// TestDeadlineIsThatAtTheWrite guards against a server that is given more time than is left after a wait for a permit.
func TestDeadlineIsThatAtTheWrite(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
	s, _ := h.live.Fleet().Server("s1")
	h.gate.Record(s, 100, true, 0)
	const wait = 600 * time.Millisecond
	h.gate.SetClaimer(leavingHome{func() { time.Sleep(wait) }})
	is.Equal(h.send(t, http.MethodPost, "/file/1", "b", withHeader("Wasabidock-Deadline-Ms", "1900")).status, 200)
	ms, err := strconv.Atoi(h.servers["s1"].Runs()[0].Header.Get("Wasabidock-Deadline-Ms"))
	is.NoErr(err)
	is.True(ms > 0 && ms <= 1900-int(wait.Milliseconds()))
}
