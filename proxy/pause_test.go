package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/tick"
)

// pausedPeers implements crash.Claimer for an instance that was paused and has the evidence of its peers.
type pausedPeers struct {
	t      *crash.Tracker
	pauses atomic.Uint64
	synced chan struct{} // closed
}

func newPausedPeers(t *crash.Tracker) *pausedPeers {
	p := &pausedPeers{t: t, synced: make(chan struct{})}
	close(p.synced)
	return p
}

func (p *pausedPeers) ClaimStart(_ context.Context, c crash.Claim, now tick.Instant) (crash.Answer, error) {
	return p.t.Decide(c, true, now), nil
}

func (p *pausedPeers) Pauses() (n uint64, synced <-chan struct{}) { return p.pauses.Load(), p.synced }

// pausingHome grants all permits and pauses the process at one of the claims, which come right before the writes.
type pausingHome struct {
	peers  *pausedPeers
	claims atomic.Int64
	at     int64
}

func (h *pausingHome) Claim(context.Context, permit.Claim, tick.Instant) (permit.Answer, error) {
	if h.claims.Add(1) == h.at {
		h.peers.pauses.Add(1)
	}
	return permit.Answer{Granted: true, Issuer: "h"}, nil
}

// TestPauseOfProcessIsNotNoticed guards against requests with shared parts that are refused once the process has stood still, because an
// admission was never asked for, or was given before the pause.
func TestPauseOfProcessIsNotNoticed(t *testing.T) {
	parts := func(r *http.Request) {
		r.Header.Set("Wasabidock-Model", "m")
		r.Header.Set("Wasabidock-Prompt-Prefix", "a:60,b:40")
	}
	kinds := []struct {
		name   string
		path   string
		role   fake.Role
		change func(*http.Request)
	}{
		{"mutating", "/file/1", fake.Plain, parts},
		{"idempotent", "/read/1", fake.Plain, parts},
		{"stream", "/once/1", fake.Decode, withTokenCounts},
		{"resumable stream", "/again/1", fake.Decode, withTokenCounts},
		{"stream without a token count", "/again/1", fake.Decode, parts},
	}
	moments := []struct {
		name  string
		write int64      // the write before which the process is paused, 0 for a pause before the request
		fault fake.Fault // of one of two servers
	}{
		{"before the request", 0, fake.NoFault},
		{"before the first write", 1, fake.NoFault},
		{"before the second write", 2, fake.Shed},
	}
	for _, k := range kinds {
		for _, m := range moments {
			t.Run(k.name+", "+m.name, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, map[string]fake.Role{"s1": k.role, "s2": k.role})
				h.servers["s1"].SetFault(m.fault)
				peers := newPausedPeers(h.crashes.Tracker())
				h.crashes.SetClaimer(peers)
				for n := range 6 { // each server is the first one in some of them
					home := &pausingHome{peers: peers, at: m.write}
					if m.write == 0 {
						peers.pauses.Add(1)
					} else {
						for _, s := range h.live.Fleet().All() {
							h.gate.Record(s, 1000, true, 0)
						}
						h.gate.SetClaimer(home)
					}
					got := h.send(t, http.MethodPost, k.path, "b", k.change, withHeader("Wasabidock-Attempt-Id", fmt.Sprint("a", n)))
					is.NoErr(got.err)
					is.Equal(got.status, 200)
					is.Equal(h.runCount(), n+1)
				}
			})
		}
	}
}

// TestHedgeAfterPauseIsRefusedOnce guards against writes beside a running attempt that are tried again and again, though the request is not
// admitted any more.
func TestHedgeAfterPauseIsRefusedOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain})
	peers := newPausedPeers(h.crashes.Tracker())
	h.crashes.SetClaimer(peers)
	for _, s := range h.servers {
		s.SetFault(fake.Slow)
		s.SetSlowDelay(800 * time.Millisecond)
	}
	time.AfterFunc(100*time.Millisecond, func() { peers.pauses.Add(1) }) // the hedge is due after 240 ms
	got := h.send(t, http.MethodGet, "/read/1", "", withHeader("Wasabidock-Prompt-Prefix", "a:60,b:40"))
	is.Equal(got.status, 200)
	is.Equal(h.runCount(), 1)
	is.Equal(strings.Count(h.log.text(), "to another one beside it"), 1)
}
