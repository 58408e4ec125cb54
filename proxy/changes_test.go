package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

const (
	// changeSilence is the length of the silences in these tests. Another run is begun after a second of it.
	changeSilence = 1500 * time.Millisecond
	// changeWait is the time of a silence at whose end something happens if no other run was begun before.
	changeWait = 1100 * time.Millisecond
	// changeDelay is the time of a silence before which nothing happens.
	changeDelay = 300 * time.Millisecond
	// runsEnd is the time in which all runs of a request end after it.
	runsEnd = 400 * time.Millisecond
	// leaveEnd is the time in which all runs of a request end after its caller has left.
	leaveEnd = 500 * time.Millisecond
	// maxChanges is the number of cases that run at the same time. They spend their time waiting.
	maxChanges = 20
)

// rival is what the other server does while the first one is silent.
type rival struct {
	name     string
	delivers bool // it sends the next event if it is waited for
	set      func(s *fake.Server)
}

// slowBy returns a change of a server that takes d to begin its responses.
func slowBy(d time.Duration) func(*fake.Server) {
	return func(s *fake.Server) {
		s.SetFault(fake.Slow)
		s.SetSlowDelay(d)
	}
}

// rivals are the kinds of other servers, the first one is none.
func rivals() []rival {
	set := func(f fake.Fault) func(*fake.Server) { return func(s *fake.Server) { s.SetFault(f) } }
	return []rival{
		{name: "none"},
		{"free", true, slowBy(150 * time.Millisecond)},
		{"later than the silence", true, slowBy(700 * time.Millisecond)},
		{"full", false, set(fake.NoMemory)},
		{"resetting", false, set(fake.Reset)},
		{"rejecting", false, set(fake.Shed)},
		{"silent too", true, func(s *fake.Server) {
			s.SetSilence(fake.Silence{Call: fake.RunCall, For: changeSilence, Times: 1})
		}},
	}
}

// change is what happens beside a silence.
type change struct {
	name  string
	early bool // it happens at the beginning of the silence
	do    func(h *harness, leave func())
	// cut is set if the request may end with a cut or an error, whatever the other server does, and lost if it may because the first run has failed.
	cut, lost bool
	moved     []string // servers that are not called any more
	leaves    bool     // the caller leaves
}

// respec changes the configuration.
func respec(do func(s *route.Spec)) func(*harness, func()) {
	return func(h *harness, _ func()) {
		spec := changeSpec()
		spec.Version, spec.Revision = 3, 3
		do(&spec)
		h.live.SetTable(route.NewTable(spec))
	}
}

// atServers calls do with servers by their names.
func atServers(do func(h *harness, name string), names ...string) func(*harness, func()) {
	return func(h *harness, _ func()) {
		for _, n := range names {
			if h.servers[n] != nil {
				do(h, n)
			}
		}
	}
}

// breakOff ends the connections of a server, which listens again at once.
func breakOff(h *harness, name string) {
	h.servers[name].Crash(fake.FatalPart{Down: 20 * time.Millisecond})
}

