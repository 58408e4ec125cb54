package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/mimic"
)

var split = map[string]mimic.Role{"p1": mimic.Prefill, "p2": mimic.Prefill, "d1": mimic.Decode, "d2": mimic.Decode}

func TestStreamGoesThroughBothPools(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, split)
	got := w.ask(t, http.MethodPost, "/once/1", "prompt", sized)
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.body, events(1, 4))
	runs := append(w.servers["d1"].Runs(), w.servers["d2"].Runs()...)
	is.Equal(len(runs), 1)
	is.True(runs[0].Header.Get("Wasabidock-Kv-Source") != "") // the prompt was read elsewhere
	is.True(runs[0].Header.Get("Wasabidock-Kv-Hold") != "")   // memory was set aside
	eventually(t, "nothing stays held", func() bool { return w.kept() == 0 })
}

// kept returns what all servers keep for requests.
func (w *world) kept() int {
	n := 0
	for _, s := range w.servers {
		_, _, _, kept := s.Counts()
		n += kept
	}
	return n
}

func TestModelFaults(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		prefill mimic.Fault // of both prefill servers
		decode  mimic.Fault // of d1; d2 is well
		both    bool        // d2 has the fault too
		status  int
		body    string // "" for any
		broken  bool   // the answer does not end as if it were whole
		runs    int
	}{
		{name: "KV caches lapse", path: "/once/1", prefill: mimic.ExpiredKV, status: 200, body: events(1, 4), runs: 1},
		{name: "prefill fails", path: "/once/1", prefill: mimic.InternalError, status: 200, body: events(1, 4), runs: 1},
		{name: "prefill sheds", path: "/once/1", prefill: mimic.Shed, status: 200, body: events(1, 4), runs: 1},
		{name: "decode has no memory", path: "/once/1", decode: mimic.NoMemory, status: 200, body: events(1, 4), runs: 1},
		{name: "decode sheds", path: "/once/1", decode: mimic.Shed, status: 200, body: events(1, 4), runs: 1},
		{name: "all decode shed", path: "/once/1", decode: mimic.Shed, both: true, status: 503},
		{name: "once torn", path: "/once/1", decode: mimic.TruncatedEvent, both: true, status: 200, body: events(1, 3), broken: true, runs: 1},
		{name: "once torn, all in one piece", path: "/once/1", decode: mimic.TruncatedBurst, both: true, status: 200, body: events(1, 3), broken: true, runs: 1},
		{name: "again torn, all in one piece", path: "/again/1", decode: mimic.TruncatedBurst, both: true, status: 200, body: events(1, 3), broken: true, runs: 2},
		{name: "once reset", path: "/once/1", decode: mimic.Reset, both: true, status: 502, runs: 1},
		{name: "once unsealed", path: "/once/1", decode: mimic.Unsealed, both: true, status: 502, runs: 1},
		{name: "again torn", path: "/again/1", decode: mimic.TruncatedEvent, both: true, status: 200, body: events(1, 3), broken: true, runs: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, split)
			w.servers["p1"].SetFault(tt.prefill)
			w.servers["p2"].SetFault(tt.prefill)
			w.servers["d1"].SetFault(tt.decode)
			if tt.both {
				w.servers["d2"].SetFault(tt.decode)
			}
			got := w.ask(t, http.MethodPost, tt.path, "prompt", sized)
			is.Equal(got.status, tt.status)     // status
			is.Equal(got.err != nil, tt.broken) // the end tells whether it is whole
			if tt.body != "" {
				is.Equal(got.body, tt.body) // whole events, each once
			}
			is.Equal(w.runs(), tt.runs) // runs
			eventually(t, "nothing stays held", func() bool { return w.kept() == 0 })
		})
	}
}

// TestFullServersArePassedOver has most decode servers set no memory aside, for
// good or for a time.
func TestFullServersArePassedOver(t *testing.T) {
	tests := []struct {
		name string
		full int           // of eight
		back time.Duration // after which they have room, 0 for never
	}{
		{name: "one has room", full: 7},
		{name: "all are full for a time", full: 8, back: 250 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			roles := map[string]mimic.Role{"p1": mimic.Prefill}
			for i := range 8 {
				roles[fmt.Sprint("d", i)] = mimic.Decode
			}
			w := newWorld(t, roles)
			for i := range tt.full {
				w.servers[fmt.Sprint("d", i)].SetFault(mimic.NoMemory)
			}
			if tt.back > 0 {
				time.AfterFunc(tt.back, func() { w.servers["d3"].SetFault(mimic.NoFault) })
			}
			got := w.ask(t, http.MethodPost, "/once/1", "prompt", sized)
			is.NoErr(got.err)
			is.Equal(got.status, 200)
			is.Equal(got.body, events(1, 4))
			is.Equal(len(w.servers["p1"].Arrivals()), 1) // the prompt was read once
		})
	}
}

