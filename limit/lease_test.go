package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/tick"
)

const (
	sur  = ident.Customer("sur")
	life = 2400 * time.Millisecond
)

// tenant is a holder with a clock of its own.
type tenant struct {
	h     *limit.Holder
	node  ident.Node
	speed float64
}

func (n tenant) at(now tick.Instant) tick.Instant {
	return time.Hour + time.Duration(float64(now)*n.speed)
}

type answer struct {
	at     tick.Instant
	asked  tick.Instant
	tenant int
	share  int64
}

type event struct {
	at     tick.Instant
	tenant int
}

// TestOneHolderAtATime lets two holders ask one seat, with answers late by any
// time, clocks of different speeds and fresh processes in the seat, and checks
// that a holder's grants are used before the seat leases to the other.
func TestOneHolderAtATime(t *testing.T) {
	used := 0
	checkSeeds(t, func(t *rapid.T) {
		group := limit.GroupOf(sur)
		seat := limit.NewLessor(limit.LessorConfig{MaxLeaseTTL: life, RaiseDelay: time.Millisecond})
		seat.SetShare(0, million)
		tenants := make([]tenant, 2)
		for i := range tenants {
			tenants[i] = tenant{limit.NewHolder(limit.HolderConfig{}), ident.Node{Instance: "a", Incarnation: uint64(i)}, rapid.Float64Range(0.995, 1.005).Draw(t, "speed")}
			tenants[i].h.SetLimits(0, []limit.Customer{{Name: sur, Limits: limit.Limits{Rate: limit.MaxRate, Burst: limit.MaxBurst}}})
		}
		var answers []answer
		var grants, uses []event
		now := tick.Instant(0)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			before := now
			now += time.Duration(rapid.SampledFrom([]int{1, 50, 300, 1000, 3000}).Draw(t, "wait")) * time.Millisecond
			beat(seat, before, now)
			i := rapid.IntRange(0, 1).Draw(t, "tenant")
			n := tenants[i]
			seat.Heartbeat(now)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				asked := n.at(now)
				now += time.Duration(rapid.IntRange(0, 200).Draw(t, "way")) * time.Millisecond
				if granted, share := seat.Grant(now, n.node, []uint32{group}, life); len(granted) > 0 {
					grants = append(grants, event{now, i})
					late := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 500, 1500, 5000}).Draw(t, "late")) * time.Millisecond
					answers = append(answers, answer{now + late, asked, i, share})
				}
			case 2:
				if rapid.IntRange(0, 9).Draw(t, "replace") == 0 {
					seat = limit.NewLessor(limit.LessorConfig{Start: now, MaxLeaseTTL: life, RaiseDelay: time.Millisecond})
					seat.SetShare(now, million)
				}
			default:
				answers = take(answers, tenants, now, group)
				if g, _ := n.h.Charge(n.at(now), sur, 1, false); g.Serial != 0 {
					wait := time.Duration(rapid.SampledFrom([]int64{0, int64(limit.GrantTTL)}).Draw(t, "use"))
					uses = append(uses, event{now + wait, i})
				}
			}
		}
		used += len(uses)
		for _, u := range uses {
			if g := lastBefore(grants, u.at); g.tenant != u.tenant {
				t.Fatalf("tenant %d used a grant at %v, the seat leased to %d at %v", u.tenant, u.at, g.tenant, g.at)
			}
		}
	})
	if used < 1000 {
		t.Fatalf("only %d grants were used", used)
	}
}

// take hands the answers that have arrived to their holders.
func take(answers []answer, tenants []tenant, now tick.Instant, group uint32) []answer {
	var left []answer
	for _, a := range answers {
		if a.at > now {
			left = append(left, a)
			continue
		}
		n := tenants[a.tenant]
		n.h.RecordLease(n.at(now), a.asked, "seat", []uint32{group}, a.share, life)
	}
	return left
}

func lastBefore(grants []event, at tick.Instant) event {
	last := event{tenant: -1}
	for _, g := range grants {
		if g.at <= at {
			last = g
		}
	}
	return last
}

