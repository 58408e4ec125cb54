package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// streamServer is a decode server whose responses to runs are written by a test.
type streamServer struct {
	*httptest.Server
	silent chan struct{} // closed when it falls silent for the first time
}

// addStream starts a server that answers each run with answer, and adds it to the server list.
func (h *harness) addStream(t *testing.T, name string, answer func(s *streamServer, w http.ResponseWriter)) *streamServer {
	t.Helper()
	s := &streamServer{silent: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the caller may have disconnected
		switch {
		case r.URL.Path == "/api/hold-take":
			_, _ = io.WriteString(w, `{"hold":"h1"}`)
		case r.Header.Get("Wasabidock-Attempt-Id") != "":
			w.Header().Set("Wasabidock-Attempt-Id", r.Header.Get("Wasabidock-Attempt-Id"))
			w.Header().Set("Wasabidock-Server-Seal", "seal-"+name)
			w.Header().Set("Content-Type", "text/event-stream")
			answer(s, w)
		}
	}))
	t.Cleanup(s.Close)
	old := h.live.Fleet()
	h.live.SetFleet(route.NewFleet(old.Revision()+1, append(old.All(), &route.Server{
		ID: name, Service: "model", Addr: s.Listener.Addr().String(), Centre: "a", Region: "r", Stage: route.StageDecode, Slots: 8,
	})))
	return s
}

// patientSpec sets a timeout of 6 s for all routes, and the given gap target.
func (h *harness) patientSpec(gap time.Duration) {
	spec := testSpec()
	spec.Version, spec.Revision = 2, 2
	for _, r := range spec.Routes {
		r.Timeout, r.GapTarget = 6*time.Second, gap
	}
	h.live.SetTable(route.NewTable(spec))
}

// sendPatient sends a request of which the caller waits for 4.9 s.
func (h *harness) sendPatient(t *testing.T, path string, changes ...func(*http.Request)) result {
	t.Helper()
	changes = append([]func(*http.Request){withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "4900")}, changes...)
	return h.send(t, http.MethodPost, path, "prompt", changes...)
}

// flushEvents sends events and falls silent for d.
func (s *streamServer) flushEvents(w http.ResponseWriter, first, last int64, d time.Duration) {
	_, _ = io.WriteString(w, eventText(first, last)) // the caller may have disconnected
	_ = http.NewResponseController(w).Flush()
	close(s.silent)
	time.Sleep(d)
}

// TestRunBesideOutlivesFailureOfSilentServer guards against a run beside a silent server that is ended when that server goes on with what is no answer.
func TestRunBesideOutlivesFailureOfSilentServer(t *testing.T) {
	tests := []struct {
		name   string
		answer func(s *streamServer, w http.ResponseWriter)
	}{
		{"breaks off", func(s *streamServer, w http.ResponseWriter) {
			s.flushEvents(w, 1, 2, 1200*time.Millisecond)
			panic(http.ErrAbortHandler)
		}},
		{"an event is missing", func(s *streamServer, w http.ResponseWriter) {
			s.flushEvents(w, 1, 2, 1200*time.Millisecond)
			_, _ = io.WriteString(w, eventText(4, 4))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Second)
		}},
		{"an event without an ID", func(s *streamServer, w http.ResponseWriter) {
			s.flushEvents(w, 1, 2, 1200*time.Millisecond)
			_, _ = io.WriteString(w, "data: busy\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Second)
		}},
		{"response without a length, and the server ends", func(s *streamServer, w http.ResponseWriter) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nWasabidock-Attempt-Id: a1\r\nWasabidock-Server-Seal: x\r\n"+
				"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", eventText(1, 2))
			close(s.silent)
			time.Sleep(1200 * time.Millisecond)
			_ = s.Listener.Close()
			s.CloseClientConnections()
			_ = c.Close()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, nil)
			h.patientSpec(100 * time.Millisecond)
			s := h.addStream(t, "silent", tt.answer)
			added := make(chan struct{})
			go func() {
				defer close(added)
				<-s.silent
				h.addServer(t, "other", fake.Decode)
				h.servers["other"].SetSilence(fake.Silence{Call: fake.RunCall, For: 500 * time.Millisecond})
			}()
			got := h.sendPatient(t, "/again/1")
			<-added
			if got.err != nil {
				t.Log(h.log.text())
			}
			is.NoErr(got.err)
			is.Equal(got.body, eventText(1, 4))
		})
	}
}

