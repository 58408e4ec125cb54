package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/event"
	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// way is what decides how a request is served, beside the kind of its route.
type way struct {
	engines bool // its service has engines
	counted bool // it names its tokens
}

// String implements fmt.Stringer.
func (v way) String() string { return fmt.Sprintf("engines %v, counted %v", v.engines, v.counted) }

// ways are all of them.
func ways() []way { return []way{{true, true}, {true, false}, {false, true}, {false, false}} }

// apply changes a request. It must be the last change.
func (v way) apply(r *http.Request) {
	withTokenCounts(r)
	if !v.counted {
		r.Header.Del("Wasabidock-Token-Count")
	}
}

// set puts a configuration in force by which the services of the harness have engines or not.
func (v way) set(h *harness, spec route.Spec) {
	spec.Version, spec.Revision = 3, 3
	for _, s := range spec.Services {
		if !v.engines {
			s.Engine = nil
		}
	}
	h.live.SetTable(route.NewTable(spec))
}

// kindsSpec is a configuration with a route of each kind to the service model.
func kindsSpec() route.Spec {
	spec := testSpec()
	for prefix, k := range map[string]route.Kind{"/change/": route.Mutating, "/look/": route.Idempotent} {
		spec.Routes = append(spec.Routes, &route.Route{
			Name: prefix, Host: "host.example", Prefix: prefix, Kind: k, MaxAttempts: 2, Timeout: 2 * time.Second, LatencyTarget: 400 * time.Millisecond,
			Targets: []route.Target{{Service: "model", Weight: 1}},
		})
	}
	return spec
}

// listInOrder lists servers of the service model of which the first one is near and the others are far, so that they are chosen in this
// order.
func (h *harness) listInOrder(names ...string) {
	var all []*route.Server
	for i, name := range names {
		s := &route.Server{ID: name, Service: "model", Addr: h.servers[name].Addr(), Centre: "a", Region: "r", Stage: route.StageBoth, Slots: 8}
		if i > 0 {
			s.Centre, s.Region = "far", "far"
		}
		all = append(all, s)
	}
	h.live.SetFleet(route.NewFleet(h.live.Fleet().Revision()+1, all))
}

// gatedServer answers each request with two pieces, the second one once read is closed. It returns its address.
func gatedServer(t *testing.T, pieces [2]string, read chan struct{}) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/api/hold-take":
			_, _ = io.WriteString(w, `{"hold":"h1"}`)
			return
		case r.Method == http.MethodDelete:
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Wasabidock-Attempt-Id", r.Header.Get("Wasabidock-Attempt-Id"))
		w.Header().Set("Wasabidock-Server-Seal", "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, pieces[0])
		_ = http.NewResponseController(w).Flush()
		select {
		case <-read:
			_, _ = io.WriteString(w, pieces[1])
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestEventsArePassedOnAsTheyCome guards against streams that are held back until they are whole. The server sends the second event only once
// the caller has read the first.
func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	for _, v := range ways() {
		for _, path := range []string{"/once/1", "/again/1"} {
			t.Run(fmt.Sprint(path, " ", v), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, nil)
				v.set(h, testSpec())
				read := make(chan struct{})
				h.live.SetFleet(route.NewFleet(2, []*route.Server{{
					ID: "s1", Service: "model", Addr: gatedServer(t, [2]string{eventText(1, 1), eventText(2, 2)}, read), Centre: "a", Region: "r", Stage: route.StageBoth, Slots: 8,
				}}))
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.proxy.URL+path, strings.NewReader("b"))
				is.NoErr(err)
				r.Host = "host.example"
				for k, v := range map[string]string{"Wasabidock-Attempt-Id": "a1", "Wasabidock-Deadline-Ms": "2000", "Authorization": "Token " + testKey} {
					r.Header.Set(k, v)
				}
				v.apply(r)
				resp, err := http.DefaultTransport.RoundTrip(r)
				is.NoErr(err)
				defer func() { _ = resp.Body.Close() }()
				is.Equal(resp.StatusCode, 200)
				is.Equal(resp.Header.Get("Wasabidock-Server-Seal"), "seal")
				events := event.NewScanner(bufio.NewReader(resp.Body), 1<<10, (*memory.Budget)(nil).Account())
				is.True(events.Scan())
				is.Equal(events.ID(), int64(1))
				close(read)
				is.True(events.Scan())
				is.Equal(events.ID(), int64(2))
				is.True(!events.Scan())
				is.NoErr(events.Err())
				eventually(t, "the decision is logged", func() bool { return h.log.contains(`"last":2,"runs":1,"first":`) })
			})
		}
	}
}

