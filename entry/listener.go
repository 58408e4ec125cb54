package main

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

// callerListener accepts callers' connections.
type callerListener struct {
	listener
	stopping atomic.Bool
	end      sync.Once
	ended    chan struct{} // closed after the listener
}

func newCallerListener(l listener) *callerListener {
	return &callerListener{listener: l, ended: make(chan struct{})}
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	defer l.end.Do(func() { close(l.ended) })
	return l.listener.Close()
}

// stop makes Accept return the connections that the kernel has received, and then an error, and waits until the caller of Accept has
// closed the listener. It returns an error if ctx ends first.
func (l *callerListener) stop(ctx context.Context) error {
	l.stopping.Store(true)
	if err := l.SetDeadline(time.Unix(1, 0)); err != nil {
		return errors.Wrap(err, "end the listener of callers")
	}
	select {
	case <-l.ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the listener of callers")
	}
}

// Accept implements net.Listener. After stop, it returns http.ErrServerClosed when no connection is left.
func (l *callerListener) Accept() (net.Conn, error) {
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
	return &callerConn{socket: s}, nil
}

// acceptReceived accepts a connection that the kernel has received, in spite of a deadline that has passed.
func (l *callerListener) acceptReceived() (net.Conn, error) {
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
