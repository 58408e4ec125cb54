// Package health judges backend servers by their answers.
//
// # Usage
//
//	b := health.NewBook()
//	if b.Usable(srv.Key(), now) { ... }
//	b.Failed(srv.Key(), health.Silent, now)
//	b.Served(srv.Key(), now)
//	for _, d := range b.Reports(now) { ... } // to be told to the other instances
//
// # Judgment
//
// A server that fails Strikes requests in a row, with no answer between them,
// is set aside. After a pause it is tried again by one request at a time, and
// the pause doubles while it goes on failing. A server that never answers a
// new connection is set aside at once, since nothing can have run there.
//
// What shows that a server is not there is told to the other instances, so that
// each need not find out by a request of its own. One that hears it sets the
// server aside for pauseLeast, unless the server has just answered it. A refused
// connection comes from the server's own host, so that one teller is enough; a
// silent server may be cut off from its teller alone, so that two are needed.
//
// The caller decides what to do when all servers are set aside; the book never
// forbids the last one.
//
// # Closed servers
//
// A server that says that it leaves, or that it wants no request for a time, is
// closed: it gets none, whatever else is known of it. One that leaves stays
// closed, since a later start of it has another key, and the other instances
// are told. The time that a server names holds for the instance that it
// answered.
package health

import (
	"math"
	"sync"
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// The parameters of the judgment.
const (
	// EjectionThreshold is the number of failures in a row that set a server aside.
	EjectionThreshold = 3
	// pauseLeast and pauseMost bound the time for which a server is set aside.
	pauseLeast = time.Second
	pauseMost  = 8 * time.Second
	// doubtLife is how long a finding is told to others and counts.
	doubtLife = time.Second
	// leaveLife is how long it is told to others that a server leaves.
	leaveLife = 5 * time.Second
	// freshLife is how long an answer outweighs what others tell.
	freshLife = 300 * time.Millisecond
	// forget is the time after which an unused record is dropped, and
	// forgetLeft that after which one of a server that left is.
	forget     = time.Minute
	forgetLeft = 10 * time.Minute
)

// Forever is the end of a server's closing that does not end.
const Forever = tick.Instant(math.MaxInt64)

// Failure is how a server failed a request.
type Failure int

// The failures.
const (
	BadResponse    Failure = iota // it answered in part, wrongly, or not in time
	ConnectTimeout                // it took no connection in time
	Absent                        // its address refused the connection, or is another server's
)

// Report is a finding that a server is not there.
type Report struct {
	Server uint64 // hash of its key
	Absent bool   // Absent, else Silent
}

// record is what is known of one server.
type record struct {
	strikes int
	pause   time.Duration
	until   tick.Instant // set aside until then
	seen    tick.Instant
	served  tick.Instant // its last answer, 0 for none
	found   tick.Instant // the last Silent or Absent of this instance, 0 for none
	absent  bool         // that was Absent
	teller  string       // the last other instance that told Silent
	told    tick.Instant // when
	closed  tick.Instant // it wants no request until then
	left    tick.Instant // when it told this instance that it leaves, 0 if it did not
}

// Tracker keeps the records of servers. It may be used concurrently.
type Tracker struct {
	mu      sync.Mutex
	records map[uint64]*record // by the hash of the server's key
}

// NewTracker returns an empty Book.
func NewTracker() *Tracker { return &Tracker{records: make(map[uint64]*record)} }

// record returns the record of a server, made at the first use. The caller
// holds b.mu.
func (b *Tracker) record(h uint64) *record {
	r, ok := b.records[h]
	if !ok {
		r = &record{}
		b.records[h] = r
	}
	return r
}

// Usable tells whether a server may be given a request.
func (b *Tracker) Usable(key string, now tick.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records[route.Hash(key)]
	if !ok || r.pause == 0 {
		return true
	}
	return now >= r.until
}

// RecordRequest says that a request goes to the server. Where it was set aside, no
// other one does until the outcome is known or the trial is out of date.
func (b *Tracker) RecordRequest(key string, now tick.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.records[route.Hash(key)]; ok && r.pause > 0 {
		r.until = now + r.pause
	}
}

// RecordSuccess says that the server answered a request.
func (b *Tracker) RecordSuccess(key string, now tick.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(route.Hash(key))
	*r = record{seen: now, served: now, closed: r.closed, left: r.left}
}

// Pause says that the server wants no request from this instance until an
// instant.
func (b *Tracker) Pause(key string, until, now tick.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(route.Hash(key))
	r.seen = now
	r.closed = max(r.closed, until)
}

// RecordDraining says that the server has told this instance that it leaves. It returns
// whether that is news.
func (b *Tracker) RecordDraining(key string, now tick.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(route.Hash(key))
	r.seen = now
	if r.left == 0 {
		r.left = now
	}
	fresh := r.closed != Forever
	r.closed = Forever
	return fresh
}

// ClosedUntil returns the instant until which the server wants no request, Left if it
// leaves and 0 if it takes them.
func (b *Tracker) ClosedUntil(key string, now tick.Instant) tick.Instant {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records[route.Hash(key)]
	if !ok || now >= r.closed {
		return 0
	}
	return r.closed
}

// DrainingServers returns the hashes of the servers that have told this instance of late
// that they leave.
func (b *Tracker) DrainingServers(now tick.Instant) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []uint64
	for h, r := range b.records {
		if r.left != 0 && now-r.left <= leaveLife {
			list = append(list, h)
		}
	}
	return list
}

// RecordPeerDraining says that a server has told another instance that it leaves.
func (b *Tracker) RecordPeerDraining(server uint64, now tick.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(server)
	r.seen = now
	r.closed = Forever
}

// RecordFailure says that the server failed a request.
func (b *Tracker) RecordFailure(key string, how Failure, now tick.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(route.Hash(key))
	r.seen = now
	r.strikes++
	if how != BadResponse {
		r.strikes = max(r.strikes, EjectionThreshold)
		r.found, r.absent = now, how == Absent
	}
	if r.strikes < EjectionThreshold {
		return
	}
	r.pause = min(max(2*r.pause, pauseLeast), pauseMost)
	r.until = now + r.pause
}

// Reports returns what this instance itself has found of late.
func (b *Tracker) Reports(now tick.Instant) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Report
	for h, r := range b.records {
		if r.found != 0 && now-r.found <= doubtLife {
			list = append(list, Report{h, r.absent})
		}
	}
	return list
}

// RecordPeerReport says that another instance of the data centre has found it.
func (b *Tracker) RecordPeerReport(d Report, teller string, now tick.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(d.Server)
	r.seen = now
	if r.served != 0 && now-r.served < freshLife {
		return
	}
	if !d.Absent {
		alone := r.teller == "" || r.teller == teller || now-r.told > doubtLife
		r.teller, r.told = teller, now
		if alone && (r.found == 0 || now-r.found > doubtLife) {
			return
		}
	}
	r.strikes = max(r.strikes, EjectionThreshold)
	r.pause = max(r.pause, pauseLeast)
	r.until = max(r.until, now+pauseLeast)
}

// Sweep drops the records that were not used for long.
func (b *Tracker) Sweep(now tick.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, r := range b.records {
		keep := forget
		if r.closed == Forever {
			keep = forgetLeft
		}
		if now-r.seen > keep && (now >= r.closed || r.closed == Forever) {
			delete(b.records, k)
		}
	}
}
