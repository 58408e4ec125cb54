// Package health tracks failing and draining backend servers, so that they are left out
// of placement.
//
// # Usage
//
//	t := health.NewTracker()
//	if t.Usable(srv.Key(), now) { ... }
//	t.RecordFailure(srv.Key(), health.ConnectTimeout, now)
//	t.RecordSuccess(srv.Key(), now)
//	for _, r := range t.Reports(now) { ... } // send to the other instances
//
// # Ejection
//
// A server that fails EjectionThreshold requests in a row, without a success between
// them, is ejected. After the ejection time the server receives one request at a time.
// The ejection time doubles with each further failure. A server that does not accept a
// new connection is ejected at once, because no request can have run there, and so is one whose
// response exceeds a size limit, because each further one would take as much memory.
//
// A server that sends nothing for too long may be sound and go on. RecordSilence counts as a failure, but silences that began
// before an ejection are those for which the server was ejected, and do not extend it. The next response ends it.
// Sound tells a server that has answered since its last failure from one that may not answer at all.
//
// Reports of absent and unresponsive servers are sent to the other instances. Without
// them, each instance would have to lose a request to detect the failure. An instance that
// receives a report ejects the server for minEjection, unless the server has just answered
// a request of that instance. A refused connection comes from the server's own host, so one reporter suffices. A
// connect timeout may come from a network partition between the server and the reporter
// alone, so two reporters are needed.
//
// The caller decides what to do when all servers are ejected. An ejection never forbids the
// use of the last server. A server that refuses connections is of no use for the time that Refuses
// returns true, even if all others are full.
//
// # Closed servers
//
// A server that is draining, or that has requested a pause, is closed: it receives no
// requests, whatever its failures and successes. A draining server stays closed, because a
// restarted server has another key, and the other instances are informed. A pause applies
// only to the instance from which the server requested it.
//
// # Concurrency
//
// A Tracker is safe for concurrent use.
package health

