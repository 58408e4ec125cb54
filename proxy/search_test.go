package proxy_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
)

// TestSearchOfCallerThatLeaves guards against places, runs and memory that are kept after a caller has left during a search.
func TestSearchOfCallerThatLeaves(t *testing.T) {
	for _, after := range []time.Duration{900, 1000, 1003, 1010, 1100, 1300, 1600} {
		for _, f := range []fake.Fault{fake.Hang, fake.Stall, fake.Reset, fake.NoFault, fake.Shed, fake.Slow} {
			t.Run(string(f)+(after*time.Millisecond).String(), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := newHarness(t, nil)
				h.patientSpec(100 * time.Millisecond)
				h.addServer(t, "first", fake.Decode)
				h.servers["first"].SetSilence(fake.Silence{Call: fake.RunCall, Event: 2, For: 3 * time.Second})
				added := make(chan struct{})
				go func() {
					defer close(added)
					eventually(t, "silent", func() bool { return h.servers["first"].Silences() == 1 })
					h.addServer(t, "second", fake.Decode)
					h.servers["second"].SetFault(f)
				}()
				ctx, cancel := context.WithTimeout(t.Context(), after*time.Millisecond)
				defer cancel()
				h.send(t, http.MethodPost, "/thrice/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "4900"), func(r *http.Request) {
					*r = *r.WithContext(ctx)
				})
				<-added
				left := time.Now()
				eventually(t, "request has ended", func() bool { return h.drain.Active() == 0 })
				is.True(time.Since(left) < 450*time.Millisecond)
				is.Equal(h.memory.Used(), int64(0))
				for _, s := range h.servers {
					eventually(t, "runs have ended", func() bool {
						for _, r := range s.Runs() {
							if r.End.IsZero() {
								return false
							}
						}
						return true
					})
					s.SetSilence(fake.Silence{})
					s.SetFault(fake.NoFault)
					for _, r := range s.Runs() {
						is.True(r.End.Sub(left) < 450*time.Millisecond)
					}
				}
				for _, id := range []string{"b1", "b2"} {
					got := h.send(t, http.MethodPost, "/once/1", "large", withTokenCounts, largePrompt, withHeader("Wasabidock-Attempt-Id", id))
					is.Equal(got.status, 200) // places are free
				}
			})
		}
	}
}

// TestAdoptedRunThatFallsSilent guards against a stream that is cut because a run that was begun beside another falls silent too.
func TestAdoptedRunThatFallsSilent(t *testing.T) {
	for _, path := range []string{"/again/1", "/thrice/1"} {
		for _, third := range []fake.Fault{"none", fake.Reset, fake.Hang, fake.NoFault} {
			t.Run(path+string(third), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := newHarness(t, nil)
				h.patientSpec(100 * time.Millisecond)
				h.addServer(t, "first", fake.Decode)
				h.servers["first"].SetSilence(fake.Silence{Call: fake.RunCall, Event: 2, For: time.Minute})
				added := make(chan struct{})
				go func() {
					defer close(added)
					eventually(t, "silent", func() bool { return h.servers["first"].Silences() == 1 })
					h.addServer(t, "second", fake.Decode)
					h.servers["second"].SetSilence(fake.Silence{Call: fake.RunCall, Event: 3, For: 1400 * time.Millisecond, Times: 1})
					eventually(t, "silent", func() bool { return h.servers["second"].Silences() == 1 })
					if third != "none" {
						h.addServer(t, "third", fake.Decode)
						h.servers["third"].SetFault(third)
					}
				}()
				got := h.sendPatient(t, path)
				<-added
				is.NoErr(got.err)
				is.Equal(got.body, eventText(1, 4))
				is.Equal(h.memory.Used(), int64(0))
			})
		}
	}
}

// TestLateAnswersOfSilentServer runs searches beside heads, comments and failures that come late.
func TestLateAnswersOfSilentServer(t *testing.T) {
	late := map[string]func(w http.ResponseWriter){
		"head, then nothing": func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush(); time.Sleep(3 * time.Second) },
		"500 with a body":    func(w http.ResponseWriter) { w.WriteHeader(500); _, _ = io.WriteString(w, "no") },
		"not executed":       func(w http.ResponseWriter) { w.Header().Set("Wasabidock-Not-Executed", "1"); w.WriteHeader(503) },
		"comments": func(w http.ResponseWriter) {
			for range 100 {
				_, _ = io.WriteString(w, ": c\n\n")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(5 * time.Millisecond)
			}
			_, _ = io.WriteString(w, eventText(1, 4))
		},
		"other type": func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "text/plain")
			_, _ = io.WriteString(w, eventText(1, 4))
		},
		"unsealed": func(w http.ResponseWriter) {
			w.Header().Del("Wasabidock-Server-Seal")
			_, _ = io.WriteString(w, eventText(1, 4))
		},
		"all": func(w http.ResponseWriter) { _, _ = io.WriteString(w, eventText(1, 4)) },
	}
	for name, f := range late {
		for _, d := range []time.Duration{0, 500, 505, 600} {
			t.Run(name+" "+(d*time.Millisecond).String(), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := newHarness(t, nil)
				h.patientSpec(100 * time.Millisecond)
				var once sync.Once
				s := h.addStream(t, "first", func(s *streamServer, w http.ResponseWriter) {
					once.Do(func() { close(s.silent) })
					time.Sleep(1200 * time.Millisecond)
					f(w)
				})
				added := make(chan struct{})
				go func() {
					defer close(added)
					<-s.silent
					h.addServer(t, "second", fake.Decode)
					h.servers["second"].SetSilence(fake.Silence{Call: fake.RunCall, For: d * time.Millisecond, Times: 1})
				}()
				got := h.sendPatient(t, "/again/1")
				<-added
				is.NoErr(got.err)
				is.True(strings.HasSuffix(got.body, eventText(1, 4)))
				is.True(got.body == eventText(1, 4) || strings.HasPrefix(got.body, ": c"))
				is.Equal(h.memory.Used(), int64(0))
			})
		}
	}
}

