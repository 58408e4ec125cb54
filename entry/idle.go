package main

import (
	"net"
	"net/http"
	"sync"
	"time"

	"wasabidock.dev/dock/tick"
)

// idleConns closes callers' connections that are idle for longer than the operator's timeout. The
// timeout may change while connections are open.
type idleConns struct {
	clock tick.Clock

	mu        sync.Mutex
	idleSince map[net.Conn]tick.Instant
}

func newIdleConns(clock tick.Clock) *idleConns {
	return &idleConns{clock: clock, idleSince: make(map[net.Conn]tick.Instant)}
}

// onStateChange is the ConnState hook of an http.Server.
func (i *idleConns) onStateChange(c net.Conn, st http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if st == http.StateIdle {
		i.idleSince[c] = i.clock.Now()
		return
	}
	delete(i.idleSince, c)
}

// close closes the connections that have been idle for longer than limit.
func (i *idleConns) close(limit time.Duration) {
	now := i.clock.Now()
	i.mu.Lock()
	var old []net.Conn
	for c, at := range i.idleSince {
		if now-at > limit {
			old = append(old, c)
			delete(i.idleSince, c)
		}
	}
	i.mu.Unlock()
	for _, c := range old {
		_ = c.Close() // the caller may have closed it already
	}
}
