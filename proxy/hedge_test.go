package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// newHedgeHarness starts the plain servers first and other, and sends a request. Requests are sent to first unless it has failed them.
func newHedgeHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, map[string]fake.Role{"first": fake.Plain, "other": fake.Plain})
	var list []*route.Server
	for _, s := range h.live.Fleet().All() {
		if s.ID == "other" {
			s = &route.Server{ID: s.ID, Service: s.Service, Addr: s.Addr, Centre: "b", Region: "far", Stage: s.Stage, Slots: s.Slots}
		}
		list = append(list, s)
	}
	h.live.SetFleet(route.NewFleet(h.live.Fleet().Revision()+1, list))
	h.send(t, http.MethodGet, "/file/0", "", withHeader("Wasabidock-Attempt-Id", "a0")) // opens a connection to first
	return h
}

// silentBriefly is a silence before the head of a response that is shorter than the deadline of the requests.
var silentBriefly = fake.Silence{Call: fake.RunCall, For: 1200 * time.Millisecond, Times: 1}

// TestSilentPlainServerIsNotLeftForNothing guards against the answer of a sound server that is lost because a second attempt was begun.
func TestSilentPlainServerIsNotLeftForNothing(t *testing.T) {
	tests := []struct {
		name  string
		other func(h *harness) // makes the other server useless
	}{
		{"the other server rejects requests", func(h *harness) { h.servers["other"].SetFault(fake.Shed) }},
		{"the other server resets connections", func(h *harness) { h.servers["other"].SetFault(fake.Reset) }},
		{"the other server answers 500", func(h *harness) { h.servers["other"].SetFault(fake.InternalError) }},
		{"the other server truncates responses", func(h *harness) { h.servers["other"].SetFault(fake.TruncatedBody) }},
		{"the other server does not answer", func(h *harness) { h.servers["other"].SetFault(fake.Hang) }},
		{"the other server is silent too", func(h *harness) {
			h.servers["other"].SetSilence(fake.Silence{Call: fake.RunCall, For: 1600 * time.Millisecond})
		}},
		{"the other server refuses connections", func(h *harness) { h.servers["other"].Close() }},
		{"no retry is left", func(h *harness) { h.budget.left = 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHedgeHarness(t)
			h.servers["first"].SetSilence(silentBriefly)
			tt.other(h)
			got := h.send(t, http.MethodGet, "/read/1", "")
			is.NoErr(got.err)
			if got.body != fake.Answer("first", "a1") {
				t.Errorf("status %d, body %q, not the answer of first; log: %s", got.status, got.body, h.log.text())
			}
		})
	}
}

// TestSecondAttemptAnswersForSilentServer checks that the caller of an idempotent request gets the answer of another server at once.
func TestSecondAttemptAnswersForSilentServer(t *testing.T) {
	is := is.New(t)
	h := newHedgeHarness(t)
	h.servers["first"].SetFault(fake.Hang)
	start := time.Now()
	got := h.send(t, http.MethodGet, "/read/1", "")
	is.NoErr(got.err)
	is.Equal(got.body, fake.Answer("other", "a1"))
	is.True(time.Since(start) < time.Second)
	eventually(t, "the first attempt is canceled", func() bool {
		_, canceled, _, _ := h.servers["first"].Counts()
		return canceled == 1
	})
	is.Equal(h.budget.spent, 1)
}

// TestMutatingRequestIsNotHedged guards against a request that runs twice because its server was silent.
func TestMutatingRequestIsNotHedged(t *testing.T) {
	is := is.New(t)
	h := newHedgeHarness(t)
	h.servers["first"].SetSilence(silentBriefly)
	got := h.send(t, http.MethodPost, "/file/1", "body")
	is.NoErr(got.err)
	is.Equal(got.body, fake.Answer("first", "a1"))
	is.Equal(h.runCount(), 2) // with that of newHedgeHarness
}

