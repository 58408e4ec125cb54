// Package once runs calls with an idempotency key at most once in the fleet.
//
// # Usage
//
//	s := once.New(once.Config{Self: node, Table: table, Dialer: peers, Caller: plainClient, Clock: clock, Log: log})
//	mux.Handle(peerpbconnect.NewOnceServiceHandler(s.Handler()))
//	done := s.Start(ctx)
//	answer, err := s.Run(ctx, call)
//
// # How it works
//
// The published table gives each key one home seat. Only the process in that
// seat makes the call. It first copies the intent to the seat's buddies, two
// other seats, and goes on when one of them has acknowledged. A new process in
// a seat fetches the journal from all buddies of the seat before it makes any
// keyed call; from then on the buddies refuse the copies of its predecessors,
// which therefore can't start another call. A process whose journal can't be
// proved complete answers "unknown" until the age of the route's keys is over.
//
// Directly before the first byte of a call is written, the process checks that
// it still holds its seat and that the intent's copy is recent by the
// monotonic clock.
//
// # Invariants
//
// Two calls with one key that arrive within the age of the route's keys never
// both reach the service. An error with the outcome "not run" means that this
// call has not reached the service and will not.
//
// All methods may be called concurrently. No lock is held across I/O.
package once
