package rate

import (
	"context"
	"slices"
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// A queued request checks for tokens again after minRecheck to maxRecheck. It does not
// sleep longer, because the level of the bucket also changes when peers are discovered
// or report charges.
const (
	minRecheck = time.Millisecond
	maxRecheck = 20 * time.Millisecond
)

// waiter is a request for tokens that may be queued.
type waiter struct {
	customer *route.Customer
	tokens   int
	deadline tick.Instant // instant at which the request stops waiting
}

// decision is the result of one attempt to admit a request.
type decision int

const (
	admitted decision = iota
	queued
	rejected
)

// Admit takes tokens from a customer's bucket and reports whether it did. If the bucket
// has too few tokens, the request is queued for at most maxWait, earliest deadline first.
// As soon as Admit determines that the tokens will not be available in time, it takes none
// and returns the time after which the caller may retry. If ctx ends, Admit takes no tokens
// and returns 0. A customer without a rate has no limit.
//
// The queue briefly delays the requests of a customer that exceeds its limit slightly for
// a moment. A rejection would cost the caller a retry.
func (l *Limiter) Admit(ctx context.Context, c *route.Customer, tokens int, maxWait time.Duration) (time.Duration, bool) {
	if c.Rate <= 0 {
		return 0, true
	}
	w := &waiter{customer: c, tokens: tokens, deadline: l.clock.Now() + maxWait}
	defer l.dequeue(w)
	for {
		wait, v := l.tryAdmit(w)
		if v != queued {
			return wait, v == admitted
		}
		if tick.Sleep(ctx, l.clock, min(max(wait, minRecheck), maxRecheck)) != nil {
			return 0, false
		}
	}
}

// tryAdmit decides on a request without waiting. If the request is not admitted, the
// returned duration is the time until its tokens are available, at most maxRetryAfter.
func (l *Limiter) tryAdmit(w *waiter) (time.Duration, decision) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w.customer, now)
	fraction := l.fraction(now)
	rate := w.customer.Rate * fraction
	tokensAhead := b.tokensAhead(w)
	// A request larger than the burst is admitted when the bucket is full.
	required := min(float64(w.tokens)-rate*overdraftTime.Seconds(), b.burst*fraction)
	if tokensAhead == 0 && b.level >= required {
		b.level -= float64(w.tokens)
		b.charged += int64(w.tokens)
		return 0, admitted
	}
	wait := (required - b.level + tokensAhead) / rate
	// While a process discovers its peers, its fraction may still grow. Requests are
	// therefore queued even if their tokens seem to be available too late.
	if now < w.deadline && (now+cappedDelay(wait) <= w.deadline || l.discovering(now)) {
		b.enqueue(w)
		return cappedDelay(wait), queued
	}
	wait += (b.retryTokens + l.peerRetryTokens(w.customer.Name, now)) / rate
	b.retryTokens += float64(w.tokens)
	return cappedDelay(wait), rejected
}

// cappedDelay converts seconds to a duration of at most maxRetryAfter.
func cappedDelay(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// tokensAhead returns the tokens of the queued requests that precede w.
func (b *bucket) tokensAhead(w *waiter) float64 {
	sum := 0
	for _, o := range b.queue {
		if o == w || o.deadline > w.deadline {
			break
		}
		sum += o.tokens
	}
	return float64(sum)
}

// enqueue adds w to the queue, earliest deadline first, unless it is queued already.
func (b *bucket) enqueue(w *waiter) {
	if slices.Contains(b.queue, w) {
		return
	}
	i := slices.IndexFunc(b.queue, func(o *waiter) bool { return o.deadline > w.deadline })
	if i < 0 {
		i = len(b.queue)
	}
	b.queue = slices.Insert(b.queue, i, w)
}

// dequeue removes w from the queue if it is queued.
func (l *Limiter) dequeue(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[w.customer.Name]; ok {
		b.queue = slices.DeleteFunc(b.queue, func(o *waiter) bool { return o == w })
	}
}
