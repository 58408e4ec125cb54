// Package sweep sees that engines hold nothing for requests that are gone.
//
// # Usage
//
//	k := sweep.NewKeeper(sweep.KeeperConfig{Engines: client, Timer: timer})
//	k.Start(ctx)
//	k.Keep("sierra-a-d1", attempt)    // touched from now on
//	k.Release("sierra-a-d1", attempt) // cancelled until acknowledged
//	...
//	<-k.Done() // after ctx has ended
//
//	s := sweep.NewSweeper(sweep.SweeperConfig{Self: node, Engines: client, View: view, Timer: timer})
//	s.Start(ctx)
//
// # How holds end
//
// Every hold at an engine has a life without contact, which Keeper renews for
// the requests that this process carries. A release is repeated until the
// engine has acknowledged it or the life of the hold is over by itself.
//
// What a dead process leaves behind ends by that life too. An engine may give
// holds a longer one than it was asked for, so for each engine a few instances
// look through its account of holds and cancel what has had no contact for too
// long. They go by the engine's own account, and the engine checks the idle
// time again when it cancels: a process that is cut off from its peers and
// still talks to the engine keeps its holds.
package sweep
