// Package warmup knows which backend servers are cold, and at which rate they may get requests until they
// are warm.
//
// A server is cold for a time after its start. Its entry in the server list says how long, but lags by a
// second or two. A server that could not be reached may have restarted under its old entry, so it is
// presumed cold from then on, and so is one whose data centre was evacuated.
//
// # Usage
//
//	t := warmup.NewTracker(warmup.Config{Excess: 1.5, Slack: 5}, live, tick.SinceBoot)
//	t.Listed(server.Hash(), server.ColdFor)
//	gate.SetWarmups(t) // permits bound the requests of all instances together
//
// # Errors of the time left
//
// A server that is taken for cold for too long gets fewer requests than it bears for a second or two; others
// serve them. One that is taken for warm too early may crash. So the time left counts from when the entry was
// received, not from when it was written, and of several sources the latest end applies.
//
// # Concurrency
//
// A Tracker may be used concurrently. The package does no I/O.
package warmup

import (
	"sync"
	"time"

	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// presumedMargin is added to the time for which a server is presumed cold, since it may have started as
	// late as the next attempt to reach it.
	presumedMargin = time.Second
	// expiry is how long it is remembered that a server could not be reached. Warm-up times are shorter.
	expiry = 10 * time.Minute
)

// Config holds the bound on the requests to a cold server: in one second it may get Excess times the rate
// that it bears, plus Slack, from all instances together.
type Config struct {
	Excess, Slack float64
}

// state is what is known of one server.
type state struct {
	told     tick.Instant // until when the server says that it is cold, 0 if it has not
	presumed tick.Instant // since when the server may have restarted, 0 if it has not
	received tick.Instant // when the last response that said so was received
}

// Tracker tracks which servers are cold.
type Tracker struct {
	cfg  Config
	live *route.Live
	now  func() tick.Instant

	mu      sync.RWMutex
	servers map[uint64]state // by the hash of the server's key
}

// NewTracker returns a Tracker for which all servers are warm. The configuration in live tells how the servers of
// a service warm up. now must include the time in which the machine is suspended, as servers become warm meanwhile.
func NewTracker(cfg Config, live *route.Live, now func() tick.Instant) *Tracker {
	return &Tracker{cfg: cfg, live: live, now: now, servers: make(map[uint64]state)}
}

// Listed records the time for which a server is cold according to its entry.
func (t *Tracker) Listed(server uint64, left time.Duration) {
	if left <= 0 {
		return // the other sources decide: the entry may have been written before a restart
	}
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	s.told = max(s.told, now+left)
	t.servers[server] = s
}

// Reported records the time for which a server is cold according to its own response. age is the time since the
// request was sent. A response to a request that was sent before what is known may come from before a restart, so it
// shortens no time.
func (t *Tracker) Reported(server uint64, left, age time.Duration) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok && left <= 0 {
		return
	}
	if sent := now - age; sent < max(s.presumed, s.received) {
		s.told = max(s.told, now+left)
	} else {
		s = state{told: now + left, received: now}
	}
	t.servers[server] = s
}

// Presume records that a server may have restarted or become cold.
func (t *Tracker) Presume(server uint64) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	s.presumed = max(s.presumed, now)
	t.servers[server] = s
}

// Left returns the time until a server is warm, 0 if it is. presumed states that neither the entry of the
// server nor its response says so.
func (t *Tracker) Left(s *route.Server) (left time.Duration, presumed bool) {
	left, presumed, _ = t.left(s)
	return left, presumed
}

// left is Left, and returns how the server warms up.
func (t *Tracker) left(s *route.Server) (left time.Duration, presumed bool, w route.Warmup) {
	e, w, ok := t.state(s)
	if !ok {
		return 0, false, w
	}
	now := t.now()
	until := e.told
	if e.presumed > 0 {
		until = max(until, e.presumed+w.Time+presumedMargin)
	}
	return max(until-now, 0), until > now && now >= e.told, w
}

// state returns what is known of a server, and how it warms up. It returns false if the server needs not to, or
// nothing is known.
func (t *Tracker) state(s *route.Server) (state, route.Warmup, bool) {
	t.mu.RLock()
	e, ok := t.servers[s.Hash()]
	t.mu.RUnlock()
	if !ok {
		return state{}, route.Warmup{}, false
	}
	w, ok := t.warmup(s)
	return e, w, ok
}

// Warming reports whether a server is cold.
func (t *Tracker) Warming(s *route.Server) bool {
	left, _ := t.Left(s)
	return left > 0
}

// Limit implements permit.Warmups.
func (t *Tracker) Limit(s *route.Server) (rate float64, left time.Duration) {
	left, _, w := t.left(s)
	if left == 0 {
		return 0, 0
	}
	return min(w.Rate, permit.RateWithin(w.Rate*t.cfg.Excess+t.cfg.Slack)), left
}

// warmup returns how a server warms up, and false if it needs not to.
func (t *Tracker) warmup(s *route.Server) (route.Warmup, bool) {
	table := t.live.Table()
	if table == nil {
		return route.Warmup{}, false
	}
	v, ok := table.Service(s.Service)
	if !ok || !v.Warmup.Enabled() {
		return route.Warmup{}, false
	}
	return v.Warmup, true
}

// Sweep removes what is not needed any more.
func (t *Tracker) Sweep() {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for h, s := range t.servers {
		if now >= s.told && now-s.presumed > expiry {
			delete(t.servers, h)
		}
	}
}
