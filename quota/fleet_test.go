package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/tick"
)

// tickInterval is the time between two steps of a fleet.
const tickInterval = 50 * time.Millisecond

// revision is one published configuration.
type revision struct {
	customers []limit.Customer
	shares    map[ident.Instance]int64
}

// fleet runs many Services on one fake clock in one goroutine. A call between two of them advances
// the time, and the events that fall into this time run inside the call.
type fleet struct {
	now          tick.Instant
	rnd          *rand.Rand
	centres      []ident.Centre
	instances    []ident.Instance
	procs        map[ident.Instance]*proc
	superseded   []*proc    // superseded processes that have not noticed it yet
	incarnations uint64     // number of processes started
	revisions    []revision // the index is the revision - 1
	net          network
	events       []event
	traffic      func(f *fleet)
	depth        int // nested calls of traffic
	ledger       ledger
}

// event is a function to run at a given time.
type event struct {
	at tick.Instant
	do func()
}

// proc is one process of an instance, with its own clock.
type proc struct {
	f           *fleet
	node        ident.Node
	start       tick.Instant
	drift       float64      // speed of its clock
	origin      tick.Instant // its clock at the start
	svc         *Service
	dead        bool
	pausedUntil tick.Instant
	renewing    bool
	renewAt     tick.Instant
	rev         uint64
	wrongView   map[ident.Instance]bool // instances whose state its view shows wrongly
	delayed     []func()                // calls that arrived during a pause
}

func newFleet(seed uint64, centres, perCentre int, first revision) *fleet {
	f := &fleet{
		rnd:       rand.New(rand.NewPCG(seed, 1)),
		procs:     make(map[ident.Instance]*proc),
		revisions: []revision{first},
	}
	f.net = newNetwork(f)
	for c := range centres {
		centre := ident.Centre(rune('a' + c))
		f.centres = append(f.centres, centre)
		for i := range perCentre {
			f.instances = append(f.instances, ident.Instance(string(centre)+"-"+string(rune('1'+i))))
		}
	}
	f.revisions[0].shares = equalShares(f.instances)
	f.ledger.setAllowed(0, f.revisions[0])
	for _, s := range f.instances {
		f.start(s)
	}
	return f
}

func equalShares(instances []ident.Instance) map[ident.Instance]int64 {
	shares := make(map[ident.Instance]int64, len(instances))
	for _, s := range instances {
		shares[s] = limit.FullShare / int64(len(instances))
	}
	return shares
}

func centreOf(n ident.Instance) ident.Centre {
	c, _, _ := strings.Cut(string(n), "-")
	return ident.Centre(c)
}

// start starts a new process of an instance in place of the present one.
func (f *fleet) start(instance ident.Instance) *proc {
	f.replace(f.procs[instance])
	f.incarnations++
	p := &proc{
		f:         f,
		node:      ident.Node{Instance: instance, Incarnation: f.incarnations},
		start:     f.now,
		drift:     1 + (f.rnd.Float64()-0.5)/100,
		origin:    time.Duration(f.rnd.Int64N(int64(time.Hour))),
		rev:       uint64(len(f.revisions)),
		wrongView: make(map[ident.Instance]bool),
	}
	p.renewAt = f.now + time.Duration(f.rnd.Int64N(int64(400*time.Millisecond)))
	p.svc = New(Config{Node: p.node, Centre: centreOf(instance), Source: p, Membership: p, Dialer: p, Clock: p, Log: zerolog.Nop()})
	f.procs[instance] = p
	f.after(1100*time.Millisecond, func() { f.ledger.setAllowed(f.now, f.allowed()) })
	return p
}

// replace ends a process. A paused process resumes later and keeps running until a peer reports
// that it was superseded.
func (f *fleet) replace(old *proc) {
	switch {
	case old == nil || old.dead:
	case f.running(old):
		old.dead = true
	default:
		f.superseded = append(f.superseded, old)
		f.after(old.pausedUntil-f.now+time.Second, func() { old.dead = true })
	}
}

// running reports whether a process is neither dead nor paused.
func (f *fleet) running(p *proc) bool { return !p.dead && f.now >= p.pausedUntil }

// after schedules a function to run d from now.
func (f *fleet) after(d time.Duration, do func()) {
	f.events = append(f.events, event{f.now + d, do})
}

// run advances the time and runs the events that fall into it.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for next := f.now.Truncate(tickInterval) + tickInterval; next <= end; next = f.now.Truncate(tickInterval) + tickInterval {
		f.now = next
		f.tick()
	}
	f.now = max(f.now, end)
}