// changes are what may happen beside a silence.
func changes() []change {
	drain := func(h *harness, n string) { h.servers[n].SetDraining(true) }
	unlist := func(h *harness, n string) { h.relist(n, gone) }
	fault := func(f fake.Fault) func(*harness, string) {
		return func(h *harness, n string) { h.servers[n].SetFault(f) }
	}
	both := []string{"sound", "other"}
	return []change{
		{name: "nothing", do: func(*harness, func()) {}},
		{name: "other timeouts", do: respec(func(s *route.Spec) {
			for _, r := range s.Routes {
				r.Timeout, r.LatencyTarget, r.GapTarget = 200*time.Millisecond, 10*time.Millisecond, 10*time.Millisecond
			}
		})},
		{name: "the key is withdrawn", cut: true, do: respec(func(s *route.Spec) { s.Customers[0].Keys = nil })},
		{name: "the silent server drains", moved: both[:1], do: atServers(drain, both[:1]...)},
		{name: "the silent server leaves", moved: both[:1], do: atServers(unlist, both[:1]...)},
		{name: "the other server drains", moved: both[1:], do: atServers(drain, both[1:]...)},
		{name: "the other server leaves", moved: both[1:], do: atServers(unlist, both[1:]...)},
		{name: "both drain", moved: both, do: atServers(drain, both...)},
		{name: "both leave", moved: both, do: atServers(unlist, both...)},
		{name: "the silent server ends", lost: true, moved: both[:1], do: atServers(breakOff, both[:1]...)},
		{name: "the silent server fails later", lost: true, do: atServers(fault(fake.InternalError), both[:1]...)},
		{name: "the silent server rejects later", lost: true, do: atServers(fault(fake.Shed), both[:1]...)},
		{name: "the process drains", do: func(h *harness, _ func()) { h.drain.Drain(h.clock.Now(), h.clock.Now()+time.Second) }},
		{name: "the process ends what has not begun", cut: true, do: func(h *harness, _ func()) { h.drain.Close() }},
		{name: "the caller leaves", cut: true, leaves: true, do: func(_ *harness, leave func()) { leave() }},
		{name: "no memory for a time", early: true, do: func(h *harness, _ func()) {
			h.memory.SetMax(0)
			time.Sleep(changeWait - changeDelay)
			h.memory.SetMax(1 << 20)
		}},
		{name: "no retry is left", early: true, do: func(h *harness, _ func()) {
			h.budget.mu.Lock()
			defer h.budget.mu.Unlock()
			h.budget.left = 0
		}},
	}
}

// changeSpec is a configuration with routes that allow a silence and what follows.
func changeSpec() route.Spec {
	spec := testSpec()
	spec.Version, spec.Revision = 2, 2
	for _, r := range spec.Routes {
		r.Timeout = 5 * time.Second
	}
	return spec
}

// changeCase is a request whose sound server falls silent once, and beside whose silence something happens.
type changeCase struct {
	path    string
	silent  moment
	other   rival
	change  change
	prefill fake.Fault // of the prefill server once the server is silent
	pools   bool       // there is a prefill server
}

// String implements fmt.Stringer.
func (c changeCase) String() string {
	s := fmt.Sprint(c.path, " silent ", c.silent, ", other server ", c.other.name, ", ", c.change.name)
	if c.pools {
		s += fmt.Sprintf(", prefill server %q", c.prefill)
	}
	return s
}

// changeMoments are the moments of the silences, with the path of each route.
func changeMoments() (all []changeCase) {
	for _, path := range []string{"/once/1", "/again/1", "/thrice/1"} {
		for _, m := range []moment{{fake.SilentAfterEvent, 0}, {fake.SilentAfterHead, 0}, {fake.SilentAfterEvent, 2}, {fake.SilentAfterEvent, 4}} {
			all = append(all, changeCase{path: path, silent: m})
		}
	}
	return all
}

// changeCases returns the table of routes, moments, other servers and changes. Without a second run, other servers differ in nothing.
func changeCases() (all []changeCase) {
	for _, c := range changeMoments() {
		for i, o := range rivals() {
			if c.path == "/once/1" && i > 1 {
				continue
			}
			for _, ch := range changes() {
				if strings.HasPrefix(ch.name, "the silent server ") && strings.HasSuffix(ch.name, " later") && c.silent != (moment{}) {
					continue // its status is sent already
				}
				c.other, c.change = o, ch
				all = append(all, c)
			}
		}
	}
	return all
}

// TestChangesBesideSilenceLoseNoStream guards against a stream that is cut, or a run or place that is left, because something has happened beside a silence.
func TestChangesBesideSilenceLoseNoStream(t *testing.T) { runChanges(t, changeCases()) }

// TestPrefillBesideSilenceLosesNoStream guards against a stream that is cut because the run beside a silent server needs a prompt to be read that is not.
func TestPrefillBesideSilenceLosesNoStream(t *testing.T) {
	kinds := changes()
	var all []changeCase
	for _, c := range changeMoments() {
		for _, f := range []fake.Fault{fake.NoFault, fake.InternalError, fake.Hang, fake.Shed, fake.ExpiredKV} {
			for _, ch := range []string{"nothing", "the key is withdrawn", "the silent server ends", "the caller leaves", "no retry is left"} {
				c.pools, c.prefill, c.other = true, f, rivals()[1]
				c.change = kinds[slices.IndexFunc(kinds, func(x change) bool { return x.name == ch })]
				all = append(all, c)
			}
		}
	}
	runChanges(t, all)
}

