// Package sched distributes scheduling over the instances. A Service runs the schedulers of this
// instance; a Client requests placements from the schedulers of all instances.
//
// A pool is the set of servers for one model in one data centre. It has one scheduler, on the
// instance that rendezvous hashing selects among the live instances of the data centre. Instances
// may disagree for a while on which of them are live. Two schedulers then place requests on the
// same pool; the backend servers reject what exceeds their capacity, so placements stay correct.
//
// # Usage
//
//	svc := sched.NewService(sched.ServiceConfig{Self: node, Clock: clock, Log: log})
//	svc.Configure(revision, pools)
//	done := svc.Run(ctx)
//
//	c := sched.NewClient(sched.ClientConfig{Self: node, Local: svc, Fleet: fleet, Dialer: dialer, Clock: clock})
//	c.Configure(topology)
//	done := c.Run(ctx)
//	p, err := c.Place(ctx, req)
//	c.ReportProgress(p, place.StageDecode, 12)
//
// # Concurrency
//
// Service, Client and Handler are safe for concurrent use. Handler serves the PlaceService of
// package peerpb. Each scheduler is a shard with its own lock. No lock is held during a remote call
// or a write.
package sched
