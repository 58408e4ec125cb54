package fair

import (
	"sort"
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// meterWindow is the time over which the service rate of the pool is measured.
	meterWindow = time.Second
	// meterSmoothing is the weight of a new measurement in the moving average of the rate.
	meterSmoothing = 0.3
	// deferrableWindow is the time over which the service rate of a customer's deferrable class is
	// measured.
	deferrableWindow = 2 * time.Second
	// meterMinFraction is the fraction of the expected rate below which no measurement counts.
	meterMinFraction = 0.3
	// deferrableMinFraction is the fraction of the customer's share below which no measurement of its
	// deferrable class counts.
	deferrableMinFraction = 0.1
)

// meter measures a service rate, in cost per second, while there is a backlog.
type meter struct {
	window      time.Duration
	rate        float64 // moving average
	expected    float64 // expected rate; zero means no lower bound on measurements
	windowStart tick.Instant
	cost        int64 // served in the current window
}

func (m *meter) setExpected(rate float64) {
	if rate == m.expected {
		return
	}
	m.expected = rate
	m.rate = rate
}

// startWindow starts a window at the start of a backlog or at the end of the last window.
func (m *meter) startWindow(now tick.Instant) {
	m.windowStart = now
	m.cost = 0
}

// record adds the cost of a served item.
func (m *meter) record(cost int64, now tick.Instant) {
	m.cost += cost
	m.update(now)
}

// update folds the window into the rate if the window has ended.
func (m *meter) update(now tick.Instant) {
	d := now - m.windowStart
	if d < m.window {
		return
	}
	measured := max(float64(m.cost)/d.Seconds(), m.expected*meterMinFraction)
	m.rate += meterSmoothing * (measured - m.rate)
	m.startWindow(now)
}

func (m *meter) adjust(cost int64) { m.cost += cost }

// predictWait predicts how long the next item of c will stay in the queue, from the cost that the
// customer has been served.
func (q *Queue) predictWait(c *customer, r Priority) time.Duration {
	if q.meter.rate <= 0 || q.Len() == 0 {
		return 0
	}
	ahead := float64(c.backlog)
	tag := c.tag - q.virtualTime
	if r == Interactive {
		ahead = float64(c.lists[Interactive].cost())
		tag -= q.tagGain(q.cfg.MaxLead)
	}
	tag += ahead / c.weight
	d := q.serviceTime(max(ahead, tag*max(q.weight, c.weight)))
	if r == Deferrable && c.lists[Deferrable].n > 0 {
		d = max(d, c.deferrableServiceTime(float64(c.lists[Deferrable].cost())))
	}
	return d
}

// deferrableServiceTime returns the time in which the pool serves the cost from the customer's
// deferrable class. The rate is that of the deferrable class alone, which depends on the capacity
// that the customer's interactive class leaves unused.
func (c *customer) deferrableServiceTime(cost float64) time.Duration {
	return time.Duration(cost / c.deferrableMeter.rate * float64(time.Second))
}

// startDeferrableMeter starts to measure the customer's deferrable class when it gets a backlog. The
// initial value is the customer's share of the pool's rate.
func (q *Queue) startDeferrableMeter(c *customer, now tick.Instant) {
	share := q.meter.rate * c.weight / max(q.weight, c.weight)
	c.deferrableMeter = meter{window: deferrableWindow, rate: max(share, 1), expected: share * deferrableMinFraction}
	c.deferrableMeter.startWindow(now)
}

// serviceTime returns the time in which the pool serves the cost.
func (q *Queue) serviceTime(cost float64) time.Duration {
	return time.Duration(cost / q.meter.rate * float64(time.Second))
}

func (l *list) cost() int64 {
	var sum int64
	for _, e := range l.entries[l.first:] {
		if !e.removed {
			sum += e.item.Cost
		}
	}
	return sum
}

// forecast is an item with the customer's tag at which it is predicted to start.
type forecast struct {
	startTag float64
	seq      int           // order in which the forecasts were made
	minWait  time.Duration // lower bound on the wait from the customer's deferrable class
	item     Item
}

// RejectLate removes the items that cannot start in time if the queue is served in order at the
// measured rate. It appends them to out.
func (q *Queue) RejectLate(now tick.Instant, out []Rejected) []Rejected {
	if q.Len() == 0 || q.meter.rate <= 0 {
		return out
	}
	q.forecast = q.forecast[:0]
	for _, h := range q.heaps {
		for _, c := range h.customers {
			q.appendForecasts(c, h.priority, now)
		}
	}
	f := q.forecast
	sort.Slice(f, func(i, j int) bool { return f[i].before(f[j]) })
	var ahead float64
	for i := range f {
		late := now + max(q.serviceTime(ahead), f[i].minWait) - f[i].item.StartBy
		if late > 0 {
			q.Remove(f[i].item.ID)
			out = append(out, Rejected{Item: f[i].item, RetryAfter: q.RetryAfter(f[i].item.Customer, f[i].item.Cost, late, now)})
			continue
		}
		ahead += float64(f[i].item.Cost)
	}
	return out
}

// appendForecasts appends a forecast for each item of priority r of c.
func (q *Queue) appendForecasts(c *customer, r Priority, now tick.Instant) {
	tag := c.tag
	if r == Interactive {
		tag -= q.tagGain(q.cfg.MaxLead)
	} else {
		c.deferrableMeter.update(now)
		tag += float64(c.lists[Interactive].cost()) / c.weight
	}
	l := &c.lists[r]
	var ahead float64
	for _, e := range l.entries[l.first:] {
		if e.removed {
			continue
		}
		f := forecast{startTag: tag, seq: len(q.forecast), item: e.item}
		if r == Deferrable {
			f.minWait = c.deferrableServiceTime(ahead)
		}
		q.forecast = append(q.forecast, f)
		tag += float64(e.item.Cost) / c.weight
		ahead += float64(e.item.Cost)
	}
}

// before reports whether f is predicted to start before o. Equal tags are ordered by customer, then
// by the order of the forecasts.
func (f *forecast) before(o forecast) bool {
	if f.startTag != o.startTag {
		return f.startTag < o.startTag
	}
	if f.item.Customer != o.item.Customer {
		return f.item.Customer < o.item.Customer
	}
	return f.seq < o.seq
}