// TestSoundServerBesideIsWaitedFor guards against a run at a sound server that is ended, beside a dark one, although no third server is there.
func TestSoundServerBesideIsWaitedFor(t *testing.T) {
	tests := []struct {
		name  string
		fault fake.Fault // of the first server
		path  string
	}{
		{"dark, two attempts", fake.Hang, "/again/1"},
		{"dark, three attempts", fake.Hang, "/thrice/1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, nil)
			h.patientSpec(700 * time.Millisecond) // callers wait for 5.6 s
			h.addServer(t, "dark", fake.Decode)
			h.servers["dark"].SetFault(tt.fault)
			added := make(chan struct{})
			go func() {
				defer close(added)
				eventually(t, "the dark server runs the request", func() bool { return h.runCount() == 1 })
				h.addServer(t, "sound", fake.Decode)
				h.servers["sound"].SetSilence(fake.Silence{Call: fake.RunCall, For: 2800 * time.Millisecond, Times: 1})
			}()
			got := h.sendPatient(t, tt.path)
			<-added
			if got.body != eventText(1, 4) {
				t.Log(h.log.text())
			}
			is.NoErr(got.err)
			is.Equal(got.body, eventText(1, 4))
			is.Equal(h.servers["sound"].Silences(), 1)
		})
	}
}

// TestThirdServerIsAskedAfterEmptyResponse guards against a stream that is cut with an attempt left because a second server sent an empty response.
func TestThirdServerIsAskedAfterEmptyResponse(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, nil)
	h.patientSpec(100 * time.Millisecond)
	h.addServer(t, "dark", fake.Decode)
	h.servers["dark"].SetFault(fake.Stall)
	added := make(chan struct{})
	go func() {
		defer close(added)
		eventually(t, "the dark server runs the request", func() bool { return h.runCount() == 1 })
		h.addServer(t, "empty", fake.Decode)
		h.servers["empty"].SetScript(fake.NewScript(fake.Reply{Framing: fake.ByChunks, Header: http.Header{"Content-Type": {"text/event-stream"}}}))
		eventually(t, "the empty server runs the request", func() bool { return h.runCount() == 2 })
		h.addServer(t, "sound", fake.Decode)
	}()
	got := h.sendPatient(t, "/thrice/1")
	<-added
	is.Equal(got.body, eventText(1, 4))
	is.NoErr(got.err)
}

// TestStreamWithAllTokensIsNoPartOfOne guards against a part of a sound server's response that looks whole because the server was silent after the last token.
func TestStreamWithAllTokensIsNoPartOfOne(t *testing.T) {
	const comment = ": end\n\n"
	tests := []struct {
		name string
		rest string // what the server sends after its silence
	}{
		{"the end", ""},
		{"a comment", comment},
		{"another event", eventText(5, 5)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, nil)
			h.patientSpec(100 * time.Millisecond)
			h.addStream(t, "sound", func(s *streamServer, w http.ResponseWriter) {
				s.flushEvents(w, 1, 4, 1200*time.Millisecond)
				_, _ = io.WriteString(w, tt.rest) // the caller may have disconnected
			})
			got := h.sendPatient(t, "/again/1", withHeader("Wasabidock-Token-Count", "100,4"))
			is.True(got.err != nil || got.body == eventText(1, 4)+tt.rest) // a response that looks whole is whole
		})
	}
}

// TestStreamInsideEventIsNotWhole guards against a stream that looks whole although its server is in the middle of an event.
func TestStreamInsideEventIsNotWhole(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, nil)
	h.patientSpec(100 * time.Millisecond)
	h.addServer(t, "sound", fake.Decode)
	h.servers["sound"].SetSilence(fake.Silence{Call: fake.RunCall, Event: 4, Moment: fake.SilentInEvent, For: 1200 * time.Millisecond, Times: 1})
	got := h.sendPatient(t, "/again/1", withHeader("Wasabidock-Token-Count", "100,3"))
	is.True(got.err != nil || got.body == eventText(1, 4))
}

