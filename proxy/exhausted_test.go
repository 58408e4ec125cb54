package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
)

// TestStreamWithAllTokensEndsWithoutServer guards against a stream that is cut although its caller has all tokens that it asked for, because the server never sends the end.
func TestStreamWithAllTokensEndsWithoutServer(t *testing.T) {
	tests := []struct {
		name      string
		path      string
		maxTokens string
		servers   []string
		broken    bool
	}{
		{"no other server", "/again/1", "100,4", []string{"s1"}, false},
		{"another server", "/again/1", "100,4", []string{"s1", "s2"}, false},
		{"may not be resumed", "/once/1", "100,4", []string{"s1"}, false},
		{"more tokens are possible", "/again/1", "100,5", []string{"s1"}, true},
		{"more tokens are possible, another server", "/again/1", "100,5", []string{"s1", "s2"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, nil)
			for _, name := range tt.servers {
				h.addServer(t, name, fake.Decode)
				h.servers[name].SetSilence(fake.Silence{Call: fake.RunCall, Event: 4, For: time.Minute})
			}
			got := h.send(t, http.MethodPost, tt.path, "prompt", withTokenCounts, withHeader("Wasabidock-Token-Count", tt.maxTokens))
			is.Equal(got.body, eventText(1, 4))
			is.Equal(got.err != nil, tt.broken)
			is.Equal(h.runCount() == 1, !tt.broken || len(tt.servers) == 1)
		})
	}
}
