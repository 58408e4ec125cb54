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

const grid = 50 * time.Millisecond

// revision is one published table.
type revision struct {
	customers []limit.Customer
	shares    map[ident.Instance]int64
}

// fleet runs many Services on one fake time in one goroutine. Calls between
// them move the time, and whatever falls due meanwhile happens inside the call.
type fleet struct {
	now     tick.Instant
	rnd     *rand.Rand
	centres []ident.Centre
	seats   []ident.Instance
	procs   map[ident.Instance]*proc
	ghosts  []*proc // superseded processes that do not know it yet
	born    uint64
	tables  []revision // index is revision - 1
	net     network
	agenda  []event
	traffic func(f *fleet)
	depth   int
	ledger  ledger
}

type event struct {
	at tick.Instant
	do func()
}

// proc is one process in a seat, with a clock of its own.
type proc struct {
	f       *fleet
	node    ident.Node
	start   tick.Instant
	drift   float64
	origin  tick.Instant
	svc     *Service
	dead    bool
	paused  tick.Instant // until when
	busy    bool
	renewAt tick.Instant
	rev     uint64
	wrong   map[ident.Instance]bool // seats that the view tells wrongly
	late    []func()                // calls that arrived during a pause
}

func newFleet(seed uint64, centres, perCentre int, first revision) *fleet {
	f := &fleet{
		rnd:    rand.New(rand.NewPCG(seed, 1)),
		procs:  make(map[ident.Instance]*proc),
		tables: []revision{first},
	}
	f.net = newNet(f)
	for c := range centres {
		centre := ident.Centre(rune('a' + c))
		f.centres = append(f.centres, centre)
		for i := range perCentre {
			f.seats = append(f.seats, ident.Instance(string(centre)+"-"+string(rune('1'+i))))
		}
	}
	f.tables[0].shares = equalShares(f.seats)
	f.ledger.note(0, f.tables[0])
	for _, s := range f.seats {
		f.start(s)
	}
	return f
}

func equalShares(seats []ident.Instance) map[ident.Instance]int64 {
	shares := make(map[ident.Instance]int64, len(seats))
	for _, s := range seats {
		shares[s] = limit.FullShare / int64(len(seats))
	}
	return shares
}

func centreOf(n ident.Instance) ident.Centre {
	c, _, _ := strings.Cut(string(n), "-")
	return ident.Centre(c)
}

// start puts a fresh process into a seat.
func (f *fleet) start(seat ident.Instance) *proc {
	f.replace(f.procs[seat])
	f.born++
	p := &proc{
		f:      f,
		node:   ident.Node{Instance: seat, Incarnation: f.born},
		start:  f.now,
		drift:  1 + (f.rnd.Float64()-0.5)/100,
		origin: time.Duration(f.rnd.Int64N(int64(time.Hour))),
		rev:    uint64(len(f.tables)),
		wrong:  make(map[ident.Instance]bool),
	}
	p.renewAt = f.now + time.Duration(f.rnd.Int64N(int64(400*time.Millisecond)))
	p.svc = New(Config{Node: p.node, Centre: centreOf(seat), Source: p, Membership: p, Dialer: p, Clock: p, Log: zerolog.Nop()})
	f.procs[seat] = p
	f.after(1100*time.Millisecond, func() { f.ledger.note(f.now, f.allowed()) })
	return p
}

// replace ends a process. A paused one wakes and runs on until a peer tells it
// that it was superseded.
func (f *fleet) replace(old *proc) {
	switch {
	case old == nil || old.dead:
	case f.up(old):
		old.dead = true
	default:
		f.ghosts = append(f.ghosts, old)
		f.after(old.paused-f.now+time.Second, func() { old.dead = true })
	}
}

func (f *fleet) up(p *proc) bool { return !p.dead && f.now >= p.paused }

// after lets something happen at a later time.
func (f *fleet) after(d time.Duration, do func()) {
	f.agenda = append(f.agenda, event{f.now + d, do})
}

