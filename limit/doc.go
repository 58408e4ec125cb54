// Package limit keeps the tokens admitted for a customer over the whole fleet
// within the customer's rate and burst, without consensus and without shared
// state.
//
// # Usage
//
//	seat := limit.NewSeat(limit.SeatConfig{Start: now})
//	seat.SetShare(now, 111_111)
//	granted, share := seat.Grant(now, holder, groups, life)
//
//	h := limit.NewHolder(limit.HolderConfig{})
//	h.SetTerms(now, customers)
//	h.Lease(asked, now, seatName, granted, share, life)
//	g, known := h.Charge(now, "sur", 1200, false)
//	if g.Serial != 0 {
//		// dispatch within GrantLife from before the charge
//		h.Settle(now, "sur", g.Serial, unused)
//	}
//
// # Invariants
//
// Every seat of the table owns a fixed share of each customer's rate and
// burst, and the shares of all seats add up to at most one. A seat leases its
// share of a group of customers to one Holder at a time. The lease counts at
// the Holder from before it asked and at the Seat from when it answered, each
// with a margin for clocks that run at different speeds, so the Holder stops
// first.
//
// A Holder keeps one Bucket for each customer. The level of a bucket together
// with what it granted within the last GrantLife never exceeds the leased
// share of the burst, and only Bucket.refill creates tokens, at the leased
// share of the rate. Summed over the fleet, what can be spent at an instant is
// at most the burst, and what is created in a window at most rate times
// window.
//
// # Concurrency
//
// Seat and Holder are safe for concurrent use. A Holder keeps each group of
// customers under a lock of its own. Bucket is not safe for concurrent use.
package limit
