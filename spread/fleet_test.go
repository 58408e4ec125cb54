package spread

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wasabidock.dev/dock/table"
)

// simTable returns a small table whose content changes with the edit.
func simTable(t testing.TB, revision uint64, customers, edit int) *table.Table {
	t.Helper()
	return simTableFrom(t, revision, customers, edit, 0)
}

// simTableFrom is a simTable in which the first customers have no key.
func simTableFrom(t testing.TB, revision uint64, customers, edit, firstKey int) *table.Table {
	t.Helper()
	var b strings.Builder
	b.WriteString("centre,name,region\ncentre,c0,r0\nseat,name,centre,share\nseat,c0-0,c0,1000000\n")
	b.WriteString("customer,name,weight,rate,burst\n")
	for i := range customers {
		fmt.Fprintf(&b, "customer,customer-%d,1,%d,100000\n", i, 1000+edit*(1-min(i, 1)))
	}
	b.WriteString("key,hash,customer\n")
	for i := firstKey; i < customers; i++ {
		fmt.Fprintf(&b, "key,%s,customer-%d\n", table.FormatSum(table.KeySum(fmt.Sprint("wk_TEST-ONLY-", i))), i)
	}
	tab, faults := table.Parse(revision, []table.File{{Name: "sim.csv", Data: []byte(b.String())}})
	for _, f := range faults {
		t.Fatal(f)
	}
	return tab
}

// httpBytes is what headers and framing add to a call between instances in
// each direction on a warm connection, as TestWireOverhead measures it.
const httpBytes = 200

func TestSpreadAndCost(t *testing.T) {
	const (
		readBudget  = 2000 // calls per second at the platform
		daemonBytes = 3000 // bytes per second of one daemon
	)
	tests := []struct {
		size, centres int
		limit         time.Duration
	}{
		{9, 3, 5 * time.Second},
		{27, 3, 13 * time.Second},
		{90, 6, 13 * time.Second},
		{360, 6, 13 * time.Second},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.size), func(t *testing.T) {
			s := newSim(t, 1, tt.size, tt.centres)
			s.publish(simTable(t, 1, 50, 0))
			s.startAll()
			joined := s.run(time.Minute, s.allJoined)
			startPeak := s.plat.peak

			before := s.total()
			s.plat.peak = 0
			const quiet = 30 * time.Second
			wall := time.Now()
			s.run(quiet, nil)
			core := time.Since(wall).Seconds() / quiet.Seconds() / float64(tt.size)
			quietRate := s.total().minus(before).perNode(tt.size, quiet)
			quietPeak := s.plat.peak

			var worst time.Duration
			for i := range 5 {
				v := s.publish(simTable(t, uint64(2+i), 50, i+1))
				worst = max(worst, s.run(30*time.Second, s.all(v)))
			}

			// All processes restart while the platform is out, then it comes back.
			s.plat.down = true
			s.startAll()
			s.run(30*time.Second, nil)
			s.plat.down = false
			s.plat.peak = 0
			restart := s.run(time.Minute, s.allJoined)
			restartPeak := s.plat.peak

			t.Logf("%d instances: join %v with %d reads/s at most; quiet %.0f bytes/s, %.2f calls/s and %.3f%% of a core without transport per daemon, %d reads/s at most; in force everywhere after %v; restart after an outage %v with %d reads/s at most, %d turned down",
				tt.size, joined, startPeak, quietRate.bytes, quietRate.calls, 100*core, quietPeak, worst, restart, restartPeak, s.plat.busy)
			check(t, "in force everywhere", worst.Seconds(), tt.limit.Seconds())
			check(t, "reads per second in quiet times", float64(quietPeak), readBudget)
			check(t, "reads per second after an outage", float64(max(restartPeak, startPeak)), readBudget)
			check(t, "bytes per second of a daemon", quietRate.bytes, daemonBytes)
		})
	}
}

func check(t *testing.T, what string, got, limit float64) {
	t.Helper()
	if got > limit {
		t.Errorf("%s: %.1f, at most %.1f", what, got, limit)
	}
}

type simCost struct{ calls, bytes float64 }

// total returns the calls and the bytes sent and received by all processes.
func (s *simFleet) total() simCost {
	var c simCost
	for _, n := range s.nodes {
		st := n.f.Stats()
		calls := float64(st.Calls + st.Served)
		c.calls += calls
		c.bytes += float64(st.Sent+st.Received+st.ReadBytes) + 2*httpBytes*(calls+float64(st.Reads))
	}
	return c
}

func (c simCost) minus(o simCost) simCost { return simCost{c.calls - o.calls, c.bytes - o.bytes} }

func (c simCost) perNode(n int, d time.Duration) simCost {
	per := float64(n) * d.Seconds()
	return simCost{c.calls / per, c.bytes / per}
}
