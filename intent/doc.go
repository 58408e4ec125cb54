// Package intent decides where a keyed call may run and whether it may run
// now. It does no I/O.
//
// # Usage
//
//	home, ok := intent.Home(seats, centre, id)
//	j := intent.NewJournal(intent.Config{MaxEntries: 50_000, MaxBytes: 8 << 20})
//	verdict, entry := j.Begin(now, id, sum, keep)
//	if verdict == intent.Run {
//		// copy entry to a buddy, make the call, then j.Finish or j.Drop
//	}
//
// # Invariants
//
// A Journal returns Run for an identifier at most once until the entry is
// dropped or its age is over. Drop is for calls that are proved not to have
// run. An entry that a predecessor left open never becomes Run again before
// its age is over.
//
// A journal that is full refuses new calls: it never forgets an entry early.
//
// A Journal may be used concurrently: its entries lie in shards, each under
// its own lock.
package intent
