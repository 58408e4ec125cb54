package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"wasabidock.dev/dock/platform/fake"
)

const (
	// shortestSilence and longestSilence bound the silences of sound servers.
	shortestSilence = 300 * time.Millisecond
	longestSilence  = 2500 * time.Millisecond
	// mostSilences bounds the number of responses in which a server is silent in one step.
	mostSilences = 3

	// crowdStreams is the number of long streams that run at once. It leaves few of the places of the decode servers.
	crowdStreams = 20
	// crowdEvents is the length of each of them.
	crowdEvents = 60

	// eventPatience is how long clients wait for the next event of a stream.
	eventPatience = max(2*time.Second, 4*fake.LatencyTarget, 8*fake.GapTarget)
	// handoverTime is the time within which a request that has left its server is at the next one.
	handoverTime = 250 * time.Millisecond
)

// quiet is how a sound server is silent.
type quiet struct {
	fake.Silence
	whole bool // for all calls, without reading anything
	// others is how all other servers of the role fail meanwhile. They give reservations.
	others fake.Fault
}

// silentCalls are the calls from which silence draws, by the role of the server.
var silentCalls = map[fake.Role][]fake.CallKind{
	fake.Plain:   {fake.AnyCall, fake.RunCall, fake.ReportCall},
	fake.Prefill: {fake.AnyCall, fake.PrefillCall, fake.FreeCall},
	fake.Decode:  {fake.AnyCall, fake.RunCall, fake.ReservationCall, fake.ReleaseCall, fake.ReportCall},
}

// silentMoments are the moments inside responses from which silence draws, by the role of the server.
var silentMoments = map[fake.Role][]fake.Moment{
	fake.Plain:  {fake.SilentAfterHead, fake.SilentInBody, fake.SilentInOpenBody, fake.SilentInEnd},
	fake.Decode: {fake.SilentAfterEvent, fake.SilentAfterHead, fake.SilentInEvent, fake.SilentInEnd},
}

// otherFaults are the faults of other servers from which silence draws, half of the time.
var otherFaults = []fake.Fault{fake.Reset, fake.InternalError, fake.Hang, fake.TruncatedEvent}

// lastEventChance is how often a silence is in or after the last event, in percent.
const lastEventChance = 30

// newQuiet draws how a server of a role is silent.
func newQuiet(rnd *rand.Rand, role fake.Role) quiet {
	calls := silentCalls[role]
	x := fake.Silence{
		Call: calls[rnd.IntN(len(calls))], For: shortestSilence + time.Duration(rnd.Int64N(int64(longestSilence-shortestSilence))),
		Times: rnd.IntN(mostSilences + 1),
	}
	others := fake.NoFault
	if role == fake.Decode && rnd.IntN(2) == 0 {
		others = otherFaults[rnd.IntN(len(otherFaults))]
	}
	switch rnd.IntN(6) {
	case 0:
		return quiet{Silence: fake.Silence{For: x.For}, whole: true, others: others}
	case 1:
		x.Call, x.Unread = fake.AnyCall, true
	case 2, 3:
		drawMoment(rnd, role, &x)
	}
	return quiet{Silence: x, others: others}
}

// drawMoment draws the moment of a silence inside the response of a server of a role.
func drawMoment(rnd *rand.Rand, role fake.Role, x *fake.Silence) {
	moments := silentMoments[role]
	if len(moments) == 0 {
		return
	}
	x.Call, x.Moment = fake.RunCall, moments[rnd.IntN(len(moments))]
	if x.Moment != fake.SilentAfterEvent && x.Moment != fake.SilentInEvent {
		return
	}
	x.Event = 1 + rnd.Int64N(streamEvents)
	if rnd.IntN(100) < lastEventChance {
		x.Event = streamEvents
	}
}

// silence makes a sound server silent.
func (c *carrier) silence(v *server, s step) {
	if s.quiet.others != fake.NoFault {
		defer c.failOthers(v, s)()
	}
	if s.quiet.whole {
		at := c.during(v.ID()+" frozen", s.lasts, func() { v.SetFrozen(true) }, func() { v.SetFrozen(false) })
		c.rec.freeze(v.ID(), at)
		return
	}
	at := c.during(v.ID()+" silent", s.lasts, func() { v.SetSilence(s.quiet.Silence) }, func() { v.SetSilence(fake.Silence{}) })
	if s.quiet.Unread {
		c.rec.freeze(v.ID(), span{from: at.from, to: at.to.Add(s.quiet.For)})
	}
}

// failOthers makes all other servers of a server's role fail. It returns a function that waits for the end of that.
func (c *carrier) failOthers(v *server, s step) (wait func()) {
	var ends sync.WaitGroup
	for i, o := range c.f.servers {
		if o == v || roles[i] != roles[s.target] {
			continue
		}
		ends.Go(func() {
			at := c.during(o.ID(), s.lasts, func() { o.SetFault(s.quiet.others) }, func() { o.SetFault(fake.NoFault) })
			c.rec.misbehaved(o.ID(), at, s.quiet.others)
			c.rec.serverTrouble(o.ID(), at)
		})
	}
	return ends.Wait
}

