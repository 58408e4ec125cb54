package main_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/slope"
)

// The target size of docs/CAPACITY.md.
const (
	targetDaemons   = 360
	targetRequests  = 2300.0 / targetDaemons
	targetTokens    = 970_000.0 / targetDaemons
	targetCustomers = 5300
)

// procStat is what the kernel says of a process.
type procStat struct {
	cpu time.Duration
	rss float64 // MB
}

const ticksPerSecond = 100

func statOf(t *testing.T, p *proc) procStat {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	is.NoErr(err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	user, err := strconv.Atoi(fields[11])
	is.NoErr(err)
	system, err := strconv.Atoi(fields[12])
	is.NoErr(err)
	pages, err := strconv.Atoi(fields[21])
	is.NoErr(err)
	return procStat{
		cpu: time.Duration(user+system) * time.Second / ticksPerSecond,
		rss: float64(pages) * float64(os.Getpagesize()) / 1e6,
	}
}

// loopbackBytes returns the bytes that have crossed the loopback.
func loopbackBytes(t *testing.T) float64 {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile("/proc/net/dev")
	is.NoErr(err)
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "lo:"); ok {
			n, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			is.NoErr(err)
			return n
		}
	}
	t.Fatal("no loopback")
	return 0
}

func wantSlopes(t *testing.T) {
	t.Helper()
	if os.Getenv("WASABI_SLOPES") == "" {
		t.Skip("make slopes runs this")
	}
	if runtime.GOOS != "linux" {
		t.Skip("reads /proc")
	}
}

// TestSlopesControl measures what daemons without callers cost, by their
// number. Bytes are those of the loopback, with all headers, halved between
// sender and receiver; nothing else may use it.
func TestSlopesControl(t *testing.T) {
	wantSlopes(t)
	cpu := slope.New("control CPU of a daemon", "daemons", "% of a core")
	rss := slope.New("resident memory of a daemon", "daemons", "MB")
	net := slope.New("control traffic of a daemon, sent", "daemons", "KB/s")
	for _, seats := range []int{1, 3, 6, 9, 15} {
		t.Run(strconv.Itoa(3*seats), func(t *testing.T) {
			f := newFleet(t, []string{"east", "west", "south"}, seats)
			f.publish(1, []string{"calm,1,1000,4000"}, []string{"calm"})
			f.startAll()
			time.Sleep(8 * time.Second) // the start itself is no steady state
			const window = 20 * time.Second
			before := f.totals(t)
			bytes := loopbackBytes(t)
			time.Sleep(window)
			after := f.totals(t)
			n := float64(3 * seats)
			cpu.Add(n, 100*(after.cpu-before.cpu).Seconds()/window.Seconds()/n)
			rss.Add(n, after.rss/n)
			net.Add(n, (loopbackBytes(t)-bytes)/1e3/window.Seconds()/n)
		})
	}
	for _, s := range []*slope.Series{cpu, rss, net} {
		is.New(t).NoErr(s.Write(os.Stdout, targetDaemons))
	}
}

func (f *fleet) totals(t *testing.T) procStat {
	var sum procStat
	for _, p := range f.procs {
		s := statOf(t, p)
		sum.cpu += s.cpu
		sum.rss += s.rss
	}
	return sum
}

// TestSlopesTable measures the memory of a daemon by the number of customers.
func TestSlopesTable(t *testing.T) {
	wantSlopes(t)
	rss := slope.New("resident memory of a daemon", "customers", "MB")
	for _, n := range []int{10, 1000, 2650, 5300} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			f := newFleet(t, []string{"east"}, 1)
			var customers, keys []string
			for i := range n {
				name := fmt.Sprintf("c%05d", i)
				customers = append(customers, name+",1,1000,4000")
				keys = append(keys, name)
			}
			f.publish(1, customers, keys)
			f.startAll()
			time.Sleep(10 * time.Second)
			rss.Add(float64(n), f.totals(t).rss)
		})
	}
	is.New(t).NoErr(rss.Write(os.Stdout, targetCustomers))
}

// TestSlopesData measures what requests and streamed tokens cost the daemon
// that serves them.
func TestSlopesData(t *testing.T) {
	wantSlopes(t)
	f := newFleet(t, []string{"east"}, 1)
	for i := range 4 {
		f.addEngine(fmt.Sprintf("east-x%d-decode", i), "decode")
	}
	f.publish(1, []string{"calm,1,100000000,400000000"}, []string{"calm"})
	f.startAll()
	p := f.procs["east-1"]
	f.await("first charge", func() bool {
		s, _, err := chat(t.Context(), p, "calm", 1, false)
		return err == nil && s == http.StatusOK
	})
	requests := slope.New("CPU of a daemon by requests of one token", "requests/s", "% of a core")
	for _, rate := range []int{10, 20, 40, 80} {
		requests.Add(f.load(t, p, rate, 1))
	}
	is.New(t).NoErr(requests.Write(os.Stdout, targetRequests))
	tokens := slope.New("CPU of a daemon by streamed tokens, 5 requests/s", "tokens/s", "% of a core")
	for _, n := range []int{50, 150, 300, 600} {
		rate, cpu := f.load(t, p, 5, n)
		tokens.Add(rate*float64(n), cpu)
	}
	is.New(t).NoErr(tokens.Write(os.Stdout, targetTokens))
}

// load sends rate streamed requests of n tokens a second for a while and
// returns the rate of whole answers and the daemon's CPU in % of a core.
func (f *fleet) load(t *testing.T, p *proc, rate, n int) (whole, cpu float64) {
	t.Helper()
	const window = 8 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), window)
	defer cancel()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	before := statOf(t, p)
	var mu sync.Mutex
	var wg sync.WaitGroup
	count := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			wg.Add(1)
			go func() {
				defer wg.Done()
				s, body, err := chat(t.Context(), p, "calm", n, true)
				if err == nil && s == http.StatusOK && strings.Contains(body, "[DONE]") {
					mu.Lock()
					count++
					mu.Unlock()
				}
			}()
		}
	}
	wg.Wait()
	spent := statOf(t, p).cpu - before.cpu
	return float64(count) / window.Seconds(), 100 * spent.Seconds() / window.Seconds()
}
