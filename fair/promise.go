package fair

import (
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

const (
	// minRetry and maxRetry bound the time that a refused caller is told to
	// stay away.
	minRetry = 50 * time.Millisecond
	maxRetry = 30 * time.Second
	// flowWindow is the time over which the service of a customer is measured.
	flowWindow = 4 * time.Second
)

// promise is the cost of the refused items of a customer whose callers have
// been told to come back and have not had the time to do so.
type promise struct {
	cost float64
	at   tick.Instant
}

// RetryAfter returns the time after which a refused item of the cost may come back:
// when the customer will have been served what others were promised before.
// An item that was late is told to stay away for that time more.
func (q *Queue) RetryAfter(name ident.Customer, cost int64, late time.Duration, now tick.Instant) time.Duration {
	c := q.customer(name)
	rate := max(c.flow.rate, 1)
	c.told.cost = max(0, c.told.cost-rate*(now-c.told.at).Seconds())
	c.told.at = now
	d := late + time.Duration(c.told.cost/rate*float64(time.Second))
	if d > maxRetry {
		return maxRetry
	}
	c.told.cost += float64(cost)
	return max(d, minRetry)
}

// beginFlow starts to measure the service of a customer from its share, unless
// it has been measured.
func (q *Queue) beginFlow(c *customer, now tick.Instant) {
	if c.flow.window == 0 {
		share := q.meter.rate * c.weight / max(q.weight, c.weight)
		c.flow = meter{window: flowWindow, rate: share}
		c.flow.begin(now)
	}
}
