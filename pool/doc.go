// Package pool schedules the requests for one model in one data centre. It queues requests fairly
// between customers (package fair) and places them on backend servers (package place).
//
// # Usage
//
//	s := pool.New(pool.Config{Instance: "sierra-a-1", Rand: src})
//	s.Configure(spec, classes)
//	t := s.Submit(req, "sierra-a-2", now)
//	for _, d := range s.Dispatch(now, nil) {
//		// The request of d.Ticket was placed or rejected.
//	}
//	s.RecordProgress("sierra-a-2", &pool.Progress{ID: id, Stage: place.StageDecode}, now)
//
// # State
//
// All state is soft. The owner of a placement is the instance that received the request. Each owner
// sends a checksum over its live placements every second (NeedsResync). If it keeps differing from
// the scheduler's own, the owner sends all its placements (Reconcile). In this way a new scheduler
// obtains the live placements. Expire releases the placements of an owner that has sent nothing for some
// seconds.
//
// # Concurrency
//
// A Scheduler is not safe for concurrent use. It reads no clock: callers pass the time.
package pool