// crowd has long streams run at the model servers.
func (c *carrier) crowd(s step) {
	at := span{from: time.Now()}
	to := at.from.Add(s.lasts)
	var senders sync.WaitGroup
	for n := range crowdStreams {
		senders.Go(func() {
			sender := newClient(clients+floods+1+n, uint64(s.at), c.f, c.rec, c.plant)
			for i := 0; time.Now().Before(to); i++ {
				o := &outcome{daemon: (n + i) % len(c.f.daemons), customer: "calm", call: fake.Call{
					ID: fmt.Sprintf("l%x-%d-%d", uint64(s.at), n, i), Kind: fake.Streaming + fake.Kind(n%2), Key: "calm",
					Parts: []string{firstPart, fmt.Sprintf("b%d", n)}, Events: crowdEvents,
				}}
				sender.send(o)
				time.Sleep(thinkTime)
			}
		})
	}
	senders.Wait()
	at.to = time.Now()
	c.rec.mu.Lock()
	defer c.rec.mu.Unlock()
	c.rec.crowds = append(c.rec.crowds, at)
}

// tuned are the timeouts and limits of a configuration. Its zero value are those of fake.Config.
type tuned struct {
	timeout, idle time.Duration
	maxBody       int
}

// shortestIdle is the shortest of the idle timeouts from which tune draws.
const shortestIdle = 2 * time.Second

// The values from which tune draws. No timeout is below fake.RouteTimeout, and no limit below what clients send.
var (
	routeTimeouts = []time.Duration{fake.RouteTimeout, 3500 * time.Millisecond, 4500 * time.Millisecond}
	idleTimeouts  = []time.Duration{shortestIdle, 5 * time.Second, time.Minute}
	bodyLimits    = []int{maxLarge, fake.MaxBodyBytes}
)

func newTuned(rnd *rand.Rand) tuned {
	return tuned{
		timeout: routeTimeouts[rnd.IntN(len(routeTimeouts))], idle: idleTimeouts[rnd.IntN(len(idleTimeouts))],
		maxBody: bodyLimits[rnd.IntN(len(bodyLimits))],
	}
}

// timeout is a timeout of all routes that was published at an instant.
type timeout struct {
	at  time.Time
	len time.Duration
}

func (r *record) setTimeout(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeouts = append(r.timeouts, timeout{time.Now(), d})
}

func (r *record) freeze(server string, s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen[server] = append(r.frozen[server], s)
}

// timeoutOf returns the shortest timeout that may be in force for a call.
func (r *record) timeoutOf(o *outcome) time.Duration {
	shortest := time.Duration(0)
	for i, t := range r.timeouts {
		replaced := i+1 < len(r.timeouts) && r.settled(r.timeouts[i+1].at).Add(applyTime).Before(o.sent)
		if t.at.Before(o.ended) && !replaced && (shortest == 0 || t.len < shortest) {
			shortest = t.len
		}
	}
	return cmp.Or(shortest, fake.RouteTimeout)
}

// exchange is a request at a server that was to run it.
type exchange struct {
	server   string
	from, to time.Time // to is zero if it goes on
	left     bool      // the daemon closed the connection before the server's answer was whole
	silent   bool      // the server was silent when the daemon did
}

// exchanges returns the exchanges of a call by time.
func (r *record) exchanges(id string) []exchange {
	var all []exchange
	for server, runs := range r.runs {
		for _, u := range runs {
			if u.ID == id {
				all = append(all, exchange{server: server, from: u.Start, to: u.End, left: u.Left})
			}
		}
	}
	for server, pauses := range r.pauses {
		for _, p := range pauses {
			if p.ID != id || p.Call != fake.RunCall || p.Left.IsZero() {
				continue
			}
			if p.BeforeHead() {
				all = append(all, exchange{server: server, from: p.At, to: p.Left, left: true, silent: true})
				continue
			}
			for i, x := range all {
				if x.server == server && x.left && !p.At.Before(x.from) && !p.Left.After(x.to) {
					all[i].silent = true
				}
			}
		}
	}
	for i, x := range all {
		if x.left && !untouched(r.frozen[x.server], x.from, x.to, 0) {
			all[i].silent = true
		}
	}
	slices.SortFunc(all, func(a, b exchange) int { return a.from.Compare(b.from) })
	return all
}

// harmed reports whether a server may have broken off what it did in [from, to].
func (r *record) harmed(server string, from, to time.Time) bool {
	back := slices.ContainsFunc(r.returned, func(e event) bool {
		return e.what == server && !e.at.Before(from) && !e.at.After(to)
	})
	return back || !untouched(r.servers[server], from, to, time.Second)
}

// unserved reports whether a call failed or has no whole answer, and its client did not leave and had no deadline.
func (r *record) unserved(o *outcome) bool {
	return (!o.complete || o.status >= 500) && o.left.IsZero()
}

