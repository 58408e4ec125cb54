package plat

import (
	"math/rand/v2"
	"time"
)

// Backoff spreads retries: each wait is drawn at random up to a ceiling that
// doubles with each failure. It is not safe for concurrent use.
type Backoff struct {
	First  time.Duration // ceiling of the first wait
	Max    time.Duration // ceiling of all waits
	Random *rand.Rand

	ceiling time.Duration
}

// Next returns the time to wait after a failure.
func (b *Backoff) Next() time.Duration {
	if b.ceiling == 0 {
		b.ceiling = b.First
	}
	wait := b.ceiling/2 + time.Duration(b.Random.Int64N(int64(b.ceiling/2)+1))
	b.ceiling = min(2*b.ceiling, b.Max)
	return wait
}

// Reset is called after a success.
func (b *Backoff) Reset() { b.ceiling = 0 }
