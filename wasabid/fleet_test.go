package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// usage is the part of an answer that tells what was charged.
type usage struct {
	Usage struct {
		Total int64 `json:"total_tokens"`
	}
}

// TestFleetKeepsItsPromises runs nine daemons through a change of the table, a
// withdrawn key with an open stream, a flood with one process stopped and one
// killed, and a rolling replacement. Times are printed and decide nothing.
func TestFleetKeepsItsPromises(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	f := newFleet(t, []string{"east", "west", "south"}, 3)
	const rate, burst = 2000, 8000
	customers := []string{fmt.Sprintf("flood,1,%d,%d", rate, burst), "calm,1,1000000,4000000", "gone,1,1000000,4000000"}
	f.publish(1, customers, []string{"flood", "calm", "gone"})
	f.startAll()
	t.Logf("nine daemons are ready")
	f.await("first charge", func() bool {
		s, _, err := chat(t.Context(), f.procs["east-1"], "calm", 1, false)
		return err == nil && s == http.StatusOK
	})
	t.Run("withdrawn key", func(t *testing.T) { withdraw(t, f, customers) })
	t.Run("flood", func(t *testing.T) { flood(t, f, rate, burst) })
	t.Run("rolling replacement", func(t *testing.T) { replaceAll(t, f) })
	t.Run("nothing held", func(t *testing.T) {
		f.await("no holds", func() bool { return f.holds() == 0 })
	})
}

// withdraw takes a key away while a stream of it runs.
func withdraw(t *testing.T, f *fleet, customers []string) {
	is := is.New(t)
	type answer struct {
		status int
		body   string
		err    error
	}
	got := make(chan answer, 1)
	go func() {
		s, b, err := chat(t.Context(), f.procs["west-2"], "gone", 60_000, true)
		got <- answer{s, b, err}
	}()
	f.await("stream runs", func() bool {
		select {
		case a := <-got:
			t.Fatalf("stream ended at once: status %d, body %q, error %v", a.status, a.body, a.err)
		default:
		}
		return f.engines["west-decode"].Counts().Streams > 0
	})
	f.publish(2, customers, []string{"flood", "calm"})
	start := time.Now()
	for _, name := range f.names() {
		f.await("revision 2 at "+name, func() bool { return f.procs[name].revision() == 2 })
	}
	t.Logf("revision 2 in force at all nine after %v", time.Since(start).Round(time.Millisecond))
	a := <-got
	t.Logf("open stream ended after %v", time.Since(start).Round(time.Millisecond))
	is.NoErr(a.err)
	is.True(strings.Contains(a.body, "key_withdrawn"))
	is.True(!strings.Contains(a.body, "[DONE]"))
	for _, name := range f.names() {
		s, body, err := chat(t.Context(), f.procs[name], "gone", 1, false)
		is.NoErr(err)
		is.Equal(s, http.StatusUnauthorized)
		is.True(strings.Contains(body, `"not run"`))
	}
	f.await("engine work cancelled", func() bool { return f.holds() == 0 })
}

// flood sends one customer's requests to all daemons at several times its rate
// while one daemon is stopped and woken and one is killed and replaced.
func flood(t *testing.T, f *fleet, rate, burst int64) {
	is := is.New(t)
	var admitted, ok, refused atomic.Int64
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for _, name := range f.names() {
		p := f.procs[name]
		for range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for ctx.Err() == nil {
					s, body, err := chat(t.Context(), p, "flood", 50, false)
					var u usage
					switch {
					case err == nil && s == http.StatusOK && json.Unmarshal([]byte(body), &u) == nil:
						ok.Add(1)
						admitted.Add(u.Usage.Total)
					case err == nil && s == http.StatusTooManyRequests:
						refused.Add(1)
						time.Sleep(20 * time.Millisecond)
					default:
						time.Sleep(100 * time.Millisecond)
					}
				}
			}()
		}
	}
	pausedAndKilled(t, f)
	wg.Wait()
	elapsed := time.Since(start)
	bound := burst + int64(float64(rate)*elapsed.Seconds())
	t.Logf("admitted %d tokens in %v, bound %d; %d answers, %d refusals", admitted.Load(), elapsed.Round(time.Millisecond), bound, ok.Load(), refused.Load())
	is.True(admitted.Load() > 0)
	is.True(refused.Load() > 0)
	is.True(admitted.Load() <= bound)
}

func pausedAndKilled(t *testing.T, f *fleet) {
	is := is.New(t)
	paused, killed := f.procs["east-2"], f.procs["south-3"]
	time.Sleep(2 * time.Second)
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGSTOP))
	killed.kill()
	time.Sleep(time.Second)
	f.start("south-3")
	f.list()
	time.Sleep(4 * time.Second)
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGCONT))
	f.await("south-3 ready", f.procs["south-3"].ready)
}

// replaceAll replaces each daemon in turn while requests go to the ready ones,
// as a balancer sends them. None may fail.
func replaceAll(t *testing.T, f *fleet) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	b := &balancer{}
	b.set(f)
	var wg sync.WaitGroup
	var sent, failed atomic.Int64
	for range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				p := b.pick(i)
				s, body, err := chat(t.Context(), p, "calm", 40, true)
				sent.Add(1)
				if err != nil || s != http.StatusOK || !strings.Contains(body, "[DONE]") {
					failed.Add(1)
					t.Errorf("%s: status %d, %v: %s", p.name, s, err, body)
				}
			}
		}()
	}
	for _, name := range f.names() {
		old := f.procs[name]
		is.NoErr(old.cmd.Process.Signal(os.Signal(syscall.SIGTERM)))
		f.await(name+" not ready", func() bool { return !old.ready() })
		b.drop(old)
		is.NoErr(old.cmd.Wait())
		f.start(name)
		f.list()
		f.await(name+" ready", f.procs[name].ready)
		b.set(f)
	}
	cancel()
	wg.Wait()
	t.Logf("%d requests over nine replacements, %d failed", sent.Load(), failed.Load())
	is.True(sent.Load() > 0)
	is.Equal(failed.Load(), int64(0))
}

// balancer hands out the ready daemons in turn.
type balancer struct {
	mu   sync.Mutex
	list []*proc
}

func (b *balancer) set(f *fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = nil
	for _, name := range f.names() {
		b.list = append(b.list, f.procs[name])
	}
}

func (b *balancer) drop(p *proc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := make([]*proc, 0, len(b.list))
	for _, o := range b.list {
		if o != p {
			kept = append(kept, o)
		}
	}
	b.list = kept
}

func (b *balancer) pick(i int) *proc {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list[i%len(b.list)]
}
