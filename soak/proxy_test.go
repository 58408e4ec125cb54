package main

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// TestProxyPassesResetsOn guards against a reset of a server that reaches the daemon as a regular end of its connection.
func TestProxyPassesResetsOn(t *testing.T) {
	for _, reset := range []bool{true, false} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{}, 1)
		p, err := newProxy(ctx, l.Addr().String(), done)
		is.NoErr(err)
		c, err := net.Dial("tcp", p.addr())
		is.NoErr(err)
		s, err := l.Accept()
		is.NoErr(err)
		if reset {
			is.NoErr(s.(*net.TCPConn).SetLinger(0))
		}
		is.NoErr(s.Close())
		_, err = c.Read(make([]byte, 1))
		is.Equal(errors.Is(err, syscall.ECONNRESET), reset)
		is.Equal(errors.Is(err, io.EOF), !reset)
		is.NoErr(c.Close())
		cancel()
		<-done
		is.NoErr(l.Close())
	}
}
