package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/tick"
)

// scriptedServer is a fake server that answers each request with the next response. An empty
// response closes the connection.
type scriptedServer struct {
	l         net.Listener
	responses []string
	conns     chan int // number of requests on each closed connection

	mu   sync.Mutex
	next int
	open []net.Conn
}

func newScriptedServer(t *testing.T, responses ...string) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{l: l, responses: responses, conns: make(chan int, 16)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		var ends sync.WaitGroup
		defer ends.Wait()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open = append(s.open, c)
			s.mu.Unlock()
			ends.Go(func() { s.serve(c) })
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		s.closeConns()
		<-done
	})
	return s
}

// closeConns closes all connections.
func (s *scriptedServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close() // it may be closed before
	}
}

func (s *scriptedServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	n := 0
	defer func() { s.conns <- n }()
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		response, last := s.take()
		n++
		if response == "" {
			return
		}
		_, _ = io.WriteString(c, response)
		if last || strings.Contains(response, "unframed") {
			return
		}
	}
}

// take returns the next response, and whether it is the last one.
func (s *scriptedServer) take() (response string, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == len(s.responses) {
		return "", true
	}
	s.next++
	return s.responses[s.next-1], s.next == len(s.responses)
}

func response(id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

func newClient() *link.Client {
	return link.New(link.Config{Clock: tick.NewReal(), IDHeader: "Attempt"})
}

func (s *scriptedServer) request(id string) *link.Request {
	return &link.Request{Addr: s.l.Addr().String(), Method: http.MethodPost, Path: "/x", Host: "h", ID: id, Body: []byte("b")}
}

func get(t *testing.T, c *link.Client, req *link.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	res, err := c.Do(ctx, req)
	if err != nil {
		return "", err
	}
	defer res.Close()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

func TestResponses(t *testing.T) {
	tests := []struct {
		name      string
		responses []string
		want      []string // bodies for the requests a, b, c ...; "!" for an error
		dialCount int64
	}{
		{name: "kept", responses: []string{response("a", "", "1"), response("b", "", "2")}, want: []string{"1", "2"}, dialCount: 1},
		{name: "response to another request first", responses: []string{response("z", "", "0") + response("a", "", "1")}, want: []string{"1"}, dialCount: 1},
		{
			name:      "second response afterwards",
			responses: []string{response("a", "", "1") + response("a", "", "again"), response("b", "", "2")},
			want:      []string{"1", "2"}, dialCount: 2,
		},
		{name: "closes", responses: []string{response("a", "Connection: close\r\n", "1"), response("b", "", "2")}, want: []string{"1", "2"}, dialCount: 2},
		{name: "zero keep-alive timeout", responses: []string{response("a", "Keep-Alive: timeout=0\r\n", "1"), response("b", "", "2")}, want: []string{"1", "2"}, dialCount: 2},
		{name: "encoded", responses: []string{response("a", "Content-Encoding: gzip\r\n", "1")}, want: []string{"!"}, dialCount: 1},
		{name: "only a response to another request", responses: []string{response("z", "", "1")}, want: []string{"!"}, dialCount: 1},
		{name: "truncated body", responses: []string{"HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 9\r\n\r\nunframed"}, want: []string{"!"}, dialCount: 1},
		{name: "body until connection close", responses: []string{"HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\nunframed"}, want: []string{"unframed"}, dialCount: 1},
		{name: "interim", responses: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + response("a", "", "1")}, want: []string{"1"}, dialCount: 1},
		{name: "no response", responses: []string{""}, want: []string{"!"}, dialCount: 1},
		{name: "not HTTP", responses: []string{"nonsense\r\n\r\n"}, want: []string{"!"}, dialCount: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, tt.responses...)
			c := newClient()
			for i, want := range tt.want {
				got, err := get(t, c, s.request(string(rune('a'+i))))
				if want == "!" {
					is.True(err != nil) // no response is accepted
					continue
				}
				is.NoErr(err)
				is.Equal(got, want)
			}
			is.Equal(c.DialCount(), tt.dialCount) // connections
		})
	}
}

// TestWrittenAtMostOnce closes a reused connection after the request was written. The client
// must not retry the request, because the server may have run it.
func TestWrittenAtMostOnce(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, response("a", "", "1"), "", response("c", "", "3"))
	c := newClient()
	_, err := get(t, c, s.request("a"))
	is.NoErr(err)
	_, err = get(t, c, s.request("b"))
	is.True(err != nil)
	is.Equal(fail.Outcome(err), ident.Unknown) // the request was written, so it may have run
	is.Equal(<-s.conns, 2)                     // the server received it once, on the reused connection
}

// TestBeforeWrite guards against a request that is written although it may not be sent any more when
// its connection is there.
func TestBeforeWrite(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, response("a", "", "1"))
	c := newClient()
	errLate := errors.New("late")
	r := s.request("a")
	r.BeforeWrite = func() error { return errLate }
	_, err := get(t, c, r)
	is.True(errors.Is(err, errLate))
	is.True(fail.IsLocal(err)) // no server is at fault
	is.Equal(fail.Outcome(err), ident.NotRun)
	is.Equal(c.DialCount(), int64(1)) // after the connection was opened
	r.BeforeWrite = func() error { return nil }
	got, err := get(t, c, r)
	is.NoErr(err)
	is.Equal(got, "1")
}

