package fair

import (
	"container/heap"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Priority orders the classes of items.
type Priority uint8

// The ranks, the more urgent one first.
const (
	Interactive Priority = iota
	Deferrable
	ranks
)

// Defaults of Config.
const (
	DefaultOutputTokenCost     = 32
	DefaultMaxLead             = 2 * time.Second
	DefaultMaxIdleCredit       = 2 * time.Second
	DefaultMaxItemsPerCustomer = 1024

	// waitingPart is the number of parts of interactive cost of one customer
	// after which one part of its waiting cost is due.
	waitingPart = 3
)

// Config holds the parameters of a Queue. Zero fields take their defaults.
type Config struct {
	OutputTokenCost     int64         // cost of an output token in prompt tokens
	MaxLead             time.Duration // bound on the precedence of interactive items
	MaxIdleCredit       time.Duration // bound on the share kept by an idle customer
	MaxItemsPerCustomer int           // most items of one customer in the queue
	ExpectedRate        float64       // expected cost per second until it is measured
}

// Item is one request in the queue.
type Item struct {
	ID       uint64
	Customer ident.Customer
	Priority Priority
	Cost     int64
	StartBy  tick.Instant // an item that starts later misses its target
}

// Rejected is an item that cannot start in time.
type Rejected struct {
	Item       Item
	RetryAfter time.Duration // time after which a new item could start in time
}

// Queue is a weighted fair queue over customers.
type Queue struct {
	cfg       Config
	customers map[ident.Customer]*customer
	heaps     [ranks]byTag
	items     map[uint64]*entry
	free      []*entry
	vtime     float64 // never falls; tags of idle customers follow it
	weight    float64 // sum of the weights of customers with items
	backlog   int64   // cost of all items
	meter     meter
	forecast  []forecast
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.OutputTokenCost == 0 {
		cfg.OutputTokenCost = DefaultOutputTokenCost
	}
	if cfg.MaxLead == 0 {
		cfg.MaxLead = DefaultMaxLead
	}
	if cfg.MaxIdleCredit == 0 {
		cfg.MaxIdleCredit = DefaultMaxIdleCredit
	}
	if cfg.MaxItemsPerCustomer == 0 {
		cfg.MaxItemsPerCustomer = DefaultMaxItemsPerCustomer
	}
	q := &Queue{
		cfg:       cfg,
		customers: make(map[ident.Customer]*customer),
		items:     make(map[uint64]*entry),
		meter:     meter{window: meterWindow, rate: cfg.ExpectedRate, nominal: cfg.ExpectedRate},
	}
	for r := range q.heaps {
		q.heaps[r].rank = Priority(r)
	}
	return q
}

// Cost returns the cost of a request with the given numbers of tokens.
func (q *Queue) Cost(prompt, output int64) int64 {
	return prompt + q.cfg.OutputTokenCost*output
}

// SetExpectedRate sets the cost per second that the pool is expected to serve.
func (q *Queue) SetExpectedRate(rate float64) { q.meter.setNominal(rate) }

// Rate returns the cost per second that the pool serves.
func (q *Queue) Rate() float64 { return q.meter.rate }

// Len returns the number of items in the queue.
func (q *Queue) Len() int { return len(q.items) }

// Backlog returns the cost of all items in the queue.
func (q *Queue) Backlog() int64 { return q.backlog }

// CustomerBacklog returns the cost of the customer's items in the queue.
func (q *Queue) CustomerBacklog(name ident.Customer) int64 {
	if c, ok := q.customers[name]; ok {
		return c.backlog
	}
	return 0
}

// SetWeight sets the weight of a customer, which is one by default.
func (q *Queue) SetWeight(name ident.Customer, w float64) {
	if w <= 0 {
		w = 1
	}
	c := q.customer(name)
	if c.backlog > 0 {
		q.weight += w - c.weight
	}
	c.weight = w
}

// Push adds an item. It returns false and the time after which to come back
// if the item cannot start in time or the customer has too many items.
func (q *Queue) Push(it Item, now tick.Instant) (time.Duration, bool) {
	c := q.customer(it.Customer)
	q.beginFlow(c, now)
	wait := q.wait(c, it.Priority)
	if late := now + wait - it.StartBy; late > 0 {
		return q.RetryAfter(it.Customer, it.Cost, late, now), false
	}
	if c.lists[Interactive].n+c.lists[Deferrable].n >= q.cfg.MaxItemsPerCustomer {
		return q.RetryAfter(it.Customer, it.Cost, wait, now), false
	}
	if q.Len() == 0 {
		q.meter.begin(now)
	}
	if c.backlog == 0 {
		c.tag = max(c.tag, q.vtime-q.lag(q.cfg.MaxIdleCredit))
		q.weight += c.weight
	}
	if it.Priority == Deferrable && c.lists[Deferrable].n == 0 {
		q.beginWaiting(c, now)
	}
	e := q.entry(it)
	q.items[it.ID] = e
	c.lists[it.Priority].push(e)
	c.backlog += it.Cost
	q.backlog += it.Cost
	if c.pos[it.Priority] < 0 {
		heap.Push(&q.heaps[it.Priority], c)
	}
	return wait, true
}

// Peek returns the item that is due next. With waiting false it passes over
// items of the rank Waiting.
func (q *Queue) Peek(waiting bool) (Item, bool) {
	ci := q.top(Interactive)
	var cw *customer
	if waiting {
		cw = q.top(Deferrable)
	}
	switch {
	case ci == nil && cw == nil:
		return Item{}, false
	case ci == nil:
		return cw.lists[Deferrable].head().item, true
	case waiting && ci.lists[Deferrable].n > 0 && ci.waitingDue():
		return ci.lists[Deferrable].head().item, true
	case cw != nil && cw.tag < ci.tag-q.lag(q.cfg.MaxLead):
		return cw.lists[Deferrable].head().item, true
	}
	return ci.lists[Interactive].head().item, true
}

// Pop takes out an item that Peek returned and charges its cost.
func (q *Queue) Pop(it Item, now tick.Instant) {
	e, ok := q.items[it.ID]
	if !ok {
		return
	}
	c := q.customers[it.Customer]
	start := c.tag
	c.tag += float64(it.Cost) / c.weight
	switch {
	case it.Priority == Deferrable:
		c.run = 0
		c.meter.served(it.Cost, now)
	case c.lists[Deferrable].n > 0:
		c.run += it.Cost
	}
	q.meter.served(it.Cost, now)
	c.flow.served(it.Cost, now)
	q.drop(c, e)
	q.fix(c)
	q.advance(start)
}

// Remove takes out an item that is no longer wanted, without a charge.
func (q *Queue) Remove(id uint64) {
	if e, ok := q.items[id]; ok {
		q.drop(q.customers[e.item.Customer], e)
	}
}

// AdjustCost books a difference between the estimated and the real cost of an
// item that was popped.
func (q *Queue) AdjustCost(name ident.Customer, cost int64) {
	c := q.customer(name)
	c.tag += float64(cost) / c.weight
	q.meter.correct(cost)
	q.fix(c)
}

// advance moves the virtual time to the least tag of the customers that have
// items, or to start if there is none.
func (q *Queue) advance(start float64) {
	ci, cw := q.top(Interactive), q.top(Deferrable)
	switch {
	case ci != nil && cw != nil:
		start = min(ci.tag, cw.tag)
	case ci != nil:
		start = ci.tag
	case cw != nil:
		start = cw.tag
	}
	q.vtime = max(q.vtime, start)
}

// drop unlinks e. Its place in the list is given up when it reaches the head.
func (q *Queue) drop(c *customer, e *entry) {
	delete(q.items, e.item.ID)
	e.gone = true
	c.backlog -= e.item.Cost
	q.backlog -= e.item.Cost
	l := &c.lists[e.item.Priority]
	l.n--
	q.free = l.trim(q.free)
	if l.n == 0 && c.pos[e.item.Priority] >= 0 {
		heap.Remove(&q.heaps[e.item.Priority], c.pos[e.item.Priority])
	}
	if c.lists[Interactive].n+c.lists[Deferrable].n == 0 {
		q.weight -= c.weight
		c.backlog = 0
		c.run = 0
	}
}

func (q *Queue) fix(c *customer) {
	for r, i := range c.pos {
		if i >= 0 {
			heap.Fix(&q.heaps[r], i)
		}
	}
}

func (q *Queue) top(r Priority) *customer {
	if h := q.heaps[r].set; len(h) > 0 {
		return h[0]
	}
	return nil
}

// lag converts a time to the tag that a busy customer gains in it.
func (q *Queue) lag(d time.Duration) float64 {
	return d.Seconds() * q.meter.rate / max(q.weight, 1)
}