// TestTwoServersDoNotWorkForLong guards against a stream on which two servers work for 400 ms. A server works on a run from its first token on.
func TestTwoServersDoNotWorkForLong(t *testing.T) {
	tests := []struct {
		name    string
		noToken bool // the second server does not begin to work
		second  func(s *fake.Server)
	}{
		{"mute", true, func(s *fake.Server) { s.SetFault(fake.Hang) }},
		{"silent after the head", false, func(s *fake.Server) {
			s.SetSilence(fake.Silence{Call: fake.RunCall, Moment: fake.SilentAfterHead, For: 700 * time.Millisecond})
		}},
		{"silent inside its first event", false, func(s *fake.Server) {
			s.SetSilence(fake.Silence{Call: fake.RunCall, Event: 3, Moment: fake.SilentInEvent, For: 700 * time.Millisecond})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, nil)
			h.patientSpec(100 * time.Millisecond)
			h.addServer(t, "first", fake.Decode)
			h.servers["first"].SetSilence(fake.Silence{Call: fake.RunCall, Event: 2, For: 3 * time.Second})
			added := make(chan struct{})
			go func() {
				defer close(added)
				eventually(t, "the first server is silent", func() bool { return h.servers["first"].Silences() == 1 })
				h.addServer(t, "second", fake.Decode)
				tt.second(h.servers["second"])
			}()
			got := h.sendPatient(t, "/again/1")
			<-added
			is.True(!tt.noToken || got.err == nil && got.body == eventText(1, 4)) // the first server goes on
			h.proxy.Close()
			eventually(t, "both runs have ended", func() bool {
				a, b := h.servers["first"].Runs(), h.servers["second"].Runs()
				return len(a) == 1 && len(b) == 1 && !a[0].End.IsZero() && !b[0].End.IsZero()
			})
			a, b := h.servers["first"].Runs()[0], h.servers["second"].Runs()[0]
			works := b.Start // from which on the second server works
			for _, p := range h.servers["second"].Pauses() {
				if p.Moment == fake.SilentAfterHead && p.Left.IsZero() {
					works = p.Due
				}
			}
			both := min(a.End.Sub(works), b.End.Sub(works))
			t.Log("both worked for", both)
			is.True(tt.noToken || both < 400*time.Millisecond)
		})
	}
}

// TestCleanupOfSearchDelaysNoEvent guards against an event of a sound server that waits for the release of a reservation elsewhere.
func TestCleanupOfSearchDelaysNoEvent(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, nil)
	h.patientSpec(100 * time.Millisecond)
	h.addServer(t, "first", fake.Decode)
	h.servers["first"].SetSilence(fake.Silence{Call: fake.RunCall, Event: 2, For: 1200 * time.Millisecond, Times: 1})
	added := make(chan struct{})
	go func() {
		defer close(added)
		eventually(t, "silent", func() bool { return h.servers["first"].Silences() == 1 })
		h.addServer(t, "p", fake.Prefill)
		h.servers["p"].SetFault(fake.Hang)
		h.addServer(t, "second", fake.Decode)
		eventually(t, "the prompt is sent", func() bool { return len(h.servers["p"].Arrivals()) > 0 })
		h.servers["second"].SetFrozen(true)
	}()
	start := time.Now()
	got := h.sendPatient(t, "/again/1")
	took := time.Since(start)
	<-added
	h.servers["second"].SetFrozen(false)
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 4))
	t.Log("took", took)
	is.True(took < 1320*time.Millisecond)
}

// TestEmptyEndKeepsRunBeside guards against a run beside a resumed one that is ended when the resumed one ends without an event.
func TestEmptyEndKeepsRunBeside(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, nil)
	h.patientSpec(100 * time.Millisecond)
	broken := h.addStream(t, "broken", func(s *streamServer, w http.ResponseWriter) {
		s.flushEvents(w, 1, 2, 100*time.Millisecond)
		panic(http.ErrAbortHandler)
	})
	added := make(chan struct{})
	go func() {
		defer close(added)
		<-broken.silent
		empty := h.addStream(t, "empty", func(s *streamServer, w http.ResponseWriter) {
			_ = http.NewResponseController(w).Flush()
			close(s.silent)
			time.Sleep(1200 * time.Millisecond)
		})
		<-empty.silent
		h.addServer(t, "sound", fake.Decode)
		h.servers["sound"].SetSilence(fake.Silence{Call: fake.RunCall, For: 500 * time.Millisecond})
	}()
	got := h.sendPatient(t, "/thrice/1")
	<-added
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 4))
}
