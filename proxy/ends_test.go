package proxy_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
)

// TestLogTellsWhoEndedStream guards against log lines that blame a caller or a server for a stream that the process has ended, and the other way round.
func TestLogTellsWhoEndedStream(t *testing.T) {
	tests := []struct {
		name     string
		fault    fake.Fault
		end      func(h *harness, leave func())
		by       string
		decision string
	}{
		{"the caller", fake.Stall, func(_ *harness, leave func()) { leave() }, "caller", "stream cut: its caller left"},
		{"the process", fake.Stall, func(h *harness, _ func()) {
			h.drain.Cut()
			h.proxy.CloseClientConnections()
		}, "process", "stream cut: this instance ends"},
		{"the server", fake.TruncatedEvent, func(*harness, func()) {}, "server", "stream cut: the server gave no whole answer, and the route allows no other one"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"s1": fake.Decode})
			h.servers["s1"].SetFault(tt.fault)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			done := make(chan struct{})
			go func() {
				defer close(done)
				h.send(t, http.MethodPost, "/once/1", "prompt", withTokenCounts, func(r *http.Request) { *r = *r.WithContext(ctx) })
			}()
			eventually(t, "the server runs the request", func() bool { return h.runCount() == 1 })
			time.Sleep(50 * time.Millisecond) // for the first events
			tt.end(h, leave)
			<-done
			eventually(t, "the decision is logged", func() bool { return h.log.decisions() == 1 })
			is.True(strings.Contains(h.log.text(), `"by":"`+tt.by+`"`))
			is.True(strings.Contains(h.log.text(), tt.decision+`"`))
		})
	}
}
