package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// TestRequestsDuringStartup sends requests before the process has received a configuration and a
// server list. Just after the start they must wait for both for a short time, and not be rejected
// at once.
func TestRequestsDuringStartup(t *testing.T) {
	tests := []struct {
		name        string
		configAfter time.Duration // delay of the configuration after the request, 0 if it never arrives
		longRunning bool          // the process started long ago
		status      int
		minWait     time.Duration // shortest time until the response
		maxWait     time.Duration
	}{
		{name: "configuration arrives soon", configAfter: 100 * time.Millisecond, status: 200, minWait: 100 * time.Millisecond, maxWait: 280 * time.Millisecond},
		{name: "configuration arrives too late", status: 503, minWait: 290 * time.Millisecond, maxWait: 900 * time.Millisecond},
		{name: "no configuration long after the start", longRunning: true, status: 503, maxWait: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
			servers := h.live.Fleet().All()
			h.restart()
			if tt.longRunning {
				time.Sleep(1100 * time.Millisecond)
			}
			if tt.configAfter > 0 {
				time.AfterFunc(tt.configAfter, func() {
					h.live.SetTable(route.NewTable(testSpec()))
					h.live.SetFleet(route.NewFleet(2, servers))
				})
			}
			start := time.Now()
			got := h.send(t, http.MethodPost, "/file/1", "b")
			took := time.Since(start)
			is.NoErr(got.err)
			is.Equal(got.status, tt.status)
			is.True(took >= tt.minWait && took <= tt.maxWait)
		})
	}
}