import (
	"math"
	"sync"
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// Thresholds and lifetimes of ejections and reports.
const (
	// EjectionThreshold is the number of failures in a row that eject a server.
	EjectionThreshold = 3
	// minEjection and maxEjection bound the time for which a server is ejected.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// reportLifetime is how long a report stays valid and is sent to other instances.
	reportLifetime = time.Second
	// refusalLifetime is how long a server counts as refusing connections after it has refused one, and
	// peerRefusalLifetime after a peer has reported it. Peers repeat reports for reportLifetime.
	refusalLifetime     = time.Second
	peerRefusalLifetime = 500 * time.Millisecond
	// drainReportLifetime is how long a draining server is reported to other instances.
	drainReportLifetime = 5 * time.Second
	// successLifetime is how long a success of this instance outweighs reports of peers.
	successLifetime = 300 * time.Millisecond
	// idleExpiry is how long the state of a server is kept after its last update.
	// drainedExpiry replaces it for a draining server.
	idleExpiry    = time.Minute
	drainedExpiry = 10 * time.Minute
)

// Forever is the result of ClosedUntil for a draining server, which does not reopen.
const Forever = tick.Instant(math.MaxInt64)

// Failure is how a server failed a request.
type Failure int

// Failures, least severe first.
const (
	BadResponse    Failure = iota // the response was incomplete, invalid or late
	Oversized                     // the response exceeded a size limit, so that more of them take the memory of the instance
	ConnectTimeout                // the server accepted no connection in time
	Absent                        // the address refused the connection, or belongs to another server
)

// Report states that a server could not be reached.
type Report struct {
	Server uint64 // hash of the server's key
	Absent bool   // true for Absent, false for ConnectTimeout
}

// serverState is the state of one server.
type serverState struct {
	failures      int
	ejection      time.Duration // 0 if there was no ejection since the last success
	ejectedAt     tick.Instant  // time of the last ejection
	unansweredAt  tick.Instant  // time of the last call of RecordUnanswered that counted
	ejectedUntil  tick.Instant  // the server is not usable before this instant
	refusedUntil  tick.Instant  // the server refuses connections until then, as far as is known
	lastUpdated   tick.Instant
	lastSuccess   tick.Instant // last success, 0 for none
	lastReport    tick.Instant // last ConnectTimeout or Absent seen by this instance, 0 for none
	absent        bool         // whether lastReport was Absent
	reporter      string       // the last peer that reported ConnectTimeout
	reporterAt    tick.Instant // when that peer reported it
	closedUntil   tick.Instant // end of the pause, Forever if draining, 0 if never paused
	drainingSince tick.Instant // when the server first reported to this instance that it is draining, 0 if it has not
}

// Tracker tracks the state of backend servers. It is safe for concurrent use.
type Tracker struct {
	mu            sync.Mutex
	servers       map[uint64]*serverState // by the hash of the server's key
	onUnreachable func(server uint64)     // nil if nobody is told
}

// OnUnreachable sets the function that is told the hash of the key of a server to which this instance, or a peer
// that reports it, could not connect. It must be called before the first use.
func (t *Tracker) OnUnreachable(f func(server uint64)) { t.onUnreachable = f }

// unreachable tells that no connection to a server could be opened.
func (t *Tracker) unreachable(server uint64) {
	if t.onUnreachable != nil {
		t.onUnreachable(server)
	}
}

// NewTracker returns a Tracker for which all servers are usable and open.
func NewTracker() *Tracker { return &Tracker{servers: make(map[uint64]*serverState)} }

// serverState returns the state of a server, which it creates at the first use. The caller
// holds t.mu.
func (t *Tracker) serverState(h uint64) *serverState {
	s, ok := t.servers[h]
	if !ok {
		s = &serverState{}
		t.servers[h] = s
	}
	return s
}

// Usable reports whether a server is not ejected. It does not consider whether the server is
// closed; ClosedUntil reports that.
func (t *Tracker) Usable(key string, now tick.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[route.Hash(key)]
	if !ok || s.ejection == 0 {
		return true
	}
	return now >= s.ejectedUntil
}

// Refuses reports whether a server refuses connections, as this instance or a peer has found within the last
// second or so.
func (t *Tracker) Refuses(key string, now tick.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[route.Hash(key)]
	return ok && now < s.refusedUntil
}

// Sound reports whether the server has answered a request and has failed none since.
func (t *Tracker) Sound(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[route.Hash(key)]
	return ok && s.lastSuccess != 0 && s.failures == 0
}

// RecordRequest records that a request is sent to the server. If the server was ejected,
// it is not usable for further requests until a success is recorded or the ejection time has
// passed again.
func (t *Tracker) RecordRequest(key string, now tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers[route.Hash(key)]; ok && s.ejection > 0 {
		s.ejectedUntil = now + s.ejection
	}
}

// RecordSuccess records that the server answered a request. It ends an ejection.
func (t *Tracker) RecordSuccess(key string, now tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serverState(route.Hash(key))
	*s = serverState{lastUpdated: now, lastSuccess: now, closedUntil: s.closedUntil, drainingSince: s.drainingSince}
}

// Pause closes the server until the given instant. The server has requested that this
// instance send it no requests before then. Pause does not shorten an earlier pause.
func (t *Tracker) Pause(key string, until, now tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serverState(route.Hash(key))
	s.lastUpdated = now
	s.closedUntil = max(s.closedUntil, until)
}

// RecordDraining records that the server has reported to this instance that it is draining.
// It returns true if the server was not known to be draining before.
func (t *Tracker) RecordDraining(key string, now tick.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serverState(route.Hash(key))
	s.lastUpdated = now
	if s.drainingSince == 0 {
		s.drainingSince = now
	}
	changed := s.closedUntil != Forever
	s.closedUntil = Forever
	return changed
}

// ClosedUntil returns the instant until which the server accepts no requests, Forever if
// it is draining, or 0 if it accepts requests now.
func (t *Tracker) ClosedUntil(key string, now tick.Instant) tick.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[route.Hash(key)]
	if !ok || now >= s.closedUntil {
		return 0
	}
	return s.closedUntil
}

