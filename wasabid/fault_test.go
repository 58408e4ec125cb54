package main_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFleetMeetsFaults causes one fault after the other in a fleet of three
// and states what the caller and the engines must see.
func TestFleetMeetsFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts three processes")
	}
	f := newFleet(t, []string{"east"}, 3)
	f.addEngine("east-2-decode", "decode")
	customers, keys := []string{"calm,1,1000000,4000000"}, []string{"calm"}
	f.publish(1, customers, keys)
	f.startAll()
	f.await("first charge", func() bool {
		s, _, err := chat(t.Context(), f.procs["east-1"], "calm", 1, false)
		return err == nil && s == http.StatusOK
	})
	tests := []struct {
		name string
		run  func(*testing.T, *fleet)
	}{
		{"engine dies in the middle of a stream", engineDies},
		{"caller goes away", callerLeaves},
		{"queue is longer than a grant lives", queueOutlivesGrant},
		{"confirmations are repeated while a process dies", confirmsWhileDying},
		{"entry instance dies", entryDies},
		{"process starts while the platform is down", startsWithoutPlatform},
		{"older revision is published", olderRevision},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.run(t, f)
			f.await("nothing held", func() bool { return f.holds() == 0 })
		})
	}
}

// streams returns the decode streams that the engines have served.
func (f *fleet) streams() int64 {
	var n int64
	for _, e := range f.engines {
		n += e.Counts().Streams
	}
	return n
}

func engineDies(t *testing.T, f *fleet) {
	is := is.New(t)
	before := f.streams()
	got := make(chan string, 1)
	go func() {
		_, body, _ := chat(t.Context(), f.procs["east-1"], "calm", 5000, true)
		got <- body
	}()
	f.await("stream runs", func() bool { return f.streams() > before })
	time.Sleep(100 * time.Millisecond)
	for name, e := range f.engines {
		if strings.HasSuffix(name, "decode") && e.Counts().Holds > 0 {
			e.Kill()
			defer e.Restart()
		}
	}
	body := <-got
	is.True(strings.Contains(body, "event: error"))
	is.True(strings.Contains(body, `"unknown"`) || strings.Contains(body, `"stream_cut"`))
	is.True(!strings.Contains(body, "[DONE]"))
}

func callerLeaves(t *testing.T, f *fleet) {
	before := f.streams()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = chat(ctx, f.procs["east-1"], "calm", 5000, true)
	}()
	f.await("stream runs", func() bool { return f.streams() > before })
	cancel()
	<-done
	took := f.await("engine work cancelled", func() bool { return f.holds() == 0 })
	t.Logf("holds released after %v", took.Round(time.Millisecond))
}

// queueOutlivesGrant sends more patient requests than there are places, so that
// some wait for seconds. Each must be answered whole.
func queueOutlivesGrant(t *testing.T, f *fleet) {
	const requests, tokens = 90, 1000
	bodies := make(chan string, requests)
	for i := range requests {
		p := f.procs[f.names()[i%len(f.procs)]]
		go func() {
			_, body, err := chatIn(t.Context(), p, "patient", "calm", tokens, true)
			if err != nil {
				body = err.Error()
			}
			bodies <- body
		}()
	}
	whole := 0
	for range requests {
		body := <-bodies
		if strings.Contains(body, "[DONE]") {
			whole++
			continue
		}
		t.Errorf("not whole: %.200s", body)
	}
	t.Logf("%d of %d answers whole", whole, requests)
}

// confirmsWhileDying sends each confirmation to all daemons at once and again,
// while one of them is killed and replaced. None may run twice, and a whole
// answer means that it ran.
func confirmsWhileDying(t *testing.T, f *fleet) {
	is := is.New(t)
	const calls = 120
	for i := range 8 { // each home has come to know its journal
		key := "first-" + strconv.Itoa(i)
		f.await("confirmation", func() bool {
			s, _, err := post(t.Context(), f.procs["east-1"].callers+"/confirm", "calm", key, key)
			return err == nil && s == http.StatusOK
		})
	}
	var done, unknown, notRun atomic.Int64
	var wg sync.WaitGroup
	answered := make([]atomic.Bool, calls)
	for i := range calls {
		if i == calls/3 {
			f.procs["east-2"].kill()
		}
		if i == 2*calls/3 {
			f.start("east-2")
			f.list()
		}
		key := "pupil-" + strconv.Itoa(i)
		for _, name := range f.names() {
			url := f.procs[name].callers + "/confirm"
			wg.Add(1)
			go func() {
				defer wg.Done()
				for range 2 {
					s, body, err := post(t.Context(), url, "calm", key, key)
					switch {
					case err == nil && s == http.StatusOK:
						done.Add(1)
						answered[i].Store(true)
					case strings.Contains(body, `"outcome":"not run"`):
						notRun.Add(1)
					default:
						unknown.Add(1)
					}
				}
			}()
		}
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	t.Logf("%d answers done, %d not run, %d unknown or no answer", done.Load(), notRun.Load(), unknown.Load())
	is.Equal(f.plain.Counts().Doubled, 0)
	ran := 0
	for i := range answered {
		runs := f.plain.Runs("pupil-" + strconv.Itoa(i))
		ran += runs
		if answered[i].Load() && runs != 1 {
			t.Errorf("pupil-%d: answered and run %d times", i, runs)
		}
	}
	is.True(ran > 0)
	f.await("east-2 ready", f.procs["east-2"].ready)
}

func entryDies(t *testing.T, f *fleet) {
	is := is.New(t)
	before := f.streams()
	got := make(chan string, 1)
	go func() {
		_, body, _ := chat(t.Context(), f.procs["east-3"], "calm", 20_000, true)
		got <- body
	}()
	f.await("stream runs", func() bool { return f.streams() > before })
	f.procs["east-3"].kill()
	is.True(!strings.Contains(<-got, "[DONE]"))
	took := f.await("holds of the dead process gone", func() bool { return f.holds() == 0 })
	t.Logf("holds released after %v", took.Round(time.Millisecond))
	f.start("east-3")
	f.list()
	f.await("east-3 ready", f.procs["east-3"].ready)
}

func startsWithoutPlatform(t *testing.T, f *fleet) {
	is := is.New(t)
	f.platform.SetDown(true)
	defer f.platform.SetDown(false)
	f.procs["east-2"].kill()
	f.flags = []string{"-seeds", "east-1=" + f.procs["east-1"].peers}
	defer func() { f.flags = nil }()
	f.start("east-2")
	took := f.await("east-2 ready", f.procs["east-2"].ready)
	t.Logf("ready after %v", took.Round(time.Millisecond))
	is.Equal(f.procs["east-2"].revision(), uint64(1))
	f.await("answer", func() bool {
		s, body, err := chat(t.Context(), f.procs["east-2"], "calm", 5, true)
		return err == nil && s == http.StatusOK && strings.Contains(body, "[DONE]")
	})
}

func olderRevision(t *testing.T, f *fleet) {
	is := is.New(t)
	customers := []string{"calm,1,1000000,4000000"}
	f.list()
	f.publish(5, customers, []string{"calm"})
	for _, name := range f.names() {
		f.await("revision 5 at "+name, func() bool { return f.procs[name].revision() == 5 })
	}
	f.publish(4, customers, nil)
	f.publish(6, customers, []string{"calm"})
	for _, name := range f.names() {
		f.await("revision 6 at "+name, func() bool { return f.procs[name].revision() == 6 })
		is.True(!strings.Contains(f.procs[name].text(), `"revision":4,"`))
	}
}
