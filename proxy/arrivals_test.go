package proxy_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// extraArrivals returns the number of arrivals beyond the first of each request, over all servers.
// The first prefill of a request that a server accepts does not count. rejecting contains the IDs of
// the servers that reject requests.
func (h *harness) extraArrivals(rejecting map[string]bool) int {
	arrivals, accepted := make(map[string]int), make(map[string]int)
	for id, s := range h.servers {
		for _, a := range s.Arrivals() {
			arrivals[a.ID]++
			if a.Prefill && !rejecting[id] {
				accepted[a.ID]++
			}
		}
	}
	extra := 0
	for id, n := range arrivals {
		extra += max(n-min(accepted[id], 1)-1, 0)
	}
	return extra
}

// TestRetriesCoverEveryArrival guards against arrivals beyond the first of a request that take no
// retry from the budget.
func TestRetriesCoverEveryArrival(t *testing.T) {
	const requests = 6
	plain := map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain}
	onePrefill := map[string]fake.Role{"p1": fake.Prefill, "d1": fake.Decode, "d2": fake.Decode}
	model := []func(*http.Request){withTokenCounts}
	tests := []struct {
		name    string
		roles   map[string]fake.Role
		faults  map[string]fake.Fault
		renamed []string // servers whose addresses are listed for servers that have ended
		closed  []string // servers that accept no connections
		limited []string // servers that accept few requests per second
		path    string
		changes []func(*http.Request)
		budget  int
		extra   int  // at least so many extra arrivals are expected
		unsure  bool // retries are also spent on arrivals that may not count or not follow
	}{
		{name: "nothing fails", roles: splitPools, path: "/once/1", changes: model, budget: 100},
		{name: "one prefill server rejects", roles: splitPools, faults: map[string]fake.Fault{"p1": fake.Shed}, path: "/once/1", changes: model, budget: 100},
		{name: "only prefill server rejects", roles: onePrefill, faults: map[string]fake.Fault{"p1": fake.Shed}, path: "/once/1", changes: model, budget: 100, extra: 1},
		{name: "prefill servers reject", roles: splitPools, faults: map[string]fake.Fault{"p1": fake.Shed, "p2": fake.Shed}, path: "/once/1", changes: model, budget: 100, extra: 2},
		{name: "prefill servers reject, no retry left", roles: splitPools, faults: map[string]fake.Fault{"p1": fake.Shed, "p2": fake.Shed}, path: "/once/1", changes: model},
		{name: "prefill servers reject, one retry left", roles: splitPools, faults: map[string]fake.Fault{"p1": fake.Shed, "p2": fake.Shed}, path: "/once/1", changes: model, budget: 1, extra: 1},
		{name: "prefill servers fail", roles: splitPools, faults: map[string]fake.Fault{"p1": fake.InternalError, "p2": fake.InternalError}, path: "/once/1", changes: model, budget: 100, extra: 1, unsure: true},
		{name: "prefill servers do not answer", roles: splitPools, faults: map[string]fake.Fault{"p1": fake.Hang, "p2": fake.Hang}, path: "/once/1", changes: model, budget: 100, extra: 1, unsure: true},
		{name: "prefill servers have ended", roles: splitPools, renamed: []string{"p1", "p2"}, path: "/once/1", changes: model, budget: 100, extra: 2},
		{name: "prefill servers accept no connections", roles: splitPools, closed: []string{"p1", "p2"}, path: "/once/1", changes: model, budget: 100},
		{name: "prefill servers have limits", roles: splitPools, limited: []string{"p1", "p2"}, path: "/once/1", changes: model, budget: 100},
		{name: "decode server rejects", roles: splitPools, faults: map[string]fake.Fault{"d1": fake.Shed}, path: "/once/1", changes: model, budget: 100},
		{name: "decode servers reject", roles: splitPools, faults: map[string]fake.Fault{"d1": fake.Shed, "d2": fake.Shed}, path: "/once/1", changes: model, budget: 100, extra: 1},
		{name: "decode servers reject, no retry left", roles: splitPools, faults: map[string]fake.Fault{"d1": fake.Shed, "d2": fake.Shed}, path: "/once/1", changes: model},
		{name: "decode servers have no memory", roles: splitPools, faults: map[string]fake.Fault{"d1": fake.NoMemory}, path: "/once/1", changes: model, budget: 100},
		{name: "decode server accepts no connections", roles: splitPools, closed: []string{"d1"}, path: "/once/1", changes: model, budget: 100},
		{name: "decode servers have limits", roles: splitPools, limited: []string{"d1", "d2"}, path: "/once/1", changes: model, budget: 100},
		{name: "KV caches expire", roles: splitPools, faults: map[string]fake.Fault{"p1": fake.ExpiredKV, "p2": fake.ExpiredKV}, path: "/once/1", changes: model, budget: 100, extra: 2},
		{name: "prefill and decode servers reject", roles: splitPools, faults: map[string]fake.Fault{"p1": fake.Shed, "p2": fake.Shed, "d1": fake.Shed}, path: "/once/1", changes: model, budget: 100, extra: 2},
		{name: "stream resumed", roles: splitPools, faults: map[string]fake.Fault{"d1": fake.TruncatedEvent, "d2": fake.TruncatedEvent}, path: "/again/1", changes: model, budget: 100, extra: 1},
		{name: "stream resumed after rejected prefills", roles: splitPools, faults: map[string]fake.Fault{"p1": fake.Shed, "p2": fake.Shed, "d1": fake.TruncatedEvent, "d2": fake.TruncatedEvent}, path: "/again/1", changes: model, budget: 100, extra: 3},
		{name: "plain server rejects", roles: plain, faults: map[string]fake.Fault{"s1": fake.Shed, "s2": fake.Shed}, path: "/file/1", budget: 100, extra: 1},
		{name: "plain server accepts no connections", roles: plain, closed: []string{"s1"}, path: "/file/1", budget: 100},
		{name: "plain servers have limits", roles: plain, limited: []string{"s1"}, path: "/file/1", budget: 100},
		{name: "idempotent request fails", roles: plain, faults: map[string]fake.Fault{"s1": fake.InternalError, "s2": fake.Reset}, path: "/read/1", budget: 100, extra: 1},
		{name: "idempotent request is hedged", roles: plain, faults: map[string]fake.Fault{"s1": fake.Hang, "s2": fake.Hang}, path: "/read/1", changes: []func(*http.Request){withHeader("Wasabidock-Deadline-Ms", "600")}, budget: 100, extra: 1, unsure: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.roles)
			h.budget.left = tt.budget
			rejecting := make(map[string]bool)
			for id, f := range tt.faults {
				h.servers[id].SetFault(f)
				rejecting[id] = f == fake.Shed
			}
			for _, id := range tt.limited {
				h.servers[id].SetLimit("0.1")
			}
			for _, id := range tt.closed {
				h.servers[id].Close()
			}
			for _, id := range tt.renamed {
				h.rename(id)
				rejecting[id] = true
			}
			for n := range requests {
				h.send(t, http.MethodPost, tt.path, "b", append(tt.changes, withHeader("Wasabidock-Attempt-Id", fmt.Sprint("a", n)))...)
			}
			extra := h.extraArrivals(rejecting)
			h.budget.mu.Lock()
			spent := h.budget.spent
			h.budget.mu.Unlock()
			if extra > spent || extra < spent && !tt.unsure || extra < tt.extra {
				t.Errorf("%d arrivals beyond the first of %d requests, at least %d expected, took %d retries", extra, requests, tt.extra, spent)
			}
			is.True(extra <= tt.budget)
		})
	}
}

// rename lists the address of a server for a server with another ID.
func (h *harness) rename(id string) {
	var list []*route.Server
	for _, s := range h.live.Fleet().All() {
		if s.ID == id {
			s = &route.Server{
				ID: "before-" + id, Service: s.Service, Addr: s.Addr, Centre: s.Centre, Region: s.Region, Stage: s.Stage, Slots: s.Slots,
			}
		}
		list = append(list, s)
	}
	h.live.SetFleet(route.NewFleet(h.live.Fleet().Revision()+1, list))
}
