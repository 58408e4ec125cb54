package main

import (
	"net"
	"net/http"
	"sync"
	"time"

	"wasabidock.dev/dock/tick"
)

// idleConns closes callers' connections that are idle for longer than the
// operator's limit, which changes while they are open.
type idleConns struct {
	clock tick.Clock

	mu    sync.Mutex
	since map[net.Conn]tick.Instant
}

func newIdleConns(clock tick.Clock) *idleConns {
	return &idleConns{clock: clock, since: make(map[net.Conn]tick.Instant)}
}

// note is the ConnState hook of an http.Server.
func (i *idleConns) note(c net.Conn, st http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if st == http.StateIdle {
		i.since[c] = i.clock.Now()
		return
	}
	delete(i.since, c)
}

// close closes the connections that have been idle for longer than limit.
func (i *idleConns) close(limit time.Duration) {
	now := i.clock.Now()
	i.mu.Lock()
	var old []net.Conn
	for c, at := range i.since {
		if now-at > limit {
			old = append(old, c)
			delete(i.since, c)
		}
	}
	i.mu.Unlock()
	for _, c := range old {
		_ = c.Close() // its peer may have closed it
	}
}
