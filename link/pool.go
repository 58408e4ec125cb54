package link

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wasabidock.dev/dock/tick"
)

// The bounds of connections.
const (
	// dialLimit bounds the opening of a connection: a server that is alive
	// answers within a round trip.
	dialLimit = 400 * time.Millisecond
	// unackedLimit is the time after which the kernel gives up a connection on
	// which sent bytes are not acknowledged.
	unackedLimit = 3 * time.Second
	// keepAliveEvery is the period of the probes that find silent connections.
	keepAliveEvery = time.Second
	keepAliveCount = 3
	// idleMargin is taken off the time that a server keeps idle connections.
	idleMargin = 500 * time.Millisecond
	// idleDefault is the time for which connections are kept where a server
	// does not tell.
	idleDefault = 4 * time.Second
	// readBuffer is the size of a connection's buffer in bytes.
	readBuffer = 4 << 10
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	br    *bufio.Reader // of src
	src   *source
	until tick.Instant // when it is too old to be used again
}

// source reads a connection up to a number of bytes.
type source struct {
	r    io.Reader
	left int64
}

// noLimit lets a source be read to its end.
const noLimit = math.MaxInt64

func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, ErrHeaderTooLong
	}
	n, err := s.r.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	return n, err
}

// quiet tells whether the connection is open and nothing is unread on it.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = rerr == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// pool keeps the idle connections to one address.
type pool struct {
	mu   sync.Mutex
	idle []*conn // the most recently used last
	used tick.Instant
}

// take returns the idle connection that was used last, nil if there is none.
func (p *pool) take(now tick.Instant) *conn {
	for {
		c := p.pop(now)
		if c == nil {
			return nil
		}
		if now < c.until && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

// has tells whether there is an idle connection that is not too old.
func (p *pool) has(now tick.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && now < p.idle[n-1].until
}

func (p *pool) pop(now tick.Instant) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = now
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// expire takes out the connections that are too old to be used.
func (p *pool) expire(now tick.Instant) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now >= c.until {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	for i := len(kept); i < len(p.idle); i++ {
		p.idle[i] = nil
	}
	p.idle = kept
	return old
}

// dial opens a connection that notices a silent peer.
func dial(ctx context.Context, addr string, limit time.Duration) (*conn, error) {
	d := net.Dialer{
		Timeout: limit,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveEvery,
			Interval: keepAliveEvery,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var serr error
			err := rc.Control(func(fd uintptr) {
				serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(unackedLimit/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return serr
		},
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	src := &source{r: nc, left: noLimit}
	return &conn{Conn: nc, br: bufio.NewReaderSize(src, readBuffer), src: src}, nil
}
