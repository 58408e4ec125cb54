package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/seeds"
	"wasabidock.dev/dock/tick"
)

const (
	sur      = ident.Customer("sur")
	leaseTTL = 2400 * time.Millisecond
)

// holder is a Holder with its own clock.
type holder struct {
	h     *limit.Holder
	node  ident.Node
	speed float64
}

func (n holder) at(now tick.Instant) tick.Instant {
	return time.Hour + time.Duration(float64(now)*n.speed)
}

// response is a lease response on its way to a holder.
type response struct {
	at        tick.Instant // time of arrival
	requested tick.Instant // time of the request by the holder's clock
	holder    int
	share     int64
}

// event is a lease granted to a holder or a token used by it.
type event struct {
	at     tick.Instant
	holder int
}

// TestOneHolderAtATime guards against two holders that use the same share at once. Two holders
// request leases from one lessor. Responses arrive late, the clocks run at different speeds, and
// the process of the lessor is replaced. The grants of one holder must be used before the lessor
// leases to the other.
func TestOneHolderAtATime(t *testing.T) {
	used := 0
	seeds.Check(t, schedules, func(t *rapid.T) {
		group := limit.GroupOf(sur)
		lessor := limit.NewLessor(limit.LessorConfig{MaxLeaseTTL: leaseTTL, RaiseDelay: time.Millisecond})
		lessor.SetShare(0, million)
		holders := make([]holder, 2)
		for i := range holders {
			holders[i] = holder{limit.NewHolder(limit.HolderConfig{}), ident.Node{Instance: "a", Incarnation: uint64(i)}, rapid.Float64Range(0.995, 1.005).Draw(t, "speed")}
			holders[i].h.SetLimits(0, []limit.Customer{{Name: sur, Limits: limit.Limits{Rate: limit.MaxRate, Burst: limit.MaxBurst}}})
		}
		var responses []response
		var grants, uses []event
		now := tick.Instant(0)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			before := now
			now += time.Duration(rapid.SampledFrom([]int{1, 50, 300, 1000, 3000}).Draw(t, "wait")) * time.Millisecond
			heartbeats(lessor, before, now)
			i := rapid.IntRange(0, 1).Draw(t, "tenant")
			n := holders[i]
			lessor.Heartbeat(now)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				requested := n.at(now)
				now += time.Duration(rapid.IntRange(0, 200).Draw(t, "way")) * time.Millisecond
				if granted, share := lessor.Grant(now, n.node, []uint32{group}, leaseTTL); len(granted) > 0 {
					grants = append(grants, event{now, i})
					late := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 500, 1500, 5000}).Draw(t, "late")) * time.Millisecond
					responses = append(responses, response{now + late, requested, i, share})
				}
			case 2:
				if rapid.IntRange(0, 9).Draw(t, "replace") == 0 {
					lessor = limit.NewLessor(limit.LessorConfig{Start: now, MaxLeaseTTL: leaseTTL, RaiseDelay: time.Millisecond})
					lessor.SetShare(now, million)
				}
			default:
				responses = deliver(responses, holders, now, group)
				if g, _ := n.h.Charge(n.at(now), sur, 1, false); g.Serial != 0 {
					wait := time.Duration(rapid.SampledFrom([]int64{0, int64(limit.GrantTTL)}).Draw(t, "use"))
					uses = append(uses, event{now + wait, i})
				}
			}
		}
		used += len(uses)
		for _, u := range uses {
			if g := lastBefore(grants, u.at); g.holder != u.holder {
				t.Fatalf("holder %d used a grant at %v, but the lessor had leased to %d at %v", u.holder, u.at, g.holder, g.at)
			}
		}
	})
	if used < 1000 {
		t.Fatalf("only %d grants were used", used)
	}
}

// deliver hands the responses that have arrived to their holders.
func deliver(responses []response, holders []holder, now tick.Instant, group uint32) []response {
	var left []response
	for _, a := range responses {
		if a.at > now {
			left = append(left, a)
			continue
		}
		n := holders[a.holder]
		n.h.RecordLease(n.at(now), a.requested, "seat", []uint32{group}, a.share, leaseTTL)
	}
	return left
}

// lastBefore returns the last lease granted up to at.
func lastBefore(grants []event, at tick.Instant) event {
	last := event{holder: -1}
	for _, g := range grants {
		if g.at <= at {
			last = g
		}
	}
	return last
}

