// Package pool schedules the requests of one model in one data centre: it ties
// the fair queue of package fair to the servers of package place.
//
// # Usage
//
//	s := pool.New(pool.Config{Instance: "sierra-a-1", Rand: src})
//	s.Configure(spec, classes)
//	t := s.Submit(ask, "sierra-a-2", now)
//	for _, d := range s.Step(now, nil) {
//		// d.Ticket is placed or refused
//	}
//	s.Progress("sierra-a-2", pool.Progress{ID: id, Stage: place.StageDecode}, now)
//
// # State
//
// All state is soft. Entry instances sum up their live placements each second
// with Beat and name them with Heartbeat when Beat asks for it, from which a new
// scheduler learns what runs; Expire drops the placements of an entry instance
// that has been silent.
//
// A Scheduler is not safe for concurrent use and reads no clock.
package pool