// TestLongStreamNeedsLittleMemory guards against memory that grows with the length of a stream.
func TestLongStreamNeedsLittleMemory(t *testing.T) {
	body := eventText(1, 200_000)
	for _, v := range ways() {
		t.Run(v.String(), func(t *testing.T) {
			is := is.New(t)
			h := scriptedHarness(t, 1, streamReply(body))
			v.set(h, testSpec())
			got := h.send(t, http.MethodPost, "/once/1", "prompt", v.apply)
			is.NoErr(got.err)
			is.True(got.body == body)
			is.True(int64(len(body)) > 4<<20) // more than the memory of all requests
		})
	}
}

// TestWholeResponsesArePassedOnWhole guards against responses of other routes than streaming ones that are passed on, or taken for events,
// before they are whole.
func TestWholeResponsesArePassedOnWhole(t *testing.T) {
	tests := []struct {
		path   string
		fault  fake.Fault // of the first server
		status int
		server string // the one whose response the caller gets, empty for none
	}{
		{path: "/change/1", status: 200, server: "s1"},
		{path: "/change/1", fault: fake.TruncatedBody, status: 502},
		{path: "/change/1", fault: fake.InternalError, status: 500},
		{path: "/change/1", fault: fake.Shed, status: 200, server: "s2"},
		{path: "/look/1", status: 200, server: "s1"},
		{path: "/look/1", fault: fake.TruncatedBody, status: 200, server: "s2"},
		{path: "/look/1", fault: fake.InternalError, status: 200, server: "s2"},
		{path: "/look/1", fault: fake.Shed, status: 200, server: "s2"},
	}
	for _, v := range ways() {
		for _, tt := range tests {
			t.Run(fmt.Sprint(tt.path, " ", tt.fault, " ", v), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, nil)
				h.addServer(t, "s1", fake.Plain)
				h.addServer(t, "s2", fake.Plain)
				h.listInOrder("s1", "s2")
				v.set(h, kindsSpec())
				h.servers["s1"].SetFault(tt.fault)
				got := h.send(t, http.MethodPost, tt.path, "b", v.apply)
				is.NoErr(got.err)
				is.Equal(got.status, tt.status)
				if tt.server != "" {
					is.Equal(got.body, fake.Answer(tt.server, "a1"))
					is.True(got.header.Get("Content-Length") != "")
				}
			})
		}
	}
}

// TestUncountedRequestsSkipPrefillServers guards against requests that are not placed and reach prefill servers, which reject them and are
// ejected for that.
func TestUncountedRequestsSkipPrefillServers(t *testing.T) {
	for _, path := range []string{"/once/1", "/again/1", "/change/1", "/look/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"p1": fake.Prefill, "d1": fake.Decode})
			v := way{engines: true}
			v.set(h, kindsSpec())
			for n := range 6 { // the order of servers is drawn
				got := h.send(t, http.MethodPost, path, "b", v.apply, withHeader("Wasabidock-Attempt-Id", fmt.Sprint("a", n)))
				is.Equal(got.status, 200)
			}
			is.Equal(len(h.servers["p1"].Calls()), 0)
			for _, s := range h.live.Fleet().All() {
				is.True(h.health.Usable(s.Key(), h.clock.Now()))
			}
		})
	}
}
