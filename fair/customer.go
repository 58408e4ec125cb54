package fair

import "wasabidock.dev/dock/ident"

// customer is the account of one customer and its items.
type customer struct {
	name    ident.Customer
	weight  float64
	tag     float64
	lists   [ranks]list
	pos     [ranks]int // index in the heap of the rank, -1 if absent
	backlog int64
	flow    meter // of all that is served
	told    promise
	meter   meter // of the waiting class
	run     int64 // interactive cost served since the last waiting item
}

type entry struct {
	item Item
	gone bool
}

func (q *Queue) customer(name ident.Customer) *customer {
	c, ok := q.customers[name]
	if !ok {
		c = &customer{name: name, weight: 1, tag: q.vtime, pos: [ranks]int{-1, -1}}
		q.customers[name] = c
	}
	return c
}

func (q *Queue) entry(it Item) *entry {
	if n := len(q.free); n > 0 {
		e := q.free[n-1]
		q.free = q.free[:n-1]
		*e = entry{item: it}
		return e
	}
	return &entry{item: it}
}

func (c *customer) waitingDue() bool {
	return c.run >= waitingPart*c.lists[Deferrable].head().item.Cost
}