// abandoned checks that a resumable stream whose sound server was silent, or slow, or had sent all, is not ended while its
// client still waits.
func abandoned(r *record) string {
	for _, o := range r.calls {
		if o.call.Kind != fake.Streaming || !r.unserved(o) || r.excused(o) {
			continue
		}
		if why := r.givenUp(o); why != "" {
			return why
		}
		all := r.exchanges(o.call.ID)
		if len(all) == 0 {
			continue
		}
		x := all[len(all)-1]
		if !x.left && slices.ContainsFunc(all, func(e exchange) bool { return r.harmed(e.server, e.from, o.ended) }) {
			continue // one of its servers may have broken off
		}
		if r.harmed(x.server, x.from, o.ended) || o.ended.Sub(x.to) > handoverTime && r.anyHarmed(o.call.Service(), x.to, o.ended) {
			continue
		}
		what := "went on"
		switch {
		case !x.left:
			what = "had ended"
		case x.silent:
			what = "was silent"
		}
		return fmt.Sprintf("abandoned: %s at daemon %d got status %d and %d bytes after %v, %v after its last event; %s %s, and its run ended %v before",
			o.call.ID, o.daemon, o.status, len(o.body), o.ended.Sub(o.sent), o.ended.Sub(o.waitsSince()), x.server, what, o.ended.Sub(x.to))
	}
	return ""
}

// givenUp checks that a stream is not left in a silence of its sound server unless another one has sent something since,
// whatever the other one does.
func (r *record) givenUp(o *outcome) string {
	for server, pauses := range r.pauses {
		for _, p := range pauses {
			if p.ID != o.call.ID || p.Call != fake.RunCall || p.Left.IsZero() || r.harmed(server, o.sent, o.ended) {
				continue
			}
			if o.last.Before(p.At.Add(handoverTime)) {
				return fmt.Sprintf("abandoned: %s at daemon %d got status %d and %d bytes; %s was silent %s and was left %v before it would have gone on; others %s",
					o.call.ID, o.daemon, o.status, len(o.body), server, momentName(p, o.call), p.Due.Sub(p.Left), r.othersAfter(server, p))
			}
		}
	}
	return ""
}

// excused reports whether a stream may have ended for another reason than its server: the end or a pause of the daemon, the
// deadline, the patience of the client, a withdrawn key, a part that crashes servers, or few servers that may serve it.
func (r *record) excused(o *outcome) bool {
	return !untouched(r.halted[o.daemon], o.sent, o.ended, 0) || o.ended.Sub(o.sent) >= r.timeoutOf(o) ||
		o.ended.Sub(o.waitsSince()) >= eventPatience || r.isFatal(o) || !untouched(r.moves, o.sent, o.ended, contactTime) ||
		slices.ContainsFunc(r.withdrawn, func(e event) bool { return e.what == o.call.Key && e.at.Before(o.ended) })
}

// waitsSince returns since when the client waits for the next event.
func (o *outcome) waitsSince() time.Time {
	if o.last.IsZero() {
		return o.sent
	}
	return o.last
}

// anyHarmed reports whether a server of a service may have broken off what it did in [from, to].
func (r *record) anyHarmed(service string, from, to time.Time) bool {
	for id := range r.servers {
		if strings.HasPrefix(id, service) && r.harmed(id, from, to) {
			return true
		}
	}
	return false
}

// besideStops counts the calls that were sent to daemons between a planned stop and the exit.
func (r *record) besideStops() string {
	stops, sent, late, served := 0, 0, 0, 0
	for daemon, spans := range r.daemons {
		for _, s := range spans {
			if !s.planned {
				continue
			}
			stops++
			for _, o := range r.calls {
				if o.daemon != daemon || o.sent.Before(s.from) || o.sent.After(s.to.Add(-restartTime)) {
					continue
				}
				sent++
				if o.sent.Sub(s.from) >= noticeTime {
					late++
				}
				if o.served() {
					served++
				}
			}
		}
	}
	return fmt.Sprintf("%d planned stops, %d calls beside them, %d of these after %v, %d served", stops, sent, late, noticeTime, served)
}

// endings counts the calls that failed or have no whole answer, by what their last servers would have done.
func (r *record) endings() string {
	var nowhere, ended, silent, sound, harmed int
	for _, o := range r.calls {
		if !r.unserved(o) {
			continue
		}
		all := r.exchanges(o.call.ID)
		if len(all) == 0 {
			nowhere++
			continue
		}
		switch x := all[len(all)-1]; {
		case r.harmed(x.server, x.from, o.ended):
			harmed++
		case x.silent:
			silent++
		case x.left:
			sound++
		default:
			ended++
		}
	}
	return fmt.Sprintf("%d at no server, %d at a harmed server, %d at a silent server, %d at a server that went on, %d at a server that had ended",
		nowhere, harmed, silent, sound, ended)
}
