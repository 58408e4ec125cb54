package plain

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// heldError reports a call that its gate held back.
type heldError struct {
	err error
}

func (e *heldError) Error() string { return "held back: " + e.err.Error() }

func (e *heldError) Unwrap() error { return e.err }

// trace notes how far the attempt on one connection came.
type trace struct {
	gate  func() error
	wrote atomic.Bool
	held  atomic.Pointer[heldError]
}

// conn is a connection that serves one attempt. It carries the plain text of
// the request, inside of TLS where there is any.
type conn struct {
	net.Conn
	t        *trace
	progress time.Duration
}

// Write notes that the request starts to leave the process, after a last look
// at the gate. The deadline is set before the gate is asked, so that a process
// that pauses between the two does not write when it wakes.
func (c *conn) Write(b []byte) (int, error) {
	c.extend()
	if !c.t.wrote.Load() {
		if c.t.gate != nil {
			if err := c.t.gate(); err != nil {
				held := &heldError{err}
				c.t.held.Store(held)
				return 0, held
			}
		}
		c.t.wrote.Store(true)
	}
	return c.Conn.Write(b)
}

// Read gives the peer the progress limit to say something.
func (c *conn) Read(b []byte) (int, error) {
	c.extend()
	return c.Conn.Read(b)
}

// extend moves the deadline. Socket deadlines take wall-clock values but run
// on the monotonic clock.
func (c *conn) extend() {
	_ = c.SetDeadline(time.Now().Add(c.progress))
}

// dialer opens the connections of one attempt.
type dialer struct {
	net      net.Dialer
	tls      *tls.Config
	progress time.Duration
	t        *trace
}

func (d *dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := d.net.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, t: d.t, progress: d.progress}, nil
}

func (d *dialer) dialTLS(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := d.net.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	cfg := d.tls.Clone()
	if cfg.ServerName == "" {
		host, _, _ := net.SplitHostPort(addr)
		cfg.ServerName = host
	}
	tc := tls.Client(nc, cfg)
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return &conn{Conn: tc, t: d.t, progress: d.progress}, nil
}

// splitList splits a comma-separated header value.
func splitList(v string) []string {
	parts := strings.Split(v, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
