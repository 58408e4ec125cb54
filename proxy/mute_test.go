package proxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
)

// slowResponse is the time that sound servers of TestMuteServerCostsFewReads take, which is more than half of the timeout of the route.
const slowResponse = 1200 * time.Millisecond

// TestMuteServerCostsFewReads guards against reads that end at their deadline because a server that has not answered since its last answer keeps its callers as long as a sound one.
func TestMuteServerCostsFewReads(t *testing.T) {
	tests := []struct {
		name     string
		answered bool // the server has answered requests before it became mute
		lost     int  // reads without an answer
	}{
		{"mute from the start", false, 0},
		{"mute after it has answered", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"mute": fake.Plain, "slow": fake.Plain})
			h.budget.left = 100
			h.setSlow("slow")
			if tt.answered {
				h.setSlow("mute")
				h.readUntilAllAnswer(t)
			}
			h.servers["mute"].SetFault(fake.Hang)
			lost := 0
			for n := range 12 {
				got := h.send(t, http.MethodGet, "/read/1", "", withHeader("Wasabidock-Attempt-Id", fmt.Sprint("c", n)))
				is.NoErr(got.err)
				if got.status != http.StatusOK {
					lost++
				}
			}
			if lost > tt.lost {
				t.Errorf("%d of 12 reads have no answer, want at most %d; log: %s", lost, tt.lost, h.log.text())
			}
		})
	}
}

// TestSlowServersAreNotHedged guards against second attempts for all requests to slow servers, also for those that no server can answer in time.
func TestSlowServersAreNotHedged(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain})
	h.setSlow("s1")
	h.setSlow("s2")
	h.readUntilAllAnswer(t)
	spent := h.budget.spent
	for n := range 6 {
		is.Equal(h.send(t, http.MethodGet, "/read/1", "", withHeader("Wasabidock-Attempt-Id", fmt.Sprint("c", n))).status, http.StatusOK)
	}
	for n := range 6 {
		got := h.send(t, http.MethodGet, "/read/1", "", withHeader("Wasabidock-Attempt-Id", fmt.Sprint("d", n)), withHeader("Wasabidock-Deadline-Ms", "900"))
		is.Equal(got.status, http.StatusGatewayTimeout)
	}
	is.Equal(h.budget.spent, spent)
}

// setSlow makes a server take slowResponse.
func (h *harness) setSlow(id string) {
	h.servers[id].SetSlowDelay(slowResponse)
	h.servers[id].SetFault(fake.Slow)
}

// readUntilAllAnswer sends reads until each server has answered one.
func (h *harness) readUntilAllAnswer(t *testing.T) {
	t.Helper()
	answered := make(map[string]bool)
	for n := 0; len(answered) < len(h.servers) && n < 40; n++ {
		id := fmt.Sprint("b", n)
		got := h.send(t, http.MethodGet, "/read/1", "", withHeader("Wasabidock-Attempt-Id", id))
		for s := range h.servers {
			if got.body == fake.Answer(s, id) {
				answered[s] = true
			}
		}
	}
	if len(answered) < len(h.servers) {
		t.Fatalf("not all servers have answered: %v", answered)
	}
}
