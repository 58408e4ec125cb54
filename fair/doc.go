// Package fair shares the capacity of a pool between customers.
//
// Queue is a weighted fair queue in one currency of tokens: a prompt token
// costs one, an output token costs Config.DecodeWeight. The output length is
// an estimate when the item is pushed; Correct books the difference once more
// is known.
//
// # Usage
//
//	q := fair.New(fair.Config{Rate: 50_000})
//	q.SetWeight("sur", 3)
//	if wait, ok := q.Push(fair.Item{ID: 1, Customer: "sur", Cost: 900, StartBy: deadline}, now); !ok {
//		// refuse at once; come back after wait
//	}
//	if it, ok := q.Peek(true); ok && place(it) {
//		q.Pop(it, now)
//	}
//	for _, r := range q.Sweep(now, nil) {
//		// refuse r.Item at once; come back after r.Retry
//	}
//
// # Order
//
// Each customer has a tag: the cost that it has been served, divided by its
// weight. The customer with the smallest tag goes first, so that customers
// with a backlog receive cost in proportion to their weights. A customer that
// was idle comes back with at most Config.Credit seconds of its share in hand.
//
// An interactive item goes before a waiting one of another customer unless
// its own customer is ahead by more than Config.Lead seconds of its share.
// Within one customer interactive items go first, but after three parts of
// interactive cost one part of waiting cost is served. Neither class starves.
//
// # Refusals
//
// The queue predicts from the tags and from the measured rate of service when
// an item will start. Push and Sweep return an item that cannot start in time
// as soon as that is known, together with the time after which the backlog
// will have shrunk enough.
//
// The queue is not safe for concurrent use and reads no clock.
package fair
