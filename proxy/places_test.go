package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// The servers of these tests whose names begin with "out" are nearest, in region r and data centre a, and those whose names
// begin with "in" are in another region. A restriction excludes the former.

// restriction excludes the servers in region r and data centre a.
type restriction struct {
	name   string
	reason string // of the excluded servers
	set    func(h *harness)
}

// allowRegions returns a new configuration with the allowed regions of all routes and of the customer.
func allowRegions(ofRoute, ofCustomer []string) func(*harness) {
	return func(h *harness) {
		spec := changeSpec()
		spec.Version, spec.Revision = 3, 3
		for _, r := range spec.Routes {
			r.Regions = ofRoute
		}
		spec.Customers[0].Regions = ofCustomer
		h.live.SetTable(route.NewTable(spec))
	}
}

func evacuate(h *harness) { h.live.SetEvacuations(route.NewEvacuations([]string{"a"})) }

// restrictions are the kinds of restrictions.
func restrictions() []restriction {
	return []restriction{
		{"regions of the route", "region", allowRegions([]string{"south"}, nil)},
		{"regions of the customer", "region", allowRegions(nil, []string{"south", "west"})},
		{"regions of both", "region", allowRegions([]string{"r", "south"}, []string{"south", "west"})},
		{"evacuation", "evacuated", evacuate},
	}
}

// addPlaces adds servers with the given names and role.
func (h *harness) addPlaces(t *testing.T, role fake.Role, names ...string) {
	for _, n := range names {
		h.addServer(t, n, role)
		if strings.HasPrefix(n, "in") {
			h.relist(n, func(s route.Server) *route.Server {
				s.Centre, s.Region = "b", "south"
				return &s
			})
		}
	}
}

// excluded returns the servers that a restriction excludes.
func (h *harness) excluded() []*fake.Server {
	var all []*fake.Server
	for name, s := range h.servers {
		if strings.HasPrefix(name, "out") {
			all = append(all, s)
		}
	}
	return all
}

// sumExcluded returns the sum of a number over the servers that a restriction excludes.
func (h *harness) sumExcluded(n func(*fake.Server) int) int {
	sum := 0
	for _, s := range h.excluded() {
		sum += n(s)
	}
	return sum
}

// calls returns the number of calls of any kind of a server.
func calls(s *fake.Server) int { return len(s.Calls()) }

// placeFault is a fault of an allowed server beside which another one is sound.
type placeFault struct {
	name    string
	set     func(s *fake.Server)
	runs    bool // the server may have run the request, so that only some routes allow another attempt
	prefill bool // of the prefill server
}

// placeFaults are the faults of a server with a role.
func placeFaults(role fake.Role, pools bool) []placeFault {
	set := func(f fake.Fault) func(*fake.Server) { return func(s *fake.Server) { s.SetFault(f) } }
	all := []placeFault{
		{name: "none", set: set(fake.NoFault)},
		{name: "slow", set: slowBy(150 * time.Millisecond)},
		{name: "rejecting", set: set(fake.Shed)},
		{name: "draining", set: func(s *fake.Server) { s.SetDraining(true) }},
		{name: "pausing", set: func(s *fake.Server) { s.SetRetryAfter("0.4") }},
		{name: "gone", set: func(s *fake.Server) { s.Close() }},
		{name: "failing", set: set(fake.InternalError), runs: true},
		{name: "mute", set: set(fake.Hang), runs: true},
		{name: "resetting", set: set(fake.Reset), runs: true},
	}
	if role == fake.Plain {
		return append(all, placeFault{name: "breaking off", set: set(fake.TruncatedBody), runs: true})
	}
	all = append(all,
		placeFault{name: "full", set: set(fake.NoMemory)},
		placeFault{name: "no reservations", set: set(fake.ReservationError)},
		placeFault{name: "stopping", set: set(fake.Stall), runs: true},
		placeFault{name: "breaking off", set: set(fake.TruncatedEvent), runs: true})
	if pools {
		all = append(all,
			placeFault{name: "prefill mute", set: set(fake.Hang), prefill: true},
			placeFault{name: "prefill failing", set: set(fake.InternalError), prefill: true},
			placeFault{name: "KV caches expire", set: set(fake.ExpiredKV), prefill: true})
	}
	return all
}

