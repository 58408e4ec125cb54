// Package fair shares the capacity of a pool of backend servers between customers.
//
// Queue is a weighted fair queue. The unit of all costs is the cost of one prompt token. One output
// token costs as much as Config.OutputTokenCost prompt tokens. The output length is an estimate when an item is
// pushed; AdjustCost charges the difference once the real length is known.
//
// # Usage
//
//	q := fair.New(fair.Config{ExpectedRate: 50_000})
//	q.SetWeight("sur", 3)
//	if wait, ok := q.Push(fair.Item{ID: 1, Customer: "sur", Cost: 900, StartBy: deadline}, now); !ok {
//		// reject at once; retry after wait
//	}
//	if it, ok := q.Peek(true); ok && place(it) {
//		q.Pop(it, now)
//	}
//	for _, r := range q.RejectLate(now, nil) {
//		// reject r.Item at once; retry after r.RetryAfter
//	}
//
// # Order
//
// Each customer has a tag: the cost that it has been served, divided by its weight. The customer
// with the smallest tag is served first, so customers with a backlog are served cost in proportion to
// their weights. A customer that was idle returns with a credit of at most Config.MaxIdleCredit
// seconds of its share.
//
// An interactive item is served before a deferrable item of another customer, unless the customer of
// the interactive item is ahead by more than Config.MaxLead seconds of its share. Within one customer
// interactive items are served first, but after three parts of interactive cost one part of
// deferrable cost is served. Neither
// class starves.
//
// # Rejections
//
// The queue predicts when an item will start, from the tags and from the measured service rate. Push
// and RejectLate reject an item as soon as the prediction shows that it cannot start in time. They
// also return the time after which the backlog will have shrunk enough for a retry.
//
// # Concurrency
//
// A Queue is not safe for concurrent use. It reads no clock: callers pass the current time.
package fair
