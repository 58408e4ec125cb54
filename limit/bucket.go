package limit

import (
	"math/bits"
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// MaxRate is the largest rate of a customer, in tokens per second. A larger rate is reduced to
	// it.
	MaxRate = 1_000_000_000
	// MaxBurst is the largest burst of a customer, in tokens. A larger burst is reduced to it.
	MaxBurst = 1_000_000_000_000

	// microPerToken is the number of microtokens in a token.
	microPerToken = FullShare

	// unsettledTTL is the time after which a charge that was not settled counts as fully used.
	unsettledTTL = 15 * time.Minute
)

// Bucket is a token bucket that holds a share of a customer's rate and burst.
//
// Amounts are in microtokens, so that a share in parts per million of a whole number of tokens is
// exact.
type Bucket struct {
	limits    Limits
	share     int64        // parts per million
	level     int64        // microtokens that can be granted
	inFlight  int64        // microtokens granted less than GrantTTL ago, which may still be unspent
	remainder uint64       // remainder of the last refill, in billionths of a microtoken
	at        tick.Instant // time of the last refill

	serial      uint64            // serial of the last charge
	unsettled   map[uint64]charge // charges by serial
	pending     []chargeEnd       // charges that may not be spent yet, ordered by end
	spent       []chargeEnd       // spent charges that may not be settled yet, ordered by end
	minHeadroom headroomTracker
}

// charge is a charge that was not settled yet.
type charge struct {
	amount int64        // microtokens
	end    tick.Instant // expiry of the grant; afterwards its tokens are spent or can no longer be used
}

// chargeEnd is the time at which the grant of a charge expires.
type chargeEnd struct {
	serial uint64
	end    tick.Instant
}

// NewBucket returns an empty bucket whose share is zero.
func NewBucket(now tick.Instant, t Limits) *Bucket {
	return &Bucket{limits: t.bounded(), at: now, unsettled: make(map[uint64]charge)}
}

// Charge takes tokens from the bucket. It returns the serial of the charge and the number of tokens
// taken. If the bucket has fewer tokens, Charge takes all whole tokens if partial is set, and none
// otherwise. The serial is zero if no tokens were taken.
func (b *Bucket) Charge(now tick.Instant, tokens int64, partial bool) (serial uint64, taken int64) {
	now = b.advance(now)
	if tokens <= 0 || tokens > MaxBurst {
		return 0, 0
	}
	if have := b.level / microPerToken; have < tokens {
		if !partial || have == 0 {
			return 0, 0
		}
		tokens = have
	}
	b.serial++
	c := charge{amount: tokens * microPerToken, end: now + extendForDrift(GrantTTL)}
	b.level -= c.amount
	b.inFlight += c.amount
	b.unsettled[b.serial] = c
	b.pending = append(b.pending, chargeEnd{b.serial, c.end})
	return b.serial, tokens
}

// Settle refunds the unused tokens of a charge and returns how many microtokens the bucket
// accepted. It returns zero if the charge is unknown or was settled before.
//
// The level afterwards is the level that the bucket would have if the charge had been smaller from
// the start. A refund therefore never exceeds the least headroom that the bucket had since the
// charge was spent.
func (b *Bucket) Settle(now tick.Instant, serial uint64, unused int64) int64 {
	b.advance(now)
	c, ok := b.unsettled[serial]
	if !ok {
		return 0
	}
	delete(b.unsettled, serial)
	unused = min(max(unused, 0), c.amount/microPerToken) * microPerToken
	b.minHeadroom.lower(b.headroom())
	if c.end > b.at {
		b.inFlight -= c.amount
		credit := min(unused, max(b.headroom(), 0))
		b.level += credit
		return credit
	}
	credit := b.minHeadroom.settle(serial, unused)
	b.level += credit
	return credit
}