// run moves the time and lets happen what falls due.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for next := f.now.Truncate(grid) + grid; next <= end; next = f.now.Truncate(grid) + grid {
		f.now = next
		f.tick()
	}
	f.now = max(f.now, end)
}

func (f *fleet) tick() {
	for i := 0; i < len(f.agenda); i++ {
		if e := f.agenda[i]; e.at <= f.now {
			f.agenda = slices.Delete(f.agenda, i, i+1)
			i--
			e.do()
		}
	}
	for _, s := range f.seats {
		if p := f.procs[s]; f.up(p) {
			p.tick()
		}
	}
	for _, p := range f.ghosts {
		if f.up(p) {
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
	late := p.late
	p.late = nil
	for _, do := range late {
		do()
	}
	if p.busy || p.f.now < p.renewAt {
		return
	}
	p.busy = true
	ctx := context.Background()
	every := p.svc.renew(ctx)
	p.svc.requeue()
	for len(p.svc.settler.queue) > 0 {
		p.svc.deliver(ctx, <-p.svc.settler.queue)
	}
	p.renewAt = p.f.now + every
	p.busy = false
}

// publish puts a table in force, at each process after a lag.
func (f *fleet) publish(r revision, lag func() time.Duration) {
	f.tables = append(f.tables, r)
	f.ledger.note(f.now, f.allowed())
	rev := uint64(len(f.tables))
	for _, s := range f.seats {
		p := f.procs[s]
		f.after(lag(), func() { p.adopt(rev) })
	}
}

// adopt takes a revision, or waits until the process runs again.
func (p *proc) adopt(rev uint64) {
	if p.dead {
		return
	}
	if p.f.now < p.paused {
		p.f.after(p.paused-p.f.now+time.Second, func() { p.adopt(rev) })
		return
	}
	p.rev = max(p.rev, rev)
	// Grants of the revision before may be used for their life.
	p.f.after(1100*time.Millisecond, func() { p.f.ledger.note(p.f.now, p.f.allowed()) })
}

// allowed returns for each customer the largest terms in force anywhere.
func (f *fleet) allowed() revision {
	oldest := uint64(len(f.tables))
	for _, p := range f.procs {
		if !p.dead {
			oldest = min(oldest, p.rev)
		}
	}
	var all revision
	for i, c := range f.tables[oldest-1].customers {
		for _, r := range f.tables[oldest:] {
			c.Rate = max(c.Rate, r.customers[i].Rate)
			c.Burst = max(c.Burst, r.customers[i].Burst)
		}
		all.customers = append(all.customers, c)
	}
	return all
}

// The methods below make a proc the Table, the View and the clock of its
// Service.

func (p *proc) Revision() uint64 { return p.rev }

func (p *proc) Customers() []limit.Customer { return p.f.tables[p.rev-1].customers }

func (p *proc) Share(n ident.Instance) int64 { return p.f.tables[p.rev-1].shares[n] }

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
	for _, s := range p.f.seats {
		if centreOf(s) == c && p.f.procs[s].seenBy(p) {
			live = append(live, s)
		}
	}
	return live
}

func (p *proc) Draining(c ident.Centre) []ident.Instance {
	var leaving []ident.Instance
	for _, s := range p.f.seats {
		if o := p.f.procs[s]; centreOf(s) == c && !o.dead && o.svc.draining.Load() {
			leaving = append(leaving, s)
		}
	}
	return leaving
}

func (p *proc) seenBy(o *proc) bool {
	lag := p.f.now - p.start
	seen := !p.dead && (lag > time.Second || p == o) && !p.svc.draining.Load()
	return seen != o.wrong[p.node.Instance]
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

// After lets the time pass at once.
func (p *proc) After(d time.Duration) tick.Timer {
	p.f.run(d)
	c := make(firedTimer, 1)
	c <- p.Now()
	return c
}

type firedTimer chan tick.Instant

func (t firedTimer) C() <-chan tick.Instant { return t }
func (t firedTimer) Stop()                  {}
