package proxy_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRejectionBeforeEndOfBodyIsSeen guards against callers whose connection is reset before they have read why their body is not wanted.
func TestRejectionBeforeEndOfBodyIsSeen(t *testing.T) {
	const parts = 100 // of 64 KiB, the limit is 500 bytes
	tests := []struct {
		name, path, key, length string
		status                  int
	}{
		{"too long by its length", "/read/1", testKey, fmt.Sprint("Content-Length: ", parts<<16), http.StatusRequestEntityTooLarge},
		{"too long, in chunks", "/read/1", testKey, "Transfer-Encoding: chunked", http.StatusRequestEntityTooLarge},
		{"unknown key", "/read/1", "unknown", fmt.Sprint("Content-Length: ", parts<<16), http.StatusUnauthorized},
		{"unknown route", "/none/1", testKey, "Transfer-Encoding: chunked", http.StatusNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, splitPools)
			c, err := net.Dial("tcp", h.proxy.Listener.Addr().String())
			is.NoErr(err)
			t.Cleanup(func() { _ = c.Close() })
			part, end := strings.Repeat("b", 64<<10), ""
			if strings.HasPrefix(tt.length, "Transfer") {
				part, end = "10000\r\n"+part+"\r\n", "0\r\n\r\n"
			}
			_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: host.example\r\nAuthorization: Token %s\r\n%s\r\n\r\n", tt.path, tt.key, tt.length)
			is.NoErr(err)
			for range parts {
				_, err = c.Write([]byte(part))
				is.NoErr(err) // the connection is open until all is sent
				time.Sleep(10 * time.Millisecond)
			}
			_, err = c.Write([]byte(end))
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.True(resp.Close)
			_ = resp.Body.Close()
		})
	}
}
