package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
)

var splitPools = map[string]fake.Role{"p1": fake.Prefill, "p2": fake.Prefill, "d1": fake.Decode, "d2": fake.Decode}

// TestStreamUsesBothPools checks that a model request is prefilled at one server and decoded at
// another one, with a reservation, and that both servers free the KV cache and the reservation.
func TestStreamUsesBothPools(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, splitPools)
	got := h.send(t, http.MethodPost, "/once/1", "prompt", withTokenCounts)
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.body, eventText(1, 4))
	runs := append(h.servers["d1"].Runs(), h.servers["d2"].Runs()...)
	is.Equal(len(runs), 1)
	is.True(runs[0].Header.Get("Wasabidock-Kv-Source") != "") // a separate server prefilled the prompt
	is.True(runs[0].Header.Get("Wasabidock-Kv-Hold") != "")   // memory was reserved
	eventually(t, "all reservations and KV caches are freed", func() bool { return h.heldCount() == 0 })
}

// heldCount returns the number of reservations and KV caches at all servers.
func (h *harness) heldCount() int {
	n := 0
	for _, s := range h.servers {
		_, _, _, kept := s.Counts()
		n += kept
	}
	return n
}

// TestModelFaults checks the response to a model request, and how often it runs, for each fault of
// a prefill or decode server.
func TestModelFaults(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		prefill fake.Fault // fault at both prefill servers
		decode  fake.Fault // fault at d1
		both    bool       // d2 has the decode fault too; otherwise it has none
		status  int
		body    string // "" for any
		broken  bool   // the response ends with an error
		runs    int
	}{
		{name: "KV caches expire", path: "/once/1", prefill: fake.ExpiredKV, status: 200, body: eventText(1, 4), runs: 1},
		{name: "prefill fails", path: "/once/1", prefill: fake.InternalError, status: 200, body: eventText(1, 4), runs: 1},
		{name: "prefill rejects", path: "/once/1", prefill: fake.Shed, status: 200, body: eventText(1, 4), runs: 1},
		{name: "decode has no memory", path: "/once/1", decode: fake.NoMemory, status: 200, body: eventText(1, 4), runs: 1},
		{name: "decode rejects", path: "/once/1", decode: fake.Shed, status: 200, body: eventText(1, 4), runs: 1},
		{name: "all decode servers reject", path: "/once/1", decode: fake.Shed, both: true, status: 503},
		{name: "stream truncated", path: "/once/1", decode: fake.TruncatedEvent, both: true, status: 200, body: eventText(1, 3), broken: true, runs: 1},
		{name: "stream truncated, sent in one piece", path: "/once/1", decode: fake.TruncatedBurst, both: true, status: 200, body: eventText(1, 3), broken: true, runs: 1},
		{name: "resumable stream truncated, sent in one piece", path: "/again/1", decode: fake.TruncatedBurst, both: true, status: 200, body: eventText(1, 3), broken: true, runs: 2},
		{name: "stream reset", path: "/once/1", decode: fake.Reset, both: true, status: 502, runs: 1},
		{name: "stream unsealed", path: "/once/1", decode: fake.Unsealed, both: true, status: 502, runs: 1},
		{name: "resumable stream truncated", path: "/again/1", decode: fake.TruncatedEvent, both: true, status: 200, body: eventText(1, 3), broken: true, runs: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, splitPools)
			h.servers["p1"].SetFault(tt.prefill)
			h.servers["p2"].SetFault(tt.prefill)
			h.servers["d1"].SetFault(tt.decode)
			if tt.both {
				h.servers["d2"].SetFault(tt.decode)
			}
			got := h.send(t, http.MethodPost, tt.path, "prompt", withTokenCounts)
			is.Equal(got.status, tt.status)     // status
			is.Equal(got.err != nil, tt.broken) // a broken response ends with an error
			if tt.body != "" {
				is.Equal(got.body, tt.body) // whole events, each once
			}
			is.Equal(h.runCount(), tt.runs) // runs
			eventually(t, "all reservations and KV caches are freed", func() bool { return h.heldCount() == 0 })
		})
	}
}

// TestFullDecodeServersAreSkipped makes most or all decode servers reject reservations, permanently
// or for some time. The request must reach a server that has room, after a single prefill.
func TestFullDecodeServersAreSkipped(t *testing.T) {
	tests := []struct {
		name         string
		full         int           // servers without room, of eight
		recoverAfter time.Duration // time after which one of them has room, 0 for never
	}{
		{name: "one has room", full: 7},
		{name: "all are full for some time", full: 8, recoverAfter: 250 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			roles := map[string]fake.Role{"p1": fake.Prefill}
			for i := range 8 {
				roles[fmt.Sprint("d", i)] = fake.Decode
			}
			h := newHarness(t, roles)
			for i := range tt.full {
				h.servers[fmt.Sprint("d", i)].SetFault(fake.NoMemory)
			}
			if tt.recoverAfter > 0 {
				time.AfterFunc(tt.recoverAfter, func() { h.servers["d3"].SetFault(fake.NoFault) })
			}
			got := h.send(t, http.MethodPost, "/once/1", "prompt", withTokenCounts)
			is.NoErr(got.err)
			is.Equal(got.status, 200)
			is.Equal(got.body, eventText(1, 4))
			is.Equal(len(h.servers["p1"].Arrivals()), 1) // the prompt was prefilled once
		})
	}
}