// placeCase is a request under a restriction, whose allowed server has a fault.
type placeCase struct {
	restriction restriction
	path        string
	role        fake.Role
	pools       bool // there are prefill servers
	resumes     bool // the caller has the events up to 2
	fault       placeFault
	moment      placeMoment // at which the restriction comes, the zero value for before the request
}

// String implements fmt.Stringer.
func (c placeCase) String() string {
	return fmt.Sprint(c.restriction.name, " ", c.moment.name, " ", c.path, " pools ", c.pools, " resumes ", c.resumes, ", allowed server ", c.fault.name)
}

// setUp starts the servers of a case.
func (c placeCase) setUp(t *testing.T, h *harness) {
	h.live.SetTable(route.NewTable(changeSpec()))
	names := []string{"out1", "out2", "in1", "in2"}
	if c.moment.allowedDecode {
		names = names[2:]
	}
	h.addPlaces(t, c.role, names...)
	if c.pools {
		h.addPlaces(t, fake.Prefill, "outP")
		if !c.moment.allowedDecode {
			h.addPlaces(t, fake.Prefill, "inP")
		}
	}
	faulty := "in1"
	if c.fault.prefill {
		faulty = "inP"
	}
	c.fault.set(h.servers[faulty])
}

// request sends the request.
func (c placeCase) request(t *testing.T, h *harness) result {
	change := []func(*http.Request){withHeader("Wasabidock-Deadline-Ms", "4900")}
	if c.role != fake.Plain {
		change = append(change, withTokenCounts)
	}
	if c.resumes {
		change = append(change, withHeader("Last-Event-Id", "2"))
	}
	return h.send(t, http.MethodPost, c.path, "prompt", change...)
}

// check returns an error unless the request was served where that is possible.
func (c placeCase) check(got result) error {
	retryable := c.path == "/read/1" || c.path == "/again/1"
	first := int64(1)
	if c.resumes {
		first = 3
	}
	whole := got.err == nil && got.status == http.StatusOK && (c.role == fake.Plain || got.body == eventText(first, 4))
	if !whole && (!c.fault.runs || retryable) {
		return fmt.Errorf("status %d, body %q, %w", got.status, got.body, got.err)
	}
	return nil
}

// TestRestrictedRequestsReachNoOtherServer guards against a call of any kind at a server outside the allowed regions or in an evacuated data centre, whatever the fault of the allowed ones.
func TestRestrictedRequestsReachNoOtherServer(t *testing.T) {
	var all []placeCase
	for _, r := range restrictions() {
		for _, c := range []placeCase{
			{path: "/file/1"},
			{path: "/read/1"},
			{path: "/once/1", role: fake.Decode},
			{path: "/again/1", role: fake.Decode},
			{path: "/once/1", role: fake.Decode, pools: true},
			{path: "/again/1", role: fake.Decode, pools: true},
			{path: "/again/1", role: fake.Decode, pools: true, resumes: true},
		} {
			for _, f := range placeFaults(c.role, c.pools) {
				c.restriction, c.fault = r, f
				all = append(all, c)
			}
		}
	}
	cases{
		len(all), maxChanges, func(i int) string { return all[i].String() },
		func(i int, t *testing.T, h *harness) error {
			c := all[i]
			c.setUp(t, h)
			c.restriction.set(h)
			if err := c.check(c.request(t, h)); err != nil {
				return fmt.Errorf("%w, log %s", err, h.log.text())
			}
			eventually(t, "the request has ended", func() bool { return h.drain.Active() == 0 })
			if n := h.sumExcluded(calls); n > 0 {
				return fmt.Errorf("%d calls at excluded servers", n)
			}
			return nil
		},
	}.check(t)
}

// TestEndIsNotConfirmedByEvacuatedServer guards against a call of the router's own at a server of an evacuated data centre.
func TestEndIsNotConfirmedByEvacuatedServer(t *testing.T) {
	for _, listed := range []bool{true, false} {
		is := is.New(t)
		h := newHarness(t, map[string]fake.Role{"out1": fake.Plain})
		s := h.servers["out1"]
		s.SetScript(fake.NewScript(fake.Reply{Body: "b", Framing: fake.ByClose}))
		s.SetSilence(fake.Silence{Call: fake.RunCall, For: 200 * time.Millisecond})
		got := make(chan result, 1)
		go func() { got <- h.send(t, http.MethodPost, "/file/1", "b") }()
		eventually(t, "the server is silent", func() bool { return isSilent(h) })
		evacuate(h)
		if !listed {
			h.relist("out1", gone)
		}
		is.Equal((<-got).status, http.StatusBadGateway) // the end is not proven
		is.Equal(calls(s), 1)
	}
}

