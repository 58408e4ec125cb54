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
// The published table determines one home seat for each key. Only the process in
// that seat makes the call. It first copies the intent to the seat's backups, two
// other seats, and continues when one of them has acknowledged the copy. A new
// process in a seat fetches the journal from all backups of the seat before it
// makes any keyed call. From then on the backups reject the copies of earlier
// processes of the seat, so these cannot start another call. A process whose
// journal may be incomplete reports "unknown" until all keys that it may lack
// have expired.
//
// Directly before the first byte of a call is written, the process checks that
// it still holds its seat and that the intent was copied recently by the
// monotonic clock.
//
// # Invariants
//
// Two calls with one key that arrive within the time for which the route's keys
// are remembered never both reach the service. An error with the outcome "not
// run" means that this call has not reached the service and will not.
//
// All methods may be called concurrently. No lock is held across I/O.
package once
