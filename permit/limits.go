package permit

import (
	"sync"
	"time"

	"wasabidock.dev/dock/tick"
)

// Statement is what one response of a server states about the server's limit.
type Statement struct {
	// Rate is the number of requests per second that the server accepts from all instances
	// together. It has no meaning unless Limited is set.
	Rate    float64
	Limited bool
	// The server made the statement at some instant from Sent, when the request was sent, to
	// Received, when the header of the response was received.
	Sent     tick.Instant
	Received tick.Instant
}

// after reports whether s was certainly made later than o.
func (s Statement) after(o Statement) bool { return s.Sent >= o.Received }

// Report is the statement of a server that an instance passes on to the others.
type Report struct {
	Server uint64 // hash of the server's key
	Statement
}

// Change is the effect of a statement on the recorded limit of a server.
type Change int

// The changes.
const (
	Unchanged Change = iota
	Named            // the server has a limit that it did not have before
	Altered          // the rate of the limit is different
	Lifted           // the server has no limit any more
)

// unlistedExpiry is how long the limit of a server is kept while the server is not listed. An entry
// of the server list may be missing for a time although its server runs.
const unlistedExpiry = time.Minute

// limit is the newest statement of a server.
type limit struct {
	Statement
	direct bool         // the statement came in a response to this instance, not from a peer
	listed tick.Instant // when the server was last known to be listed
}

// Limits records the limits that servers name. It is safe for concurrent use.
type Limits struct {
	mu      sync.RWMutex
	servers map[uint64]*limit // by the hash of the server's key; servers that never named a limit have none
}

// NewLimits returns Limits for which no server has a limit.
func NewLimits() *Limits { return &Limits{servers: make(map[uint64]*limit)} }

// Of returns the limit of a server. It returns false if the server has none.
func (l *Limits) Of(server uint64) (Statement, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, ok := l.servers[server]
	if !ok || !e.Limited {
		return Statement{}, false
	}
	return e.Statement, true
}

// Record records the statement of a response that this instance has received. It ignores a
// statement that may be older than the recorded one.
func (l *Limits) Record(server uint64, s Statement) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record(server, s, true)
}

// known reports whether the server has named a limit before.
func (l *Limits) known(server uint64) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, ok := l.servers[server]
	return ok
}

// record records a statement unless it may be older than the recorded one. The caller holds l.mu.
func (l *Limits) record(server uint64, s Statement, direct bool) Change {
	e, ok := l.servers[server]
	if !ok && !s.Limited {
		return Unchanged
	}
	if !ok {
		l.servers[server] = &limit{Statement: s, direct: direct, listed: s.Received}
		return Named
	}
	if !s.after(e.Statement) {
		return Unchanged
	}
	old := *e
	e.Statement, e.direct = s, direct
	switch {
	case s.Limited && !old.Limited:
		return Named
	case !s.Limited && old.Limited:
		return Lifted
	case s.Limited && s.Rate != old.Rate:
		return Altered
	}
	return Unchanged
}

// RecordPeer records the limit that a peer reports. It only adds or lowers a limit, because a report
// may have been delayed by more than its age shows. A limit is raised or lifted by a response to
// this instance.
func (l *Limits) RecordPeer(r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.servers[r.Server]
	if r.Limited && (!ok || !e.Limited || r.Rate < e.Rate) {
		l.record(r.Server, r.Statement, false)
	}
}

// RecordClaim records the limit that a peer states in a call. Its age is known to within the timeout
// of the call, so that it may also raise the limit.
func (l *Limits) RecordClaim(r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Limited {
		l.record(r.Server, r.Statement, false)
	}
}

// Reports returns the limits in force that servers named in responses to this instance, in no
// particular order.
func (l *Limits) Reports() []Report {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []Report
	for h, e := range l.servers {
		if e.Limited && e.direct {
			list = append(list, Report{h, e.Statement})
		}
	}
	return list
}

// Prune removes the limits of servers that were not listed for unlistedExpiry. A server is listed if
// isListed returns true for its hash.
func (l *Limits) Prune(isListed func(server uint64) bool, now tick.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for h, e := range l.servers {
		switch {
		case isListed(h):
			e.listed = now
		case now-e.listed > unlistedExpiry:
			delete(l.servers, h)
		}
	}
}
