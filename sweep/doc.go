// Package sweep releases what engines hold for requests that have ended.
//
// # Usage
//
//	k := sweep.NewKeeper(sweep.KeeperConfig{Engines: client, Timer: timer})
//	k.Start(ctx)
//	k.Keep("sierra-a-d1", attempt)    // renewed from now on
//	k.Release("sierra-a-d1", attempt) // cancelled until acknowledged
//	...
//	<-k.Done() // after ctx has ended
//
//	s := sweep.NewSweeper(sweep.SweeperConfig{Self: node, Engines: client, View: view, Timer: timer})
//	s.Start(ctx)
//
// # How holds end
//
// Every hold at an engine expires a certain time after the last contact. Keeper
// renews the holds of the requests of this process. It repeats a release until
// the engine has acknowledged it or the hold has expired.
//
// The holds of a process that has crashed expire as well. An engine may keep
// holds for longer than it was asked to, so for each engine a few instances list
// its holds and cancel those that have been idle for too long. They use the idle
// time that the engine reports, and the engine checks it again when it cancels a
// hold. A process that is partitioned from its peers but reaches the engine
// therefore keeps its holds.
package sweep
