package fair

import (
	"container/heap"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Priority is the class of an item: interactive or deferrable.
type Priority uint8

// The priorities, the more urgent one first.
const (
	Interactive Priority = iota
	Deferrable
	numPriorities
)

// Default values of the fields of Config. The unit of DefaultOutputTokenCost is prompt tokens.
const (
	DefaultOutputTokenCost     = 32
	DefaultMaxLead             = 2 * time.Second
	DefaultMaxIdleCredit       = 2 * time.Second
	DefaultMaxItemsPerCustomer = 1024

	// interactivePerDeferrable is the ratio in which the two classes of one customer are served. After
	// this many parts of interactive cost, one part of deferrable cost is served.
	interactivePerDeferrable = 3
)

// Config holds the parameters of a Queue. Zero fields take their defaults; ExpectedRate has none.
type Config struct {
	OutputTokenCost     int64         // cost of an output token, in prompt tokens
	MaxLead             time.Duration // an interactive item is served first unless its customer is ahead by more service time
	MaxIdleCredit       time.Duration // bound on the credit of a customer that was idle, as service time at its share
	MaxItemsPerCustomer int           // largest number of queued items of one customer
	ExpectedRate        float64       // cost per second assumed until the rate is measured
}

// Item is a queued request. Cost is in prompt tokens (see Queue.Cost).
type Item struct {
	ID       uint64
	Customer ident.Customer
	Priority Priority
	Cost     int64
	StartBy  tick.Instant // an item that starts later misses its latency target
}

// Rejected is an item that was removed because it cannot start in time.
type Rejected struct {
	Item       Item
	RetryAfter time.Duration // time after which a new item could start in time
}

// Queue is a weighted fair queue over customers. Create it with New.
type Queue struct {
	cfg         Config
	customers   map[ident.Customer]*customer
	heaps       [numPriorities]customerHeap
	items       map[uint64]*entry
	free        []*entry // unlinked entries for reuse
	virtualTime float64  // never decreases; tags of idle customers are raised to it, less their credit
	weight      float64  // sum of the weights of customers with queued items
	backlog     int64    // cost of all queued items
	meter       meter
	forecast    []forecast
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
		meter:     meter{window: meterWindow, rate: cfg.ExpectedRate, expected: cfg.ExpectedRate},
	}
	for r := range q.heaps {
		q.heaps[r].priority = Priority(r)
	}
	return q
}

// Cost returns the cost, in prompt tokens, of a request with the given numbers of tokens.
func (q *Queue) Cost(prompt, output int64) int64 {
	return prompt + q.cfg.OutputTokenCost*output
}

// SetExpectedRate sets the cost per second that the pool is expected to serve. A new value replaces
// the measured rate; the same value again changes nothing.
func (q *Queue) SetExpectedRate(rate float64) { q.meter.setExpected(rate) }

// Rate returns the measured service rate of the pool in cost per second.
func (q *Queue) Rate() float64 { return q.meter.rate }

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.items) }

// Backlog returns the cost of all queued items.
func (q *Queue) Backlog() int64 { return q.backlog }

// CustomerBacklog returns the cost of the customer's queued items, zero for an unknown customer.
func (q *Queue) CustomerBacklog(name ident.Customer) int64 {
	if c, ok := q.customers[name]; ok {
		return c.backlog
	}
	return 0
}

// SetWeight sets the weight of a customer. The default is one; a weight of zero or less also means
// one.
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

// Push adds an item and returns its predicted wait and true. It rejects an item that cannot start in
// time, and an item of a customer that has too many queued; it then returns the time after which to
// retry and false.
func (q *Queue) Push(it Item, now tick.Instant) (time.Duration, bool) {
	c := q.customer(it.Customer)
	q.startMeter(c, now)
	wait := q.predictWait(c, it.Priority)
	if late := now + wait - it.StartBy; late > 0 {
		return q.RetryAfter(it.Customer, it.Cost, late, now), false
	}
	if c.lists[Interactive].n+c.lists[Deferrable].n >= q.cfg.MaxItemsPerCustomer {
		return q.RetryAfter(it.Customer, it.Cost, wait, now), false
	}
	if q.Len() == 0 {
		q.meter.startWindow(now)
	}
	if c.backlog == 0 {
		c.tag = max(c.tag, q.virtualTime-q.tagGain(q.cfg.MaxIdleCredit))
		q.weight += c.weight
	}
	if it.Priority == Deferrable && c.lists[Deferrable].n == 0 {
		q.startDeferrableMeter(c, now)
	}
	e := q.entry(it)
	q.items[it.ID] = e
	c.lists[it.Priority].push(e)
	c.backlog += it.Cost
	q.backlog += it.Cost
	if c.heapIndex[it.Priority] < 0 {
		heap.Push(&q.heaps[it.Priority], c)
	}
	return wait, true
}

