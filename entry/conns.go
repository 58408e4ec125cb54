package main

import (
	"context"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/tick"
)

// closePollPeriod is the period at which closeAll checks whether the connections are closed.
const closePollPeriod = 2 * time.Millisecond

// newCallerServer returns the server of callers' connections, which must be accepted by a callerListener. The server
// itself does not bound the time for which a connection is idle.
func newCallerServer(h http.Handler, conns *callerConns) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: conns.onStateChange}
}

// callerConns holds the open connections of callers. It ends those that are idle for longer than a limit, which may change while
// connections are open, and all of them at the end of the process.
//
// A connection is ended by ending the server's read of its next request. If bytes of a request have been received by then, the
// server gets them and the connection is kept. So no connection is closed under a request that may have been passed on, and
// only requests that arrive after the end are lost.
type callerConns struct {
	clock tick.Clock

	mu    sync.Mutex
	limit time.Duration // limit of connections that become idle
	conns map[*callerConn]struct{}
}

func newCallerConns(clock tick.Clock) *callerConns {
	return &callerConns{clock: clock, limit: idleTimeout, conns: make(map[*callerConn]struct{})}
}

// socket is the part of a TCP connection that is used. CloseWrite is called by net/http.
type socket interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// callerConn is a connection of a caller.
type callerConn struct {
	socket

	mu    sync.Mutex
	begun bool // a byte was read
	idle  bool // no byte of the next request has been read
	since tick.Instant
	limit time.Duration // longest limit that has applied since then
	ended bool          // the read of the next request was ended
}

// Read implements net.Conn. The first bytes of a request make the connection active, even if its end has begun.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.socket.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.wasEnded() {
		n = c.readReceived(b)
	}
	if n == 0 {
		return 0, err
	}
	c.begin(time.Now().Add(headerTimeout))
	return n, nil
}

// begin records that a request begins, if the connection was idle, and sets the deadline of the next reads.
func (c *callerConn) begin(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle || c.ended {
		_ = c.SetReadDeadline(deadline) // fails only on a closed connection
	}
	c.begun, c.idle, c.ended = true, false, false
}

// wasEnded reports whether the connection was ended while it waited for a request.
func (c *callerConn) wasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// readReceived reads bytes that the kernel has received, in spite of a deadline that has passed.
func (c *callerConn) readReceived(b []byte) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0
	}
	return max(n, 0) // -1 stands for an error
}

// becomeIdle records that the connection waits for its next request.
func (c *callerConn) becomeIdle(now tick.Instant, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.since, c.limit = true, now, limit
}

// endAfter ends the connection if it has been idle for longer than its limit, which is limit at least.
func (c *callerConn) endAfter(limit time.Duration, now tick.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = max(c.limit, limit)
	if c.idle && now-c.since > c.limit {
		c.end()
	}
}

// endWaiting ends the connection if it waits for its first or next request.
func (c *callerConn) endWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle || !c.begun {
		c.end()
	}
}

// end ends the read of the next request. The caller holds mu, so that the deadline is not set after that of a request that
// begins.
func (c *callerConn) end() {
	c.ended = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// onStateChange is the ConnState hook of an http.Server.
func (i *callerConns) onStateChange(nc net.Conn, st http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch st {
	case http.StateNew:
		i.mu.Lock()
		defer i.mu.Unlock()
		i.conns[c] = struct{}{}
	case http.StateIdle:
		i.mu.Lock()
		defer i.mu.Unlock()
		c.becomeIdle(i.clock.Now(), i.limit)
	case http.StateActive:
		c.begin(time.Time{}) // has no effect unless the server had the request before it was idle
	case http.StateClosed, http.StateHijacked:
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.conns, c)
	}
}

// close ends the connections that have been idle for longer than limit, and for longer than each limit that it was called
// with since they became idle: their callers may reuse them for as long.
func (i *callerConns) close(limit time.Duration) {
	i.mu.Lock()
	i.limit = limit
	i.mu.Unlock()
	now := i.clock.Now()
	for _, c := range i.all() {
		c.endAfter(limit, now)
	}
}

// closeAll ends the connections that wait for a request, now and later, until no connection is open. No connection may be accepted any
// more, and each response must close its connection. closeAll returns an error if ctx ends first.
func (i *callerConns) closeAll(ctx context.Context) error {
	t := i.clock.Every(closePollPeriod)
	defer t.Stop()
	for {
		open := i.all()
		if len(open) == 0 {
			return nil
		}
		for _, c := range open {
			c.endWaiting()
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "close the connections of callers: %d are open", len(open))
		case <-t.C():
		}
	}
}

// all returns the connections that are open.
func (i *callerConns) all() []*callerConn {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Collect(maps.Keys(i.conns))
}
