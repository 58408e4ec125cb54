package fair

import (
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After time of a rejected item.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// customerWindow is the time over which the service rate of a customer is measured.
	customerWindow = 4 * time.Second
)

// retryBacklog is the cost of a customer's rejected items whose Retry-After time has not passed yet.
type retryBacklog struct {
	cost    float64
	updated tick.Instant // time at which cost was last reduced
}

// RetryAfter returns the time after which a rejected item of the given cost may be retried, between
// 50 ms and 30 s. It is the time in which the customer will be served the cost of its earlier
// rejected items that are still to be retried. For an item that was predicted to start late, that
// delay is added.
func (q *Queue) RetryAfter(name ident.Customer, cost int64, late time.Duration, now tick.Instant) time.Duration {
	c := q.customer(name)
	rate := max(c.meter.rate, 1)
	c.retries.cost = max(0, c.retries.cost-rate*(now-c.retries.updated).Seconds())
	c.retries.updated = now
	d := late + time.Duration(c.retries.cost/rate*float64(time.Second))
	if d > maxRetryAfter {
		return maxRetryAfter
	}
	c.retries.cost += float64(cost)
	return max(d, minRetryAfter)
}

// startMeter starts to measure the service rate of a customer, if it is not measured already. The
// initial value is the customer's share of the pool's rate.
func (q *Queue) startMeter(c *customer, now tick.Instant) {
	if c.meter.window == 0 {
		share := q.meter.rate * c.weight / max(q.weight, c.weight)
		c.meter = meter{window: customerWindow, rate: share}
		c.meter.startWindow(now)
	}
}
