package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/tick"
)

// This file evaluates two simpler designs under the load of the steady tests of package quota: nine
// instances, and a customer at 0.9 of its rate whose burst is four seconds of the rate.

const (
	altRate      = 10_000 // tokens per second
	altBurst     = 4 * altRate
	altCharged   = 1000 // tokens that a request is charged
	altUsed      = 600  // tokens that a request uses
	altInstances = 9
)

// runStaticShares gives each instance a fixed share without loans. It returns how many of the
// requests are rejected.
func runStaticShares(pick func(tick.Instant) int) (rejected, sent int) {
	buckets := make([]*limit.Bucket, altInstances)
	for i := range buckets {
		buckets[i] = limit.NewBucket(0, limit.Limits{Rate: altRate, Burst: altBurst})
		buckets[i].SetShare(0, limit.FullShare/altInstances)
	}
	type open struct {
		at     tick.Instant
		b      *limit.Bucket
		serial uint64
	}
	var running []open
	const from, to = 60 * time.Second, 120 * time.Second
	const every = time.Second * altUsed * 10 / (9 * altRate)
	for now := from; now < to; now += every {
		for len(running) > 0 && running[0].at <= now {
			running[0].b.Settle(now, running[0].serial, altCharged-altUsed)
			running = running[1:]
		}
		sent++
		b := buckets[pick(now)]
		serial, _ := b.Charge(now, altCharged, false)
		if serial == 0 {
			rejected++
			continue
		}
		running = append(running, open{now + 2*time.Second, b, serial})
	}
	return rejected, sent
}

// TestAlternativeStaticShares logs how many requests a design with static shares rejects.
func TestAlternativeStaticShares(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 7))
	tests := []struct {
		name string
		pick func(tick.Instant) int
	}{
		{"all on one instance", func(tick.Instant) int { return 0 }},
		{"hopping", func(now tick.Instant) int { return int(now/(2*time.Second)) % altInstances }},
		{"spread", func(tick.Instant) int { return rnd.IntN(altInstances) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rejected, sent := runStaticShares(tt.pick)
			t.Logf("%d of %d rejected", rejected, sent)
			is.True(sent > 800)
		})
	}
}

// TestAlternativeHomeWithoutLeases shows that homes need leases: for ten seconds two instances both
// act as the home of a customer, each with the whole bucket, and together exceed the bound.
func TestAlternativeHomeWithoutLeases(t *testing.T) {
	is := is.New(t)
	const split = 10 * time.Second
	limits := limit.Limits{Rate: altRate, Burst: altBurst}
	admitted := int64(0)
	for range 2 {
		b := limit.NewBucket(0, limits)
		b.SetShare(0, limit.FullShare)
		for now := 60 * time.Second; now <= 60*time.Second+split; now += time.Millisecond {
			_, taken := b.Charge(now, 100, true)
			admitted += taken
		}
	}
	bound := int64(altBurst + altRate*split.Seconds())
	t.Logf("%d admitted in %v, the bound is %d", admitted, split, bound)
	is.True(admitted > bound) // the design exceeds the bound
}
