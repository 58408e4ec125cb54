package front

import (
	"context"
	"net"
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
	unacknowledged    = 15 * time.Second
	tcpUserTimeout    = 18 // TCP_USER_TIMEOUT of Linux
	sendBufferBytes   = 64 << 10
	farewellLimit     = time.Second
)

// Listen opens a listener whose connections are given up when the other side
// does not acknowledge what was sent, or does not answer keep-alive probes.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{
		Control: limitUnacknowledged,
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

func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var opt error
	err := c.Control(func(fd uintptr) {
		opt = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return opt
}

// limitSendBuffer keeps the send buffer small, so that a caller that stops
// reading is noticed soon.
func limitSendBuffer(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(sendBufferBytes)
	}
}

// listener hands out connections that answer slow headers. It is used for
// plain text only: beneath TLS nothing can be added to what the other side
// reads.
type listener struct {
	net.Listener
	plain bool
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limitSendBuffer(c)
	if !l.plain {
		return &stalledConn{Conn: c}, nil
	}
	return &callerConn{Conn: c}, nil
}

// stalledConn lies beneath TLS. Once a write has run into its deadline, all
// later ones fail at once: TLS would otherwise wait for its farewell to a
// caller that takes nothing, and keep its request's work waiting as well.
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

// callerConn is a connection that says why it is closed when a request's
// headers did not arrive in time, for net/http closes it without a word. Its
// fields need no lock: net/http closes a connection only after its last read
// and write have returned.
type callerConn struct {
	net.Conn
	asked bool // bytes were read and nothing was written since
	late  bool // the last read ran into its deadline
}

const slowHeaders = "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Connection: close\r\n\r\n408 Request Timeout"

func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.asked = true
	}
	c.late = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

func (c *callerConn) Write(b []byte) (int, error) {
	c.asked = false
	return c.Conn.Write(b)
}

// Close sends the answer that is still owed and closes the connection.
func (c *callerConn) Close() error {
	if c.asked && c.late {
		_ = c.SetWriteDeadline(time.Now().Add(farewellLimit))
		_, _ = c.Write([]byte(slowHeaders))
	}
	return c.Conn.Close()
}
