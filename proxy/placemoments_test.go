package proxy_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/admit"
	"wasabidock.dev/dock/platform/fake"
)

// placeMoment is a moment of a request that has begun without a restriction.
type placeMoment struct {
	name  string
	path  string
	role  fake.Role
	pools bool
	// allowedDecode is set if all decode servers are allowed ones. The allowed prefill server then joins with the
	// restriction, because the prefill server in the data centre of the decode server is preferred.
	allowedDecode bool
	// prepare returns what happens after the restriction, nil for nothing. It calls restrict later if reached is nil.
	prepare func(t *testing.T, h *harness, restrict func()) (after func(*harness))
	reached func(h *harness) bool
}

// silentOnce makes the servers that will be excluded silent, each once.
func silentOnce(x fake.Silence, after func(*harness)) func(*testing.T, *harness, func()) func(*harness) {
	x.Times = 1
	return func(_ *testing.T, h *harness, _ func()) func(*harness) {
		for _, s := range h.excluded() {
			s.SetSilence(x)
		}
		return after
	}
}

// isSilent reports whether a server that will be excluded is silent.
func isSilent(h *harness) bool { return h.sumExcluded((*fake.Server).Silences) == 1 }

// breakOffExcluded ends the connections of the excluded servers.
func breakOffExcluded(h *harness) {
	for name := range h.servers {
		if strings.HasPrefix(name, "out") {
			breakOff(h, name)
		}
	}
}

// restrictAtClaim calls restrict when a permit for a server that will be excluded is claimed.
func restrictAtClaim(_ *testing.T, h *harness, restrict func()) func(*harness) {
	for _, s := range h.live.Fleet().All() {
		if s.Region == "r" {
			h.gate.Record(s, 100, true, 0)
		}
	}
	h.gate.SetClaimer(leavingHome{restrict})
	return nil
}

// slowPrefill makes the prefill server that will be excluded slow.
func slowPrefill(_ *testing.T, h *harness, _ func()) func(*harness) {
	slowBy(300 * time.Millisecond)(h.servers["outP"])
	return nil
}

func isPrefilled(h *harness) bool { return len(h.servers["outP"].Arrivals()) == 1 }

// placeMoments are the moments at which a restriction comes.
func placeMoments() []placeMoment {
	return []placeMoment{
		{name: "while it is queued", path: "/once/1", role: fake.Decode, prepare: fillServers, reached: func(h *harness) bool { return h.sched.Queued() == 1 }},
		{name: "while it is prefilled", path: "/once/1", role: fake.Decode, pools: true, prepare: slowPrefill, reached: isPrefilled},
		{name: "while it is prefilled for an allowed server", path: "/once/1", role: fake.Decode, pools: true, allowedDecode: true, prepare: slowPrefill, reached: isPrefilled},
		{name: "while its server is silent", path: "/again/1", role: fake.Decode, prepare: silentOnce(fake.Silence{Call: fake.RunCall, Event: 2, For: changeSilence}, nil), reached: isSilent},
		{name: "while its server is silent before the head", path: "/again/1", role: fake.Decode, prepare: silentOnce(fake.Silence{Call: fake.RunCall, For: changeSilence}, nil), reached: isSilent},
		{name: "while its reservation is not answered", path: "/once/1", role: fake.Decode, prepare: silentOnce(fake.Silence{Call: fake.ReservationCall, For: changeSilence}, nil), reached: isSilent},
		{name: "before it is resumed", path: "/again/1", role: fake.Decode, prepare: silentOnce(fake.Silence{Call: fake.RunCall, Event: 2, For: changeSilence}, breakOffExcluded), reached: isSilent},
		{name: "before it is retried", path: "/read/1", prepare: silentOnce(fake.Silence{Call: fake.RunCall, For: changeSilence}, breakOffExcluded), reached: isSilent},
		{name: "before it is hedged", path: "/read/1", prepare: silentOnce(fake.Silence{Call: fake.RunCall, For: changeSilence}, nil), reached: isSilent},
		{name: "while a permit is claimed", path: "/file/1", prepare: restrictAtClaim},
		{name: "while a permit is claimed", path: "/once/1", role: fake.Decode, prepare: restrictAtClaim},
	}
}

