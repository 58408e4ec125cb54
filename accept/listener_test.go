package accept

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// TestStoppedListenerAcceptsReceivedConns guards against connections that are reset, though their requests were received, since the listener closes.
func TestStoppedListenerAcceptsReceivedConns(t *testing.T) {
	for _, n := range []int{0, 1, 30} {
		is := is.New(t)
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		l, err := NewListener(tcp, headerTimeout)
		is.NoErr(err)
		for range n {
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			t.Cleanup(func() { _ = c.Close() })
			_, err = io.WriteString(c, idleRequest)
			is.NoErr(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- l.Stop(ctx) }()
		eventually(t, "the listener is stopping", l.stopping.Load)
		for range n {
			c, err := l.Accept()
			is.NoErr(err)
			b := make([]byte, len(idleRequest))
			_, err = io.ReadFull(c, b)
			is.NoErr(err)
			is.Equal(string(b), idleRequest)
			is.NoErr(c.Close())
		}
		_, err = l.Accept()
		is.True(errors.Is(err, http.ErrServerClosed))
		is.NoErr(l.Close())
		is.NoErr(<-stopped)
		is.NoErr(l.Stop(ctx)) // again
	}
}