func TestSeat(t *testing.T) {
	const s = time.Second
	x, y := ident.Node{Instance: "x", Incarnation: 1}, ident.Node{Instance: "y", Incarnation: 2}
	cfg := limit.LessorConfig{MaxLeaseTTL: 2 * s, RaiseDelay: 10 * s}
	tests := []struct {
		name string
		do   func(*limit.Lessor)
		at   tick.Instant
		who  ident.Node
		want int64 // share granted
	}{
		{"fresh process waits", func(*limit.Lessor) {}, 2 * s, x, 0},
		{"share of a fresh process is late", func(*limit.Lessor) {}, 12 * s, x, 0},
		{"share of a fresh process counts in the end", func(*limit.Lessor) {}, 13 * s, x, 100},
		{"share in force everywhere counts sooner", func(e *limit.Lessor) { e.ConfirmShare(0) }, 2100 * time.Millisecond, x, 100},
		{"share in force everywhere waits for leases", func(e *limit.Lessor) { e.ConfirmShare(0) }, 2 * s, x, 0},
		{"leased to another", func(e *limit.Lessor) { e.Grant(20*s, x, []uint32{3}, 2*s) }, 22 * s, y, 0},
		{"lease over", func(e *limit.Lessor) { e.Grant(20*s, x, []uint32{3}, 2*s) }, 22100 * time.Millisecond, y, 100},
		{"lease renewed by its holder", func(e *limit.Lessor) { e.Grant(20*s, x, []uint32{3}, 2*s) }, 21 * s, x, 100},
		{"lease given back", func(e *limit.Lessor) {
			e.Grant(20*s, x, []uint32{3}, 2*s)
			e.Release(21*s, x, []uint32{3})
		}, 21 * s, y, 100},
		{"lease given back by a stranger", func(e *limit.Lessor) {
			e.Grant(20*s, x, []uint32{3}, 2*s)
			e.Release(21*s, y, []uint32{3})
		}, 21 * s, y, 0},
		{"smaller share at once", func(e *limit.Lessor) { e.SetShare(20*s, 40) }, 20 * s, x, 40},
		{"larger share late", func(e *limit.Lessor) { e.SetShare(20*s, 400) }, 31 * s, x, 100},
		{"larger share in the end", func(e *limit.Lessor) { e.SetShare(20*s, 400) }, 33 * s, x, 400},
		{"larger share withdrawn", func(e *limit.Lessor) {
			e.SetShare(20*s, 400)
			e.SetShare(21*s, 50)
		}, 40 * s, x, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := limit.NewLessor(cfg)
			e.SetShare(0, 100)
			if tt.at > 15*s {
				beat(e, 0, 20*s)
			}
			tt.do(e)
			beat(e, 20*s, tt.at)
			beat(e, 0, min(tt.at, 20*s))
			_, share := e.Grant(tt.at, tt.who, []uint32{3}, 2*s)
			granted, _ := e.Grant(tt.at, tt.who, []uint32{3}, 2*s)
			if len(granted) == 0 {
				share = 0
			}
			is.Equal(share, tt.want)
		})
	}
}

// beat lets the seat's process run over a time.
func beat(e *limit.Lessor, from, to tick.Instant) {
	for at := from; at <= to; at += time.Second {
		e.Heartbeat(at)
	}
}

func TestSeatAfterPause(t *testing.T) {
	is := is.New(t)
	const s = time.Second
	x := ident.Node{Instance: "x"}
	e := limit.NewLessor(limit.LessorConfig{MaxLeaseTTL: 2 * s, RaiseDelay: s})
	e.SetShare(0, 100)
	beat(e, 0, 10*s)
	granted, _ := e.Grant(10*s, x, []uint32{1}, s)
	is.Equal(len(granted), 1)
	granted, _ = e.Grant(14*s, x, []uint32{1}, s)
	is.Equal(len(granted), 0) // woke up after a pause
	beat(e, 14*s, 16*s)
	granted, _ = e.Grant(16*s, x, []uint32{1}, s)
	is.Equal(len(granted), 0) // may have been replaced
	beat(e, 16*s, 17*s)
	granted, _ = e.Grant(17*s, x, []uint32{1}, s)
	is.Equal(len(granted), 1)
}

