package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/tick"
)

// withParts makes a request a model request whose prompt has the given parts and one of its own.
func withParts(parts string) func(*http.Request) {
	return func(r *http.Request) {
		withTokenCounts(r)
		r.Header.Set("Wasabidock-Prompt-Prefix", parts+":60,own"+r.Header.Get("Wasabidock-Attempt-Id")+":40")
	}
}

// TestCrashLooksLikeEnd guards against an answer that its server's crash cut off and that reaches the caller as a whole one.
func TestCrashLooksLikeEnd(t *testing.T) {
	const down = 300 * time.Millisecond
	points := []fake.CrashPoint{
		fake.BeforeHead, fake.InsideHead, fake.AfterHead, fake.InsideEvent, fake.AfterOpenHead, fake.InsideOpenBody,
	}
	tests := []struct {
		path   string
		roles  map[string]fake.Role
		second bool // another server may run it
	}{
		{"/file/1", map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain}, false},
		{"/read/1", map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain}, true},
		{"/once/1", splitPools, false},
		{"/again/1", splitPools, true},
	}
	for _, tt := range tests {
		for _, at := range points {
			t.Run(tt.path+" "+string(at), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, tt.roles)
				model := len(tt.roles) == len(splitPools)
				var left *atomic.Int64
				if tt.second {
					left = new(atomic.Int64)
					left.Store(1)
				}
				for _, s := range h.servers {
					s.AddFatalPart(fake.FatalPart{ID: "bad", At: at, Down: down, Left: left})
				}
				change := []func(*http.Request){withHeader("Wasabidock-Prompt-Prefix", "bad:1,own:1")}
				if model {
					change = []func(*http.Request){withParts("bad")}
				}
				if tt.second { // the part has been answered on before
					h.crashes.Tracker().Begun(crash.NewParts("model", "m", []string{"bad"}), h.crashes.Now())
					h.crashes.Tracker().Begun(crash.NewParts("app", "", []string{"bad"}), h.crashes.Now())
				}
				got := h.send(t, http.MethodPost, tt.path, "b", change...)
				switch {
				case tt.second:
					is.Equal(got.status, 200)
					is.NoErr(got.err)
					if model {
						is.Equal(got.body, eventText(1, 4))
					} else {
						is.True(got.body == fake.Answer("s1", "a1") || got.body == fake.Answer("s2", "a1"))
					}
				case model && at == fake.InsideOpenBody:
					is.True(got.err != nil) // visibly cut
				default:
					is.Equal(got.status, 502)
				}
			})
		}
	}
}

// TestOpenEndedResponseOfServerThatIsThere checks that a response with neither a length nor chunks is whole if its server still listens.
func TestOpenEndedResponseOfServerThatIsThere(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, splitPools)
	script := fake.NewScript(fake.Reply{Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: eventText(1, 4), Framing: fake.ByClose})
	for _, s := range h.servers {
		s.SetScript(script)
	}
	got := h.send(t, http.MethodPost, "/once/1", "b", withParts("a"))
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.body, eventText(1, 4))
	empty := fake.NewScript(fake.Reply{Header: http.Header{"Content-Type": {"text/event-stream"}}, Framing: fake.ByClose})
	for _, s := range h.servers {
		s.SetScript(empty)
	}
	is.Equal(h.send(t, http.MethodPost, "/once/1", "b", withParts("a")).status, 502) // 50 tokens were asked for
}

// TestFatalPartIsRejected checks what callers get whose prompts have a part that ends servers, and what those beside them get.
func TestFatalPartIsRejected(t *testing.T) {
	tests := []struct {
		name       string
		role       fake.Role
		once, many string // paths of requests that run once, and that may be repeated
		way        way
		part       string // name of the fatal part in logs
	}{
		{"placed streams", fake.Decode, "/once/1", "/again/1", way{true, true}, "model/bad"},
		{"streams of a service without engines", fake.Decode, "/once/1", "/again/1", way{false, true}, "model/bad"},
		{"streams that name no tokens", fake.Decode, "/once/1", "/again/1", way{true, false}, "model/bad"},
		{"plain requests", fake.Plain, "/file/1", "/read/1", way{true, false}, "app/bad"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, map[string]fake.Role{"p1": fake.Prefill})
			for n := range 6 {
				h.addServer(t, fmt.Sprint("d", n), tt.role)
			}
			tt.way.set(h, testSpec())
			serial := 0
			send := func(path, parts string) result {
				serial++
				return h.send(t, http.MethodPost, path, "b", withHeader("Wasabidock-Attempt-Id", fmt.Sprint("a", serial)), withParts(parts), func(r *http.Request) {
					if !tt.way.counted {
						r.Header.Del("Wasabidock-Token-Count")
					}
				})
			}
			checkFatalPart(t, h, send, tt.once, tt.many, tt.part)
		})
	}
}