// TestLessor guards against leases to two holders at once and against a larger share that takes
// effect too early.
func TestLessor(t *testing.T) {
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
		{"new process grants nothing", func(*limit.Lessor) {}, 2 * s, x, 0},
		{"share of a new process before the raise delay", func(*limit.Lessor) {}, 12 * s, x, 0},
		{"share of a new process after the raise delay", func(*limit.Lessor) {}, 13 * s, x, 100},
		{"confirmed share after leases expired", func(l *limit.Lessor) { l.ConfirmShare(0) }, 2100 * time.Millisecond, x, 100},
		{"confirmed share before leases expired", func(l *limit.Lessor) { l.ConfirmShare(0) }, 2 * s, x, 0},
		{"leased to another holder", func(l *limit.Lessor) { l.Grant(20*s, x, []uint32{3}, 2*s) }, 22 * s, y, 0},
		{"lease expired", func(l *limit.Lessor) { l.Grant(20*s, x, []uint32{3}, 2*s) }, 22100 * time.Millisecond, y, 100},
		{"lease renewed by its holder", func(l *limit.Lessor) { l.Grant(20*s, x, []uint32{3}, 2*s) }, 21 * s, x, 100},
		{"lease released", func(l *limit.Lessor) {
			l.Grant(20*s, x, []uint32{3}, 2*s)
			l.Release(21*s, x, []uint32{3})
		}, 21 * s, y, 100},
		{"lease released by another holder", func(l *limit.Lessor) {
			l.Grant(20*s, x, []uint32{3}, 2*s)
			l.Release(21*s, y, []uint32{3})
		}, 21 * s, y, 0},
		{"smaller share takes effect at once", func(l *limit.Lessor) { l.SetShare(20*s, 40) }, 20 * s, x, 40},
		{"larger share before the raise delay", func(l *limit.Lessor) { l.SetShare(20*s, 400) }, 31 * s, x, 100},
		{"larger share after the raise delay", func(l *limit.Lessor) { l.SetShare(20*s, 400) }, 33 * s, x, 400},
		{"larger share withdrawn before it takes effect", func(l *limit.Lessor) {
			l.SetShare(20*s, 400)
			l.SetShare(21*s, 50)
		}, 40 * s, x, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := limit.NewLessor(cfg)
			l.SetShare(0, 100)
			if tt.at > 15*s {
				heartbeats(l, 0, 20*s)
			}
			tt.do(l)
			heartbeats(l, 20*s, tt.at)
			heartbeats(l, 0, min(tt.at, 20*s))
			_, share := l.Grant(tt.at, tt.who, []uint32{3}, 2*s)
			granted, _ := l.Grant(tt.at, tt.who, []uint32{3}, 2*s)
			if len(granted) == 0 {
				share = 0
			}
			is.Equal(share, tt.want)
		})
	}
}

// heartbeats calls Heartbeat every second from one time to another.
func heartbeats(l *limit.Lessor, from, to tick.Instant) {
	for at := from; at <= to; at += time.Second {
		l.Heartbeat(at)
	}
}

// TestLessorAfterPause guards against leases by a process that was replaced during a pause.
func TestLessorAfterPause(t *testing.T) {
	is := is.New(t)
	const s = time.Second
	x := ident.Node{Instance: "x"}
	l := limit.NewLessor(limit.LessorConfig{MaxLeaseTTL: 2 * s, RaiseDelay: s})
	l.SetShare(0, 100)
	heartbeats(l, 0, 10*s)
	granted, _ := l.Grant(10*s, x, []uint32{1}, s)
	is.Equal(len(granted), 1)
	granted, _ = l.Grant(14*s, x, []uint32{1}, s)
	is.Equal(len(granted), 0) // the process was paused
	heartbeats(l, 14*s, 16*s)
	granted, _ = l.Grant(16*s, x, []uint32{1}, s)
	is.Equal(len(granted), 0) // the process may have been replaced
	heartbeats(l, 16*s, 17*s)
	granted, _ = l.Grant(17*s, x, []uint32{1}, s)
	is.Equal(len(granted), 1)
}

// TestHolderLimitsAndShares guards against tokens created by a change of limits or leases.
func TestHolderLimitsAndShares(t *testing.T) {
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
		{"smaller burst takes effect at once", set(limit.Limits{Rate: 100, Burst: 300}), 40 * s, 300},
		{"larger burst before the raise delay", set(limit.Limits{Rate: 100, Burst: 3000}), 49 * s, 1000},
		{"larger burst fills at the rate after the raise delay", set(limit.Limits{Rate: 100, Burst: 3000}), 52 * s, 1200},
		{"customer removed and added again has no tokens", func(h *limit.Holder) {
			h.SetLimits(40*s, nil)
			set(full)(h)
		}, 40 * s, 0},
		{"tokens beyond the burst are discarded when a lease expires", func(h *limit.Holder) {
			h.RecordLease(55*s, 55*s, "a", []uint32{group}, 600_000, 60*s)
		}, 130*s - 30*s, 600},
		{"all leases expired", func(*limit.Holder) {}, 100 * s, 0},
		{"bucket is empty when leased again", func(h *limit.Holder) {
			h.RecordLease(100*s, 100*s, "a", []uint32{group}, 600_000, 60*s)
		}, 101 * s, 60},
		{"response to an older request is ignored", func(h *limit.Holder) {
			h.RecordLease(41*s, 41*s, "a", []uint32{group}, 100_000, 60*s)
			h.RecordLease(42*s, 40*s, "a", []uint32{group}, 600_000, 60*s)
		}, 45 * s, 500},
		{"lease after Stop is ignored", func(h *limit.Holder) {
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

// TestRetryAfter guards against a Retry-After time before which the tokens have not accrued, or
// that is much longer than necessary.
func TestRetryAfter(t *testing.T) {
	limits := limit.Limits{Rate: 100, Burst: 1000}
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
		{"tokens are there already", []limit.BucketState{half(300)}, 300, 0, true},
		{"one holder accrues", []limit.BucketState{half(0)}, 100, 2 * time.Second, true},
		{"two holders accrue", []limit.BucketState{half(0), half(100)}, 200, time.Second, true},
		{"one bucket fills first", []limit.BucketState{half(450), half(0)}, 600, 2 * time.Second, true},
		{"never", []limit.BucketState{half(0)}, 501, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := limit.RetryAfter(limits, tt.have, tt.tokens)
			is.Equal(ok, tt.ok)
			is.Equal(got, tt.want)
		})
	}
}