// Peek returns the next item to serve and leaves it in the queue. If deferrable is false, it skips
// deferrable items.
func (q *Queue) Peek(deferrable bool) (Item, bool) {
	ci := q.top(Interactive)
	var cd *customer
	if deferrable {
		cd = q.top(Deferrable)
	}
	switch {
	case ci == nil && cd == nil:
		return Item{}, false
	case ci == nil:
		return cd.lists[Deferrable].head().item, true
	case deferrable && ci.lists[Deferrable].n > 0 && ci.deferrableDue():
		return ci.lists[Deferrable].head().item, true
	case cd != nil && cd.tag < ci.tag-q.tagGain(q.cfg.MaxLead):
		return cd.lists[Deferrable].head().item, true
	}
	return ci.lists[Interactive].head().item, true
}

// Pop removes an item that Peek returned and charges its cost to the customer. It does nothing if
// the item is not queued.
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
		c.interactiveRun = 0
		c.deferrableMeter.record(it.Cost, now)
	case c.lists[Deferrable].n > 0:
		c.interactiveRun += it.Cost
	}
	q.meter.record(it.Cost, now)
	c.meter.record(it.Cost, now)
	q.unlink(c, e)
	q.fixHeaps(c)
	q.advanceVirtualTime(start)
}

// Remove removes a canceled item without a charge. It does nothing if the item is not queued.
func (q *Queue) Remove(id uint64) {
	if e, ok := q.items[id]; ok {
		q.unlink(q.customers[e.item.Customer], e)
	}
}

// AdjustCost charges the customer the difference between the real and the estimated cost of an item
// that was popped. A negative cost is a refund.
func (q *Queue) AdjustCost(name ident.Customer, cost int64) {
	c := q.customer(name)
	c.tag += float64(cost) / c.weight
	q.meter.adjust(cost)
	q.fixHeaps(c)
}

// advanceVirtualTime advances the virtual time to the smallest tag of the customers that have items,
// or to start if there are none. The virtual time never decreases.
func (q *Queue) advanceVirtualTime(start float64) {
	ci, cd := q.top(Interactive), q.top(Deferrable)
	switch {
	case ci != nil && cd != nil:
		start = min(ci.tag, cd.tag)
	case ci != nil:
		start = ci.tag
	case cd != nil:
		start = cd.tag
	}
	q.virtualTime = max(q.virtualTime, start)
}

// unlink removes e from the queue. Its slot in the list is freed when it reaches the head of the
// list or when the list is compacted.
func (q *Queue) unlink(c *customer, e *entry) {
	delete(q.items, e.item.ID)
	e.removed = true
	c.backlog -= e.item.Cost
	q.backlog -= e.item.Cost
	l := &c.lists[e.item.Priority]
	l.n--
	q.free = l.trim(q.free)
	if l.n == 0 && c.heapIndex[e.item.Priority] >= 0 {
		heap.Remove(&q.heaps[e.item.Priority], c.heapIndex[e.item.Priority])
	}
	if c.lists[Interactive].n+c.lists[Deferrable].n == 0 {
		q.weight -= c.weight
		c.backlog = 0
		c.interactiveRun = 0
	}
}

// fixHeaps restores the heap order after the tag of c has changed.
func (q *Queue) fixHeaps(c *customer) {
	for r, i := range c.heapIndex {
		if i >= 0 {
			heap.Fix(&q.heaps[r], i)
		}
	}
}

// top returns the customer with the smallest tag among those with items of priority r, or nil.
func (q *Queue) top(r Priority) *customer {
	if h := q.heaps[r].customers; len(h) > 0 {
		return h[0]
	}
	return nil
}

// tagGain returns the amount by which the tag of a customer with a backlog grows in the time d.
func (q *Queue) tagGain(d time.Duration) float64 {
	return d.Seconds() * q.meter.rate / max(q.weight, 1)
}
