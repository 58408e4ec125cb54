package accept

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

// closePollPeriod is the period at which CloseAll checks whether the connections are closed.
const closePollPeriod = 2 * time.Millisecond

// Conns holds the open connections of callers. It ends those that are idle for longer than a limit, which may change while
// connections are open, and all of them at the end of the process.
//
// A connection is ended by ending the server's read of its next request. If bytes of a request have been received by then, the
// server gets them and the connection is kept. So no connection is closed under a request that may have been passed on, and
// only requests that arrive after the end are lost.
type Conns struct {
	clock tick.Clock

	mu    sync.Mutex
	limit time.Duration // limit of connections that become idle
	conns map[*conn]struct{}
}

// NewConns returns a Conns with a limit of idle connections, which applies until the first call of EndIdle.
func NewConns(clock tick.Clock, limit time.Duration) *Conns {
	return &Conns{clock: clock, limit: limit, conns: make(map[*conn]struct{})}
}

// socket is the part of a TCP connection that is used. CloseWrite is called by net/http.
type socket interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetWriteBuffer(bytes int) error
}

// conn is a connection of a caller.
type conn struct {
	socket
	headerTimeout time.Duration

	mu    sync.Mutex
	begun bool // a byte was read
	idle  bool // no byte of the next request has been read
	since tick.Instant
	limit time.Duration // longest limit that has applied since then
	ended bool          // the read of the next request was ended
}

// Read implements net.Conn. The first bytes of a request make the connection active, even if its end has begun.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.socket.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.wasEnded() {
		n = c.readReceived(b)
	}
	if n == 0 {
		return 0, err
	}
	c.begin(time.Now().Add(c.headerTimeout))
	return n, nil
}

// begin records that a request begins, if the connection was idle, and sets the deadline of the next reads.
func (c *conn) begin(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle || c.ended {
		_ = c.SetReadDeadline(deadline) // fails only on a closed connection
	}
	c.begun, c.idle, c.ended = true, false, false
}

// wasEnded reports whether the connection was ended while it waited for a request.
func (c *conn) wasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// readReceived reads bytes that the kernel has received, in spite of a deadline that has passed.
func (c *conn) readReceived(b []byte) int {
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
func (c *conn) becomeIdle(now tick.Instant, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.since, c.limit = true, now, limit
}

// endAfter ends the connection if it has been idle for longer than its limit, which is limit at least.
func (c *conn) endAfter(limit time.Duration, now tick.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = max(c.limit, limit)
	if c.idle && now-c.since > c.limit {
		c.end()
	}
}

// endWaiting ends the connection if it waits for its first or next request.
func (c *conn) endWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle || !c.begun {
		c.end()
	}
}

// end ends the read of the next request. The caller holds mu, so that the deadline is not set after that of a request that
// begins.
func (c *conn) end() {
	c.ended = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// OnStateChange must be the ConnState hook of the http.Server.
func (s *Conns) OnStateChange(nc net.Conn, st http.ConnState) {
	c := unwrap(nc)
	if c == nil {
		return
	}
	switch st {
	case http.StateNew:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns[c] = struct{}{}
	case http.StateIdle:
		s.mu.Lock()
		defer s.mu.Unlock()
		c.becomeIdle(s.clock.Now(), s.limit)
	case http.StateActive:
		c.begin(time.Time{}) // has no effect unless the server had the request before it was idle
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// unwrap returns the connection beneath those that have a method NetConn, or nil if a Listener has not accepted it.
func unwrap(nc net.Conn) *conn {
	for {
		switch c := nc.(type) {
		case *conn:
			return c
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// EndIdle ends the connections that have been idle for longer than limit, and for longer than each limit that it was called
// with since they became idle: their callers may reuse them for as long.
func (s *Conns) EndIdle(limit time.Duration) {
	s.mu.Lock()
	s.limit = limit
	s.mu.Unlock()
	now := s.clock.Now()
	for _, c := range s.all() {
		c.endAfter(limit, now)
	}
}

// CloseAll ends the connections that wait for a request, now and later, until no connection is open. No connection may be accepted any
// more, and each response must close its connection. CloseAll returns an error if ctx ends first.
func (s *Conns) CloseAll(ctx context.Context) error {
	for {
		open := s.all()
		if len(open) == 0 {
			return nil
		}
		for _, c := range open {
			c.endWaiting()
		}
		if err := tick.Sleep(ctx, s.clock, closePollPeriod); err != nil {
			return errors.Wrapf(err, "close the connections of callers: %d are open", len(open))
		}
	}
}

// all returns the connections that are open.
func (s *Conns) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}
