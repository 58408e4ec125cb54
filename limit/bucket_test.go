package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/seeds"
	"wasabidock.dev/dock/tick"
)

const (
	million = 1_000_000
	// schedules is the number of random schedules with which a property is checked.
	schedules = 3000
)

// referenceBucket is a token bucket from which the tokens of each charge are taken when they are
// used. Its level falls below zero if and only if some window holds more than burst + rate x
// window.
type referenceBucket struct {
	level int64 // microtokens
	burst int64
	rate  int64 // microtokens per second
	at    tick.Instant
}

func (r *referenceBucket) use(at tick.Instant, amount int64) bool {
	// Rounded up: the level is at most one microtoken too high.
	d := at - r.at
	accrued := int64(d/time.Second)*r.rate + (int64(d%time.Second)*r.rate+int64(time.Second)-1)/int64(time.Second)
	r.level = min(r.burst, r.level+accrued)
	r.at = at
	r.level -= amount
	return r.level >= 0
}

// use is an amount of tokens used at one time.
type use struct {
	at     tick.Instant
	amount int64 // microtokens
}

// TestBucketBound guards against a bucket that grants more than rate and burst allow. It charges,
// uses late, settles and waits at random, and compares the tokens used with referenceBucket.
func TestBucketBound(t *testing.T) {
	seeds.Check(t, schedules, func(t *rapid.T) {
		limits := limit.Limits{Rate: rapid.Int64Range(50, 500).Draw(t, "rate"), Burst: rapid.Int64Range(200, 2000).Draw(t, "burst")}
		share := rapid.SampledFrom([]int64{million, million / 3, 111_111}).Draw(t, "share")
		b := limit.NewBucket(0, limits)
		b.SetShare(0, share)
		now := tick.Instant(0)
		serials := []uint64{}
		uses := []use{}
		settled := map[uint64]bool{}
		steps := rapid.IntRange(20, 150).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				now += time.Duration(rapid.Int64Range(0, 2000).Draw(t, "wait")) * time.Millisecond
			case 1, 2:
				serial, taken := b.Charge(now, rapid.Int64Range(1, limits.Burst/2).Draw(t, "tokens"), rapid.Bool().Draw(t, "partial"))
				if serial == 0 {
					continue
				}
				late := time.Duration(rapid.Int64Range(0, int64(limit.GrantTTL)).Draw(t, "late"))
				serials = append(serials, serial)
				uses = append(uses, use{now + late, taken * million})
			case 3:
				if len(serials) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(serials)-1).Draw(t, "charge")
				unused := rapid.SampledFrom([]int64{0, 10, 100, limits.Burst}).Draw(t, "unused")
				credit := b.Settle(now, serials[i], unused)
				if settled[serials[i]] && credit != 0 {
					t.Fatalf("second settlement of charge %d refunded %d microtokens", serials[i], credit)
				}
				settled[serials[i]] = true
				uses[i].amount -= credit
				uses[i].at = min(uses[i].at, now)
			}
		}
		check(t, limits, share, uses)
	})
}

func check(t *rapid.T, limits limit.Limits, share int64, uses []use) {
	sortByInstant(uses)
	r := referenceBucket{level: 0, burst: limits.Burst * share, rate: limits.Rate * share}
	for i, u := range uses {
		if !r.use(u.at, u.amount) {
			t.Fatalf("use %d of %d microtokens at %v exceeds the bound by %d", i, u.amount, u.at, -r.level)
		}
	}
}

func sortByInstant(uses []use) {
	for i := 1; i < len(uses); i++ {
		for j := i; j > 0 && uses[j].at < uses[j-1].at; j-- {
			uses[j], uses[j-1] = uses[j-1], uses[j]
		}
	}
}

// TestBucketSettle guards against refunds that exceed the headroom since the charge or the tokens
// charged.
func TestBucketSettle(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name   string
		charge int64
		wait   time.Duration // from the charge to the settlement
		unused int64
		want   int64 // level right after the settlement
	}{
		{"before the grant expires", 600, s / 2, 500, 900},
		{"level below the burst since the charge", 600, 3 * s, 300, 899},
		{"level at the burst in between", 600, 20 * s, 500, 1000},
		{"part of the headroom", 600, 6 * s, 500, 1000},
		{"more unused tokens than were charged", 600, s / 2, 5000, 1000},
		{"negative number of unused tokens", 600, s / 2, -5, 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := limit.NewBucket(0, limit.Limits{Rate: 100, Burst: 1000})
			b.SetShare(0, million)
			serial, taken := b.Charge(100*s, tt.charge, false)
			is.Equal(taken, tt.charge)
			b.Settle(100*s+tt.wait, serial, tt.unused)
			is.Equal(b.Level(100*s+tt.wait), tt.want)
			is.Equal(b.Settle(100*s+tt.wait, serial, tt.unused), int64(0))
		})
	}
}
