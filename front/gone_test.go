package front_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/front"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/plain"
)

// TestHalfClosedCallerGetsNoFalseSuccess guards against a success that no server gave, or a part that looks whole, for a caller
// that has closed its sending side after its request.
func TestHalfClosedCallerGetsNoFalseSuccess(t *testing.T) {
	failed := func(err error) error { return fail.New("test", "s1", ident.Unknown, err) }
	tests := []struct {
		name, request string
	}{
		{"plain", request("GET", "/status/1", "", auth)},
		{"chat", chat("", auth)},
		{"stream", chat(`,"stream":true`, auth)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestServer(t)
			w.call = func(ctx context.Context, _ plain.Call) (plain.Answer, error) {
				<-ctx.Done()
				return plain.Answer{}, failed(ctx.Err())
			}
			w.generate = func(ctx context.Context, _ front.Generation, s front.Sink) (front.Result, error) {
				_ = s.Token(0, "one")
				<-ctx.Done()
				return front.Result{}, failed(ctx.Err())
			}
			c := w.dial()
			is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
			_, err := io.WriteString(c, tt.request)
			is.NoErr(err)
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			b, err := io.ReadAll(c)
			t.Logf("%q, %v", b, err)
			got := string(b)
			is.True(!strings.HasPrefix(got, "HTTP/1.1 4")) // the request was accepted
			is.True(!strings.HasPrefix(got, "HTTP/1.1 200 ") || strings.Contains(got, `"error"`) || !strings.HasSuffix(got, "0\r\n\r\n"))
			is.True(!strings.Contains(got, "[DONE]"))
		})
	}
}
