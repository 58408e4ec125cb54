// Package limit bounds the tokens admitted for a customer over the whole fleet by the customer's
// rate and burst. It needs neither consensus nor shared state.
//
// # Usage
//
//	lessor := limit.NewLessor(limit.LessorConfig{Start: now})
//	lessor.SetShare(now, 111_111)
//	granted, share := lessor.Grant(now, holder, groups, ttl)
//
//	h := limit.NewHolder(limit.HolderConfig{})
//	h.SetLimits(now, customers)
//	h.RecordLease(now, requested, lessorName, granted, share, ttl)
//	g, known := h.Charge(now, "sur", 1200, false)
//	if g.Serial != 0 {
//		// dispatch within GrantTTL from before the charge
//		h.Settle(now, "sur", g.Serial, unused)
//	}
//
// # Invariants
//
// Every instance of the configuration owns a fixed share of each customer's rate and burst, and the
// shares of all instances add up to at most one. The Lessor of an instance leases its share of a
// group of customers to one Holder at a time. The Holder counts the lease from before it sent the
// request, the Lessor from when it responded. Each adds a margin for clocks that run at different
// speeds, so the Holder stops using the lease before the Lessor grants it to another.
//
// A Holder keeps one Bucket for each customer. The level of a bucket plus the tokens that it granted
// within the last GrantTTL never exceeds the leased share of the burst. Only Bucket.refill creates
// tokens, at the leased share of the rate. Over the whole fleet, the tokens that can be spent at any
// instant are therefore at most the burst, and the tokens created in a time window at most
// rate x window.
//
// # Concurrency
//
// Lessor and Holder are safe for concurrent use. A Holder has a separate lock for each group of
// customers. Bucket is not safe for concurrent use.
package limit
