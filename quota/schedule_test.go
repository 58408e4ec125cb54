package quota

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
)

var randomCustomers = []limit.Customer{
	{Name: "sur", Limits: limit.Limits{Rate: 1000, Burst: 4000}},
	{Name: limit.LinkCustomer("sierra", "costa"), Limits: limit.Limits{Rate: 100, Burst: 600}},
}

// The traffic is idle until all buckets are full and then floods, so that
// whatever is created beyond the bound shows.
const (
	cycle = 24 * time.Second
	idle  = 9 * time.Second
	// longest ends the traffic of schedules in which long pauses pile up.
	longest = 15 * time.Minute
)

// chaos drives a fleet through a random schedule.
type chaos struct {
	f        *fleet
	admitted int
	refused  int
	stale    int
}

// step draws one disturbance.
func (c *chaos) step(t *rapid.T) {
	f := c.f
	seat := f.seats[rapid.IntRange(0, len(f.seats)-1).Draw(t, "seat")]
	p := f.procs[seat]
	switch rapid.IntRange(0, 11).Draw(t, "step") {
	case 0:
		p.dead = true
		f.after(time.Duration(rapid.IntRange(0, 20).Draw(t, "down"))*time.Second, func() { f.start(seat) })
	case 1, 11:
		d := time.Duration(rapid.SampledFrom([]int{1, 2, 5, 20, 120}).Draw(t, "pause")) * time.Second
		p.paused = max(p.paused, f.now+d)
		if rapid.Bool().Draw(t, "replaced") {
			f.after(d/2, func() { f.start(seat) })
		}
	case 2:
		centre := centreOf(seat)
		f.net.cut[centre] = !f.net.cut[centre]
	case 3:
		f.net.alone[seat] = !f.net.alone[seat]
	case 4, 5:
		i := rapid.IntRange(0, len(f.seats)/len(f.centres)-1).Draw(t, "other")
		other := ident.Instance(string(centreOf(seat)) + "-" + string(rune('1'+i)))
		p.wrong[other] = !p.wrong[other]
	case 6:
		clear(p.wrong)
	case 7:
		f.net.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		f.net.slow = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "slow")
		f.net.pause = rapid.SampledFrom([]time.Duration{0, 2 * time.Second, 5 * time.Minute}).Draw(t, "longest pause")
	case 8:
		c.editTerms(t)
	case 9:
		c.editShares(t)
	case 10:
		if rapid.IntRange(0, 3).Draw(t, "restart all") == 0 {
			for _, s := range f.seats {
				f.start(s)
			}
		}
	}
	f.run(time.Duration(rapid.SampledFrom([]int{10, 300, 3000, 10000}).Draw(t, "wait")) * time.Millisecond)
}

// editTerms publishes other rates and bursts, which cut off instances take
// much later.
func (c *chaos) editTerms(t *rapid.T) {
	last := c.f.tables[len(c.f.tables)-1]
	r := revision{shares: last.shares}
	for i := range last.customers {
		k := rapid.SampledFrom([]int64{1, 1, 2, 5}).Draw(t, "factor")
		terms := randomCustomers[i].Limits
		r.customers = append(r.customers, limit.Customer{
			Name:   randomCustomers[i].Name,
			Limits: limit.Limits{Rate: terms.Rate * k, Burst: terms.Burst * k},
		})
	}
	c.f.publish(r, func() time.Duration { return time.Duration(c.f.rnd.Int64N(int64(time.Minute))) })
}

// editShares publishes other shares, which are in force everywhere in time.
func (c *chaos) editShares(t *rapid.T) {
	last := c.f.tables[len(c.f.tables)-1]
	r := revision{customers: last.customers, shares: make(map[ident.Instance]int64)}
	left := int64(limit.FullShare)
	for _, s := range c.f.seats {
		r.shares[s] = min(left, rapid.SampledFrom([]int64{0, 50_000, 111_111, 400_000}).Draw(t, "share"))
		left -= r.shares[s]
	}
	c.f.publish(r, func() time.Duration { return time.Duration(c.f.rnd.Int64N(int64(12 * time.Second))) })
}

// send lets random instances admit requests and use them some time later.
func (c *chaos) send(f *fleet) {
	if f.now%cycle < idle || f.now > longest {
		return
	}
	for range 1 + f.rnd.IntN(4) {
		c.sendAt(f, f.seats[f.rnd.IntN(len(f.seats))])
	}
}

func (c *chaos) sendAt(f *fleet, seat ident.Instance) {
	p := f.procs[seat]
	if n := len(f.ghosts); n > 0 && f.rnd.IntN(4) == 0 {
		p = f.ghosts[f.rnd.IntN(n)]
	}
	if !f.up(p) {
		return
	}
	cust := f.tables[0].customers[f.rnd.IntN(len(randomCustomers))]
	tokens := 1 + f.rnd.Int64N(cust.Burst)
	if f.rnd.IntN(4) > 0 {
		tokens = 1 + tokens/10
	}
	ch, err := p.svc.Admit(context.Background(), "r", cust.Name, tokens)
	if err != nil {
		c.refused++
		return
	}
	if f.rnd.IntN(8) == 0 {
		f.run(time.Duration(f.rnd.Int64N(int64(1500 * time.Millisecond))))
	}
	if !ch.Valid() || p.dead {
		c.stale++
		ch.Settle(0)
		return
	}
	c.admitted++
	used := tokens
	if f.rnd.IntN(3) == 0 {
		used = f.rnd.Int64N(tokens + 1)
	}
	f.ledger.use(f.now, cust.Name, used)
	f.after(time.Duration(f.rnd.Int64N(int64(8*time.Second))), func() {
		if !p.dead && f.rnd.IntN(8) > 0 {
			ch.Settle(used)
			ch.Settle(0)
		}
	})
}

// TestBoundOverSchedules checks over random schedules that no window holds
// more than burst + rate x window of any customer.
func TestBoundOverSchedules(t *testing.T) {
	admitted, refused, stale := 0, 0, 0
	checkSeeds(t, 100, func(rt *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 3).Draw(rt, "centres"), rapid.IntRange(1, 3).Draw(rt, "seats"), revision{customers: randomCustomers})
		c := &chaos{f: f}
		f.traffic = c.send
		f.run(time.Duration(rapid.IntRange(0, 40).Draw(rt, "warm")) * time.Second)
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			c.step(rt)
		}
		if v := f.ledger.violation(); v != "" {
			rt.Fatal(v)
		}
		admitted += c.admitted
		refused += c.refused
		stale += c.stale
	})
	t.Logf("%d admitted, %d refused, %d stale before use", admitted, refused, stale)
	if admitted == 0 || stale == 0 {
		t.Fatal("the schedules admitted nothing or let no grant grow stale")
	}
}
