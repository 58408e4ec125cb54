package proxy_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
)

// TestBrokenStreamWaitsForPlace guards against a stream that is cut because the time to wait for its first event is over when its server breaks.
func TestBrokenStreamWaitsForPlace(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"other": fake.Decode})
	h.occupy(t, 1700*time.Millisecond)
	h.servers["other"].SetPace(4, time.Millisecond)
	h.addServer(t, "broken", fake.Decode)
	h.servers["broken"].SetPace(4, 500*time.Millisecond)
	h.servers["broken"].SetFault(fake.TruncatedEvent)
	got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "5000"))
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 4))
}

// largePrompt takes the whole memory of a server for a request.
func largePrompt(r *http.Request) { r.Header.Set("Wasabidock-Token-Count", "9400,50") }

// occupy lets a request take the whole memory of the only model server for d.
func (h *harness) occupy(t *testing.T, d time.Duration) {
	t.Helper()
	for _, s := range h.servers {
		s.SetPace(4, d/4)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.send(t, http.MethodPost, "/slow/0", "large", withTokenCounts, largePrompt, withHeader("Wasabidock-Attempt-Id", "large"), withHeader("Wasabidock-Deadline-Ms", "5000"))
	}()
	t.Cleanup(func() { <-done })
	eventually(t, "the large request runs", func() bool { return h.runCount() == 1 })
}

// TestSilentServerIsNotLeftForNothing guards against a stream that is cut because its sound server was silent for a second and no other one had room.
func TestSilentServerIsNotLeftForNothing(t *testing.T) {
	silence := fake.Silence{Call: fake.RunCall, Event: 2, For: 1500 * time.Millisecond, Times: 1}
	tests := []struct {
		name  string
		other func(t *testing.T, h *harness) // makes the other server useless
	}{
		{"the other server is full", func(t *testing.T, h *harness) { h.occupy(t, 4*time.Second) }},
		{"the other server has no memory to reserve", func(_ *testing.T, h *harness) { h.servers["other"].SetFault(fake.NoMemory) }},
		{"the other server rejects requests", func(_ *testing.T, h *harness) { h.servers["other"].SetFault(fake.Shed) }},
		{"the other server is gone", func(_ *testing.T, h *harness) { h.servers["other"].Close() }},
		{"no repeat is left", func(_ *testing.T, h *harness) {
			h.budget.left = 0
			h.servers["other"].SetSilence(silence)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"other": fake.Decode})
			tt.other(t, h)
			h.addServer(t, "sound", fake.Decode)
			h.servers["sound"].SetSilence(silence)
			got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "4000"))
			is.NoErr(got.err)
			is.Equal(got.body, eventText(1, 4))
			is.Equal(h.servers["sound"].Silences()+h.servers["other"].Silences(), 1)
		})
	}
}

// TestSilentPrefillServerIsNotLeftForNothing guards against a request that is rejected because its sound prefill server was silent and no repeat was left.
func TestSilentPrefillServerIsNotLeftForNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"p": fake.Prefill, "d": fake.Decode})
	h.servers["p"].SetSilence(fake.Silence{Call: fake.PrefillCall, For: 600 * time.Millisecond, Times: 1})
	h.budget.left = 0
	got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts)
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 4))
}

// TestSilentReservationSetsNoServerAside guards against a request that is rejected, and a sound server that is ejected, because a reservation took long.
func TestSilentReservationSetsNoServerAside(t *testing.T) {
	tests := []struct {
		name  string
		roles map[string]fake.Role
	}{
		{"the only server", map[string]fake.Role{"d1": fake.Decode}},
		{"all servers", map[string]fake.Role{"d1": fake.Decode, "d2": fake.Decode}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.roles)
			for _, s := range h.servers {
				s.SetSilence(fake.Silence{Call: fake.ReservationCall, For: 700 * time.Millisecond, Times: 1})
			}
			got := h.send(t, http.MethodPost, "/once/1", "prompt", withTokenCounts)
			is.NoErr(got.err)
			is.Equal(got.body, eventText(1, 4))
			for _, s := range h.live.Fleet().All() {
				is.True(h.health.Usable(s.Key(), h.clock.Now()))
			}
		})
	}
}

// TestServerSilentForGoodIsLeftInTime guards against a stream that waits for a server that sends nothing any more while its caller loses patience.
func TestServerSilentForGoodIsLeftInTime(t *testing.T) {
	tests := []struct {
		name  string
		fault fake.Fault
	}{
		{"before the head", fake.Hang},
		{"between events", fake.Stall},
		{"comments only", fake.Trickle},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"s1": fake.Decode, "s2": fake.Decode})
			for _, s := range h.servers {
				s.SetFault(tt.fault)
			}
			go func() {
				eventually(t, "one server runs the request", func() bool { return h.runCount() == 1 })
				for _, s := range h.servers {
					if len(s.Runs()) == 0 {
						s.SetFault(fake.NoFault)
					}
				}
			}()
			start := time.Now()
			got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts)
			is.NoErr(got.err)
			is.True(time.Since(start) < 1800*time.Millisecond) // callers wait for 2 s
			is.True(strings.HasSuffix(got.body, eventText(4, 4)))
			is.Equal(h.runCount(), 2)
			runs := append(h.servers["s1"].Runs(), h.servers["s2"].Runs()...)
			slices.SortFunc(runs, func(a, b fake.Run) int { return a.Start.Compare(b.Start) })
			is.True(runs[0].End.Before(runs[1].Start.Add(400 * time.Millisecond))) // the first run has ended
			is.Equal(h.counter(`silent_runs_total{end="resumed"}`), int64(1))
			is.Equal(h.counter(`beside_runs_total{end="delivered"}`), int64(1))
		})
	}
}

// TestServerIsNotLeftWhileItsCallerIsPatient guards against a second prefill for a stream whose server goes on well before its caller loses patience.
func TestServerIsNotLeftWhileItsCallerIsPatient(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Decode, "s2": fake.Decode})
	for _, s := range h.servers {
		s.SetSilence(fake.Silence{Call: fake.RunCall, Event: 2, For: 1800 * time.Millisecond, Times: 1})
	}
	got := h.send(t, http.MethodPost, "/slow/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "5000"))
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 4))
	is.Equal(h.runCount(), 1)
}

// TestBrokenStreamWaitsForServer guards against a stream that is cut because the only server left wants no request in the moment in which its own breaks off.
func TestBrokenStreamWaitsForServer(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"broken": fake.Decode})
	h.servers["broken"].SetPace(4, 50*time.Millisecond)
	h.servers["broken"].SetFault(fake.TruncatedEvent)
	done := make(chan struct{})
	go func() {
		defer close(done)
		eventually(t, "the stream has begun", func() bool { return h.runCount() == 1 })
		h.addServer(t, "other", fake.Decode)
		h.servers["other"].SetRetryAfter("0.4")
		time.AfterFunc(350*time.Millisecond, func() { h.servers["other"].SetRetryAfter("") })
	}()
	got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts)
	<-done
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 4))
}
