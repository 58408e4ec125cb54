package place_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

const far = time.Hour

// newPool returns a pool of prefill servers p1, p2 and so on at 10,000 tokens per second and of
// decode servers d1, d2 and so on with four slots.
func newPool(prefill, decode int) *place.Pool {
	p := place.NewPool(place.Config{Rand: rand.NewPCG(1, 2), MaxPrefillWait: 700 * time.Millisecond})
	spec := place.Spec{KVBytes: 1 << 10}
	for i := range prefill {
		spec.Servers = append(spec.Servers, place.Server{
			Name: ident.Server(fmt.Sprintf("p%d", i+1)), Role: place.RolePrefill, PrefillRate: 10000, LinkBandwidth: 1 << 30,
		})
	}
	for i := range decode {
		spec.Servers = append(spec.Servers, place.Server{
			Name: ident.Server(fmt.Sprintf("d%d", i+1)), Role: place.RoleDecode, Slots: 4,
			TokenInterval: 50 * time.Millisecond, LinkBandwidth: 1 << 30,
		})
	}
	p.Configure(spec)
	return p
}

func query(prompt int64, blocks ...uint64) *place.Query {
	return &place.Query{PromptTokens: prompt, BlockHashes: blocks, FirstTokenBy: far}
}

// mustReserve chooses servers and reserves them. It fails the test if Choose finds no servers.
func mustReserve(t *testing.T, p *place.Pool, q *place.Query, now tick.Instant) (place.Choice, place.Reservation) {
	t.Helper()
	c, v := p.Choose(q, now)
	if v != place.Chosen {
		t.Fatalf("outcome of Choose is %v, want Chosen", v)
	}
	return c, p.Reserve(q, &c, now)
}

// TestBlockHashes guards against hashes that do not identify the prefix up to the end of their
// block.
func TestBlockHashes(t *testing.T) {
	is := is.New(t)
	a := strings.Repeat("a", 4000)
	is.Equal(len(place.BlockHashes(a+a+"rest", 1000)), 2)
	is.Equal(place.BlockHashes(a+a, 1000)[0], place.BlockHashes(a+"b", 1000)[0])
	is.True(place.BlockHashes(a+a, 1000)[0] != place.BlockHashes(a+a, 1000)[1]) // chained
	is.Equal(place.EstimateTokens("12345"), int64(2))
}

// TestChooseOutcome guards against a choice of servers that cannot serve the query, and against a
// wrong reason for its rejection.
func TestChooseOutcome(t *testing.T) {
	tests := []struct {
		name string
		pool func() *place.Pool
		q    *place.Query
		want place.Outcome
	}{
		{"room", func() *place.Pool { return newPool(1, 1) }, query(100), place.Chosen},
		{"no servers", func() *place.Pool { return newPool(0, 0) }, query(100), place.NoServer},
		{"no decode server", func() *place.Pool { return newPool(1, 0) }, query(100), place.NoServer},
		{"all decode servers avoided", func() *place.Pool { return newPool(1, 1) }, &place.Query{PromptTokens: 100, FirstTokenBy: far, Avoid: []ident.Server{"d1"}}, place.NoServer},
		{"first token after its target", func() *place.Pool { return newPool(1, 1) }, &place.Query{PromptTokens: 100, FirstTokenBy: time.Millisecond}, place.TooLate},
		{"departing", func() *place.Pool {
			p := newPool(1, 1)
			p.SetDraining("p1", true)
			return p
		}, query(100), place.NoServer},
		{"draining by its report", func() *place.Pool {
			p := newPool(1, 1)
			p.ApplyReport(place.LoadReport{Server: "d1", Seq: 1, Draining: true}, 0)
			return p
		}, query(100), place.NoServer},
		{"full by its report", func() *place.Pool {
			p := newPool(1, 1)
			p.ApplyReport(place.LoadReport{Server: "d1", Seq: 1, BusySlots: 4}, 0)
			return p
		}, query(100), place.NoCapacity},
		{"long queue by its report", func() *place.Pool {
			p := newPool(1, 1)
			p.ApplyReport(place.LoadReport{Server: "p1", Seq: 1, QueuedTokens: 10000}, 0)
			return p
		}, query(100), place.NoCapacity},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, v := tt.pool().Choose(tt.q, 0)
			is.Equal(v, tt.want)
		})
	}
}

