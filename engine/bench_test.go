package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// benchClient returns a client of a test server with handler h. It reports the bytes per operation on
// the connections, without TCP and IP headers, as metric wire-B/op.
func benchClient(b *testing.B, h http.HandlerFunc) *engine.Client {
	echo := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.CallIDHeader, r.Header.Get(engine.CallIDHeader))
		h(w, r)
	}
	var bytes atomic.Int64
	srv := httptest.NewUnstartedServer(http.HandlerFunc(echo))
	srv.Listener = countingListener{srv.Listener, &bytes}
	srv.Start()
	b.Cleanup(func() { b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op") })
	c := engine.New(engine.Config{Clock: tick.NewReal(), Directory: fixedDirectory(srv.Listener.Addr().String()), StallTimeout: time.Minute, CallTimeout: time.Minute})
	b.Cleanup(func() {
		c.Close()
		srv.Close()
	})
	return c
}

// BenchmarkWorkCall makes each call on a new connection. The time includes that of the server.
func BenchmarkWorkCall(b *testing.B) {
	c := benchClient(b, status(http.StatusOK, `{"place":"x"}`))
	for b.Loop() {
		if _, err := c.Reserve(context.Background(), "d1", flow.ReserveRequest{Attempt: attempt}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkControlCall makes calls on a reused connection.
func BenchmarkControlCall(b *testing.B) {
	c := benchClient(b, status(http.StatusOK, `{"gone":[]}`))
	for b.Loop() {
		if _, err := c.Touch(context.Background(), "d1", []ident.Attempt{attempt}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSweepCall requests the idle holds of an engine that has none.
func BenchmarkSweepCall(b *testing.B) {
	c := benchClient(b, status(http.StatusOK, `[]`))
	for b.Loop() {
		if _, err := c.Holds(context.Background(), "d1", 10*time.Second); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCancelCall cancels an attempt.
func BenchmarkCancelCall(b *testing.B) {
	c := benchClient(b, status(http.StatusOK, `{"released":1}`))
	for b.Loop() {
		if _, err := c.Cancel(context.Background(), "d1", attempt, 0); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStreamToken reads tokens of a server that writes them without pause.
func BenchmarkStreamToken(b *testing.B) {
	c := benchClient(b, func(w http.ResponseWriter, r *http.Request) {
		buf := bufio.NewWriterSize(w, 32<<10)
		for n := 0; r.Context().Err() == nil; n++ {
			_, err := fmt.Fprintf(buf, "id: %d\ndata: {\"attempt\":\"sierra-a-1.1234567890123456789.4711\",\"offset\":%d,\"text\":\"letter \",\"token\":1}\n\n", n, n)
			if err != nil {
				return
			}
		}
	})
	s, err := c.Stream(context.Background(), "d1", attempt, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	for b.Loop() {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
