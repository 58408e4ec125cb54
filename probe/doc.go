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
// Only the schedulers of a pool follow its engines. The number of connections of
// an instance is therefore twice the number of engines in the pools that it
// schedules, for any size of the fleet. Each engine has one poll and one feed. A
// feed that fails or times out is reopened after a delay.
package probe
