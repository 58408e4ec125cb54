// Package roster knows which processes of the router are there and which
// backend servers depart.
//
// # Usage
//
//	r := roster.New(roster.Config{Self: self, Address: addr, Centre: centre, Random: random})
//	if err := r.Hear(entry, now); errors.Is(err, roster.ErrSuperseded) {
//		// another process has taken that seat
//	}
//	r.Merge(entries, now)           // what a peer passed on
//	r.Failed(peer, now)             // a call to a peer got no answer
//	targets := r.Next()             // whom to talk to in this round
//	news := r.News(centre, false, now)     // what to tell them, bounded
//	live := r.Live(centre)
//
// # Rules
//
// A node is lost once two calls to it have failed since anyone last heard from
// it. That verdict travels with the time at which the node was last heard; who
// has heard from it later refuses the verdict and passes on the later time.
// Times travel as ages, and only differences larger than a second count, so
// that the time that messages take never adds up.
//
// A seat has one process at a time. Incarnations carry no order: the one that
// was met last for the first time is current, and the earlier ones are
// superseded.
//
// What is passed on is bounded: changes a few times each, and a few randomly
// chosen nodes, whatever the number of instances.
//
// The package does no I/O and reads no clock. A Roster is safe for concurrent
// use.
package roster