// runChanges runs cases, of which maxChanges at the same time.
func runChanges(t *testing.T, all []changeCase) {
	is := is.New(t)
	cases{
		len(all), maxChanges, func(i int) string { return all[i].String() },
		func(i int, t *testing.T, h *harness) error { return all[i].run(t, h) },
	}.check(t)
	is.True(len(all) > 0)
}

// TestRunAfterBrokenSilenceIsNotTheLast guards against a stream that is cut because its silent server ended and the server of the run beside it never answers, while a third one is free.
func TestRunAfterBrokenSilenceIsNotTheLast(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"sound": fake.Decode})
	spec := changeSpec()
	for _, r := range spec.Routes {
		r.LatencyTarget = 1200 * time.Millisecond
	}
	h.live.SetTable(route.NewTable(spec))
	h.servers["sound"].SetSilence(fake.Silence{Call: fake.RunCall, Event: 2, For: 4 * time.Second, Times: 1})
	done := make(chan struct{})
	go func() {
		defer close(done)
		eventually(t, "the server is silent", func() bool { return h.servers["sound"].Silences() == 1 })
		h.addServer(t, "mute", fake.Decode)
		h.servers["mute"].SetFault(fake.Hang)
		eventually(t, "another run is begun", func() bool { return len(h.servers["mute"].Runs()) == 1 })
		breakOff(h, "sound")
		h.addServer(t, "third", fake.Decode)
	}()
	got := h.send(t, http.MethodPost, "/thrice/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "4900"))
	<-done
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 4))
	is.Equal(len(h.servers["third"].Runs()), 1)
	eventually(t, "all places are released", func() bool { return len(h.sched.OwnLoad()) == 0 })
}

// whole reports whether the caller must get the whole response.
func (c changeCase) whole() bool {
	switch {
	case c.change.cut:
		return false
	case !c.change.lost:
		return true
	case c.path == "/once/1" || c.silent.event == 4: // a second run has nothing to add after the last event
		return false
	case c.pools:
		return c.prefill == fake.NoFault
	default:
		return c.other.delivers
	}
}

// run sends the request, lets the change happen and returns an error unless all is as it must be.
func (c changeCase) run(t *testing.T, h *harness) error {
	h.live.SetTable(route.NewTable(changeSpec()))
	if c.pools {
		h.addServer(t, "p", fake.Prefill)
	}
	h.addServer(t, "sound", fake.Decode)
	h.servers["sound"].SetSilence(fake.Silence{Call: fake.RunCall, Event: c.silent.event, Moment: c.silent.at, For: changeSilence, Times: 1})
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	changed := make(chan struct{})
	var left time.Time
	go func() {
		defer close(changed)
		c.happen(t, h, func() { left = time.Now(); leave() })
	}()
	got := h.send(t, http.MethodPost, c.path, "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "4900"),
		func(r *http.Request) { *r = *r.WithContext(ctx) })
	end, limit := time.Now(), runsEnd
	<-changed
	if c.change.leaves && !left.IsZero() {
		end, limit = left, leaveEnd
	}
	if err := c.checkResult(got); err != nil {
		return err
	}
	eventually(t, fmt.Sprint(c, ": the request has ended"), func() bool { return h.drain.Active() == 0 })
	eventually(t, fmt.Sprint(c, ": its places are released"), func() bool { return len(h.sched.OwnLoad()) == 0 })
	if err := c.checkRuns(t, h, end, limit); err != nil {
		return err
	}
	return c.checkHeld(h)
}

