package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/limit"
	"wasabidock.dev/dock/tick"
)

// This file weighs two simpler designs on the load of the steady tests: nine
// instances, a customer at 0.9 of its rate with a burst of four seconds of it.

const (
	weighRate  = 10_000
	weighBurst = 4 * weighRate
	weighAsk   = 1000
	weighUse   = 600
	weighSeats = 9
)

// staticShares gives each instance its share and lends nothing. It returns how
// many of the requests it refuses.
func staticShares(pick func(tick.Instant) int) (refused, sent int) {
	buckets := make([]*limit.Bucket, weighSeats)
	for i := range buckets {
		buckets[i] = limit.NewBucket(0, limit.Limits{Rate: weighRate, Burst: weighBurst})
		buckets[i].SetShare(0, limit.FullShare/weighSeats)
	}
	type open struct {
		at     tick.Instant
		b      *limit.Bucket
		serial uint64
	}
	var running []open
	const from, to = 60 * time.Second, 120 * time.Second
	const every = time.Second * weighUse * 10 / (9 * weighRate)
	for now := from; now < to; now += every {
		for len(running) > 0 && running[0].at <= now {
			running[0].b.Settle(now, running[0].serial, weighAsk-weighUse)
			running = running[1:]
		}
		sent++
		b := buckets[pick(now)]
		serial, _ := b.Charge(now, weighAsk, false)
		if serial == 0 {
			refused++
			continue
		}
		running = append(running, open{now + 2*time.Second, b, serial})
	}
	return refused, sent
}

func TestWeighStaticShares(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 7))
	tests := []struct {
		name string
		pick func(tick.Instant) int
	}{
		{"all on one instance", func(tick.Instant) int { return 0 }},
		{"hopping", func(now tick.Instant) int { return int(now/(2*time.Second)) % weighSeats }},
		{"spread", func(tick.Instant) int { return rnd.IntN(weighSeats) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			refused, sent := staticShares(tt.pick)
			t.Logf("%d of %d refused", refused, sent)
			is.True(sent > 800)
		})
	}
}

// TestWeighHomeWithoutLeases lets two instances both believe for ten seconds
// that they are home of a customer, each with the whole bucket.
func TestWeighHomeWithoutLeases(t *testing.T) {
	is := is.New(t)
	const split = 10 * time.Second
	terms := limit.Limits{Rate: weighRate, Burst: weighBurst}
	admitted := int64(0)
	for range 2 {
		b := limit.NewBucket(0, terms)
		b.SetShare(0, limit.FullShare)
		for now := 60 * time.Second; now <= 60*time.Second+split; now += time.Millisecond {
			_, taken := b.Charge(now, 100, true)
			admitted += taken
		}
	}
	bound := int64(weighBurst + weighRate*split.Seconds())
	t.Logf("%d admitted in %v, the bound is %d", admitted, split, bound)
	is.True(admitted > bound) // the design breaks the bound
}