// TestOldReportIncludesOwnPlacements guards against an overfull decode server: a report that is
// older than placements of the scheduler must not hide them.
func TestOldReportIncludesOwnPlacements(t *testing.T) {
	is := is.New(t)
	p := newPool(4, 1)
	p.ApplyReport(place.LoadReport{Server: "d1", Seq: 1, BusySlots: 2, Age: 500 * time.Millisecond}, time.Second)
	mustReserve(t, p, query(100), time.Second)
	mustReserve(t, p, query(100), time.Second)
	_, v := p.Choose(query(100), time.Second)
	is.Equal(v, place.NoCapacity)
	// A delayed report of the time before the placements changes nothing.
	p.ApplyReport(place.LoadReport{Server: "d1", Seq: 2, BusySlots: 2, Age: 500 * time.Millisecond}, 1100*time.Millisecond)
	_, v = p.Choose(query(100), 1100*time.Millisecond)
	is.Equal(v, place.NoCapacity)
	// A report with a smaller sequence number is not applied.
	p.ApplyReport(place.LoadReport{Server: "d1", Seq: 1, BusySlots: 0}, 1100*time.Millisecond)
	_, v = p.Choose(query(100), 1100*time.Millisecond)
	is.Equal(v, place.NoCapacity)
}

// TestBurstSpreads guards against a herd effect: requests at the same instant must not all go to
// the same server.
func TestBurstSpreads(t *testing.T) {
	is := is.New(t)
	p := newPool(8, 8)
	seen := make(map[ident.Server]int)
	for range 8 {
		c, _ := mustReserve(t, p, query(1000), 0)
		seen[c.Prefill]++
		seen[c.Decode]++
	}
	is.Equal(len(seen), 16) // each server once
}

// TestAffinityYieldsToLoad guards against prefix affinity that overloads the server with the cache.
func TestAffinityYieldsToLoad(t *testing.T) {
	is := is.New(t)
	p := newPool(2, 8)
	first, r := mustReserve(t, p, query(1500, 7), 0)
	now := time.Second
	p.Release(&r, now)
	p.Configure(*p.Spec()) // keeps the state of the servers
	hot := 0
	var runs []ident.Server
	for range 10 {
		// The prefix saves 100 ms, which counts as much as 200 ms of queue.
		c, _ := mustReserve(t, p, query(1500, 7), now)
		runs = append(runs, c.Prefill)
		if c.Prefill == first.Prefill {
			hot++
		}
	}
	is.Equal(runs[0], first.Prefill)
	is.True(hot >= 2)
	is.True(hot < 8) // the queue became too long for the prefix
}

// TestCommonPrefixUsesSomeServers guards against a popular prefix that fills the caches of all
// servers, or that stays on one.
func TestCommonPrefixUsesSomeServers(t *testing.T) {
	is := is.New(t)
	p := newPool(10, 40)
	now := tick.Instant(0)
	seen := make(map[ident.Server]bool)
	type run struct {
		reservation place.Reservation
		end         tick.Instant
	}
	var runs []run
	for range 400 {
		// A third of the capacity of the servers, all with the same prefix.
		now += 20 * time.Millisecond
		for len(runs) > 0 && runs[0].end <= now {
			p.Release(&runs[0].reservation, runs[0].end)
			runs = runs[1:]
		}
		c, r := mustReserve(t, p, query(1700, 9), now)
		seen[c.Prefill] = true
		runs = append(runs, run{reservation: r, end: now + c.TTFT})
	}
	is.True(len(seen) >= 2)
	is.True(len(seen) < 10)
}

// TestEventGapClearsHints guards against outdated prefix cache hints after a lost cache event.
func TestEventGapClearsHints(t *testing.T) {
	is := is.New(t)
	p := newPool(2, 1)
	minTTFT := func() time.Duration { return p.MinTTFT(query(3500, 1, 2, 3)) }
	cold := minTTFT()
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: 1, Added: []uint64{1, 2}})
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: 2, Added: []uint64{3}})
	is.Equal(cold-minTTFT(), 300*time.Millisecond)
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: 3, Evicted: []uint64{2}})
	is.Equal(cold-minTTFT(), 100*time.Millisecond)
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: 5, Added: []uint64{2}})
	is.Equal(cold-minTTFT(), time.Duration(0)) // the first block is unknown again
}

// churn adds n other blocks to the cache of p1, one with each event. It calls each, if not nil,
// after each event, and returns the last sequence number.
func churn(p *place.Pool, seq uint64, n int, each func(i int)) uint64 {
	for i := range n {
		seq++
		p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: seq, Added: []uint64{1000 + seq}})
		if each != nil {
			each(i)
		}
	}
	return seq
}

