// Package spread keeps the newest table in force in every instance: a few
// instances of each data centre watch the platform, and all pass on what they
// have.
//
// # Usage
//
//	f := spread.New(spread.Config{Self: self, Centre: centre, Roster: members,
//		Platform: platform, Dialer: dialer, Timer: timer, Random: random, Log: log})
//	mux.Handle(peerpbconnect.NewFleetServiceHandler(f))
//	go func() { done <- f.Run(ctx) }()
//	<-f.Joined()
//	t := f.Current()
//	changed, stop := f.Subscribe()
//
// # Invariants
//
// The version in force never decreases in a process. Versions are ordered by
// revision and then by the sum of the head, so that a revision that was
// published twice ends the same everywhere.
//
// A version comes into force only when each of its parts has the sum that the
// head names and the whole table passes its checks. A version that fails is
// kept out, and its faults are shown by Status.
//
// A fresh process is joined once it has a table and has asked its peers for a
// newer one, or has found that it reaches none of them.
//
// What a process sends and receives in quiet times does not grow with the
// number of instances.
package spread
