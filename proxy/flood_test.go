package proxy_test

import (
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/platform/fake"
)

// heapPeak calls f and returns by how much the heap grew at most, at samples 2 ms apart.
func heapPeak(f func()) int64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	base, peak := int64(s.HeapAlloc), int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		runtime.ReadMemStats(&s)
		peak = max(peak, int64(s.HeapAlloc)-base)
		select {
		case <-done:
			return peak
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// TestEndlessBytesShareMemory guards against a server that sends without end until the instance is out of memory.
func TestEndlessBytesShareMemory(t *testing.T) {
	const budget, callers = 8 << 20, 100
	tests := []struct {
		name  string
		role  fake.Role
		path  string
		fault fake.Fault
	}{
		{"head of short lines", fake.Plain, "/file/1", fake.EndlessHead},
		{"head of one line", fake.Plain, "/read/1", fake.EndlessLine},
		{"no response", fake.Plain, "/file/1", fake.EndlessJunk},
		{"body", fake.Plain, "/read/1", fake.Endless},
		{"event", fake.Decode, "/once/1", fake.EndlessEvent},
		{"prefill", fake.Prefill, "/once/1", fake.Endless},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			roles := map[string]fake.Role{"bad": tt.role}
			if tt.role == fake.Prefill {
				roles["d1"] = fake.Decode
			}
			h := newHarness(t, roles)
			h.memory = memory.NewBudget(budget)
			h.newHandler()
			h.proxy.Config.Handler = h.handler
			h.servers["bad"].SetFault(tt.fault)
			var change []func(*http.Request)
			if tt.role != fake.Plain {
				change = append(change, withTokenCounts)
			}
			var used int64
			peak := heapPeak(func() {
				var ends sync.WaitGroup
				for range callers {
					ends.Go(func() {
						got := h.send(t, http.MethodPost, tt.path, "b", change...)
						if got.status == 200 && got.err == nil && tt.role != fake.Prefill {
							t.Errorf("a caller got %d bytes as a whole response", len(got.body))
						}
					})
				}
				ends.Wait()
			})
			used = h.memory.Used()
			eventually(t, "the memory is free again", func() bool { return h.memory.Used() == 0 })
			s, _ := h.live.Fleet().Server("bad")
			is.True(used <= budget)
			is.True(!h.health.Usable(s.Key(), h.clock.Now())) // it is set aside
			t.Logf("heap grew by %d MB", peak>>20)
			// Callers, their connections and the garbage that is not collected yet come on top.
			is.True(peak < 6*budget)
		})
	}
}

// TestLargeBodiesInChunksShareMemory guards against bodies of unknown length that count as small ones until the process is out of memory.
func TestLargeBodiesInChunksShareMemory(t *testing.T) {
	is := is.New(t)
	const bodyBytes, callers = 1 << 20, 40
	h := newHarness(t, map[string]fake.Role{"s1": fake.Plain})
	h.allowBodies(bodyBytes) // 8 of them
	h.servers["s1"].SetFault(fake.Slow)
	h.servers["s1"].SetSlowDelay(500 * time.Millisecond)
	statuses := make(chan int, callers)
	for range callers {
		go func() {
			statuses <- h.send(t, http.MethodPost, "/file/1", strings.Repeat("b", bodyBytes), func(r *http.Request) { r.ContentLength = -1 }).status
		}()
	}
	var served, refused int
	for range callers {
		switch <-statuses {
		case 200:
			served++
		case 503:
			refused++
		}
		is.True(h.memory.Used() <= 8*bodyBytes)
	}
	is.Equal(served+refused, callers)
	is.True(served > 0 && refused > 0)
	is.Equal(h.runCount(), served) // what was refused has not run
	is.Equal(h.send(t, http.MethodPost, "/file/1", "small").status, 200)
	eventually(t, "the memory is free again", func() bool { return h.memory.Used() == 0 })
}
