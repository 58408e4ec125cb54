// Package elect decides whether an instance reads the platform's store itself, or relies on another
// instance of its data centre to read it.
//
// # Usage
//
//	e := elect.New("edge-3")
//	limits := elect.Timeouts{Report: 700 * time.Millisecond, Read: 2 * time.Second}
//	e.Want(newer, now)                          // a peer has newer state
//	if e.Reads(peers, own, limits, now) { ... } // read the store
//
// # Rules
//
// An instance relies on a peer only while that one proves that it reads: it is heard, and the store has answered it
// within the read timeout. The word of a peer that it has noticed no failure proves nothing, since a peer that does not
// read notices none. Of all instances that could read, the first by name does.
//
// Once nobody proves that it reads, the instances begin to read in the order of their names, twice as many after each
// turn, until one of them has proved it. They do not wait for the failure of the one before. All of them at once would
// keep a slow link to the store too full for any answer.
//
// An instance that knows of newer state and does not get it from its peers reads the store too, whoever else does.
//
// # Concurrency
//
// An Election is safe for concurrent use. It reads no clock and does no I/O.
package elect

import (
	"math/bits"
	"sync"
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// turn is the time after which twice as many instances read when nobody proves that it does. It is longer than
	// a call to the store in another region and the report that proves it take.
	turn = 250 * time.Millisecond
	// fetchTimeout is how long an instance may know of newer state without having it.
	fetchTimeout = 600 * time.Millisecond
	// fetchTurn is the time after which twice as many instances that do not get newer state read it.
	fetchTurn = 250 * time.Millisecond
)

// Peer is another instance of the data centre.
type Peer struct {
	Name     string
	Reported tick.Instant // arrival of its last report
	Read     tick.Instant // last time at which the store has answered it, 0 if none is known
	Failed   bool         // it has noticed that it cannot read the store
	Leaving  bool
}

// State tells how much of what the store holds an instance has.
type State struct {
	Table route.Stamp // configuration
	Fleet int64       // position up to which the backend servers are known
}

// AheadOf reports whether s contains something newer than o.
func (s State) AheadOf(o State) bool { return s.Table.After(o.Table) || s.Fleet > o.Fleet }

// Timeouts are the ages up to which a report and the answer of the store that it tells of count. They depend on the
// number of instances.
type Timeouts struct {
	Report time.Duration
	Read   time.Duration
}

// Election is the decision of one instance.
type Election struct {
	self string

	mu          sync.Mutex
	lastReader  tick.Instant // when a peer last proved that it reads, or the first decision
	wanted      State        // state of a peer that this instance did not have, zero if none
	wantedSince tick.Instant
}

// New returns an Election of the instance with the given name.
func New(self string) *Election { return &Election{self: self} }

// Want records that a peer has newer state than this instance. While this instance has not reached that state, Want
// ignores later ones.
func (e *Election) Want(newer State, now tick.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.wanted == (State{}) {
		e.wanted, e.wantedSince = newer, now
	}
}

// Reads reports whether this instance, which has the state own, reads the store.
func (e *Election) Reads(peers []Peer, own State, limits Timeouts, now tick.Instant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.wanted.AheadOf(own) {
		e.wanted = State{}
	}
	if e.lastReader == 0 {
		e.lastReader = now
	}
	proven, candidates := false, 0
	for _, p := range peers {
		if p.Failed || !e.precedes(p, limits, now) {
			continue
		}
		candidates++
		if p.Read > 0 && now-p.Read <= limits.Read {
			proven = true
		}
	}
	if e.wanted != (State{}) && now-e.wantedSince > fetchTimeout+time.Duration(turns(candidates))*fetchTurn {
		return true
	}
	if proven {
		e.lastReader = now
		return false
	}
	return now-e.lastReader >= time.Duration(turns(candidates))*turn
}

// Turn returns the number of turns after which this instance reads if nobody can, 0 for the first one. Instances that fail
// to read try less often the larger it is.
func (e *Election) Turn(peers []Peer, limits Timeouts, now tick.Instant) int {
	before := 0
	for _, p := range peers {
		if e.precedes(p, limits, now) {
			before++
		}
	}
	return turns(before)
}

// precedes reports whether a peer is heard and comes before this instance.
func (e *Election) precedes(p Peer, limits Timeouts, now tick.Instant) bool {
	return p.Name < e.self && !p.Leaving && now-p.Reported <= limits.Report
}

// turns returns the number of turns after which an instance reads that has others before it.
func turns(before int) int { return bits.Len(uint(before)) }