// DrainingServers returns the key hashes of the servers that have reported to this instance
// that they are draining, for drainReportLifetime after the first report of each. Reports
// of peers are not included.
func (t *Tracker) DrainingServers(now tick.Instant) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []uint64
	for h, s := range t.servers {
		if s.drainingSince != 0 && now-s.drainingSince <= drainReportLifetime {
			list = append(list, h)
		}
	}
	return list
}

// RecordPeerDraining records the report of another instance that a server is draining.
// The argument server is the hash of its key.
func (t *Tracker) RecordPeerDraining(server uint64, now tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serverState(server)
	s.lastUpdated = now
	s.closedUntil = Forever
}

// RecordFailure records that the server failed a request.
func (t *Tracker) RecordFailure(key string, f Failure, now tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serverState(route.Hash(key))
	s.lastUpdated = now
	s.failures++
	if f != BadResponse {
		s.failures = max(s.failures, EjectionThreshold)
	}
	if f == ConnectTimeout || f == Absent {
		s.lastReport, s.absent = now, f == Absent
		t.unreachable(route.Hash(key))
	}
	if f == Absent {
		s.refusedUntil = now + refusalLifetime
	}
	if s.failures < EjectionThreshold {
		return
	}
	s.ejection = min(max(2*s.ejection, minEjection), maxEjection)
	s.ejectedAt, s.ejectedUntil = now, now+s.ejection
}

// RecordSilence records that a request to the server was given up because the server has sent nothing since the given instant.
func (t *Tracker) RecordSilence(key string, since, now tick.Instant) {
	if !t.ejectedSince(key, since) {
		t.RecordFailure(key, BadResponse, now)
	}
}

// RecordUnanswered is RecordSilence for calls that are given up soon. Those that were sent before the last one was recorded
// have met the same silence and do not count.
func (t *Tracker) RecordUnanswered(key string, since, now tick.Instant) {
	t.mu.Lock()
	s := t.serverState(route.Hash(key))
	counts := since >= s.unansweredAt
	if counts {
		s.unansweredAt = now
	}
	t.mu.Unlock()
	if counts {
		t.RecordSilence(key, since, now)
	}
}

// ejectedSince reports whether the server was ejected after the given instant.
func (t *Tracker) ejectedSince(key string, at tick.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[route.Hash(key)]
	return ok && s.ejection > 0 && s.ejectedAt > at
}

// Reports returns the reports of this instance that are not older than reportLifetime.
// Reports of peers are not included.
func (t *Tracker) Reports(now tick.Instant) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for h, s := range t.servers {
		if s.lastReport != 0 && now-s.lastReport <= reportLifetime {
			list = append(list, Report{h, s.absent})
		}
	}
	return list
}

// RecordPeerReport records a report of another instance of the data centre, reporter.
func (t *Tracker) RecordPeerReport(r Report, reporter string, now tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serverState(r.Server)
	s.lastUpdated = now
	if r.Absent {
		t.unreachable(r.Server) // a success since may be that of the process that replaces it
	}
	if s.lastSuccess != 0 && now-s.lastSuccess < successLifetime {
		return
	}
	if !r.Absent {
		single := s.reporter == "" || s.reporter == reporter || now-s.reporterAt > reportLifetime
		s.reporter, s.reporterAt = reporter, now
		if single && (s.lastReport == 0 || now-s.lastReport > reportLifetime) {
			return
		}
		t.unreachable(r.Server)
	}
	if r.Absent {
		s.refusedUntil = max(s.refusedUntil, now+peerRefusalLifetime)
	}
	s.failures = max(s.failures, EjectionThreshold)
	s.ejection = max(s.ejection, minEjection)
	s.ejectedUntil = max(s.ejectedUntil, now+minEjection)
}

// Sweep drops the state of each server that was not updated for idleExpiry, or for
// drainedExpiry if the server is draining. The state of a paused server is kept until the
// pause has ended.
func (t *Tracker) Sweep(now tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.servers {
		expiry := idleExpiry
		if s.closedUntil == Forever {
			expiry = drainedExpiry
		}
		if now-s.lastUpdated > expiry && (now >= s.closedUntil || s.closedUntil == Forever) {
			delete(t.servers, k)
		}
	}
}
