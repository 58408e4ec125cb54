package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/mimic"
	"wasabidock.dev/dock/route"
)

// TestProcessThatHasJustStarted has requests come before the process knows a
// configuration and servers.
func TestProcessThatHasJustStarted(t *testing.T) {
	tests := []struct {
		name   string
		known  time.Duration // after the first request, 0 for never
		old    bool          // the process looks for them since long
		status int
		least  time.Duration // until the answer
		most   time.Duration
	}{
		{name: "known soon", known: 100 * time.Millisecond, status: 200, least: 100 * time.Millisecond, most: 280 * time.Millisecond},
		{name: "known late", status: 503, least: 290 * time.Millisecond, most: 900 * time.Millisecond},
		{name: "not known for long", old: true, status: 503, most: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, map[string]mimic.Role{"s1": mimic.Plain})
			servers := w.live.Fleet().All()
			w.forgetAll()
			if tt.old {
				time.Sleep(1100 * time.Millisecond)
			}
			if tt.known > 0 {
				time.AfterFunc(tt.known, func() {
					w.live.SetTable(testTable())
					w.live.SetFleet(route.NewFleet(2, servers))
				})
			}
			start := time.Now()
			got := w.ask(t, http.MethodPost, "/file/1", "b")
			took := time.Since(start)
			is.NoErr(got.err)
			is.Equal(got.status, tt.status)
			is.True(took >= tt.least && took <= tt.most)
		})
	}
}
