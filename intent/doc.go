// Package intent makes calls with an idempotency key run at most once. It decides which instance may
// run a keyed call and whether that instance may run it now. It does no I/O.
//
// # Usage
//
//	home, ok := intent.Home(members, centre, id)
//	j := intent.NewJournal(intent.Config{MaxEntries: 50_000, MaxBytes: 8 << 20})
//	decision, entry := j.Begin(now, id, fingerprint, ttl)
//	if decision == intent.Run {
//		// replicate entry to a backup, make the call, then j.Finish or j.Drop
//	}
//
// # Invariants
//
// A Journal returns Run for an identifier at most once until the entry is dropped or expires. Drop is
// for calls that are proved not to have run. A call that an earlier process of the instance left
// unfinished is not run again before its entry expires.
//
// A full journal rejects new calls. It never removes an entry before it expires.
//
// # Concurrency
//
// Journal and Replicas are safe for concurrent use. The entries of a Journal are divided into shards,
// each with its own lock.
package intent