// TestServerFailingReservationsIsCalledOnce guards against repeated calls to a server whose
// reservations fail, while the only other decode server is full for some time.
func TestServerFailingReservationsIsCalledOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"p1": fake.Prefill, "d1": fake.Decode, "d2": fake.Decode})
	h.servers["d1"].SetFault(fake.ReservationError)
	h.servers["d2"].SetFault(fake.NoMemory)
	time.AfterFunc(400*time.Millisecond, func() { h.servers["d2"].SetFault(fake.NoFault) })
	got := h.send(t, http.MethodPost, "/once/1", "prompt", withTokenCounts)
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 4))
	is.Equal(len(h.servers["d1"].Calls()), 1)
}

// TestSlowPrefillServerIsAvoided sends requests while a prefill server accepts prompts but does not
// answer in time. After the first request has timed out there, the following ones must avoid it.
func TestSlowPrefillServerIsAvoided(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, splitPools)
	h.servers["p1"].SetFault(fake.Hang)
	for range 6 {
		got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts)
		is.NoErr(got.err)
		is.Equal(got.body, eventText(1, 4))
	}
	is.True(len(h.servers["p1"].Arrivals()) <= 1)
}

// TestStreamResumesAtAnotherServer breaks or stalls a resumable stream. The caller must get one
// whole response that another server continues.
func TestStreamResumesAtAnotherServer(t *testing.T) {
	for _, fault := range []fake.Fault{fake.TruncatedEvent, fake.Stall, fake.Trickle} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, splitPools)
			// d2 rejects reservations at first, so d1, which has the fault, runs the request.
			h.servers["d1"].SetFault(fault)
			h.servers["d2"].SetFault(fake.NoMemory)
			// The stream lasts long enough for d2 to accept reservations again before it
			// breaks.
			h.servers["d1"].SetPace(4, 30*time.Millisecond)
			go func() {
				eventually(t, "the first run", func() bool { return len(h.servers["d1"].Runs()) == 1 })
				h.servers["d2"].SetFault(fake.NoFault)
			}()
			got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts)
			is.NoErr(got.err)
			is.Equal(got.status, 200)
			is.Equal(got.body, eventText(1, 4))                                  // each event once
			is.Equal(got.header.Get("Wasabidock-Server-Seal"), "seal-d1")        // the header of the first server
			is.Equal(h.servers["d2"].Runs()[0].Header.Get("Last-Event-Id"), "3") // resumes after the last event
		})
	}
}

// TestSlowStreamIsNotCut guards against resuming a stream elsewhere although its server is healthy.
// The server pauses between events for longer than the target of the route, but less than twice as
// long.
func TestSlowStreamIsNotCut(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, splitPools)
	for _, s := range h.servers {
		s.SetPace(2, 1200*time.Millisecond)
	}
	got := h.send(t, http.MethodPost, "/slow/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "5000"))
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 2))
	is.Equal(h.runCount(), 1)
}

// TestEndlessEvent checks that a request fails when an event exceeds the maximum size. The server
// sends one event without end.
func TestEndlessEvent(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, splitPools)
	h.servers["d1"].SetFault(fake.Endless)
	h.servers["d2"].SetFault(fake.Endless)
	start := time.Now()
	got := h.send(t, http.MethodPost, "/once/1", "prompt", withTokenCounts)
	is.True(got.err != nil || got.status >= 500) // not a complete response
	is.True(time.Since(start) < time.Second)     // long before the deadline
}

// TestCallerResumesStream checks that a caller's Last-Event-Id reaches the server.
func TestCallerResumesStream(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, splitPools)
	got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts, withHeader("Last-Event-Id", "2"))
	is.NoErr(got.err)
	is.Equal(got.body, eventText(3, 4))
}

// TestCallerDisconnects guards against work for callers that have disconnected: the server must see
// the request canceled.
func TestCallerDisconnects(t *testing.T) {
	tests := []struct {
		name  string
		fault fake.Fault
		event bool // the caller disconnects after an event, else as soon as the request runs
	}{
		{name: "before the response", fault: fake.Hang},
		{name: "during the stream", event: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"d1": fake.Decode})
			h.servers["d1"].SetFault(tt.fault)
			h.servers["d1"].SetPace(10_000, time.Millisecond)
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.proxy.URL+"/once/1", strings.NewReader("prompt"))
			is.NoErr(err)
			r.Host = "host.example"
			r.Header.Set("Wasabidock-Attempt-Id", "a1")
			r.Header.Set("Authorization", "Token "+testKey)
			withTokenCounts(r)
			go func() {
				eventually(t, "the run", func() bool { return h.runCount() == 1 })
				if !tt.event {
					disconnect()
				}
			}()
			resp, err := http.DefaultTransport.RoundTrip(r)
			if tt.event {
				is.NoErr(err)
				_, err := bufio.NewReader(resp.Body).ReadString('\n')
				is.NoErr(err)
				disconnect()
				_ = resp.Body.Close()
			}
			eventually(t, "the server sees the request canceled", func() bool {
				_, canceled, _, _ := h.servers["d1"].Counts()
				return canceled == 1
			})
			eventually(t, "no request is active", func() bool { return h.drain.Active() == 0 })
		})
	}
}

// TestNoDecodeServerIsRejectedAtOnce guards against a prefill, and a long wait, for a request that
// no server can decode.
func TestNoDecodeServerIsRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"p1": fake.Prefill})
	start := time.Now()
	got := h.send(t, http.MethodPost, "/once/1", "prompt", withTokenCounts)
	is.Equal(got.status, 503)
	is.True(time.Since(start) < 500*time.Millisecond) // rejected at once
	arrived, _, _, _ := h.servers["p1"].Counts()
	is.Equal(arrived, 0) // no prompt was prefilled
}
