package quota

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/seeds"
)

var randomCustomers = []limit.Customer{
	{Name: "sur", Limits: limit.Limits{Rate: 1000, Burst: 4000}},
	{Name: limit.LinkCustomer("sierra", "costa"), Limits: limit.Limits{Rate: 100, Burst: 600}},
}

// The traffic is idle until all buckets are full and then floods the fleet, so that tokens created
// beyond the bound are used.
const (
	trafficCycle = 24 * time.Second
	idleTime     = 9 * time.Second
	// trafficEnd is when traffic stops. It bounds schedules in which long pauses pile up.
	trafficEnd = 15 * time.Minute
)

// chaos runs a fleet through a random schedule of faults.
type chaos struct {
	f        *fleet
	admitted int
	rejected int
	expired  int // charges that expired before use
}

// step draws and applies one fault.
func (c *chaos) step(t *rapid.T) {
	f := c.f
	instance := f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "seat")]
	p := f.procs[instance]
	switch rapid.IntRange(0, 11).Draw(t, "step") {
	case 0:
		p.dead = true
		f.after(time.Duration(rapid.IntRange(0, 20).Draw(t, "down"))*time.Second, func() { f.start(instance) })
	case 1, 11:
		d := time.Duration(rapid.SampledFrom([]int{1, 2, 5, 20, 120}).Draw(t, "pause")) * time.Second
		p.pausedUntil = max(p.pausedUntil, f.now+d)
		if rapid.Bool().Draw(t, "replaced") {
			f.after(d/2, func() { f.start(instance) })
		}
	case 2:
		centre := centreOf(instance)
		f.net.partitioned[centre] = !f.net.partitioned[centre]
	case 3:
		f.net.isolated[instance] = !f.net.isolated[instance]
	case 4, 5:
		i := rapid.IntRange(0, len(f.instances)/len(f.centres)-1).Draw(t, "other")
		other := ident.Instance(string(centreOf(instance)) + "-" + string(rune('1'+i)))
		p.wrongView[other] = !p.wrongView[other]
	case 6:
		clear(p.wrongView)
	case 7:
		f.net.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		f.net.lateRate = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "slow")
		f.net.maxPause = rapid.SampledFrom([]time.Duration{0, 2 * time.Second, 5 * time.Minute}).Draw(t, "longest pause")
	case 8:
		c.editLimits(t)
	case 9:
		c.editShares(t)
	case 10:
		if rapid.IntRange(0, 3).Draw(t, "restart all") == 0 {
			for _, s := range f.instances {
				f.start(s)
			}
		}
	}
	f.run(time.Duration(rapid.SampledFrom([]int{10, 300, 3000, 10000}).Draw(t, "wait")) * time.Millisecond)
}

// editLimits publishes other rates and bursts. Partitioned instances may apply them much later.
func (c *chaos) editLimits(t *rapid.T) {
	last := c.f.revisions[len(c.f.revisions)-1]
	r := revision{shares: last.shares}
	for i := range last.customers {
		k := rapid.SampledFrom([]int64{1, 1, 2, 5}).Draw(t, "factor")
		limits := randomCustomers[i].Limits
		r.customers = append(r.customers, limit.Customer{
			Name:   randomCustomers[i].Name,
			Limits: limit.Limits{Rate: limits.Rate * k, Burst: limits.Burst * k},
		})
	}
	c.f.publish(r, func() time.Duration { return time.Duration(c.f.rnd.Int64N(int64(time.Minute))) })
}

// editShares publishes other shares, which all instances apply within the raise delay.
func (c *chaos) editShares(t *rapid.T) {
	last := c.f.revisions[len(c.f.revisions)-1]
	r := revision{customers: last.customers, shares: make(map[ident.Instance]int64)}
	left := int64(limit.FullShare)
	for _, s := range c.f.instances {
		r.shares[s] = min(left, rapid.SampledFrom([]int64{0, 50_000, 111_111, 400_000}).Draw(t, "share"))
		left -= r.shares[s]
	}
	c.f.publish(r, func() time.Duration { return time.Duration(c.f.rnd.Int64N(int64(12 * time.Second))) })
}

// send admits requests at random instances and uses them some time later.
func (c *chaos) send(f *fleet) {
	if f.now%trafficCycle < idleTime || f.now > trafficEnd {
		return
	}
	for range 1 + f.rnd.IntN(4) {
		c.sendAt(f, f.instances[f.rnd.IntN(len(f.instances))])
	}
}

func (c *chaos) sendAt(f *fleet, instance ident.Instance) {
	p := f.procs[instance]
	if n := len(f.superseded); n > 0 && f.rnd.IntN(4) == 0 {
		p = f.superseded[f.rnd.IntN(n)]
	}
	if !f.running(p) {
		return
	}
	customer := f.revisions[0].customers[f.rnd.IntN(len(randomCustomers))]
	tokens := 1 + f.rnd.Int64N(customer.Burst)
	if f.rnd.IntN(4) > 0 {
		tokens = 1 + tokens/10
	}
	ch, err := p.svc.Admit(context.Background(), "r", customer.Name, tokens)
	if err != nil {
		c.rejected++
		return
	}
	if f.rnd.IntN(8) == 0 {
		f.run(time.Duration(f.rnd.Int64N(int64(1500 * time.Millisecond))))
	}
	if !ch.Valid() || p.dead {
		c.expired++
		ch.Settle(0)
		return
	}
	c.admitted++
	used := tokens
	if f.rnd.IntN(3) == 0 {
		used = f.rnd.Int64N(tokens + 1)
	}
	f.ledger.use(f.now, customer.Name, used)
	f.after(time.Duration(f.rnd.Int64N(int64(8*time.Second))), func() {
		if !p.dead && f.rnd.IntN(8) > 0 {
			ch.Settle(used)
			ch.Settle(0)
		}
	})
}

// TestBoundUnderRandomSchedules guards against use beyond the limits: under random faults, no
// window may hold more than burst + rate x window of any customer.
func TestBoundUnderRandomSchedules(t *testing.T) {
	admitted, rejected, expired := 0, 0, 0
	seeds.Check(t, 100, func(rt *rapid.T) {
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
		rejected += c.rejected
		expired += c.expired
	})
	t.Logf("%d admitted, %d rejected, %d expired before use", admitted, rejected, expired)
	if admitted == 0 || expired == 0 {
		t.Fatal("the schedules admitted no request or let no grant expire")
	}
}
