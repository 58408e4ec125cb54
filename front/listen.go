package front

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	userTimeout       = 15 * time.Second
	tcpUserTimeout    = 18 // TCP_USER_TIMEOUT of Linux
	sendBufferBytes   = 64 << 10
	errorWriteTimeout = time.Second
)

// Listen opens a TCP listener on addr. The kernel closes an accepted connection if
// its peer does not acknowledge data within userTimeout, or does not answer keep-alive
// probes.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "front: listen")
	}
	return l, nil
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var opt error
	err := c.Control(func(fd uintptr) {
		opt = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return opt
}

// limitSendBuffer sets a small send buffer. Writes to a caller that stops reading
// then block soon, and run into their deadline.
func limitSendBuffer(c net.Conn) {
	if t, ok := c.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = t.SetWriteBuffer(sendBufferBytes)
	}
}

// listener wraps accepted connections. On plaintext connections, a request whose
// headers time out gets a 408 response. Beneath TLS no bytes can be added to the
// stream, so there the wrapper only detects stalled writes.
type listener struct {
	net.Listener
	plaintext bool
}

// Accept waits for the next connection and wraps it.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limitSendBuffer(c)
	if !l.plaintext {
		return &stalledConn{Conn: c}, nil
	}
	return &plaintextConn{Conn: c}, nil
}

// stalledConn is the connection beneath TLS. After one write has exceeded its
// deadline, all later writes fail at once. Otherwise TLS would wait to send its
// close_notify alert to a caller that no longer reads, and the work of the
// request would wait with it.
type stalledConn struct {
	net.Conn
	stalled atomic.Bool
}

func (c *stalledConn) Write(b []byte) (int, error) {
	if c.stalled.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.stalled.Store(true)
	}
	return n, err
}

// plaintextConn is a connection without TLS. If the headers of a request do not
// arrive in time, it sends a 408 response before it closes, because net/http
// closes such a connection without a response. Its fields need no lock: net/http
// closes a connection only after the last read and write have returned.
type plaintextConn struct {
	net.Conn
	requestPending bool // bytes were read and nothing was written since
	readTimedOut   bool // the last read exceeded its deadline
	last           bool // what is read belongs to a request that has its response
}

const requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Connection: close\r\n\r\n408 Request Timeout"

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// markLast states that no request follows on the connection of a request.
func markLast(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*plaintextConn); ok {
		c.last = true
	}
}

// NetConn returns the connection that is wrapped.
func (c *plaintextConn) NetConn() net.Conn { return c.Conn }

func (c *plaintextConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.requestPending = true
	}
	c.readTimedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

func (c *plaintextConn) Write(b []byte) (int, error) {
	c.requestPending = false
	return c.Conn.Write(b)
}

// Close closes the connection. If a request timed out before its headers were
// complete, Close sends a 408 response first.
func (c *plaintextConn) Close() error {
	if c.requestPending && c.readTimedOut && !c.last {
		_ = c.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
		_, _ = c.Write([]byte(requestTimeoutResponse))
	}
	return c.Conn.Close()
}