// fillServers occupies all servers of the model until the returned function is called.
func fillServers(t *testing.T, h *harness, _ func()) func(*harness) {
	is := is.New(t)
	until := h.clock.Now() + time.Minute
	var held []*admit.Placement
	for range h.live.Fleet().Len() {
		p, err := h.sched.Place(t.Context(), admit.Request{Service: "model", Prompt: 9400, Due: until, Deadline: until})
		is.NoErr(err)
		held = append(held, p)
	}
	return func(h *harness) {
		for _, p := range held {
			h.sched.Release(p)
		}
	}
}

// TestRestrictionsApplyToRequestsInProgress guards against a request that reaches a server that a configuration or an evacuation has excluded since the request was received.
func TestRestrictionsApplyToRequestsInProgress(t *testing.T) {
	var all []placeCase
	for _, r := range restrictions() {
		for _, m := range placeMoments() {
			for _, f := range placeFaults(m.role, false)[:6] {
				all = append(all, placeCase{restriction: r, path: m.path, role: m.role, pools: m.pools, fault: f, moment: m})
			}
		}
	}
	cases{
		len(all), maxChanges, func(i int) string { return all[i].String() },
		func(i int, t *testing.T, h *harness) error { return all[i].runInProgress(t, h) },
	}.check(t)
}

// runInProgress sends the request, sets the restriction and returns an error unless no call follows at an excluded server.
func (c placeCase) runInProgress(t *testing.T, h *harness) error {
	c.setUp(t, h)
	before := make(chan int, 10)
	restrict := func() {
		c.restriction.set(h)
		before <- h.sumExcluded(calls)
	}
	after := c.moment.prepare(t, h, restrict)
	got := make(chan result, 1)
	go func() { got <- c.request(t, h) }()
	if c.moment.reached != nil {
		eventually(t, fmt.Sprint(c, ": the moment is reached"), func() bool { return c.moment.reached(h) })
		if c.moment.allowedDecode {
			h.addPlaces(t, fake.Prefill, "inP")
		}
		restrict()
	}
	if after != nil {
		after(h)
	}
	if err := c.check(<-got); err != nil {
		return fmt.Errorf("%w, log %s", err, h.log.text())
	}
	eventually(t, "the request has ended", func() bool { return h.drain.Active() == 0 })
	if n, want := h.sumExcluded(calls), <-before; n != want {
		return fmt.Errorf("%d calls at excluded servers, %d before, log %s", n, want, h.log.text())
	}
	for _, name := range []string{"in1", "in2"} {
		for _, r := range h.servers[name].Runs() {
			if from := r.Header.Get("Wasabidock-Kv-Source"); c.restriction.reason == "region" && c.pools && strings.HasPrefix(from, h.servers["outP"].Addr()) {
				return fmt.Errorf("a KV cache outside the allowed regions was used")
			}
		}
	}
	return nil
}

// TestKVCacheOutsideNewRegionsIsNotUsed guards against a KV cache that is transferred from a region that a new configuration has excluded while the run waits for its write.
func TestKVCacheOutsideNewRegionsIsNotUsed(t *testing.T) {
	for _, path := range []string{"/once/1", "/again/1"} {
		is := is.New(t)
		c := placeCase{path: path, role: fake.Decode, pools: true, fault: placeFaults(fake.Plain, false)[0], moment: placeMoment{allowedDecode: true}}
		h := newHarness(t, nil)
		c.setUp(t, h)
		slowPrefill(t, h, nil)
		got := make(chan result, 1)
		go func() { got <- c.request(t, h) }()
		eventually(t, "the prompt is sent", func() bool { return isPrefilled(h) })
		h.addPlaces(t, fake.Prefill, "inP")
		allowRegions([]string{"south"}, nil)(h)
		is.NoErr(c.check(<-got))
		n := calls(h.servers["outP"])
		is.Equal(n, 1)
		runs := slices.Concat(h.servers["in1"].Runs(), h.servers["in2"].Runs())
		is.Equal(len(runs), 1)
		is.True(!strings.HasPrefix(runs[0].Header.Get("Wasabidock-Kv-Source"), h.servers["outP"].Addr()))
	}
}
