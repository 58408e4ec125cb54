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

// newPool returns a pool of prefill servers p1.. at 10,000 tokens per second
// and decode servers d1.. with four places.
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

func query(prompt int64, pieces ...uint64) *place.Query {
	return &place.Query{PromptTokens: prompt, BlockHashes: pieces, FirstTokenBy: far}
}

// put chooses and commits, and fails the test if there is no room.
func put(t *testing.T, p *place.Pool, q *place.Query, now tick.Instant) (place.Choice, place.Reservation) {
	t.Helper()
	c, v := p.Choose(q, now)
	if v != place.Chosen {
		t.Fatalf("verdict %v, want a choice", v)
	}
	return c, p.Reserve(q, &c, now)
}

func TestPieces(t *testing.T) {
	is := is.New(t)
	a := strings.Repeat("a", 4000)
	is.Equal(len(place.BlockHashes(a+a+"rest", 1000)), 2)
	is.Equal(place.BlockHashes(a+a, 1000)[0], place.BlockHashes(a+"b", 1000)[0])
	is.True(place.BlockHashes(a+a, 1000)[0] != place.BlockHashes(a+a, 1000)[1]) // chained
	is.Equal(place.EstimateTokens("12345"), int64(2))
}

func TestChooseRefusesWhatCannotWork(t *testing.T) {
	tests := []struct {
		name string
		pool func() *place.Pool
		q    *place.Query
		want place.Outcome
	}{
		{"room", func() *place.Pool { return newPool(1, 1) }, query(100), place.Chosen},
		{"no servers", func() *place.Pool { return newPool(0, 0) }, query(100), place.NoServer},
		{"no decode server", func() *place.Pool { return newPool(1, 0) }, query(100), place.NoServer},
		{"all avoided", func() *place.Pool { return newPool(1, 1) }, &place.Query{PromptTokens: 100, FirstTokenBy: far, Avoid: []ident.Server{"d1"}}, place.NoServer},
		{"target passed", func() *place.Pool { return newPool(1, 1) }, &place.Query{PromptTokens: 100, FirstTokenBy: time.Millisecond}, place.TooLate},
		{"departing", func() *place.Pool {
			p := newPool(1, 1)
			p.SetDeparting("p1", true)
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

func TestOwnPlacementsAreAddedToAnOldReport(t *testing.T) {
	is := is.New(t)
	p := newPool(4, 1)
	p.ApplyReport(place.LoadReport{Server: "d1", Seq: 1, BusySlots: 2, Age: 500 * time.Millisecond}, time.Second)
	put(t, p, query(100), time.Second)
	put(t, p, query(100), time.Second)
	_, v := p.Choose(query(100), time.Second)
	is.Equal(v, place.NoCapacity)
	// A late report from before the placements changes nothing.
	p.ApplyReport(place.LoadReport{Server: "d1", Seq: 2, BusySlots: 2, Age: 500 * time.Millisecond}, 1100*time.Millisecond)
	_, v = p.Choose(query(100), 1100*time.Millisecond)
	is.Equal(v, place.NoCapacity)
	// An older one is not applied.
	p.ApplyReport(place.LoadReport{Server: "d1", Seq: 1, BusySlots: 0}, 1100*time.Millisecond)
	_, v = p.Choose(query(100), 1100*time.Millisecond)
	is.Equal(v, place.NoCapacity)
}

func TestHerdSpreads(t *testing.T) {
	is := is.New(t)
	p := newPool(8, 8)
	seen := make(map[ident.Server]int)
	for range 8 {
		c, _ := put(t, p, query(1000), 0)
		seen[c.Prefill]++
		seen[c.Decode]++
	}
	is.Equal(len(seen), 16) // each server once
}

func TestAffinityYieldsToLoad(t *testing.T) {
	is := is.New(t)
	p := newPool(2, 8)
	first, h := put(t, p, query(1500, 7), 0)
	now := time.Second
	p.Release(&h, now)
	p.Configure(*p.Spec()) // keeps what is known
	hot := 0
	var runs []ident.Server
	for range 10 {
		// The prefix saves 100 ms; it counts for 200 ms of queue.
		c, _ := put(t, p, query(1500, 7), now)
		runs = append(runs, c.Prefill)
		if c.Prefill == first.Prefill {
			hot++
		}
	}
	is.Equal(runs[0], first.Prefill)
	is.True(hot >= 2)
	is.True(hot < 8) // the queue grew too long for the prefix
}

func TestHotPreambleStaysOffSomeServers(t *testing.T) {
	is := is.New(t)
	p := newPool(10, 40)
	now := tick.Instant(0)
	seen := make(map[ident.Server]bool)
	type run struct {
		hold place.Reservation
		end  tick.Instant
	}
	var runs []run
	for range 400 {
		// A third of what the servers can do, all with one preamble.
		now += 20 * time.Millisecond
		for len(runs) > 0 && runs[0].end <= now {
			p.Release(&runs[0].hold, runs[0].end)
			runs = runs[1:]
		}
		c, h := put(t, p, query(1700, 9), now)
		seen[c.Prefill] = true
		runs = append(runs, run{hold: h, end: now + c.TTFT})
	}
	is.True(len(seen) >= 2)
	is.True(len(seen) < 10)
}

func TestEventGapStartsTheViewAfresh(t *testing.T) {
	is := is.New(t)
	p := newPool(2, 1)
	least := func() time.Duration { return p.MinTTFT(query(3500, 1, 2, 3)) }
	cold := least()
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: 1, Added: []uint64{1, 2}})
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: 2, Added: []uint64{3}})
	is.Equal(cold-least(), 300*time.Millisecond)
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: 3, Evicted: []uint64{2}})
	is.Equal(cold-least(), 100*time.Millisecond)
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: 5, Added: []uint64{2}})
	is.Equal(cold-least(), time.Duration(0)) // the first piece is unknown again
}

