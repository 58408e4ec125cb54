package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/link"
)

// earlyServer answers a request before it has read its body: with an open-ended first half, and then as end does. It returns its
// address.
func earlyServer(t *testing.T, head string, end func(c *net.TCPConn, body io.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			c := nc.(*net.TCPConn)
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.SetReadBuffer(16 << 10)
				r, err := http.ReadRequest(bufio.NewReaderSize(c, 4<<10))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, head) // the client may have left
				end(c, r.Body)
			}()
		}
	}()
	return l.Addr().String()
}

// reset resets a connection after the bytes written to it have arrived.
func reset(c *net.TCPConn, _ io.Reader) {
	time.Sleep(50 * time.Millisecond)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestResetIsNoEndOfOpenEndedResponse guards against a reset that a pending write takes and that reads like the end of the response.
func TestResetIsNoEndOfOpenEndedResponse(t *testing.T) {
	const openHead = "HTTP/1.1 200 OK\r\nAttempt: a\r\nConnection: close\r\n\r\n"
	tests := []struct {
		name     string
		head     string
		distinct bool
		end      func(c *net.TCPConn, body io.Reader)
		want     string // body, "!" for an error
	}{
		{name: "reset", head: openHead + "half", end: reset, want: "!"},
		{name: "reset, distinct", head: openHead + "half", distinct: true, end: reset, want: "!"},
		{name: "reset, nothing sent", head: openHead, end: reset, want: "!"},
		{name: "closed with the request unread", head: openHead + "half", end: func(c *net.TCPConn, _ io.Reader) { _ = c.Close() }, want: "!"},
		{name: "no end, the caller's time is over", head: openHead + "half", end: func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(2 * time.Second)
		}, want: "!"},
		{name: "read on", head: openHead + "half", end: func(c *net.TCPConn, body io.Reader) {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.Copy(io.Discard, body)
			_, _ = io.WriteString(c, " and half")
		}, want: "half and half"},
		{name: "ended and read on", head: openHead + "whole", end: func(c *net.TCPConn, body io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(300 * time.Millisecond)
			_, _ = io.Copy(io.Discard, body)
		}, want: "whole"},
		{name: "reset after a length", head: "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 5\r\n\r\nwhole", end: reset, want: "whole"},
		{name: "reset after the last chunk", head: "HTTP/1.1 200 OK\r\nAttempt: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", end: reset, want: "whole"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			req := &link.Request{
				Addr: earlyServer(t, tt.head, tt.end), Method: http.MethodPost, Path: "/", Host: "h", ID: "a", Distinct: tt.distinct,
				Body: []byte(strings.Repeat("x", 16<<20)),
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var got string
			res, err := newClient().Do(ctx, req)
			if err == nil {
				defer res.Close()
				var b []byte
				b, err = io.ReadAll(res.Body)
				got = string(b)
			}
			if tt.want == "!" {
				is.True(err != nil)
				return
			}
			is.NoErr(err)
			is.Equal(got, tt.want)
		})
	}
}
