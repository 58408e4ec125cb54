package replay

import (
	"math/rand/v2"
	"strconv"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
	"wasabidock.dev/dock/tick"
)

// Policy is the name of a placement policy.
type Policy string

// The policies. Home is the router's own; the others are compared with it.
const (
	// Home has one scheduler for the pool, to which all entry instances send requests.
	Home Policy = "home"
	// Each has a scheduler in each entry instance, with the same delayed reports.
	Each Policy = "each"
	// TwoChoices is Each with the better of two random servers for each role.
	TwoChoices Policy = "two-choices"
	// FirstCome is Home in order of arrival, whatever the customer and class.
	FirstCome Policy = "first-come"
	// RoundRobin sends requests to the servers in turn, without reservation.
	RoundRobin Policy = "round-robin"
	// LeastLoaded sends requests to the server with the least load by the
	// last report, without reservation.
	LeastLoaded Policy = "least-loaded"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{Home, Each, TwoChoices, FirstCome, RoundRobin, LeastLoaded}
}

// policy makes the decisions for the entry instances of a run.
type policy interface {
	// distance is the time of a message between an entry instance and the
	// scheduler.
	distance() time.Duration
	submit(c *call, a *place.Request, now tick.Instant)
	cancel(c *call)
	step(now tick.Instant) []verdict
	progress(entry int, p *pool.Progress, now tick.Instant)
	// beat reports whether the scheduler requests all placements of the instance.
	beat(entry int, sum pool.Checksum, now tick.Instant) bool
	heartbeat(entry int, all []pool.Progress, now tick.Instant)
	report(r place.LoadReport, now tick.Instant)
	events(e place.CacheEvent)
	depart(name ident.Server, departing bool)
	// lose replaces the schedulers by new ones without state.
	lose()
	// bind returns a decode server, for a policy that reserves none.
	bind(now tick.Instant) (ident.Server, bool)
}

// verdict is a decision on a call.
type verdict struct {
	call      *call
	placement place.Placement
	choice    place.Choice
	refusal   *fail.Refusal
}

func newPolicy(w *world) policy {
	switch w.opt.Policy {
	case RoundRobin, LeastLoaded:
		return newBlind(w)
	default:
		return newScheduled(w)
	}
}

// scheduled makes its decisions with the router's schedulers.
type scheduled struct {
	w    *world
	set  []*pool.Scheduler
	call []map[pool.Ticket]*call
	buf  []pool.Decision

	started uint64
	gone    map[ident.Server]bool
}

func newScheduled(w *world) *scheduled {
	s := &scheduled{w: w, gone: make(map[ident.Server]bool)}
	n := 1
	if w.opt.Policy == Each || w.opt.Policy == TwoChoices {
		n = w.opt.Entries
	}
	for i := range n {
		s.set = append(s.set, s.start(i))
		s.call = append(s.call, make(map[pool.Ticket]*call))
	}
	return s
}

// start returns a new scheduler for position i.
func (s *scheduled) start(i int) *pool.Scheduler {
	s.started++
	t := s.w.trace
	cfg := s.w.opt.Pool
	cfg.Instance = ident.Instance("s" + strconv.Itoa(i+1))
	cfg.Incarnation = s.started
	cfg.Rand = rand.NewPCG(s.w.opt.Seed, uint64(i+100))
	cfg.FIFO = s.w.opt.Policy == FirstCome
	if s.w.opt.Policy == TwoChoices {
		cfg.Place.SampleSize = 2
	}
	sch := pool.New(cfg)
	sch.Configure(place.Spec{Centre: t.Centre, Model: t.Model, KVBytes: t.KVBytes, Servers: servers(t)}, t.Classes)
	for _, c := range t.Customers {
		sch.SetWeight(c.Name, c.Weight)
	}
	for name, gone := range s.gone {
		sch.SetDraining(name, gone)
	}
	return sch
}

// lose replaces the schedulers and submits the waiting requests to the new ones.
func (s *scheduled) lose() {
	for i := range s.set {
		s.set[i] = s.start(i)
		waiting := s.call[i]
		s.call[i] = make(map[pool.Ticket]*call)
		for _, c := range s.w.calls {
			if waiting[c.ticket] == c && c.outcome == open {
				c.attempts--
				c.ask("")
			}
		}
	}
}

func (s *scheduled) distance() time.Duration {
	if len(s.set) > 1 {
		return 0
	}
	return hop
}

func (s *scheduled) of(entry int) int { return entry % len(s.set) }

func (s *scheduled) submit(c *call, a *place.Request, now tick.Instant) {
	i := s.of(c.entry)
	t := s.set[i].Submit(a, entryName(c.entry), now)
	s.call[i][t] = c
	c.ticket = t
}