// churn adds n pieces of their own to the cache of p1, one an event, and
// returns the sequence number of the last.
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

func TestHintsKeepPiecesInUse(t *testing.T) {
	is := is.New(t)
	p := newPool(1, 1)
	p.ApplyCacheEvent(place.CacheEvent{Server: "p1", Seq: 1, Added: []uint64{1, 2}})
	churn(p, 1, 3000, func(i int) {
		if i%500 == 0 {
			_, h := put(t, p, query(2500, 1, 2), 0)
			p.Release(&h, 0)
		}
	})
	c, v := p.Choose(query(2500, 1, 2), 0)
	is.Equal(v, place.Chosen)
	is.Equal(c.CachedTokens, int64(2000))
}

func TestHintsKeepPiecesThatCameBack(t *testing.T) {
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

func TestOutliersAreSetAsideAndTriedAgain(t *testing.T) {
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
	is.True(!uses("d1", 2200*time.Millisecond)) // aside for twice as long
	is.True(uses("d1", 3200*time.Millisecond))
	p.RecordSuccess("d1")
	is.True(uses("d1", 3200*time.Millisecond))

	for _, name := range []ident.Server{"d1", "d2", "d3", "d4"} {
		for range 10 {
			p.RecordFailure(name, 10*time.Second)
		}
	}
	is.True(uses("d3", 10*time.Second)) // never more than half
	is.True(uses("d4", 10*time.Second))
}

func TestDepartingServersAreNoSpares(t *testing.T) {
	is := is.New(t)
	p := newPool(1, 4)
	p.SetDeparting("d1", true)
	p.ApplyReport(place.LoadReport{Server: "d2", Seq: 1, Draining: true}, 0)
	for _, name := range []ident.Server{"d3", "d4"} {
		for range 10 {
			p.RecordFailure(name, time.Second)
		}
	}
	c, v := p.Choose(query(100), time.Second)
	is.Equal(v, place.Chosen)
	is.Equal(c.Decode, ident.Server("d4")) // d3 is aside, d1 and d2 are leaving
}

// TestReservationsNeverExceedPlaces takes random placements and releases and
// checks that no decode server is given more than it has room for.
func TestReservationsNeverExceedPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(3, 3)
		taken := make(map[ident.Server]int)
		var holds []place.Reservation
		now := tick.Instant(0)
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "release") && len(holds) > 0 {
				i := rapid.IntRange(0, len(holds)-1).Draw(t, "hold")
				taken[holds[i].Decode]--
				p.Release(&holds[i], now)
				holds = append(holds[:i], holds[i+1:]...)
				continue
			}
			q := query(rapid.Int64Range(1, 3000).Draw(t, "prompt"))
			c, v := p.Choose(q, now)
			if v != place.Chosen {
				continue
			}
			holds = append(holds, p.Reserve(q, &c, now))
			taken[c.Decode]++
			if taken[c.Decode] > 4 {
				t.Fatalf("%s holds %d requests, has 4 places", c.Decode, taken[c.Decode])
			}
		}
	})
}
