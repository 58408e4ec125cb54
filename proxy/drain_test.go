package proxy_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
)

// TestDrainingRejectsStreamThatOutlastsProcess guards against a stream that is accepted and cut although earlier streams took longer than the time left.
func TestDrainingRejectsStreamThatOutlastsProcess(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"d1": fake.Decode})
	h.servers["d1"].SetPace(25, 140*time.Millisecond)
	slow := withHeader("Wasabidock-Deadline-Ms", "5000")
	for range 2 {
		is.Equal(h.send(t, http.MethodPost, "/slow/1", "body", withTokenCounts, slow).status, 200) // in 3.5 s
	}
	h.drain.Drain(h.clock.Now(), h.clock.Now()+3*time.Second)
	is.Equal(h.send(t, http.MethodPost, "/slow/1", "body", withTokenCounts, slow).status, 503)
}

// TestDrainingRejectsPlainRequestThatOutlastsProcess guards against a call that is accepted and cut although earlier calls took longer than the time left.
func TestDrainingRejectsPlainRequestThatOutlastsProcess(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
	h.servers["s1"].SetFault(fake.Slow)
	h.servers["s1"].SetSlowDelay(1700 * time.Millisecond)
	for range 2 {
		is.Equal(h.send(t, http.MethodPost, "/file/1", "body").status, 200)
	}
	h.drain.Drain(h.clock.Now(), h.clock.Now()+1650*time.Millisecond)
	is.Equal(h.send(t, http.MethodPost, "/file/1", "body").status, 503)
	is.Equal(len(h.servers["s1"].Runs()), 2)
}

// TestDrainingRejectsStreamThatWaitedTooLong guards against a stream that is accepted early in the grace period, waits for a server
// and is then written too late to end.
func TestDrainingRejectsStreamThatWaitedTooLong(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"d1": fake.Decode})
	h.servers["d1"].SetFault(fake.NoMemory)
	h.drain.Drain(h.clock.Now(), h.clock.Now()+2600*time.Millisecond)
	time.AfterFunc(time.Second, func() { h.servers["d1"].SetFault(fake.NoFault) })
	is.Equal(h.send(t, http.MethodPost, "/once/1", "body", withTokenCounts).status, 503)
	is.Equal(len(h.servers["d1"].Runs()), 0)
}

// TestFinishAnswersWhatHasNotBegun guards against requests that the end of the process cuts off although they could be answered.
func TestFinishAnswersWhatHasNotBegun(t *testing.T) {
	tests := []struct {
		name   string
		roles  map[string]fake.Role
		path   string
		fault  fake.Fault
		slow   bool // the body never ends
		status int  // 0 for a response that is cut
		runs   int
	}{
		{name: "no response", roles: map[string]fake.Role{"s1": fake.Plain}, path: "/file/1", fault: fake.Hang, status: 502, runs: 1},
		{name: "no response, idempotent", roles: map[string]fake.Role{"s1": fake.Plain}, path: "/read/1", fault: fake.Hang, status: 502, runs: 1},
		{name: "body that does not end", roles: map[string]fake.Role{"s1": fake.Plain}, path: "/file/1", slow: true, status: 503},
		{name: "no place", roles: map[string]fake.Role{"d1": fake.Decode}, path: "/once/1", fault: fake.NoMemory, status: 503},
		{name: "prompt", roles: splitPools, path: "/once/1", fault: fake.Hang, status: 503},
		{name: "no event", roles: map[string]fake.Role{"d1": fake.Decode}, path: "/once/1", fault: fake.Hang, status: 502, runs: 1},
		{name: "events", roles: map[string]fake.Role{"d1": fake.Decode}, path: "/once/1", fault: fake.Stall, status: 0, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.roles)
			for _, s := range h.servers {
				s.SetFault(tt.fault)
			}
			var changes []func(*http.Request)
			if tt.path == "/once/1" {
				changes = append(changes, withTokenCounts)
			}
			if tt.slow {
				changes = append(changes, func(r *http.Request) {
					r.Body, r.ContentLength = io.NopCloser(endless{r.Context()}), 100
				})
			}
			h.drain.Drain(h.clock.Now(), h.clock.Now()+10*time.Second)
			time.AfterFunc(200*time.Millisecond, h.drain.Close)
			start := time.Now()
			got := h.send(t, http.MethodPost, tt.path, "body", changes...)
			if tt.status == 0 {
				is.True(got.err != nil || time.Since(start) > time.Second) // Finish leaves it alone
			} else {
				is.Equal(got.status, tt.status)
				is.True(got.closesConn)
				is.True(time.Since(start) < time.Second)
			}
			is.Equal(h.runCount(), tt.runs)
			for _, s := range h.live.Fleet().All() {
				is.True(tt.status == 0 || h.health.Usable(s.Key(), h.clock.Now())) // no server is at fault
			}
		})
	}
}

// endless is a body that does not end before its context.
type endless struct{ ctx context.Context }

func (e endless) Read([]byte) (int, error) {
	<-e.ctx.Done()
	return 0, e.ctx.Err()
}

// TestDrainWhilePermitIsClaimed guards against a request that is written to a server although the process began to drain while it waited.
func TestDrainWhilePermitIsClaimed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
	s, _ := h.live.Fleet().Server("s1")
	h.gate.Record(s, 100, true, 0)
	h.gate.SetClaimer(leavingHome{func() { h.drain.Drain(h.clock.Now(), h.clock.Now()+time.Second) }})
	is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 503)
	is.Equal(h.runCount(), 0)
	is.Equal(h.limiter.charged, 0)
	is.Equal(h.counter(`writes_withheld_total{reason="ends"}`), int64(1))
}

// TestDrainIsAskedAtTheWrite guards against a request that is written to a server right before the process ends, because its body came late.
func TestDrainIsAskedAtTheWrite(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
	h.drain.Drain(h.clock.Now(), h.clock.Now()+1700*time.Millisecond) // 0.2 s more than requests need
	body, w := io.Pipe()
	time.AfterFunc(400*time.Millisecond, func() { _, _ = io.WriteString(w, "body"); _ = w.Close() })
	got := h.send(t, http.MethodPost, "/file/1", "", func(r *http.Request) { r.Body, r.ContentLength = body, -1 })
	is.Equal(got.status, 503)
	is.Equal(h.runCount(), 0)
	is.Equal(h.limiter.charged, 0)
	is.Equal(h.counter(`writes_withheld_total{reason="ends"}`), int64(0)) // it is rejected before a server is chosen
}