func TestHolderTermsAndShares(t *testing.T) {
	const s = time.Second
	group := limit.GroupOf(sur)
	full := limit.Limits{Rate: 100, Burst: 1000}
	set := func(t limit.Limits) func(*limit.Holder) {
		return func(h *limit.Holder) { h.SetLimits(40*s, []limit.Customer{{Name: sur, Limits: t}}) }
	}
	tests := []struct {
		name string
		do   func(*limit.Holder)
		at   tick.Instant
		want int64 // level
	}{
		{"full", func(*limit.Holder) {}, 40 * s, 1000},
		{"smaller burst at once", set(limit.Limits{Rate: 100, Burst: 300}), 40 * s, 300},
		{"larger burst late", set(limit.Limits{Rate: 100, Burst: 3000}), 49 * s, 1000},
		{"larger burst fills at the rate", set(limit.Limits{Rate: 100, Burst: 3000}), 52 * s, 1200},
		{"customer gone and back has nothing", func(h *limit.Holder) {
			h.SetLimits(40*s, nil)
			set(full)(h)
		}, 40 * s, 0},
		{"a seat less takes what no longer fits", func(h *limit.Holder) {
			h.RecordLease(55*s, 55*s, "a", []uint32{group}, 600_000, 60*s)
		}, 130*s - 30*s, 600},
		{"all leases over", func(*limit.Holder) {}, 100 * s, 0},
		{"a lease gained again starts empty", func(h *limit.Holder) {
			h.RecordLease(100*s, 100*s, "a", []uint32{group}, 600_000, 60*s)
		}, 101 * s, 60},
		{"an older answer changes nothing", func(h *limit.Holder) {
			h.RecordLease(41*s, 41*s, "a", []uint32{group}, 100_000, 60*s)
			h.RecordLease(42*s, 40*s, "a", []uint32{group}, 600_000, 60*s)
		}, 45 * s, 500},
		{"stopped for good", func(h *limit.Holder) {
			h.Stop(41 * s)
			h.RecordLease(41*s, 41*s, "a", []uint32{group}, 600_000, 60*s)
		}, 60 * s, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := limit.NewHolder(limit.HolderConfig{RaiseDelay: 10 * s})
			h.SetLimits(0, []limit.Customer{{Name: sur, Limits: full}})
			h.RecordLease(0, 0, "a", []uint32{group}, 600_000, 60*s)
			h.RecordLease(0, 0, "b", []uint32{group}, 400_000, 60*s)
			g, known := h.Charge(30*s, sur, 1, false)
			is.True(known)
			is.Equal(h.Settle(30*s, sur, g.Serial, 1), int64(1))
			tt.do(h)
			g, _ = h.Charge(tt.at, sur, limit.MaxBurst, false)
			is.Equal(g.Level, tt.want)
		})
	}
}

func TestRetryAfter(t *testing.T) {
	terms := limit.Limits{Rate: 100, Burst: 1000}
	half := func(level int64) limit.BucketState {
		return limit.BucketState{Share: limit.FullShare / 2, Level: level}
	}
	tests := []struct {
		name   string
		have   []limit.BucketState
		tokens int64
		want   time.Duration
		ok     bool
	}{
		{"there already", []limit.BucketState{half(300)}, 300, 0, true},
		{"one accrues", []limit.BucketState{half(0)}, 100, 2 * time.Second, true},
		{"two accrue", []limit.BucketState{half(0), half(100)}, 200, time.Second, true},
		{"one fills before", []limit.BucketState{half(450), half(0)}, 600, 2 * time.Second, true},
		{"never", []limit.BucketState{half(0)}, 501, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := limit.RetryAfter(terms, tt.have, tt.tokens)
			is.Equal(ok, tt.ok)
			is.Equal(got, tt.want)
		})
	}
}
