package limit

import (
	"math"
	"sort"
	"time"
)

// BucketState is the part of a customer's bucket that one holder has.
type BucketState struct {
	Share int64 // parts per million
	Level int64 // tokens
}

// RetryAfter returns the time after which the holders together have the tokens, provided that
// nobody else takes any. It returns false if they will never have them.
func RetryAfter(t Limits, holders []BucketState, tokens int64) (time.Duration, bool) {
	type source struct {
		rate     float64 // tokens per second
		fillTime float64 // seconds until the bucket is full
	}
	shortfall := float64(tokens)
	sources := make([]source, 0, len(holders))
	rate := 0.0
	for _, h := range holders {
		shortfall -= float64(h.Level)
		s := source{rate: float64(t.Rate) * float64(h.Share) / FullShare}
		room := float64(t.Burst)*float64(h.Share)/FullShare - float64(h.Level)
		if s.rate <= 0 || room <= 0 {
			continue
		}
		s.fillTime = room / s.rate
		sources = append(sources, s)
		rate += s.rate
	}
	if shortfall <= 0 {
		return 0, true
	}
	sort.Slice(sources, func(i, j int) bool { return sources[i].fillTime < sources[j].fillTime })
	at := 0.0
	for _, s := range sources {
		if accrued := rate * (s.fillTime - at); accrued < shortfall {
			shortfall -= accrued
			rate -= s.rate
			at = s.fillTime
			continue
		}
		at += shortfall / rate
		return time.Duration(math.Ceil(at * float64(time.Second))), true
	}
	return 0, false
}
