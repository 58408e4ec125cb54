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

// TestDrainingTakesWhatEndsInTime guards against requests that a process takes by what earlier ones took, and cuts. Each is sent once
// the time until the end is set, on a connection that the caller has kept.
func TestDrainingTakesWhatEndsInTime(t *testing.T) {
	const (
		short = 10 * time.Millisecond
		long  = 900 * time.Millisecond
		some  = 700 * time.Millisecond  // less than any deadline
		most  = 4800 * time.Millisecond // less than the deadline of a stream
		all   = 10 * time.Second        // more than any deadline
	)
	tests := []struct {
		name      string
		path      string
		uncounted bool          // the request does not name its tokens
		earlier   time.Duration // what earlier requests took, 0 for none
		noticed   bool
		left      time.Duration
		status    int
	}{
		{name: "stream, after short ones", path: "/slow/1", earlier: short, noticed: true, left: most, status: 503},
		{name: "stream, after long ones", path: "/slow/1", earlier: long, noticed: true, left: most, status: 503},
		{name: "stream, after none", path: "/slow/1", noticed: true, left: most, status: 503},
		{name: "stream, certain", path: "/slow/1", earlier: long, noticed: true, left: all, status: 200},
		{name: "stream, before the notice, after short ones", path: "/slow/1", earlier: short, left: some, status: 200},
		{name: "stream, before the notice, after long ones", path: "/slow/1", earlier: long, left: some, status: 503},
		{name: "stream, before the notice, after none", path: "/slow/1", left: some, status: 200},
		{name: "uncounted stream, after short ones", path: "/slow/1", uncounted: true, earlier: short, noticed: true, left: most, status: 503},
		{name: "uncounted stream, after none", path: "/slow/1", uncounted: true, noticed: true, left: most, status: 503},
		{name: "uncounted stream, certain", path: "/slow/1", uncounted: true, noticed: true, left: all, status: 200},
		{name: "mutating, after short ones", path: "/file/1", earlier: short, noticed: true, left: some, status: 503},
		{name: "mutating, after none", path: "/file/1", noticed: true, left: some, status: 503},
		{name: "mutating, certain", path: "/file/1", earlier: long, noticed: true, left: all, status: 200},
		{name: "mutating, before the notice, after short ones", path: "/file/1", earlier: short, left: some, status: 200},
		{name: "mutating, before the notice, after long ones", path: "/file/1", earlier: long, left: some, status: 503},
		{name: "idempotent, after short ones", path: "/read/1", earlier: short, noticed: true, left: some, status: 200},
		{name: "idempotent, after long ones", path: "/read/1", earlier: long, noticed: true, left: some, status: 503},
		{name: "idempotent, after none", path: "/read/1", noticed: true, left: some, status: 200},
		{name: "idempotent, certain", path: "/read/1", earlier: long, noticed: true, left: all, status: 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"d1": fake.Decode, "s1": fake.Plain})
			changes := []func(*http.Request){withHeader("Wasabidock-Deadline-Ms", "5000")}
			if tt.path == "/slow/1" && !tt.uncounted {
				changes = append(changes, withTokenCounts)
			}
			if tt.earlier > 0 {
				h.servers["d1"].SetPace(6, tt.earlier/6)
				h.servers["s1"].SetFault(fake.Slow)
				h.servers["s1"].SetSlowDelay(tt.earlier)
				for range 2 {
					is.Equal(h.send(t, http.MethodPost, tt.path, "body", changes...).status, 200)
				}
			}
			h.servers["d1"].SetPace(6, time.Millisecond)
			h.servers["s1"].SetFault(fake.NoFault)
			runs := h.runCount()
			noticed := h.clock.Now()
			if !tt.noticed {
				noticed += time.Hour
			}
			h.drain.Drain(noticed, h.clock.Now()+tt.left)
			is.Equal(h.send(t, http.MethodPost, tt.path, "body", changes...).status, tt.status)
			ran := 0
			if tt.status == 200 {
				ran = 1
			}
			is.Equal(h.runCount()-runs, ran)
		})
	}
}

// TestDrainingRejectsStreamThatWaitedTooLong guards against a stream that is accepted before the load balancer has noticed the end,
// waits for a server and is then written though such streams usually take longer than the time left.
func TestDrainingRejectsStreamThatWaitedTooLong(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"d1": fake.Decode})
	h.servers["d1"].SetPace(6, 200*time.Millisecond)
	for range 2 {
		is.Equal(h.send(t, http.MethodPost, "/once/1", "body", withTokenCounts).status, 200)
	}
	h.servers["d1"].SetFault(fake.NoMemory)
	now := h.clock.Now()
	h.drain.Drain(now+500*time.Millisecond, now+1900*time.Millisecond)
	time.AfterFunc(time.Second, func() { h.servers["d1"].SetFault(fake.NoFault) })
	is.Equal(h.send(t, http.MethodPost, "/once/1", "body", withTokenCounts).status, 503)
	is.Equal(len(h.servers["d1"].Runs()), 2)
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
	h.gate.SetClaimer(leavingHome{func() { h.drain.Drain(h.clock.Now(), h.clock.Now()+300*time.Millisecond) }})
	is.Equal(h.send(t, http.MethodPost, "/file/1", "b").status, 503)
	is.Equal(h.runCount(), 0)
	is.Equal(h.limiter.charged, 0)
	is.Equal(h.counter(`writes_withheld_total{reason="ends"}`), int64(1))
}

// TestDrainIsAskedAtTheWrite guards against a request that comes before the load balancer has noticed the end and is written to a server
// after that, because its body came late.
func TestDrainIsAskedAtTheWrite(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
	now := h.clock.Now()
	h.drain.Drain(now+200*time.Millisecond, now+1700*time.Millisecond)
	body, w := io.Pipe()
	time.AfterFunc(400*time.Millisecond, func() { _, _ = io.WriteString(w, "body"); _ = w.Close() })
	got := h.send(t, http.MethodPost, "/file/1", "", func(r *http.Request) { r.Body, r.ContentLength = body, -1 })
	is.Equal(got.status, 503)
	is.Equal(h.runCount(), 0)
	is.Equal(h.limiter.charged, 0)
	is.Equal(h.counter(`writes_withheld_total{reason="ends"}`), int64(0)) // it is rejected before a server is chosen
}