// TestServerThatLosesByAMomentIsNoFailure guards against a sound server that counts as failed because another run sent the next event in the same moment.
func TestServerThatLosesByAMomentIsNoFailure(t *testing.T) {
	var mu sync.Mutex
	broke, lost := 0, 0
	t.Run("all", func(t *testing.T) {
		for i := range 40 {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, nil)
				h.patientSpec(100 * time.Millisecond)
				h.addServer(t, "first", fake.Decode)
				h.servers["first"].SetSilence(fake.Silence{Call: fake.RunCall, Event: 2, For: 1200 * time.Millisecond, Times: 1})
				added := make(chan struct{})
				go func() {
					defer close(added)
					eventually(t, "silent", func() bool { return h.servers["first"].Silences() == 1 })
					h.addServer(t, "second", fake.Decode)
					h.servers["second"].SetSilence(fake.Silence{Call: fake.RunCall, For: 196*time.Millisecond + time.Duration(i)*100*time.Microsecond, Times: 1})
				}()
				got := h.sendPatient(t, "/again/1")
				<-added
				if got.err != nil || got.body != eventText(1, 4) {
					t.Error(got.err, got.body)
				}
				mu.Lock()
				defer mu.Unlock()
				if h.log.contains("another run has sent the next event") {
					broke++
				}
				for line := range strings.SplitSeq(h.log.text(), "\n") {
					if strings.Contains(line, "stream broke") && strings.Contains(line, `"by":"server"`) {
						lost++
						t.Log(line)
					}
				}
			})
		}
	})
	t.Log("superseded", broke)
	is := is.New(t)
	is.Equal(lost, 0) // servers that were blamed
}

// TestFinishDuringSearch guards against a process that waits for a search when it ends.
func TestFinishDuringSearch(t *testing.T) {
	for _, event := range []int64{0, 2} {
		is := is.New(t)
		h := newHarness(t, nil)
		h.patientSpec(100 * time.Millisecond)
		h.addServer(t, "first", fake.Decode)
		h.servers["first"].SetSilence(fake.Silence{Call: fake.RunCall, Event: event, For: 2 * time.Second, Times: 1})
		added := make(chan struct{})
		go func() {
			defer close(added)
			eventually(t, "silent", func() bool { return h.servers["first"].Silences() == 1 })
			h.addServer(t, "second", fake.Decode)
			h.servers["second"].SetFault(fake.Hang)
			eventually(t, "the second runs", func() bool { return len(h.servers["second"].Runs()) == 1 })
			h.drain.Close()
		}()
		start := time.Now()
		got := h.sendPatient(t, "/again/1")
		<-added
		t.Log(event, got.status, got.err, time.Since(start))
		is.Equal(event == 2, got.err == nil && got.body == eventText(1, 4))
		is.True(event == 2 || time.Since(start) < 1300*time.Millisecond && got.status == 502)
	}
}

// TestSilentPrefillWithRetries guards against a request that is rejected because its only prefill server was left for nothing.
func TestSilentPrefillWithRetries(t *testing.T) {
	for _, other := range []fake.Fault{"none", fake.InternalError, fake.Hang, fake.Shed} {
		t.Run(string(other), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"p": fake.Prefill, "d": fake.Decode})
			h.servers["p"].SetSilence(fake.Silence{Call: fake.PrefillCall, For: 600 * time.Millisecond, Times: 1})
			if other != "none" {
				h.addServer(t, "p2", fake.Prefill)
				h.servers["p2"].SetFault(other)
			}
			start := time.Now()
			got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts)
			t.Log(got.status, time.Since(start), "prefills", len(h.servers["p"].Arrivals()), "runs", h.runCount())
			is.NoErr(got.err)
			is.Equal(got.body, eventText(1, 4))
		})
	}
}
