package accept

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/tick"
)

// The timeouts of the servers in these tests.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// idleRequest is a request of a caller in these tests, whose response is its body.
const idleRequest = "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nbody"

// heldConn is the server's side of a connection whose reads wait while it is held, as in a process that is suspended. It
// calls beforeEnd once before it is closed or a read of it is ended.
type heldConn struct {
	*net.TCPConn

	mu        sync.Mutex
	held      chan struct{}
	beforeEnd func()
	deadline  time.Time // of reads
}

func (c *heldConn) hold(beforeEnd func()) (release func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := make(chan struct{})
	c.held, c.beforeEnd = held, beforeEnd
	return sync.OnceFunc(func() { close(held) })
}

func (c *heldConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	held := c.held
	c.mu.Unlock()
	if held != nil {
		<-held
	}
	return c.TCPConn.Read(b)
}

func (c *heldConn) end() {
	c.mu.Lock()
	f := c.beforeEnd
	c.beforeEnd = nil
	c.mu.Unlock()
	if f != nil {
		f()
	}
}

func (c *heldConn) SetReadDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		c.end()
	}
	c.mu.Lock()
	c.deadline = at
	c.mu.Unlock()
	return c.TCPConn.SetReadDeadline(at)
}

func (c *heldConn) Close() error {
	c.end()
	return c.TCPConn.Close()
}

func (c *heldConn) readDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline
}

// heldListener accepts connections as heldConns.
type heldListener struct {
	*net.TCPListener
	accepted chan *heldConn
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	h := &heldConn{TCPConn: c.(*net.TCPConn)}
	l.accepted <- h
	return h, nil
}

// idleServer is an http.Server with Conns, and a caller's connection to it.
type idleServer struct {
	conns    *Conns
	clock    *tick.Fake
	srv      *http.Server
	server   *heldConn
	caller   net.Conn
	br       *bufio.Reader
	atIdle   atomic.Pointer[func()] // called when the connection becomes idle
	handling chan struct{}          // receives a value at the begin of each request
}

func newIdleServer(t *testing.T) *idleServer {
	t.Helper()
	s := &idleServer{clock: tick.NewFake(0), handling: make(chan struct{}, 10)}
	s.conns = NewConns(s.clock, idleTimeout)
	s.srv = &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handling <- struct{}{}
		b, _ := io.ReadAll(r.Body)
		time.Sleep(20 * time.Millisecond)
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(b)
	})}
	s.srv.ConnState = func(c net.Conn, st http.ConnState) {
		if f := s.atIdle.Load(); st == http.StateIdle && f != nil {
			(*f)()
		}
		s.conns.OnStateChange(c, st)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{TCPListener: l.(*net.TCPListener), accepted: make(chan *heldConn, 1)}
	accepting, err := NewListener(held, headerTimeout)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.srv.Serve(accepting) }()
	t.Cleanup(func() {
		_ = s.srv.Close()
		<-done
	})
	if s.caller, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.caller.Close() })
	_ = s.caller.SetDeadline(time.Now().Add(10 * time.Second)) // cannot fail on an open connection
	s.br = bufio.NewReader(s.caller)
	s.server = <-held.accepted
	return s
}

// isIdle reports whether the connection waits for its next request.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// idleCount returns the number of connections that are idle and not ended.
func (s *idleServer) idleCount() int {
	n := 0
	for _, c := range s.conns.all() {
		if c.isIdle() && !c.wasEnded() {
			n++
		}
	}
	return n
}

// exchange sends a request and returns the body of the response.
func (s *idleServer) exchange() (string, error) {
	if err := s.send(idleRequest); err != nil {
		return "", err
	}
	return s.read()
}

func (s *idleServer) send(text string) error {
	_, err := io.WriteString(s.caller, text)
	return err
}

