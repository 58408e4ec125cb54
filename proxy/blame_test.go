package proxy_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// homeFunc implements permit.Claimer.
type homeFunc func() (permit.Answer, error)

func (f homeFunc) Claim(context.Context, permit.Claim, tick.Instant) (permit.Answer, error) {
	return f()
}

// TestOwnDecisionsBlameNoServer guards against servers that are ejected, and reported to peers, for calls that this process did not make or
// did not end because of them.
func TestOwnDecisionsBlameNoServer(t *testing.T) {
	granted := permit.Answer{Granted: true, Issuer: "h"}
	tests := []struct {
		name  string
		claim func(h *harness) homeFunc // what happens when the request claims its permit
		late  bool                      // the caller waits for 50 ms

	}{
		{name: "no permit", claim: func(*harness) homeFunc {
			return func() (permit.Answer, error) { return permit.Answer{}, nil }
		}},
		{name: "no home", claim: func(*harness) homeFunc {
			return func() (permit.Answer, error) { return permit.Answer{}, permit.ErrNoHome }
		}},
		{name: "the key is withdrawn", claim: func(h *harness) homeFunc {
			return func() (permit.Answer, error) {
				spec := testSpec()
				spec.Version, spec.Revision, spec.Customers = 2, 2, nil
				h.live.SetTable(route.NewTable(spec))
				return granted, nil
			}
		}},
		{name: "the process is paused", claim: func(h *harness) homeFunc {
			peers := newPausedPeers(h.crashes.Tracker())
			h.crashes.SetClaimer(peers)
			return func() (permit.Answer, error) {
				peers.pauses.Add(1)
				return granted, nil
			}
		}},
		{name: "the deadline passes", late: true, claim: func(*harness) homeFunc {
			return func() (permit.Answer, error) {
				time.Sleep(100 * time.Millisecond)
				return granted, nil
			}
		}},
		{name: "the process ends", claim: func(h *harness) homeFunc {
			return func() (permit.Answer, error) {
				h.drain.Drain(h.clock.Now(), h.clock.Now())
				return granted, nil
			}
		}},
	}
	for _, tt := range tests {
		for path, role := range map[string]fake.Role{"/file/1": fake.Plain, "/read/1": fake.Plain, "/once/1": fake.Decode, "/again/1": fake.Decode} {
			t.Run(tt.name+", "+path, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, map[string]fake.Role{"s1": role})
				s, _ := h.live.Fleet().Server("s1")
				h.gate.Record(s, 1000, true, 0)
				h.gate.SetClaimer(tt.claim(h))
				change := []func(*http.Request){withHeader("Wasabidock-Prompt-Prefix", "a:60,b:40")}
				if role == fake.Decode {
					change = []func(*http.Request){withTokenCounts}
				}
				if tt.late {
					change = append(change, withHeader("Wasabidock-Deadline-Ms", "50"))
				} else {
					change = append(change, withHeader("Wasabidock-Deadline-Ms", "300"))
				}
				for range 3 { // as many failures eject a server
					got := h.send(t, http.MethodPost, path, "b", change...)
					is.True(got.status >= 400) // it is refused
				}
				is.Equal(h.runCount(), 0)
				is.True(h.health.Usable(s.Key(), h.clock.Now()))
				is.Equal(len(h.health.Reports(h.clock.Now())), 0)
			})
		}
	}
}
