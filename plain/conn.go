package plain

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// heldError reports a call that its gate rejected.
type heldError struct {
	err error
}

func (e *heldError) Error() string { return "the gate rejected the call: " + e.err.Error() }

func (e *heldError) Unwrap() error { return e.err }

// errSealed reports a write that comes after its attempt was abandoned.
var errSealed = errors.New("the attempt was abandoned before its first byte was written")

// The states of a trace. It leaves idle once, for one of the others.
const (
	stateIdle   int32 = iota // no byte was written
	stateWrote               // bytes may have been written
	stateSealed              // no byte was written and none will be
)

// trace records whether the attempt on one connection has written anything.
type trace struct {
	gate  func() error
	state atomic.Int32
	held  atomic.Pointer[heldError]
}

// seal abandons the attempt and reports whether no byte of it was written and
// none can be.
func (t *trace) seal() bool {
	return t.state.CompareAndSwap(stateIdle, stateSealed) || t.state.Load() == stateSealed
}

// pass permits the first write, unless the gate rejects it or the attempt was
// abandoned.
func (t *trace) pass() error {
	if t.gate != nil {
		if err := t.gate(); err != nil {
			held := &heldError{err}
			t.held.Store(held)
			return held
		}
	}
	if !t.state.CompareAndSwap(stateIdle, stateWrote) && t.state.Load() == stateSealed {
		return errSealed
	}
	return nil
}

// conn is a connection for one attempt. Beneath net/http it reads and writes
// plaintext; with an https URL, it wraps the TLS connection.
type conn struct {
	net.Conn
	t        *trace
	progress time.Duration
}

// Write calls the gate before the first write and records that bytes may have
// been written. The deadline is set before the gate is called, so that a process
// that is suspended between the two does not write when it resumes.
func (c *conn) Write(b []byte) (int, error) {
	c.extend()
	if c.t.state.Load() != stateWrote {
		if err := c.t.pass(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Read fails if no byte arrives within the progress limit.
func (c *conn) Read(b []byte) (int, error) {
	c.extend()
	return c.Conn.Read(b)
}

// extend sets the deadline to the progress limit from now. Socket deadlines take
// wall-clock values but run on the monotonic clock.
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