// happen waits for the silence, adds the other server, and lets the change happen once it runs the request.
func (c changeCase) happen(t *testing.T, h *harness, leave func()) {
	eventually(t, fmt.Sprint(c, ": the server is silent"), func() bool { return h.servers["sound"].Silences() == 1 })
	start := time.Now()
	if c.pools {
		h.servers["p"].SetFault(c.prefill)
	}
	if c.other.set != nil {
		h.addServer(t, "other", fake.Decode)
		c.other.set(h.servers["other"])
	}
	if !c.change.early {
		for time.Since(start) < changeWait && (h.servers["other"] == nil || len(h.servers["other"].Runs()) == 0) {
			time.Sleep(2 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(start.Add(changeDelay))) // the events before the silence reach the caller
	c.change.do(h, leave)
}

// checkResult returns an error unless the caller got the whole response, or may get a visible cut of it.
func (c changeCase) checkResult(got result) error {
	whole := got.err == nil && got.status == http.StatusOK && got.body == eventText(1, 4)
	fails := got.err != nil || got.status >= http.StatusBadRequest
	prefix := got.status != http.StatusOK || strings.HasPrefix(eventText(1, 4), got.body)
	if whole || !c.whole() && fails && prefix {
		return nil
	}
	return fmt.Errorf("status %d, body %q, %w", got.status, got.body, got.err)
}

// checkRuns returns an error if the request had too many runs, more than two at once, or one that is not ended in time.
func (c changeCase) checkRuns(t *testing.T, h *harness, end time.Time, limit time.Duration) error {
	var runs []fake.Run
	eventually(t, fmt.Sprint(c, ": its runs have ended"), func() bool {
		runs = nil
		for _, s := range h.servers {
			runs = append(runs, s.Runs()...)
		}
		return !slices.ContainsFunc(runs, func(r fake.Run) bool { return r.End.IsZero() })
	})
	attempts := map[string]int{"/once/1": 1, "/again/1": 2, "/thrice/1": 3}[c.path]
	if len(runs) > attempts {
		return fmt.Errorf("%d runs, want at most %d: %v, log %s", len(runs), attempts, runs, h.log.text())
	}
	for _, r := range runs {
		if r.End.After(end.Add(limit)) {
			return fmt.Errorf("a run has ended %v after the request", r.End.Sub(end))
		}
		if r.Start.After(end) && c.change.leaves {
			return fmt.Errorf("a run was begun %v after the caller left", r.Start.Sub(end))
		}
		alive := 0
		for _, o := range runs {
			if !o.Start.After(r.Start) && o.End.After(r.Start) {
				alive++
			}
			if c.other.delivers && !c.silent.afterLast() && o.Start.After(r.Start) && !o.Left && r.End.After(o.End.Add(runsEnd)) {
				return fmt.Errorf("a run has ended %v after the one that was begun beside it", r.End.Sub(o.End))
			}
		}
		if alive > 2 {
			return fmt.Errorf("%d runs at once", alive)
		}
	}
	return nil
}

// unused returns the number of runs that were given up before the server came to use their reservations and KV caches. Whether it would is not known.
func unused(s *fake.Server) int {
	n := 0
	for _, p := range s.Pauses() {
		if p.Call == fake.RunCall && p.Event == 0 && p.Moment == fake.SilentAfterEvent && !p.Left.IsZero() {
			n++
		}
	}
	return n
}

// expiring returns the number of calls that were given up before their answer, and of releases that failed, so that what they have taken expires.
func (h *harness) expiring() int {
	n := 0
	for _, line := range []string{"relay: no reservation", "relay: prefill failed", "leaving it to expire"} {
		n += strings.Count(h.log.text(), line)
	}
	return n
}

// checkHeld returns an error if something is left at a server that is still called, or a name was used wrongly.
func (c changeCase) checkHeld(h *harness) error {
	for name, s := range h.servers {
		for deadline := time.Now().Add(time.Second); ; time.Sleep(5 * time.Millisecond) {
			_, _, _, held := s.Counts()
			if held <= h.leftTo(name) || c.change.early || slices.Contains(c.change.moved, name) {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%d reservations or KV caches are left at %s", held, name)
			}
		}
		for _, m := range s.Misuses() {
			if !m.Again {
				return fmt.Errorf("misuse at %s: %v", name, m.What)
			}
		}
	}
	return nil
}

// leftTo returns how many reservations or KV caches may be left to expire at a server. A run that was given up may use the KV cache of the prefill server.
func (h *harness) leftTo(name string) int {
	n := h.expiring()
	for other, s := range h.servers {
		if name == other || name == "p" {
			n += unused(s)
		}
	}
	return n
}
