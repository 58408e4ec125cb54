package limit

import (
	"math"
	"sort"
	"time"
)

// BucketState is what one holder has of a customer's bucket.
type BucketState struct {
	Share int64 // parts per million
	Level int64 // tokens
}

// RetryAfter returns the time after which the holders together have tokens, if
// nobody else takes any. It is false if they never will.
func RetryAfter(t Limits, holders []BucketState, tokens int64) (time.Duration, bool) {
	type source struct {
		rate float64 // tokens per second
		full float64 // seconds until the bucket is full
	}
	missing := float64(tokens)
	set := make([]source, 0, len(holders))
	rate := 0.0
	for _, h := range holders {
		missing -= float64(h.Level)
		s := source{rate: float64(t.Rate) * float64(h.Share) / FullShare}
		room := float64(t.Burst)*float64(h.Share)/FullShare - float64(h.Level)
		if s.rate <= 0 || room <= 0 {
			continue
		}
		s.full = room / s.rate
		set = append(set, s)
		rate += s.rate
	}
	if missing <= 0 {
		return 0, true
	}
	sort.Slice(set, func(i, j int) bool { return set[i].full < set[j].full })
	at := 0.0
	for _, s := range set {
		if made := rate * (s.full - at); made < missing {
			missing -= made
			rate -= s.rate
			at = s.full
			continue
		}
		at += missing / rate
		return time.Duration(math.Ceil(at * float64(time.Second))), true
	}
	return 0, false
}