func (f *fleet) tick() {
	for i := 0; i < len(f.events); i++ {
		if e := f.events[i]; e.at <= f.now {
			f.events = slices.Delete(f.events, i, i+1)
			i--
			e.do()
		}
	}
	for _, s := range f.instances {
		if p := f.procs[s]; f.running(p) {
			p.tick()
		}
	}
	for _, p := range f.superseded {
		if f.running(p) {
			p.tick()
		}
	}
	if f.traffic != nil && f.depth < 3 {
		f.depth++
		f.traffic(f)
		f.depth--
	}
}

func (p *proc) tick() {
	delayed := p.delayed
	p.delayed = nil
	for _, do := range delayed {
		do()
	}
	if p.renewing || p.f.now < p.renewAt {
		return
	}
	p.renewing = true
	ctx := context.Background()
	every := p.svc.renew(ctx)
	p.svc.requeue()
	for len(p.svc.settlements.queue) > 0 {
		p.svc.deliver(ctx, <-p.svc.settlements.queue)
	}
	p.renewAt = p.f.now + every
	p.renewing = false
}

// publish publishes a configuration. Each process applies it after its own lag.
func (f *fleet) publish(r revision, lag func() time.Duration) {
	f.revisions = append(f.revisions, r)
	f.ledger.setAllowed(f.now, f.allowed())
	rev := uint64(len(f.revisions))
	for _, s := range f.instances {
		p := f.procs[s]
		f.after(lag(), func() { p.applyRevision(rev) })
	}
}

// applyRevision applies a revision, or waits until the process runs again.
func (p *proc) applyRevision(rev uint64) {
	if p.dead {
		return
	}
	if p.f.now < p.pausedUntil {
		p.f.after(p.pausedUntil-p.f.now+time.Second, func() { p.applyRevision(rev) })
		return
	}
	p.rev = max(p.rev, rev)
	// Grants of the previous revision can be used until they expire.
	p.f.after(1100*time.Millisecond, func() { p.f.ledger.setAllowed(p.f.now, p.f.allowed()) })
}

// allowed returns for each customer the largest limits in force at any process.
func (f *fleet) allowed() revision {
	oldest := uint64(len(f.revisions))
	for _, p := range f.procs {
		if !p.dead {
			oldest = min(oldest, p.rev)
		}
	}
	var all revision
	for i, c := range f.revisions[oldest-1].customers {
		for _, r := range f.revisions[oldest:] {
			c.Rate = max(c.Rate, r.customers[i].Rate)
			c.Burst = max(c.Burst, r.customers[i].Burst)
		}
		all.customers = append(all.customers, c)
	}
	return all
}

// The methods below implement ConfigSource, Membership and tick.Clock for the Service of a proc.

func (p *proc) Revision() uint64 { return p.rev }

func (p *proc) Customers() []limit.Customer { return p.f.revisions[p.rev-1].customers }

func (p *proc) Share(n ident.Instance) int64 { return p.f.revisions[p.rev-1].shares[n] }

func (p *proc) Centres() []ident.Centre {
	own := centreOf(p.node.Instance)
	all := []ident.Centre{own}
	for _, c := range p.f.centres {
		if c != own {
			all = append(all, c)
		}
	}
	return all
}

func (p *proc) Live(c ident.Centre) []ident.Instance {
	var live []ident.Instance
	for _, s := range p.f.instances {
		if centreOf(s) == c && p.f.procs[s].seenBy(p) {
			live = append(live, s)
		}
	}
	return live
}

func (p *proc) Draining(c ident.Centre) []ident.Instance {
	var draining []ident.Instance
	for _, s := range p.f.instances {
		if o := p.f.procs[s]; centreOf(s) == c && !o.dead && o.svc.draining.Load() {
			draining = append(draining, s)
		}
	}
	return draining
}

// seenBy reports whether o considers p alive and not draining.
func (p *proc) seenBy(o *proc) bool {
	lag := p.f.now - p.start
	seen := !p.dead && (lag > time.Second || p == o) && !p.svc.draining.Load()
	return seen != o.wrongView[p.node.Instance]
}

func (p *proc) Current(n ident.Node) bool {
	return p.f.procs[n.Instance].node == n
}

func (p *proc) AppliedEverywhere(rev uint64) bool {
	for _, o := range p.f.procs {
		if !o.dead && o.rev < rev {
			return false
		}
	}
	return true
}

func (p *proc) Now() tick.Instant {
	return p.origin + time.Duration(float64(p.f.now-p.start)*p.drift)
}

func (p *proc) Every(time.Duration) tick.Timer { panic("not used") }

// After advances the time by d before it returns.
func (p *proc) After(d time.Duration) tick.Timer {
	p.f.run(d)
	c := make(firedTimer, 1)
	c <- p.Now()
	return c
}

type firedTimer chan tick.Instant

func (t firedTimer) C() <-chan tick.Instant { return t }
func (t firedTimer) Stop()                  {}
