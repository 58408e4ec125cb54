package link

import (
	"bufio"
	"bytes"
	"context"
	"hash/maphash"
	"math"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/tick"
)

// Timeouts and sizes of connections.
const (
	// defaultDialTimeout bounds the opening of a connection. A server that is alive
	// answers within a round trip.
	defaultDialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is the time after which the kernel closes a connection whose sent
	// bytes are not acknowledged (TCP_USER_TIMEOUT).
	tcpUserTimeout = 3 * time.Second
	// keepAlivePeriod is the period of the TCP keep-alive probes, which detect dead
	// connections. After keepAliveCount unanswered probes the connection is closed.
	keepAlivePeriod = time.Second
	keepAliveCount  = 3
	// keepAliveMargin is subtracted from the timeout that a server announces in its
	// Keep-Alive header.
	keepAliveMargin = 500 * time.Millisecond
	// defaultIdleLifetime is the time for which idle connections are kept if the server
	// sends no Keep-Alive timeout.
	defaultIdleLifetime = 4 * time.Second
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	br     *bufio.Reader // buffered reader of src
	src    *limitedReader
	uses   int     // number of requests written
	ids    digests // IDs of the requests
	bodies digests // bodies of the responses that are told apart by them
	// outOfStep states that the server has sent a response to an earlier request.
	outOfStep bool
	returned  tick.Instant // time of the last return to the pool
	expires   tick.Instant // time from which the connection is not reused
}

// limitedReader reads at most remaining bytes of r and then fails with ErrHeaderTooLong. It fails with memory.ErrFull
// if there is no memory left for a header.
type limitedReader struct {
	r         net.Conn
	remaining int64
	inHeader  bool            // what is read is a part of a header
	account   *memory.Account // of the header
	endWait   func() bool     // see Request.EndWait
}

// lineMemory is the memory of a field of a header besides its text, about.
const lineMemory = 128

// unlimited lets a limitedReader read to the end.
const unlimited = math.MaxInt64

func (s *limitedReader) Read(p []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, ErrHeaderTooLong
	}
	p = p[:min(int64(len(p)), s.remaining)]
	n, err := s.r.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && s.endWait != nil && !s.endWait() {
		_ = s.r.SetReadDeadline(time.Time{}) // fails only on a closed connection, on which the next read fails too
		n, err = s.r.Read(p)
	}
	s.remaining -= int64(n)
	if s.inHeader && !s.account.Grow(int64(n+lineMemory*bytes.Count(p[:n], []byte("\n")))) {
		return 0, memory.ErrFull
	}
	return n, err
}

// maxDigests bounds the memory of a connection. It is not reused after that many requests.
const maxDigests = 256

// digests is a set of texts of which only the hashes are kept, at most maxDigests.
type digests []uint64

// digestSeed makes the hashes of this process unpredictable for servers.
var digestSeed = maphash.MakeSeed()

// add adds a text and reports whether the set did not contain it.
func (d *digests) add(text []byte) bool {
	h := maphash.Bytes(digestSeed, text)
	if slices.Contains(*d, h) {
		return false
	}
	*d = append(*d, h)
	return true
}

// has reports whether the set contains a text.
func (d digests) has(text string) bool { return slices.Contains(d, maphash.String(digestSeed, text)) }

// wrote records that a request is written. The ID is empty for none.
func (c *conn) wrote(id string) {
	c.uses++
	if id != "" {
		c.ids.add([]byte(id))
	}
}

// received records the body of a response and reports whether it is new on the connection.
func (c *conn) received(body []byte) bool { return c.bodies.add(body) }

// hasRoom reports whether another request can be recorded.
func (c *conn) hasRoom() bool { return len(c.ids) < maxDigests && len(c.bodies) < maxDigests }

// state reports whether the connection is open and has no unread bytes, and whether it has some.
func (c *conn) state() (idle, unread bool) {
	if c.br.Buffered() > 0 {
		return false, true
	}
	tc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true, false
	}
	rc, err := tc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle, unread = rerr == unix.EAGAIN, rerr == nil && n > 0
		return true
	})
	return err == nil && idle, unread
}

// notIdle returns the error for a connection that cannot carry a request. A server may close one that was idle.
func (c *conn) notIdle() error {
	if c.uses > 0 {
		return fail.AsLocal(ErrNotIdle)
	}
	return ErrNotIdle
}

// pool holds the idle connections to one address.
type pool struct {
	mu       sync.Mutex
	idle     []*conn // ordered by last use, the most recent last
	lastTake tick.Instant
}

// take removes and returns the most recently used connection that is still usable and that has
// not carried a request with the ID, or nil if there is none. A response to that request could not be
// told from one to the next. take closes the unusable connections that it finds, and returns those
// that have unread bytes.
func (p *pool) take(now tick.Instant, id string) (cn *conn, unread []*conn) {
	for {
		c := p.pop(now, id)
		if c == nil {
			return nil, unread
		}
		idle, hasUnread := c.state()
		if now < c.expires && idle {
			return c, unread
		}
		if hasUnread {
			unread = append(unread, c)
		}
		_ = c.Close()
	}
}

// hasUsable reports whether there is an idle connection that has not expired.
func (p *pool) hasUsable(now tick.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && now < p.idle[n-1].expires
}

// pop removes and returns the most recently used connection that has not carried a request with
// the ID, or nil if there is none.
func (p *pool) pop(now tick.Instant, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTake = now
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if id != "" && c.ids.has(id) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		return c
	}
	return nil
}

// put adds a connection as the most recently used one.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// removeExpired removes and returns the connections that have expired. The caller closes
// them.
func (p *pool) removeExpired(now tick.Instant) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now >= c.expires {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	for i := len(kept); i < len(p.idle); i++ {
		p.idle[i] = nil
	}
	p.idle = kept
	return expired
}

// dial opens a connection. The kernel closes it if the server stops acknowledging data or
// keep-alive probes.
func dial(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAlivePeriod,
			Interval: keepAlivePeriod,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var sockoptErr error
			err := rc.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(tcpUserTimeout/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	src := &limitedReader{r: nc, remaining: unlimited, account: (*memory.Budget)(nil).Account()}
	return &conn{Conn: nc, br: bufio.NewReaderSize(src, readBufferBytes), src: src}, nil
}
