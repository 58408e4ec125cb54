// Package probe follows the load reports and the prefix cache events of the
// engines whose pools this instance schedules.
//
// # Usage
//
//	p := probe.New(probe.Config{Engines: client, Targets: targets, Sink: sched, Timer: timer, Log: log})
//	err := p.Run(ctx)
//
// # Bounds
//
// Only the schedulers of a pool follow its engines, so that the number of
// connections of an instance is twice the number of engines in the pools that
// it schedules, whatever the size of the fleet. Each engine has one poll and
// one feed; a feed that breaks or falls silent is opened anew after a pause.
package probe
