package once_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/once"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
)

// TestEntryFitsItsAccount checks that an entry takes no more memory than the
// journal accounts for it.
func TestEntryFitsItsAccount(t *testing.T) {
	const n = 20_000
	j := intent.NewJournal(intent.Config{MaxEntries: n, MaxBytes: 64 << 20, MaxBodyBytes: 1 << 10})
	used := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := used()
	for i := range n {
		id := intent.NewID("sur", "confirm", fmt.Sprint(i))
		j.Begin(0, id, intent.Fingerprint{}, time.Hour)
	}
	per := float64(used()-before) / n
	t.Logf("%d open entries: %.0f bytes each, accounted %d", n, per, j.Bytes()/n)
	if per > float64(j.Bytes()/n) {
		t.Errorf("an entry takes %.0f bytes, more than its account", per)
	}
	runtime.KeepAlive(j)
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	n *atomic.Int64
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

type meteredListener struct {
	net.Listener
	n *atomic.Int64
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{c, l.n}, nil
}

// TestBytesOfRound measures what one round of a process and its two backups
// sends both ways over HTTP while nothing happens.
func TestBytesOfRound(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	var n atomic.Int64
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewOnceServiceHandler(w.at("a2").svc.Handler()))
	srv := httptest.NewUnstartedServer(mux)
	srv.Listener = &meteredListener{srv.Listener, &n}
	srv.Start()
	defer srv.Close()
	s := once.New(once.Config{
		Self: ident.Node{Instance: "a1", Incarnation: 9}, Table: w.at("b1"),
		Dialer: connected{srv.URL}, Caller: w.at("b1"), Clock: w.clock, Log: zerolog.Nop(),
	})
	is.NoErr(s.Sync(ctx))
	start := n.Load()
	const rounds = 10
	for range rounds {
		is.NoErr(s.Sync(ctx))
	}
	per := (n.Load() - start) / rounds
	t.Logf("%d bytes a round", per)
	is.True(per < 2000) // with one round in five seconds under 400 bytes a second
}
