package accept

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// listener is the part of a TCP listener that is used.
type listener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// Listener accepts callers' connections.
type Listener struct {
	listener
	headerTimeout time.Duration
	stopping      atomic.Bool
	end           sync.Once
	ended         chan struct{} // closed after the listener
}

// NewListener returns a Listener that accepts the connections of a listener of TCP. HeaderTimeout bounds the time from the first byte of
// a request to the end of its header on a connection that was idle.
func NewListener(l net.Listener, headerTimeout time.Duration) (*Listener, error) {
	tcp, ok := l.(listener)
	if !ok {
		return nil, errors.Errorf("listener is a %T, want one of TCP", l)
	}
	return &Listener{listener: tcp, headerTimeout: headerTimeout, ended: make(chan struct{})}, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	defer l.end.Do(func() { close(l.ended) })
	return l.listener.Close()
}

// Stop makes Accept return the connections that the kernel has received, and then an error, and waits until the caller of Accept has
// closed the listener. It may be called more than once, and returns an error if ctx ends first.
func (l *Listener) Stop(ctx context.Context) error {
	l.stopping.Store(true)
	if err := l.SetDeadline(time.Unix(1, 0)); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "end the listener of callers")
	}
	select {
	case <-l.ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the listener of callers")
	}
}

// Accept implements net.Listener. After Stop, it returns http.ErrServerClosed when no connection is left.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.stopping.Load() {
		c, err = l.acceptReceived()
	}
	if err != nil {
		return nil, err
	}
	s, ok := c.(socket)
	if !ok {
		_ = c.Close() // the error below says why
		return nil, errors.Errorf("connection is a %T, want one of TCP", c)
	}
	return &conn{socket: s, headerTimeout: l.headerTimeout}, nil
}

// acceptReceived accepts a connection that the kernel has received, in spite of a deadline that has passed.
func (l *Listener) acceptReceived() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "accept")
	}
	var accepted int
	failure := error(syscall.EINTR)
	err = raw.Control(func(fd uintptr) {
		for errors.Is(failure, syscall.EINTR) || errors.Is(failure, syscall.ECONNABORTED) { // the next one may be sound
			accepted, _, failure = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		}
	})
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "accept")
	case failure != nil: // EAGAIN if there is none
		return nil, http.ErrServerClosed
	}
	f := os.NewFile(uintptr(accepted), "caller")
	defer func() { _ = f.Close() }() // the connection has a copy
	return net.FileConn(f)
}