// TestHintsKeepBlocksInUse guards against the replacement of blocks that requests still use when the
// hints on a server are full.
func TestHintsKeepBlocksInUse(t *testing.T) {
	is := is.New(t)
	p := newPool(1, 1)
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: 1, Added: []uint64{1, 2}})
	churn(p, 1, 3000, func(i int) {
		if i%500 == 0 {
			_, r := mustReserve(t, p, query(2500, 1, 2), 0)
			p.Release(&r, 0)
		}
	})
	c, v := p.Choose(query(2500, 1, 2), 0)
	is.Equal(v, place.Chosen)
	is.Equal(c.CachedTokens, int64(2000))
}

// TestHintsKeepBlocksAddedAgain guards against the early replacement of a block that was evicted
// and added again: its old place in the ring must not count.
func TestHintsKeepBlocksAddedAgain(t *testing.T) {
	is := is.New(t)
	p := newPool(1, 1)
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: 1, Added: []uint64{1}})
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: 2, Evicted: []uint64{1}})
	seq := churn(p, 2, 1000, nil)
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: seq + 1, Added: []uint64{1}})
	churn(p, seq+1, 100, nil)
	c, v := p.Choose(query(2500, 1), 0)
	is.Equal(v, place.Chosen)
	is.Equal(c.CachedTokens, int64(1000))
}

// TestFailingServersAreEjectedAndRetried guards against a failing server that stays in use or never
// returns, and against the ejection of more than half of the servers.
func TestFailingServersAreEjectedAndRetried(t *testing.T) {
	is := is.New(t)
	p := newPool(1, 4)
	uses := func(name ident.Server, now tick.Instant) bool {
		for range 50 {
			if c, v := p.Choose(query(100), now); v == place.Chosen && c.Decode == name {
				return true
			}
		}
		return false
	}
	is.True(uses("d1", 0))
	for range 3 {
		p.RecordFailure("d1", 0)
	}
	is.True(!uses("d1", 500*time.Millisecond))
	is.True(uses("d1", 1100*time.Millisecond)) // on trial
	p.RecordFailure("d1", 1100*time.Millisecond)
	is.True(!uses("d1", 2200*time.Millisecond)) // ejected for twice as long
	is.True(uses("d1", 3200*time.Millisecond))
	p.RecordSuccess("d1")
	is.True(uses("d1", 3200*time.Millisecond))

	for _, name := range []ident.Server{"d1", "d2", "d3", "d4"} {
		for range 10 {
			p.RecordFailure(name, 10*time.Second)
		}
	}
	is.True(uses("d3", 10*time.Second)) // never more than half are ejected
	is.True(uses("d4", 10*time.Second))
}

// TestDrainingServersDoNotCountForEjection guards against the ejection of the last usable servers:
// draining ones must not count as alternatives.
func TestDrainingServersDoNotCountForEjection(t *testing.T) {
	is := is.New(t)
	p := newPool(1, 4)
	p.SetDraining("d1", true)
	p.ApplyReport(place.LoadReport{Server: "d2", Seq: 1, Draining: true}, 0)
	for _, name := range []ident.Server{"d3", "d4"} {
		for range 10 {
			p.RecordFailure(name, time.Second)
		}
	}
	c, v := p.Choose(query(100), time.Second)
	is.Equal(v, place.Chosen)
	is.Equal(c.Decode, ident.Server("d4")) // d3 is ejected, d1 and d2 are draining
}

// TestReservationsNeverExceedSlots guards against overbooked decode servers under random placements
// and releases.
func TestReservationsNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(3, 3)
		busy := make(map[ident.Server]int)
		var reservations []place.Reservation
		now := tick.Instant(0)
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "release") && len(reservations) > 0 {
				i := rapid.IntRange(0, len(reservations)-1).Draw(t, "hold")
				busy[reservations[i].Decode]--
				p.Release(&reservations[i], now)
				reservations = append(reservations[:i], reservations[i+1:]...)
				continue
			}
			q := query(rapid.Int64Range(1, 3000).Draw(t, "prompt"))
			c, v := p.Choose(q, now)
			if v != place.Chosen {
				continue
			}
			reservations = append(reservations, p.Reserve(q, &c, now))
			busy[c.Decode]++
			if busy[c.Decode] > 4 {
				t.Fatalf("%s has %d reservations and 4 slots", c.Decode, busy[c.Decode])
			}
		}
	})
}
