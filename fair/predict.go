package fair

import (
	"sort"
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// meterWindow is the time over which the rate of service is measured.
	meterWindow = time.Second
	// meterGain is the part of a new measurement in the rate.
	meterGain = 0.3
	// waitingWindow is the time over which the rate of a customer's waiting
	// class is measured.
	waitingWindow = 2 * time.Second
	// meterFloor is the least part of the expected rate that a measurement
	// may leave.
	meterFloor = 0.3
	// waitingFloor is the least part of its share that a measurement may
	// leave to a customer's waiting class.
	waitingFloor = 0.1
)

// meter measures the cost served per second while there is a backlog.
type meter struct {
	window  time.Duration
	rate    float64
	nominal float64
	since   tick.Instant
	sum     int64
}

func (m *meter) setNominal(rate float64) {
	if rate == m.nominal {
		return
	}
	m.nominal = rate
	m.rate = rate
}

// begin starts a window when a backlog arises.
func (m *meter) begin(now tick.Instant) {
	m.since = now
	m.sum = 0
}

func (m *meter) served(cost int64, now tick.Instant) {
	m.sum += cost
	m.tick(now)
}

// tick takes the window into the rate when it is over.
func (m *meter) tick(now tick.Instant) {
	d := now - m.since
	if d < m.window {
		return
	}
	seen := max(float64(m.sum)/d.Seconds(), m.nominal*meterFloor)
	m.rate += meterGain * (seen - m.rate)
	m.begin(now)
}

func (m *meter) correct(cost int64) { m.sum += cost }

// wait predicts how long the next item of c will stay in the queue, from the
// service that the customer has had.
func (q *Queue) wait(c *customer, r Priority) time.Duration {
	if q.meter.rate <= 0 || q.Len() == 0 {
		return 0
	}
	ahead := float64(c.backlog)
	tag := c.tag - q.vtime
	if r == Interactive {
		ahead = float64(c.lists[Interactive].cost())
		tag -= q.lag(q.cfg.MaxLead)
	}
	tag += ahead / c.weight
	d := q.span(max(ahead, tag*max(q.weight, c.weight)))
	if r == Deferrable && c.lists[Deferrable].n > 0 {
		d = max(d, c.waitingSpan(float64(c.lists[Deferrable].cost())))
	}
	return d
}

// waitingSpan converts a cost to the time in which the customer's waiting
// class is served, which depends on what its interactive class leaves.
func (c *customer) waitingSpan(cost float64) time.Duration {
	return time.Duration(cost / c.meter.rate * float64(time.Second))
}

// beginWaiting starts to measure the customer's waiting class when a backlog
// of it arises, from the customer's share.
func (q *Queue) beginWaiting(c *customer, now tick.Instant) {
	share := q.meter.rate * c.weight / max(q.weight, c.weight)
	c.meter = meter{window: waitingWindow, rate: max(share, 1), nominal: share * waitingFloor}
	c.meter.begin(now)
}

// span converts a cost to the time in which the pool serves it.
func (q *Queue) span(cost float64) time.Duration {
	return time.Duration(cost / q.meter.rate * float64(time.Second))
}

func (l *list) cost() int64 {
	var sum int64
	for _, e := range l.set[l.first:] {
		if !e.gone {
			sum += e.item.Cost
		}
	}
	return sum
}

// forecast is an item with the tag at which it will be due.
type forecast struct {
	key   float64
	seq   int
	least time.Duration // for which the item stays in any case
	item  Item
}

// RejectLate takes out the items that cannot start in time if the queue is served
// in its order at the measured rate, and appends them to out.
func (q *Queue) RejectLate(now tick.Instant, out []Rejected) []Rejected {
	if q.Len() == 0 || q.meter.rate <= 0 {
		return out
	}
	q.forecast = q.forecast[:0]
	for _, h := range q.heaps {
		for _, c := range h.set {
			q.predict(c, h.rank, now)
		}
	}
	f := q.forecast
	sort.Slice(f, func(i, j int) bool { return f[i].before(f[j]) })
	var ahead float64
	for i := range f {
		late := now + max(q.span(ahead), f[i].least) - f[i].item.StartBy
		if late > 0 {
			q.Remove(f[i].item.ID)
			out = append(out, Rejected{Item: f[i].item, RetryAfter: q.RetryAfter(f[i].item.Customer, f[i].item.Cost, late, now)})
			continue
		}
		ahead += float64(f[i].item.Cost)
	}
	return out
}

// predict appends the items of rank r of c with the tags at which they will
// be due.
func (q *Queue) predict(c *customer, r Priority, now tick.Instant) {
	tag := c.tag
	if r == Interactive {
		tag -= q.lag(q.cfg.MaxLead)
	} else {
		c.meter.tick(now)
		tag += float64(c.lists[Interactive].cost()) / c.weight
	}
	l := &c.lists[r]
	var ahead float64
	for _, e := range l.set[l.first:] {
		if e.gone {
			continue
		}
		f := forecast{key: tag, seq: len(q.forecast), item: e.item}
		if r == Deferrable {
			f.least = c.waitingSpan(ahead)
		}
		q.forecast = append(q.forecast, f)
		tag += float64(e.item.Cost) / c.weight
		ahead += float64(e.item.Cost)
	}
}

func (f *forecast) before(o forecast) bool {
	if f.key != o.key {
		return f.key < o.key
	}
	if f.item.Customer != o.item.Customer {
		return f.item.Customer < o.item.Customer
	}
	return f.seq < o.seq
}