// SetShare changes the share, in parts per million. A larger share adds no tokens. A smaller share
// discards the tokens that exceed the new burst.
func (b *Bucket) SetShare(now tick.Instant, share int64) {
	b.advance(now)
	b.minHeadroom.lower(b.headroom())
	b.share = min(max(share, 0), FullShare)
	b.clamp()
}

// SetLimits changes rate and burst. A larger burst adds no tokens. A smaller burst discards the
// tokens that exceed it.
func (b *Bucket) SetLimits(now tick.Instant, t Limits) {
	b.advance(now)
	b.minHeadroom.lower(b.headroom())
	b.limits = t.bounded()
	b.clamp()
}

// Level returns the number of whole tokens that can be charged.
func (b *Bucket) Level(now tick.Instant) int64 {
	b.advance(now)
	return b.level / microPerToken
}

// InFlight returns the number of tokens that were granted less than GrantTTL ago. They may still be
// unspent.
func (b *Bucket) InFlight(now tick.Instant) int64 {
	b.advance(now)
	return b.inFlight / microPerToken
}

// Limits returns the rate and burst for the whole fleet.
func (b *Bucket) Limits() Limits { return b.limits }

// advance refills the bucket up to now and ends the grants that have expired. It returns the time
// of the bucket, which never decreases.
func (b *Bucket) advance(now tick.Instant) tick.Instant {
	for len(b.pending) > 0 && b.pending[0].end <= now {
		e := b.pending[0]
		b.pending = b.pending[1:]
		b.endGrant(e)
	}
	b.refill(now)
	b.prune()
	return b.at
}

// endGrant ends one grant. Its tokens no longer count against the burst.
func (b *Bucket) endGrant(e chargeEnd) {
	c, ok := b.unsettled[e.serial]
	if !ok {
		return
	}
	b.refill(e.end)
	b.minHeadroom.lower(b.headroom())
	b.inFlight -= c.amount
	b.minHeadroom.push(e.serial, max(b.headroom(), 0))
	b.spent = append(b.spent, e)
}

// refill adds the tokens that accrued since the last call. No other function creates tokens.
func (b *Bucket) refill(now tick.Instant) {
	d := now - b.at
	if d <= 0 {
		return
	}
	b.at = now
	headroom := b.headroom()
	if headroom <= 0 {
		b.remainder = 0
		return
	}
	hi, lo := bits.Mul64(uint64(b.limits.Rate*b.share), uint64(d))
	lo, carry := bits.Add64(lo, b.remainder, 0)
	hi += carry
	if hi >= uint64(time.Second) {
		b.level += headroom
		b.remainder = 0
		return
	}
	accrued, remainder := bits.Div64(hi, lo, uint64(time.Second))
	if accrued >= uint64(headroom) {
		b.level += headroom
		b.remainder = 0
		return
	}
	b.level += int64(accrued)
	b.remainder = remainder
}

// prune removes the records of charges that are settled or older than unsettledTTL.
func (b *Bucket) prune() {
	for len(b.spent) > 0 {
		e := b.spent[0]
		if _, ok := b.unsettled[e.serial]; ok {
			if b.at-e.end < unsettledTTL {
				return
			}
			delete(b.unsettled, e.serial)
			b.minHeadroom.settle(e.serial, 0)
		}
		b.spent = b.spent[1:]
	}
}

// headroom returns how many microtokens the bucket can take before it is full. It is negative while
// tokens that were granted from a larger share than the present one may still be unspent.
func (b *Bucket) headroom() int64 {
	return b.limits.Burst*b.share - b.level - b.inFlight
}

// clamp discards the tokens that exceed the burst.
func (b *Bucket) clamp() {
	if r := b.headroom(); r < 0 {
		b.level = max(0, b.level+r)
	}
	b.minHeadroom.lower(max(b.headroom(), 0))
}

// bounded returns the limits within zero and MaxRate or MaxBurst.
func (t Limits) bounded() Limits {
	return Limits{Rate: min(max(t.Rate, 0), MaxRate), Burst: min(max(t.Burst, 0), MaxBurst)}
}