// TestHedgeLosersAnswerNobody guards against a late answer that is passed on as that of a later request.
func TestHedgeLosersAnswerNobody(t *testing.T) {
	is := is.New(t)
	h := newHedgeHarness(t)
	h.budget.left = 100
	for n := range 8 {
		id := fmt.Sprint("b", n)
		h.servers["first"].SetSilence(fake.Silence{Call: fake.RunCall, For: 300 * time.Millisecond, Times: 1})
		h.servers["other"].SetSilence(fake.Silence{Call: fake.RunCall, For: time.Duration(20+10*n) * time.Millisecond, Times: 1})
		got := h.send(t, http.MethodPost, "/read/1", strings.Repeat("b", 900), withHeader("Wasabidock-Attempt-Id", id))
		is.NoErr(got.err)
		is.True(got.body == fake.Answer("first", id) || got.body == fake.Answer("other", id))
		got = h.send(t, http.MethodPost, "/file/1", "b", withHeader("Wasabidock-Attempt-Id", "c"+id))
		is.NoErr(got.err)
		is.True(strings.Contains(got.body, "c"+id))
	}
}

// TestHedgedOutcomes checks what is said of a hedged request that no server has answered.
func TestHedgedOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		first   fake.Fault
		other   fake.Fault
		status  int
		outcome string
	}{
		{"the other server rejects, the first does not answer", fake.Hang, fake.Shed, 504, `"outcome":"unknown"`},
		{"neither answers", fake.Hang, fake.Hang, 504, `"outcome":"unknown"`},
		{"the other server answers 500, the first does not answer", fake.Hang, fake.InternalError, 500, ""},
		{"both reject", fake.Shed, fake.Shed, 503, `"outcome":"` + ident.NotRun.String() + `"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHedgeHarness(t)
			h.servers["first"].SetFault(tt.first)
			h.servers["other"].SetFault(tt.other)
			got := h.send(t, http.MethodGet, "/read/1", "", withHeader("Wasabidock-Deadline-Ms", "800"))
			is.NoErr(got.err)
			is.Equal(got.status, tt.status)
			is.True(strings.Contains(got.body, tt.outcome))
			charged := 400 // with that of newHedgeHarness
			if tt.status == 503 {
				charged = 200
			}
			eventually(t, "the charge is right", func() bool {
				h.limiter.mu.Lock()
				defer h.limiter.mu.Unlock()
				return h.limiter.charged == charged
			})
		})
	}
}

// TestHedgedRequestsAreCounted checks what is counted and logged of a hedged request.
func TestHedgedRequestsAreCounted(t *testing.T) {
	tests := []struct {
		name  string
		first fake.Fault
		other fake.Fault
		end   string // empty for a request that is not hedged
		write int64
	}{
		{"the first server answers", fake.Slow, fake.Hang, "first", 2},
		{"the other server answers", fake.Hang, fake.NoFault, "later", 2},
		{"neither answers", fake.Hang, fake.Hang, "failed", 2},
		{"the other server answers 500", fake.Hang, fake.InternalError, "failed", 2},
		{"the first server answers in time", fake.NoFault, fake.NoFault, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHedgeHarness(t)
			h.servers["first"].SetFault(tt.first)
			h.servers["first"].SetSlowDelay(600 * time.Millisecond)
			h.servers["other"].SetFault(tt.other)
			h.send(t, http.MethodGet, "/read/1", "", withHeader("Wasabidock-Deadline-Ms", "1000"))
			eventually(t, "both requests are counted", func() bool { return h.counter(`writes_total{service="app"}`) == 1+tt.write })
			for _, end := range []string{"first", "later", "failed"} {
				want := int64(0)
				if end == tt.end {
					want = 1
				}
				if got := h.counter(`hedged_requests_total{end="` + end + `"}`); got != want {
					t.Errorf("%s: %d hedged requests are counted, want %d", end, got, want)
				}
			}
			is.Equal(h.log.contains(`sending the request to another one beside it`), tt.end != "")
		})
	}
}

// TestFasterServerEjectsNoOther guards against a sound server that is ejected because another one was faster once.
func TestFasterServerEjectsNoOther(t *testing.T) {
	is := is.New(t)
	h := newHedgeHarness(t)
	for n := range 4 {
		h.servers["first"].SetSilence(silentBriefly)
		got := h.send(t, http.MethodGet, "/read/1", "", withHeader("Wasabidock-Attempt-Id", fmt.Sprint("a", n)))
		is.Equal(got.body, fake.Answer("other", fmt.Sprint("a", n)))
		is.Equal(h.send(t, http.MethodGet, "/read/1", "", withHeader("Wasabidock-Attempt-Id", fmt.Sprint("b", n))).body, fake.Answer("first", fmt.Sprint("b", n)))
	}
	for _, s := range h.live.Fleet().All() {
		is.True(h.health.Usable(s.Key(), h.clock.Now()))
	}
}
