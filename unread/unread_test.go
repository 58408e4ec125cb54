package unread_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/unread"
)

// upload sends a body in parts of 64 KiB with pauses of 10 ms, and reads the response once all is sent.
func upload(t *testing.T, addr string, parts int, chunked bool) (*http.Response, error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = c.Close() })
	part := strings.Repeat("b", 64<<10)
	head := fmt.Sprintf("Content-Length: %d", parts*len(part))
	if chunked {
		head = "Transfer-Encoding: chunked"
		part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	if _, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", head); err != nil {
		return nil, err
	}
	for range parts {
		if _, err = c.Write([]byte(part)); err != nil {
			return nil, err
		}
		time.Sleep(10 * time.Millisecond)
	}
	if chunked {
		if _, err = c.Write([]byte("0\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	return http.ReadResponse(bufio.NewReader(c), nil)
}

func TestResponseOfUnreadBody(t *testing.T) {
	tests := []struct {
		name    string
		parts   int // of 64 KiB
		chunked bool
		read    int // bytes that the handler reads
		closes  bool
	}{
		{"short", 2, false, 0, false},
		{"length", 100, false, 0, true},
		{"length, begun", 100, false, 100_000, true},
		{"chunks", 100, true, 0, true},
		{"chunks, begun", 100, true, 100_000, true},
		{"short chunks", 1, true, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = r.Body.Read(make([]byte, tt.read))
				if unread.Prepare(w, r) {
					defer unread.Discard(t.Context(), w, r)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(s.Close)
			resp, err := upload(t, s.Listener.Addr().String(), tt.parts, tt.chunked)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.Equal(resp.Close, tt.closes)
			_ = resp.Body.Close()
		})
	}
}

func TestDiscardEnds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		if unread.Prepare(w, r) {
			defer unread.Discard(ctx, w, r)
		}
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nb"))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil) // at once, before the body
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	_ = resp.Body.Close()
	cancel()
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the rest of the body is read after ctx has ended")
	}
}

// TestRejectionBeforeContinue guards against a server that asks for a body that it has rejected.
func TestRejectionBeforeContinue(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if unread.Prepare(w, r) {
			defer unread.Discard(t.Context(), w, r)
		}
		http.Error(w, "not wanted", http.StatusUnauthorized)
	}))
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\nExpect: 100-continue\r\n\r\n"))
	is.NoErr(err)
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(got), "HTTP/1.1 401 "))
	is.True(!strings.Contains(string(got), "100 Continue"))
}
