package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/link"
	"wasabidock.dev/dock/tick"
)

// script answers each request on a connection with the next text. An empty
// text closes the connection.
type script struct {
	l     net.Listener
	texts []string
	conns chan int // the number of requests that a connection brought
}

func newScript(t *testing.T, texts ...string) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{l: l, texts: texts, conns: make(chan int, 16)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		next := 0
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			next += s.serve(c, next)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return s
}

func (s *script) serve(c net.Conn, next int) int {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	n := 0
	defer func() { s.conns <- n }()
	for next+n < len(s.texts) {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return n
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := s.texts[next+n]
		n++
		if text == "" {
			return n
		}
		_, _ = io.WriteString(c, text)
		if strings.Contains(text, "unframed") {
			return n
		}
	}
	return n
}

func text(id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

func newClient() *link.Client {
	return link.New(link.Config{Clock: tick.NewReal(), IDHeader: "Attempt"})
}

func (s *script) call(id string) *link.Request {
	return &link.Request{Addr: s.l.Addr().String(), Method: http.MethodPost, Path: "/x", Host: "h", ID: id, Body: []byte("b")}
}

func get(t *testing.T, c *link.Client, call *link.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	a, err := c.Do(ctx, call)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

func TestAnswers(t *testing.T) {
	tests := []struct {
		name  string
		texts []string
		want  []string // of calls a, b, c ...; "!" for an error
		dials int64
	}{
		{name: "kept", texts: []string{text("a", "", "1"), text("b", "", "2")}, want: []string{"1", "2"}, dials: 1},
		{name: "stray before", texts: []string{text("z", "", "0") + text("a", "", "1")}, want: []string{"1"}, dials: 1},
		{
			name:  "extra after",
			texts: []string{text("a", "", "1") + text("a", "", "again"), text("b", "", "2")},
			want:  []string{"1", "2"}, dials: 2,
		},
		{name: "closes", texts: []string{text("a", "Connection: close\r\n", "1"), text("b", "", "2")}, want: []string{"1", "2"}, dials: 2},
		{name: "no time to keep", texts: []string{text("a", "Keep-Alive: timeout=0\r\n", "1"), text("b", "", "2")}, want: []string{"1", "2"}, dials: 2},
		{name: "encoded", texts: []string{text("a", "Content-Encoding: gzip\r\n", "1")}, want: []string{"!"}, dials: 1},
		{name: "foreign only", texts: []string{text("z", "", "1")}, want: []string{"!"}, dials: 1},
		{name: "early end", texts: []string{"HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 9\r\n\r\nunframed"}, want: []string{"!"}, dials: 1},
		{name: "until the end", texts: []string{"HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\nunframed"}, want: []string{"unframed"}, dials: 1},
		{name: "interim", texts: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + text("a", "", "1")}, want: []string{"1"}, dials: 1},
		{name: "no answer", texts: []string{""}, want: []string{"!"}, dials: 1},
		{name: "not HTTP", texts: []string{"nonsense\r\n\r\n"}, want: []string{"!"}, dials: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newScript(t, tt.texts...)
			c := newClient()
			for i, want := range tt.want {
				got, err := get(t, c, s.call(string(rune('a'+i))))
				if want == "!" {
					is.True(err != nil) // no answer is taken
					continue
				}
				is.NoErr(err)
				is.Equal(got, want)
			}
			is.Equal(c.DialCount(), tt.dials) // connections
		})
	}
}

// TestWrittenAtMostOnce kills a kept connection at the worst moment: the call
// must not come a second time by itself.
func TestWrittenAtMostOnce(t *testing.T) {
	is := is.New(t)
	s := newScript(t, text("a", "", "1"), "", text("c", "", "3"))
	c := newClient()
	_, err := get(t, c, s.call("a"))
	is.NoErr(err)
	_, err = get(t, c, s.call("b"))
	is.True(err != nil)
	is.Equal(fail.Outcome(err), ident.Unknown) // it was written, so it may have run
	is.Equal(<-s.conns, 2)                     // the server saw it once, on the kept connection
}

func TestOutcomes(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	_, err = get(t, newClient(), &link.Request{Addr: addr, Method: http.MethodPost, Path: "/", Host: "h"})
	is.Equal(fail.Outcome(err), ident.NotRun) // nobody listens

	s := newScript(t, text("a", "", "1"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = newClient().Do(ctx, s.call("a"))
	is.Equal(fail.Outcome(err), ident.NotRun) // ended before it began
}

func TestSilenceIsBounded(t *testing.T) {
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

// TestLargeCallWithAnEarlyAnswer answers before the body is read: the rest of
// the body must not be taken for the next call.
func TestLargeCallWithAnEarlyAnswer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	served := make(chan struct{})
	go func() {
		defer close(served)
		for i := range 2 {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
				_, _ = io.WriteString(c, text(string(rune('a'+i)), "", "early"))
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
	<-served
}

// endless answers a call with a beginning and then the same bytes until the
// caller closes, or until it has written much more than an answer ever has.
func endless(t *testing.T, begin, again string) (addr string, wrote <-chan int) {
	t.Helper()
	const most = 64 << 20
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
		_, _ = io.WriteString(c, begin)
		chunk := []byte(strings.Repeat(again, max(4096/len(again), 1)))
		n := 0
		for n < most {
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

// TestBytesWithoutEnd meets servers that send bytes that are no answer until
// their caller closes. Whatever the place, the call fails early.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nAttempt: a\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		most    = 8 << 20 // what the kernel and the client may take before the connection is closed
	)
	tests := []struct{ name, begin, again string }{
		{name: "status line", again: "x"},
		{name: "line of the head", begin: head + "X: ", again: "x"},
		{name: "lines of the head", begin: head, again: "X: y\r\n"},
		{name: "folded line", begin: head + "X: y", again: "\r\n z"},
		{name: "interim answers", again: "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		{name: "answers of others", again: "HTTP/1.1 200 OK\r\nAttempt: z\r\nContent-Length: 1\r\n\r\nz"},
		{name: "an answer of another", begin: "HTTP/1.1 200 OK\r\nAttempt: z\r\n\r\n", again: "z"},
		{name: "size of a chunk", begin: chunked, again: "0"},
		{name: "extension of a chunk", begin: chunked + "1;", again: "x"},
		{name: "trailer", begin: chunked + "0\r\nX: ", again: "x"},
		{name: "lines of the trailer", begin: chunked + "0\r\n", again: "X: y\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			addr, wrote := endless(t, tt.begin, tt.again)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			a, err := newClient().Do(ctx, &link.Request{Addr: addr, Method: http.MethodPost, Path: "/", Host: "h", ID: "a"})
			if err == nil {
				_, err = io.ReadAll(a.Body)
				a.Close()
			}
			is.True(err != nil)      // it is no answer
			is.NoErr(ctx.Err())      // and that is found before time is up
			is.True(<-wrote <= most) // after few bytes
		})
	}
}