func TestConnectOutcomes(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	_, err = get(t, newClient(), &link.Request{Addr: addr, Method: http.MethodPost, Path: "/", Host: "h"})
	is.Equal(fail.Outcome(err), ident.NotRun) // the connection is refused
	is.True(!fail.IsLocal(err))

	s := newScriptedServer(t, response("a", "", "1"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = newClient().Do(ctx, s.request("a"))
	is.Equal(fail.Outcome(err), ident.NotRun) // the context ended before the request
	is.True(fail.IsLocal(err))

	s = newScriptedServer(t, response("a", "", "1"), response("b", "", "2"))
	c := newClient()
	_, err = get(t, c, s.request("a"))
	is.NoErr(err)
	r := s.request("b")
	r.BeforeWrite = func() error { // the server closes the connection, which was idle
		s.closeConns()
		time.Sleep(20 * time.Millisecond)
		return nil
	}
	_, err = get(t, c, r)
	is.True(errors.Is(err, link.ErrNotIdle))
	is.True(fail.IsLocal(err))
}

func TestHeaderTimeout(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	start := time.Now()
	_, err = get(t, newClient(), &link.Request{
		Addr: l.Addr().String(), Method: http.MethodPost, Path: "/", Host: "h", HeaderTimeout: 50 * time.Millisecond,
	})
	is.Equal(fail.Outcome(err), ident.Unknown)
	is.True(time.Since(start) < 500*time.Millisecond)
}

// TestLargeRequestWithEarlyResponse responds before the request body is read. The connection
// must not be reused: the server would parse the rest of the body as the next request.
func TestLargeRequestWithEarlyResponse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	serverDone := make(chan struct{})
	go func() {
		defer close(serverDone)
		for i := range 2 {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
				_, _ = io.WriteString(c, response(string(rune('a'+i)), "", "early"))
			}
			defer func() { _ = c.Close() }()
		}
	}()
	c := newClient()
	for _, id := range []string{"a", "b"} {
		got, err := get(t, c, &link.Request{
			Addr: l.Addr().String(), Method: http.MethodPost, Path: "/", Host: "h", ID: id, Body: make([]byte, 8<<20),
		})
		is.NoErr(err)
		is.Equal(got, "early")
	}
	is.Equal(c.DialCount(), int64(2))
	<-serverDone
}

// serveEndless answers a request with a prefix and then the same bytes until the client
// closes the connection, or until it has written far more than any valid response.
func serveEndless(t *testing.T, prefix, repeated string) (addr string, written <-chan int) {
	t.Helper()
	const limit = 64 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	out := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, prefix)
		chunk := []byte(strings.Repeat(repeated, max(4096/len(repeated), 1)))
		n := 0
		for n < limit {
			_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			k, err := c.Write(chunk)
			n += k
			if err != nil {
				break
			}
		}
		out <- n
	}()
	return l.Addr().String(), out
}

// TestEndlessResponses sends endless bytes at each place of a response that the client might
// read without bound. The request must fail early.
func TestEndlessResponses(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nAttempt: a\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		limit   = 8 << 20 // what the kernel and the client may buffer before the connection is closed
	)
	tests := []struct{ name, prefix, repeated string }{
		{name: "status line", repeated: "x"},
		{name: "header line", prefix: head + "X: ", repeated: "x"},
		{name: "header lines", prefix: head, repeated: "X: y\r\n"},
		{name: "folded header line", prefix: head + "X: y", repeated: "\r\n z"},
		{name: "interim responses", repeated: "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		{name: "responses to other requests", repeated: "HTTP/1.1 200 OK\r\nAttempt: z\r\nContent-Length: 1\r\n\r\nz"},
		{name: "response to another request", prefix: "HTTP/1.1 200 OK\r\nAttempt: z\r\n\r\n", repeated: "z"},
		{name: "chunk size", prefix: chunked, repeated: "0"},
		{name: "chunk extension", prefix: chunked + "1;", repeated: "x"},
		{name: "trailer", prefix: chunked + "0\r\nX: ", repeated: "x"},
		{name: "trailer lines", prefix: chunked + "0\r\n", repeated: "X: y\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			addr, written := serveEndless(t, tt.prefix, tt.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			res, err := newClient().Do(ctx, &link.Request{Addr: addr, Method: http.MethodPost, Path: "/", Host: "h", ID: "a"})
			if err == nil {
				_, err = io.ReadAll(res.Body)
				res.Close()
			}
			is.True(err != nil)         // the response is not valid
			is.NoErr(ctx.Err())         // the request failed before the deadline
			is.True(<-written <= limit) // the request failed after few bytes
		})
	}
}
