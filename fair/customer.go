package fair

import "wasabidock.dev/dock/ident"

// customer holds the tag, the service rate and the queued items of one customer.
type customer struct {
	name            ident.Customer
	weight          float64
	tag             float64 // cost served divided by the weight
	lists           [numPriorities]list
	heapIndex       [numPriorities]int // index in the heap of the priority, -1 if absent
	backlog         int64              // cost of all queued items
	meter           meter              // measures the service rate of both classes together
	retries         retryBacklog
	deferrableMeter meter // measures the service rate of the deferrable class
	interactiveRun  int64 // interactive cost served since the last deferrable item
}

type entry struct {
	item    Item
	removed bool
}

// customer returns the customer with the name and adds it with weight one if it is new.
func (q *Queue) customer(name ident.Customer) *customer {
	c, ok := q.customers[name]
	if !ok {
		c = &customer{name: name, weight: 1, tag: q.virtualTime, heapIndex: [numPriorities]int{-1, -1}}
		q.customers[name] = c
	}
	return c
}

// entry returns an entry for the item and reuses a free one if there is any.
func (q *Queue) entry(it Item) *entry {
	if n := len(q.free); n > 0 {
		e := q.free[n-1]
		q.free = q.free[:n-1]
		*e = entry{item: it}
		return e
	}
	return &entry{item: it}
}

// deferrableDue reports whether the customer's first deferrable item is served before its
// interactive items.
func (c *customer) deferrableDue() bool {
	return c.interactiveRun >= interactivePerDeferrable*c.lists[Deferrable].head().item.Cost
}