// checkFatalPart lets a part end the servers that begin to answer on it. Requests on the path once run once, those on many may be repeated.
func checkFatalPart(t *testing.T, h *harness, send func(path, parts string) result, once, many, part string) {
	is := is.New(t)
	h.budget.left = 1000
	for _, s := range h.servers {
		s.AddFatalPart(fake.FatalPart{ID: "bad", At: fake.AfterHead, Down: 30 * time.Second})
	}
	is.Equal(send(once, "first:1,sound").status, 200)
	ended := func() int {
		n := 0
		for _, s := range h.servers {
			n += len(s.Crashes())
		}
		return n
	}
	for n := range 3 {
		is.Equal(send(many, "first:1,bad").status, 502) // not sent to a second server
		is.Equal(ended(), n+1)
		is.Equal(send(once, "first:1,sound").status, 200)
		time.Sleep(600 * time.Millisecond) // another episode
	}
	for range 20 {
		got := send(many, "first:1,bad")
		is.Equal(got.status, 503)
		is.True(got.header.Get("Retry-After") > "1") // seconds until the trial
		is.True(send(once, "first:1,other").status == 200)
	}
	is.Equal(ended(), 3)
	is.True(h.log.contains(`"refused_part":"` + part + `","verdict":"blocked","part_crashes":3`))
	is.True(!h.log.contains("a1bad"))
}

// TestDrainOrResetIsNoCrash guards against connections that end for another reason and count as crashes.
func TestDrainOrResetIsNoCrash(t *testing.T) {
	for _, fault := range []fake.Fault{fake.Reset, fake.TruncatedEvent, fake.Shed, fake.InternalError, fake.Unsealed, fake.Stall, fake.NoLength} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, splitPools)
			h.budget.left = 1000
			for _, s := range h.servers {
				s.SetFault(fault)
				s.SetPace(1, time.Millisecond) // the end comes before a second event
			}
			for n := range 4 {
				h.send(t, http.MethodPost, "/once/1", "b", withHeader("Wasabidock-Attempt-Id", fmt.Sprint("a", n)), withHeader("Wasabidock-Deadline-Ms", "300"), withParts("x"))
			}
			v, _, _ := h.crashes.Tracker().Verdict(crash.NewParts("model", "m", []string{"x"}), h.crashes.Now())
			is.Equal(v, crash.Clear)
		})
	}
}

// silentPeers implements crash.Claimer for an instance that decides by itself and hears of its peers when synced is
// closed.
type silentPeers struct {
	t      *crash.Tracker
	synced chan struct{}
}

func (p silentPeers) ClaimStart(_ context.Context, c crash.Claim, now tick.Instant) (crash.Answer, error) {
	return p.t.Decide(c, true, now), nil
}

func (p silentPeers) Pauses() (n uint64, synced <-chan struct{}) { return 0, p.synced }

// TestJustStartedInstanceWaitsForEvidence guards against an instance that sends on, in its first moments, what others know to end servers.
func TestJustStartedInstanceWaitsForEvidence(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, splitPools)
	peers := silentPeers{h.crashes.Tracker(), make(chan struct{})}
	h.crashes.SetClaimer(peers)
	live := h.live
	h.restart()
	h.live.SetTable(live.Table())
	h.live.SetFleet(live.Fleet())
	part := crash.NewParts("model", "m", []string{"bad"})
	time.AfterFunc(100*time.Millisecond, func() {
		now := h.crashes.Now()
		peer := crash.History{Part: part[0]}
		for n := range 3 {
			peer.Crashes = append(peer.Crashes, crash.Crash{Server: uint64(n), At: now - time.Duration(3-n)*time.Second})
		}
		h.crashes.Tracker().Merge([]crash.History{peer}, now)
		close(peers.synced)
	})
	is.Equal(h.send(t, http.MethodPost, "/once/1", "b", withParts("bad")).status, 503)
	for _, s := range h.servers {
		is.Equal(len(s.Calls()), 0)
	}
	is.Equal(h.send(t, http.MethodPost, "/once/1", "b", withParts("sound")).status, 200)
}

// TestSameIDIsAnotherRequest guards against callers that get past the turns of suspect requests by using one ID for all.
func TestSameIDIsAnotherRequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, splitPools)
	now := h.crashes.Now()
	h.crashes.Tracker().Broke(1, crash.NewParts("model", "m", []string{"new"}), []string{"new"}, now)
	h.crashes.Tracker().Confirm(1, now)
	for _, name := range []string{"d1", "d2"} {
		h.servers[name].SetFault(fake.Slow) // the first request's response does not begin for a while
	}
	statuses := make(chan int, 2)
	for range 2 {
		go func() { statuses <- h.send(t, http.MethodPost, "/once/1", "b", withParts("new")).status }()
	}
	time.Sleep(fake.SlowDelay / 2)
	prefills := len(h.servers["p1"].Arrivals()) + len(h.servers["p2"].Arrivals())
	is.Equal(prefills, 1)
	is.Equal(<-statuses, 200)
	is.Equal(<-statuses, 200)
}
