// Package sched carries placement between instances: it serves the
// schedulers of this instance and asks those of others.
//
// Each pool, that is one model in one data centre, has one scheduler: the
// instance that a rendezvous hash picks among the live instances of the data
// centre. Views of the list may differ for a while; two schedulers of a pool
// then place side by side and the backend servers' own refusals keep the
// placements correct.
//
// # Usage
//
//	svc := sched.NewService(sched.ServiceConfig{Self: node, Clock: clock, Log: log})
//	svc.Configure(revision, pools)
//	done := svc.Run(ctx)
//
//	c := sched.NewClient(sched.ClientConfig{Self: node, Local: svc, Fleet: fleet, Dialer: dialer, Clock: clock})
//	c.Configure(layout)
//	done := c.Run(ctx)
//	p, err := c.Place(ctx, ask)
//	c.Progress(p, place.StageDecode, 12)
//
// Service is the handler of the PlaceService of package peerpb. Each scheduler
// is a shard under a lock of its own; no lock is held across a call or a write.
package sched
