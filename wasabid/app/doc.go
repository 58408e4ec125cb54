// Package app wires the parts of the daemon and carries it through its life.
//
// # Usage
//
//	err := app.Run(ctx, cfg, os.Stderr, stop)
//
// # Life
//
// The daemon listens, joins the fleet and becomes ready once it has a table and
// has asked its peers for a newer one. After the signal to stop it is not ready
// any more, goes on accepting until the balancer can have noticed, finishes
// every request however long that takes, hands over what has a home, and then
// ends. The wiring is by fx; parts that run in the background belong to one
// group, whose channel reports their ends.
package app
