package fair

import (
	"container/heap"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Rank orders the classes of items.
type Rank uint8

// The ranks, the more urgent one first.
const (
	Interactive Rank = iota
	Waiting
	ranks
)

// Defaults of Config.
const (
	DefaultDecodeWeight = 32
	DefaultLead         = 2 * time.Second
	DefaultCredit       = 2 * time.Second
	DefaultMaxItems     = 1024

	// waitingPart is the number of parts of interactive cost of one customer
	// after which one part of its waiting cost is due.
	waitingPart = 3
)

// Config holds the parameters of a Queue. Zero fields take their defaults.
type Config struct {
	DecodeWeight int64         // cost of an output token in prompt tokens
	Lead         time.Duration // bound on the precedence of interactive items
	Credit       time.Duration // bound on the share kept by an idle customer
	MaxItems     int           // most items of one customer in the queue
	Rate         float64       // expected cost per second until it is measured
}

// Item is one request in the queue.
type Item struct {
	ID       uint64
	Customer ident.Customer
	Rank     Rank
	Cost     int64
	StartBy  tick.Instant // an item that starts later misses its target
}

// Refused is an item that cannot start in time.
type Refused struct {
	Item  Item
	Retry time.Duration // time after which a new item could start in time
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
	if cfg.DecodeWeight == 0 {
		cfg.DecodeWeight = DefaultDecodeWeight
	}
	if cfg.Lead == 0 {
		cfg.Lead = DefaultLead
	}
	if cfg.Credit == 0 {
		cfg.Credit = DefaultCredit
	}
	if cfg.MaxItems == 0 {
		cfg.MaxItems = DefaultMaxItems
	}
	q := &Queue{
		cfg:       cfg,
		customers: make(map[ident.Customer]*customer),
		items:     make(map[uint64]*entry),
		meter:     meter{window: meterWindow, rate: cfg.Rate, nominal: cfg.Rate},
	}
	for r := range q.heaps {
		q.heaps[r].rank = Rank(r)
	}
	return q
}

// Cost returns the cost of a request with the given numbers of tokens.
func (q *Queue) Cost(prompt, output int64) int64 {
	return prompt + q.cfg.DecodeWeight*output
}

// SetRate sets the cost per second that the pool is expected to serve.
func (q *Queue) SetRate(rate float64) { q.meter.setNominal(rate) }

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
	wait := q.wait(c, it.Rank)
	if late := now + wait - it.StartBy; late > 0 {
		return q.Turn(it.Customer, it.Cost, late, now), false
	}
	if c.lists[Interactive].n+c.lists[Waiting].n >= q.cfg.MaxItems {
		return q.Turn(it.Customer, it.Cost, wait, now), false
	}
	if q.Len() == 0 {
		q.meter.begin(now)
	}
	if c.backlog == 0 {
		c.tag = max(c.tag, q.vtime-q.lag(q.cfg.Credit))
		q.weight += c.weight
	}
	if it.Rank == Waiting && c.lists[Waiting].n == 0 {
		q.beginWaiting(c, now)
	}
	e := q.entry(it)
	q.items[it.ID] = e
	c.lists[it.Rank].push(e)
	c.backlog += it.Cost
	q.backlog += it.Cost
	if c.pos[it.Rank] < 0 {
		heap.Push(&q.heaps[it.Rank], c)
	}
	return wait, true
}

// Peek returns the item that is due next. With waiting false it passes over
// items of the rank Waiting.
func (q *Queue) Peek(waiting bool) (Item, bool) {
	ci := q.top(Interactive)
	var cw *customer
	if waiting {
		cw = q.top(Waiting)
	}
	switch {
	case ci == nil && cw == nil:
		return Item{}, false
	case ci == nil:
		return cw.lists[Waiting].head().item, true
	case waiting && ci.lists[Waiting].n > 0 && ci.waitingDue():
		return ci.lists[Waiting].head().item, true
	case cw != nil && cw.tag < ci.tag-q.lag(q.cfg.Lead):
		return cw.lists[Waiting].head().item, true
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
	case it.Rank == Waiting:
		c.run = 0
		c.meter.served(it.Cost, now)
	case c.lists[Waiting].n > 0:
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

// Correct books a difference between the estimated and the real cost of an
// item that was popped.
func (q *Queue) Correct(name ident.Customer, cost int64) {
	c := q.customer(name)
	c.tag += float64(cost) / c.weight
	q.meter.correct(cost)
	q.fix(c)
}

// advance moves the virtual time to the least tag of the customers that have
// items, or to start if there is none.
func (q *Queue) advance(start float64) {
	ci, cw := q.top(Interactive), q.top(Waiting)
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
	l := &c.lists[e.item.Rank]
	l.n--
	q.free = l.trim(q.free)
	if l.n == 0 && c.pos[e.item.Rank] >= 0 {
		heap.Remove(&q.heaps[e.item.Rank], c.pos[e.item.Rank])
	}
	if c.lists[Interactive].n+c.lists[Waiting].n == 0 {
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

func (q *Queue) top(r Rank) *customer {
	if h := q.heaps[r].set; len(h) > 0 {
		return h[0]
	}
	return nil
}

// lag converts a time to the tag that a busy customer gains in it.
func (q *Queue) lag(d time.Duration) float64 {
	return d.Seconds() * q.meter.rate / max(q.weight, 1)
}