func (s *scheduled) cancel(c *call) {
	i := s.of(c.entry)
	if s.call[i][c.ticket] == c {
		s.set[i].Cancel(c.ticket)
		delete(s.call[i], c.ticket)
	}
}

func (s *scheduled) step(now tick.Instant) []verdict {
	var out []verdict
	for i, sch := range s.set {
		s.buf = sch.Dispatch(now, s.buf[:0])
		for k := range s.buf {
			d := &s.buf[k]
			v := verdict{call: s.call[i][d.Ticket], placement: d.Placement, choice: d.Choice}
			delete(s.call[i], d.Ticket)
			if !d.Placed() {
				v.refusal = d.Refusal()
			}
			out = append(out, v)
		}
	}
	return out
}

func (s *scheduled) progress(entry int, p *pool.Progress, now tick.Instant) {
	s.set[s.of(entry)].RecordProgress(entryName(entry), p, now)
}

func (s *scheduled) beat(entry int, sum pool.Checksum, now tick.Instant) bool {
	sch := s.set[s.of(entry)]
	resend := sch.NeedsResync(entryName(entry), 1, sum, now)
	sch.Expire(now)
	return resend
}

func (s *scheduled) heartbeat(entry int, all []pool.Progress, now tick.Instant) {
	s.set[s.of(entry)].Reconcile(entryName(entry), 1, all, now)
}

func (s *scheduled) report(r place.LoadReport, now tick.Instant) {
	for _, sch := range s.set {
		sch.ApplyReport(r, now)
	}
}

func (s *scheduled) events(e place.CacheEvent) {
	for _, sch := range s.set {
		sch.ApplyEvents(e)
	}
}

func (s *scheduled) depart(name ident.Server, departing bool) {
	s.gone[name] = departing
	for _, sch := range s.set {
		sch.SetDraining(name, departing)
	}
}

func (s *scheduled) bind(tick.Instant) (ident.Server, bool) { return "", false }

func entryName(i int) ident.Instance { return ident.Instance("e" + strconv.Itoa(i+1)) }

// blind places every request at once, without a queue and without reservations.
type blind struct {
	w       *world
	least   bool
	prefill []ident.Server
	decode  []ident.Server
	last    map[ident.Server]place.LoadReport
	gone    map[ident.Server]bool
	turn    int
	bound   int
	out     []verdict
}

func newBlind(w *world) *blind {
	b := &blind{
		w:     w,
		least: w.opt.Policy == LeastLoaded,
		last:  make(map[ident.Server]place.LoadReport),
		gone:  make(map[ident.Server]bool),
	}
	for _, s := range w.trace.Servers {
		if s.Role == place.RolePrefill {
			b.prefill = append(b.prefill, s.Name)
		} else {
			b.decode = append(b.decode, s.Name)
		}
	}
	return b
}

func (b *blind) distance() time.Duration { return 0 }

func (b *blind) submit(c *call, _ *place.Request, _ tick.Instant) {
	name := b.pick(b.prefill, &b.turn, func(r place.LoadReport) int64 { return r.QueuedTokens })
	b.out = append(b.out, verdict{call: c, placement: place.Placement{Prefill: name}})
}

// pick returns the next server that is not departing, or the one of these with the
// least load.
func (b *blind) pick(set []ident.Server, turn *int, load func(place.LoadReport) int64) ident.Server {
	best := -1
	for n := range set {
		i := (*turn + n) % len(set)
		if b.gone[set[i]] {
			continue
		}
		if best < 0 {
			best = i
		}
		if !b.least {
			break
		}
		if load(b.last[set[i]]) < load(b.last[set[best]]) {
			best = i
		}
	}
	if best < 0 {
		best = 0
	}
	*turn = best + 1
	return set[best]
}

func (b *blind) step(tick.Instant) []verdict {
	out := b.out
	b.out = nil
	return out
}

func (b *blind) bind(tick.Instant) (ident.Server, bool) {
	return b.pick(b.decode, &b.bound, func(r place.LoadReport) int64 { return int64(r.BusySlots) }), true
}

func (b *blind) lose()                                        {}
func (b *blind) cancel(*call)                                 {}
func (b *blind) progress(int, *pool.Progress, tick.Instant)   {}
func (b *blind) heartbeat(int, []pool.Progress, tick.Instant) {}
func (b *blind) beat(int, pool.Checksum, tick.Instant) bool   { return false }
func (b *blind) events(place.CacheEvent)                      {}
func (b *blind) report(r place.LoadReport, _ tick.Instant)    { b.last[r.Server] = r }
func (b *blind) depart(name ident.Server, departing bool)     { b.gone[name] = departing }