func (s *idleServer) read() (string, error) {
	resp, err := http.ReadResponse(s.br, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// becomeIdle makes the connection idle. Its next read has begun then, or waits in the heldConn.
func (s *idleServer) becomeIdle(t *testing.T) {
	t.Helper()
	is := is.New(t)
	got, err := s.exchange()
	is.NoErr(err)
	is.Equal(got, "body")
	<-s.handling
	eventually(t, "idle", func() bool { return s.idleCount() == 1 })
}

// TestRequestBeginsAtEndOfIdleConn guards against a request that is passed on and whose connection is closed as idle.
func TestRequestBeginsAtEndOfIdleConn(t *testing.T) {
	is := is.New(t)
	s := newIdleServer(t)
	s.becomeIdle(t)
	s.clock.Advance(time.Hour)
	s.server.hold(func() {
		is.NoErr(s.send(idleRequest))
		select {
		case <-s.handling: // the request is passed on
		case <-time.After(100 * time.Millisecond):
		}
	})()
	s.conns.EndIdle(time.Second)
	got, err := s.read()
	is.NoErr(err)
	is.Equal(got, "body")
	got, err = s.exchange() // the connection is kept
	is.NoErr(err)
	is.Equal(got, "body")
}

// TestRequestUnreadAtEndOfIdleConn guards against a request that is lost because its connection is closed before it is read.
func TestRequestUnreadAtEndOfIdleConn(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(ctx context.Context, s *idleServer)
	}{
		{"idle for too long", func(_ context.Context, s *idleServer) { s.conns.EndIdle(time.Second) }},
		{"end of the process", func(ctx context.Context, s *idleServer) { _ = s.conns.CloseAll(ctx) }}, // its connection is kept
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newIdleServer(t)
			var release func()
			hold := func() { release = s.server.hold(nil) }
			s.atIdle.Store(&hold)
			s.becomeIdle(t)
			s.atIdle.Store(nil)
			defer release()
			is.NoErr(s.send(idleRequest))
			s.clock.Advance(time.Hour)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				tt.end(ctx, s)
			}()
			eventually(t, "ended", func() bool { return s.idleCount() == 0 })
			release()
			got, err := s.read()
			is.NoErr(err)
			is.Equal(got, "body")
			cancel()
			<-ended
		})
	}
}

// TestIdleConnKeepsItsLimit guards against a connection that is closed before a limit that applied while it was idle.
func TestIdleConnKeepsItsLimit(t *testing.T) {
	tests := []struct {
		name   string
		limits []time.Duration // one for each second
		want   time.Duration   // time at which the connection is closed
	}{
		{"same", []time.Duration{5 * time.Second, 5 * time.Second}, 6 * time.Second},
		{"lower", []time.Duration{9 * time.Second, 2 * time.Second}, 10 * time.Second},
		{"higher", []time.Duration{3 * time.Second, 3 * time.Second, 7 * time.Second}, 8 * time.Second},
		{"longer than the default", []time.Duration{2 * idleTimeout}, 2*idleTimeout + time.Second},
		{"lower than the default", []time.Duration{idleTimeout, 2 * time.Second}, idleTimeout + time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newIdleServer(t)
			s.conns.EndIdle(tt.limits[0])
			s.becomeIdle(t)
			var closed time.Duration
			for at := time.Duration(0); closed == 0 && at <= 2*tt.want; at += time.Second {
				s.conns.EndIdle(tt.limits[min(int(at/time.Second), len(tt.limits)-1)])
				if s.idleCount() == 0 {
					closed = at
				}
				s.clock.Advance(time.Second)
			}
			is.Equal(closed, tt.want)
			_, err := s.caller.Read(make([]byte, 1))
			is.Equal(err, io.EOF)
		})
	}
}

// TestSlowBeginOnIdleConn guards against a connection that a part of a request keeps for ever.
func TestSlowBeginOnIdleConn(t *testing.T) {
	is := is.New(t)
	s := newIdleServer(t)
	s.becomeIdle(t)
	is.NoErr(s.send("P"))
	eventually(t, "begun", func() bool { return s.idleCount() == 0 })
	left := time.Until(s.server.readDeadline())
	is.True(left > 0 && left <= headerTimeout)
	s.clock.Advance(time.Hour)
	s.conns.EndIdle(time.Second) // it is not idle any more
	is.NoErr(s.send(idleRequest[1:]))
	got, err := s.read()
	is.NoErr(err)
	is.Equal(got, "body")
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met in time: " + what)
		}
	}
}