// TestRequestOutsideItsRegions guards against a request at a server outside its regions.
func TestRequestOutsideItsRegions(t *testing.T) {
	for _, r := range restrictions()[:3] {
		checkRestricted(t, r)
	}
}

// TestRequestInEvacuatedCentre guards against a request at a server of an evacuated data centre.
func TestRequestInEvacuatedCentre(t *testing.T) { checkRestricted(t, restrictions()[3]) }

// checkRestricted checks that requests under a restriction are served by allowed servers, and rejected at once if there are none.
func checkRestricted(t *testing.T, r restriction) {
	for _, c := range []placeCase{{path: "/file/1"}, {path: "/read/1"}, {path: "/once/1", role: fake.Decode}, {path: "/again/1", role: fake.Decode}} {
		t.Run(r.name+c.path, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, nil)
			h.addPlaces(t, c.role, "out1", "out2")
			r.set(h)
			got := c.request(t, h)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.Equal(got.header.Get("Retry-After"), "1.000")
			is.True(strings.Contains(got.body, string(fail.CodeNoServer)) && strings.Contains(got.body, "not run"))
			is.True(h.log.contains(`"ineligible":{"` + r.reason + `":2}`))
			is.Equal(h.counter(`ineligible_servers_total{reason="`+r.reason+`"}`), int64(2))
			h.addPlaces(t, c.role, "in1")
			is.NoErr(c.check(c.request(t, h)))
			is.Equal(h.sumExcluded(calls), 0)
		})
	}
}

// TestQueuedRequestIsRejectedOnceExcluded guards against a request that waits in the queue for servers that were excluded since it was received.
func TestQueuedRequestIsRejectedOnceExcluded(t *testing.T) {
	for _, r := range restrictions() {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, nil)
			h.addPlaces(t, fake.Decode, "out1")
			until := h.clock.Now() + time.Minute
			_, err := h.sched.Place(t.Context(), admit.Request{Service: "model", Prompt: 9400, Due: until, Deadline: until})
			is.NoErr(err)
			const n = 3 // the others are queued behind the first
			got := make(chan result, n)
			for range n {
				go func() { got <- placeCase{path: "/slow/1", role: fake.Decode}.request(t, h) }()
			}
			eventually(t, "the requests are queued", func() bool { return h.sched.Queued() == n })
			r.set(h)
			for range n {
				x := <-got
				is.Equal(x.status, http.StatusServiceUnavailable)
				is.Equal(x.header.Get("Retry-After"), "1.000") // that of a request that has waited to its deadline is longer
			}
			is.Equal(h.sumExcluded(calls), 0)
		})
	}
}

// TestPausedServersAreLogged guards against a rejection whose decision log line does not show that all servers have asked for a pause.
func TestPausedServersAreLogged(t *testing.T) {
	for _, c := range []placeCase{{path: "/file/1"}, {path: "/once/1", role: fake.Decode}} {
		is := is.New(t)
		h := newHarness(t, nil)
		h.addPlaces(t, c.role, "in1")
		h.servers["in1"].SetRetryAfter("30")
		got := c.request(t, h)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(h.log.contains(`"ineligible":{"paused":1}`))
		is.Equal(h.counter(`ineligible_servers_total{reason="paused"}`), int64(1))
	}
}

// TestEvacuationEndsAndBeginsAgain guards against an evacuation that is missed because the same one has ended right before.
func TestEvacuationEndsAndBeginsAgain(t *testing.T) {
	for _, c := range []placeCase{{path: "/file/1"}, {path: "/once/1", role: fake.Decode}} {
		is := is.New(t)
		h := newHarness(t, nil)
		h.addPlaces(t, c.role, "out1")
		for range 3 {
			evacuate(h)
			n := h.sumExcluded(calls)
			is.Equal(c.request(t, h).status, http.StatusServiceUnavailable)
			is.Equal(h.sumExcluded(calls), n)
			h.live.SetEvacuations(route.NewEvacuations(nil))
			is.NoErr(c.check(c.request(t, h)))
		}
	}
}
