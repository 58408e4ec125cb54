package share

import (
	"context"
	"slices"
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

// A request that waits for tokens looks for them each recheckMost at least, since
// peers may be found and their charges be heard meanwhile, and not more often
// than each recheckLeast.
const (
	recheckLeast = time.Millisecond
	recheckMost  = 20 * time.Millisecond
)

// ticket is a request that asks for tokens.
type ticket struct {
	customer *route.Customer
	tokens   int
	end      tick.Instant // until when it can wait
}

// verdict is what becomes of a ticket.
type verdict int

const (
	granted verdict = iota
	waiting
	denied
)

// Admit takes tokens from a customer's bucket. If there are not enough, it waits
// for them in turn, for patience at most; who can wait least goes first. As soon
// as it is known that they will not be there by then, it takes none and returns
// the time after which the request may come again, 0 if ctx has ended.
//
// A customer that is a little over its limit for a moment is served a little
// later in this way, where a refusal costs the caller a return.
func (l *Limiter) Admit(ctx context.Context, c *route.Customer, tokens int, patience time.Duration) (time.Duration, bool) {
	if c.Rate <= 0 {
		return 0, true
	}
	t := &ticket{customer: c, tokens: tokens, end: l.clock.Now() + patience}
	defer l.quit(t)
	for {
		wait, v := l.ask(t)
		if v != waiting {
			return wait, v == granted
		}
		if tick.Sleep(ctx, l.clock, min(max(wait, recheckLeast), recheckMost)) != nil {
			return 0, false
		}
	}
}

// ask tells what becomes of a ticket, and after which time its tokens will be
// there if it is not granted.
func (l *Limiter) ask(t *ticket) (time.Duration, verdict) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(t.customer, now)
	part := l.part(now)
	rate := t.customer.Rate * part
	ahead := b.ahead(t)
	// A request larger than the burst goes when the bucket is full.
	least := min(float64(t.tokens)-rate*overdraft.Seconds(), b.burst*part)
	if ahead == 0 && b.level >= least {
		b.level -= float64(t.tokens)
		b.own += int64(t.tokens)
		return 0, granted
	}
	wait := (least - b.level + ahead) / rate
	// A process that has just started does not know yet what it may use.
	if now < t.end && (now+seconds(wait) <= t.end || l.finding(now)) {
		b.join(t)
		return seconds(wait), waiting
	}
	wait += (b.due + l.dueElsewhere(t.customer.Name, now)) / rate
	b.due += float64(t.tokens)
	return seconds(wait), denied
}

// seconds returns a time of at most mostWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, mostWait.Seconds()) * float64(time.Second))
}

// ahead returns the tokens of those that wait and go before a ticket.
func (b *bucket) ahead(t *ticket) float64 {
	sum := 0
	for _, o := range b.line {
		if o == t || o.end > t.end {
			break
		}
		sum += o.tokens
	}
	return float64(sum)
}

// join has a ticket wait, unless it does already. Those that can wait least go
// first.
func (b *bucket) join(t *ticket) {
	if slices.Contains(b.line, t) {
		return
	}
	i := slices.IndexFunc(b.line, func(o *ticket) bool { return o.end > t.end })
	if i < 0 {
		i = len(b.line)
	}
	b.line = slices.Insert(b.line, i, t)
}

// quit takes a ticket out of the line.
func (l *Limiter) quit(t *ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[t.customer.Name]; ok {
		b.line = slices.DeleteFunc(b.line, func(o *ticket) bool { return o == t })
	}
}