// TestServerThatFailsReservationsIsAskedOnce has the only other decode server be
// full for a time.
func TestServerThatFailsReservationsIsAskedOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"p1": mimic.Prefill, "d1": mimic.Decode, "d2": mimic.Decode})
	w.servers["d1"].SetFault(mimic.ReservationError)
	w.servers["d2"].SetFault(mimic.NoMemory)
	time.AfterFunc(400*time.Millisecond, func() { w.servers["d2"].SetFault(mimic.NoFault) })
	got := w.ask(t, http.MethodPost, "/once/1", "prompt", sized)
	is.NoErr(got.err)
	is.Equal(got.body, events(1, 4))
	is.Equal(len(w.servers["d1"].Calls()), 1)
}

// TestSlowReaderIsFoundOnce has a prefill server accept prompts and not answer in
// time: the first request that meets it keeps the next ones away.
func TestSlowReaderIsFoundOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, split)
	w.servers["p1"].SetFault(mimic.Hang)
	for range 6 {
		got := w.ask(t, http.MethodPost, "/again/1", "prompt", sized)
		is.NoErr(got.err)
		is.Equal(got.body, events(1, 4))
	}
	is.True(len(w.servers["p1"].Arrivals()) <= 1)
}

func TestResumedWithinOneAnswer(t *testing.T) {
	for _, fault := range []mimic.Fault{mimic.TruncatedEvent, mimic.Stall, mimic.Trickle} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, split)
			// Whichever server is first has the fault, the other one is well.
			w.servers["d1"].SetFault(fault)
			w.servers["d2"].SetFault(mimic.NoMemory)
			// The stream lasts long enough for the second server to be well
			// again before it breaks.
			w.servers["d1"].SetPace(4, 30*time.Millisecond)
			go func() {
				eventually(t, "the first run", func() bool { return len(w.servers["d1"].Runs()) == 1 })
				w.servers["d2"].SetFault(mimic.NoFault)
			}()
			got := w.ask(t, http.MethodPost, "/again/1", "prompt", sized)
			is.NoErr(got.err)
			is.Equal(got.status, 200)
			is.Equal(got.body, events(1, 4))                                     // no piece twice, none missing
			is.Equal(got.header.Get("Wasabidock-Server-Seal"), "seal-d1")        // the first one's head
			is.Equal(w.servers["d2"].Runs()[0].Header.Get("Last-Event-Id"), "3") // goes on behind the last event
		})
	}
}

// TestSlowStreamIsNotCut has a sound server pause for less than the route allows
// twice over: the stream stays where it is.
func TestSlowStreamIsNotCut(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, split)
	for _, s := range w.servers {
		s.SetPace(2, 1200*time.Millisecond)
	}
	got := w.ask(t, http.MethodPost, "/slow/1", "prompt", sized, header("Wasabidock-Deadline-Ms", "5000"))
	is.NoErr(got.err)
	is.Equal(got.body, events(1, 2))
	is.Equal(w.runs(), 1)
}

// TestEndlessStreamOfOneEvent meets a server that sends one event without end.
func TestEndlessStreamOfOneEvent(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, split)
	w.servers["d1"].SetFault(mimic.Endless)
	w.servers["d2"].SetFault(mimic.Endless)
	start := time.Now()
	got := w.ask(t, http.MethodPost, "/once/1", "prompt", sized)
	is.True(got.err != nil || got.status >= 500) // nothing that looks whole
	is.True(time.Since(start) < time.Second)     // and long before time is up
}

func TestCallerResumes(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, split)
	got := w.ask(t, http.MethodPost, "/again/1", "prompt", sized, header("Last-Event-Id", "2"))
	is.NoErr(got.err)
	is.Equal(got.body, events(3, 4))
}

func TestCallerLeaves(t *testing.T) {
	tests := []struct {
		name  string
		fault mimic.Fault
		event bool // leaves after an event, at once otherwise
	}{
		{name: "while the server is silent", fault: mimic.Hang},
		{name: "in the stream", event: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, map[string]mimic.Role{"d1": mimic.Decode})
			w.servers["d1"].SetFault(tt.fault)
			w.servers["d1"].SetPace(10_000, time.Millisecond)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.front.URL+"/once/1", strings.NewReader("prompt"))
			is.NoErr(err)
			r.Host = "host.example"
			r.Header.Set("Wasabidock-Attempt-Id", "a1")
			r.Header.Set("Authorization", "Token "+testKey)
			sized(r)
			go func() {
				eventually(t, "the run", func() bool { return w.runs() == 1 })
				if !tt.event {
					leave()
				}
			}()
			resp, err := http.DefaultTransport.RoundTrip(r)
			if tt.event {
				is.NoErr(err)
				_, err := bufio.NewReader(resp.Body).ReadString('\n')
				is.NoErr(err)
				leave()
				_ = resp.Body.Close()
			}
			eventually(t, "the server sees that nobody waits", func() bool {
				_, canceled, _, _ := w.servers["d1"].Counts()
				return canceled == 1
			})
			eventually(t, "no request is left", func() bool { return w.handler.Active() == 0 })
		})
	}
}

func TestNoDecodeServerIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]mimic.Role{"p1": mimic.Prefill})
	start := time.Now()
	got := w.ask(t, http.MethodPost, "/once/1", "prompt", sized)
	is.Equal(got.status, 503)
	is.True(time.Since(start) < 500*time.Millisecond) // known at once
	arrived, _, _, _ := w.servers["p1"].Counts()
	is.Equal(arrived, 0) // no prompt was read in vain
}
