package link_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"wasabidock.dev/dock/link"
)

// TestCancelRacesWithReuse guards against a connection that is closed or read by a request that has given it back.
func TestCancelRacesWithReuse(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		_, _ = io.WriteString(w, r.Header.Get("Attempt")) // the caller may have disconnected
	}))
	t.Cleanup(srv.Close)
	c := newClient()
	var ends sync.WaitGroup
	for caller := range 8 {
		ends.Go(func() {
			for n := range 200 {
				ctx, cancel := context.WithCancel(t.Context())
				id := fmt.Sprint(caller, ".", n)
				req := &link.Request{
					Addr: srv.Listener.Addr().String(), Method: http.MethodPost, Path: "/", Host: "h", ID: id,
					Header: http.Header{"Attempt": {id}}, Body: []byte(strings.Repeat("b", 1+n%3*50<<10)), DialTimeout: 10 * time.Second,
				}
				leaves := n%2 == 0
				if leaves {
					ends.Go(func() {
						time.Sleep(time.Duration(n%20) * 50 * time.Microsecond)
						cancel()
					})
				}
				res, err := c.Do(ctx, req)
				if err == nil {
					var b []byte
					if b, err = io.ReadAll(res.Body); err == nil && string(b) != id {
						t.Errorf("%s got the response to %s", id, b)
					}
					res.Close()
					res.Close() // a second call does nothing
				}
				if err != nil && !leaves {
					t.Errorf("%s: %v", id, err)
				}
				cancel()
			}
		})
	}
	ends.Wait()
}

// TestResponseFramings guards against bytes of one response that are left for the next request.
func TestResponseFramings(t *testing.T) {
	const chunk = "1\r\n1\r\n0\r\n\r\n"
	tests := []struct {
		name  string
		first string
		dials int64
	}{
		{"length and chunks", "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk, 1},
		{"HTTP/1.0 with keep-alive", "HTTP/1.0 200 OK\r\nAttempt: a\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\n1", 1},
		{"HTTP/1.0 without keep-alive", "HTTP/1.0 200 OK\r\nAttempt: a\r\nContent-Length: 1\r\n\r\n1", 2},
		{"204 with a body", "HTTP/1.1 204 No Content\r\nAttempt: a\r\nContent-Length: 1\r\n\r\n1", 2},
		{"304 with a body", "HTTP/1.1 304 Not Modified\r\nAttempt: a\r\nContent-Length: 1\r\n\r\n1", 2},
		{"interim response", "HTTP/1.1 103 Early Hints\r\nAttempt: a\r\n\r\n" + response("a", "", "1"), 1},
		{"trailer with another ID", "HTTP/1.1 200 OK\r\nAttempt: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\nAttempt: b\r\n\r\n", 1},
		{"two lengths", "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n1", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScriptedServer(t, tt.first, response("b", "", "2"), "")
			c := newClient()
			_, _ = get(t, c, s.request("a")) // some of the responses are errors
			got, err := get(t, c, s.request("b"))
			if err != nil || got != "2" || c.DialCount() != tt.dials {
				t.Errorf("got %q, %v on connection %d, want 2 on connection %d", got, err, c.DialCount(), tt.dials)
			}
		})
	}
}
