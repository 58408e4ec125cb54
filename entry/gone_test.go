package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform"
	"wasabidock.dev/dock/platform/fake"
)

// TestHalfClosedCallerGetsNoFalseSuccess guards against a success that no server gave, for a caller that has closed its
// sending side after its request.
func TestHalfClosedCallerGetsNoFalseSuccess(t *testing.T) {
	st, servers := startServers(t)
	st.Put("op/config", fmt.Appendf(nil, config, 1, "k1"))
	d := startDaemon(t, "a-1", st.Addr())
	eventually(t, "ready", d.isReady)
	for _, s := range servers {
		s.SetPace(10, 100*time.Millisecond)
	}
	tests := []struct {
		name, path string
		header     func(http.Header)
		whole      string // body of the server's response
	}{
		{"plain", "/file/h1", func(h http.Header) { fake.WithWork(h, 300*time.Millisecond) }, fake.Answer("app1", "h1")},
		{"stream", "/ask/h2", func(h http.Header) { h.Set("Wasabidock-Token-Count", "100,50") }, fake.Event(1) + fake.Event(2) + fake.Event(3) + fake.Event(4)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{}
			tt.header(h)
			h.Set(platform.AttemptHeader, tt.path[len(tt.path)-2:])
			h.Set("Authorization", "Token k1")
			var head strings.Builder
			is.NoErr(h.Write(&head))
			c, err := net.Dial("tcp", d.front)
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
			_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n%s\r\nbody", tt.path, &head)
			is.NoErr(err)
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Logf("%s: no response: %v", tt.name, err)
				return
			}
			defer func() { _ = resp.Body.Close() }()
			b, err := io.ReadAll(resp.Body)
			t.Logf("%s: status %d, %q, %v", tt.name, resp.StatusCode, b, err)
			if resp.StatusCode == http.StatusOK && err == nil {
				is.Equal(string(b), tt.whole)
			}
		})
	}
}
