package limit

import (
	"math/bits"
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// MaxRate is the largest rate of a customer. Larger ones count as this.
	MaxRate = 1_000_000_000
	// MaxBurst is the largest burst of a customer. Larger ones count as this.
	MaxBurst = 1_000_000_000_000

	// micro is the number of microtokens in a token.
	micro = FullShare

	// openLife is the time after which a charge that was not settled counts
	// as wholly used.
	openLife = 15 * time.Minute
)

// Bucket is a token bucket over a share of a customer's rate and burst.
//
// Amounts are in microtokens: a share in parts per million of a whole number
// of tokens is then exact.
type Bucket struct {
	terms Limits
	share int64 // parts per million
	level int64 // microtokens that can be granted
	held  int64 // microtokens granted that may not be spent yet
	rest  uint64
	at    tick.Instant

	serial uint64
	open   map[uint64]charge
	flying []flight // charges that may not be spent yet, by end
	landed []flight // open charges that are spent, by end
	rooms  rooms
}

type charge struct {
	amount int64        // microtokens
	end    tick.Instant // the charge is spent or void from here on
}

type flight struct {
	serial uint64
	end    tick.Instant
}

// NewBucket returns an empty bucket without a share.
func NewBucket(now tick.Instant, t Limits) *Bucket {
	return &Bucket{terms: t.bounded(), at: now, open: make(map[uint64]charge)}
}

// Charge takes tokens from the bucket and returns the serial of the charge and
// how many tokens it took. If there are fewer, it takes the whole tokens there
// are if partial is set, and nothing otherwise. The serial is zero if nothing
// was taken.
func (b *Bucket) Charge(now tick.Instant, tokens int64, partial bool) (serial uint64, taken int64) {
	now = b.advance(now)
	if tokens <= 0 || tokens > MaxBurst {
		return 0, 0
	}
	if have := b.level / micro; have < tokens {
		if !partial || have == 0 {
			return 0, 0
		}
		tokens = have
	}
	b.serial++
	c := charge{amount: tokens * micro, end: now + longer(GrantTTL)}
	b.level -= c.amount
	b.held += c.amount
	b.open[b.serial] = c
	b.flying = append(b.flying, flight{b.serial, c.end})
	return b.serial, tokens
}

// Settle gives back the unused tokens of a charge and returns how many
// microtokens the bucket took back. A second Settle of the same charge gives
// back nothing.
//
// The level afterwards is the one that there would be if the charge had been
// smaller from the start, so a credit never exceeds the room that the bucket
// had at every instant since the charge was spent.
func (b *Bucket) Settle(now tick.Instant, serial uint64, unused int64) int64 {
	b.advance(now)
	c, ok := b.open[serial]
	if !ok {
		return 0
	}
	delete(b.open, serial)
	unused = min(max(unused, 0), c.amount/micro) * micro
	b.rooms.lower(b.room())
	if c.end > b.at {
		b.held -= c.amount
		credit := min(unused, max(b.room(), 0))
		b.level += credit
		return credit
	}
	credit := b.rooms.settle(serial, unused)
	b.level += credit
	return credit
}

// SetShare changes the share. A larger share adds no tokens; a smaller one
// takes away the tokens that no longer fit.
func (b *Bucket) SetShare(now tick.Instant, share int64) {
	b.advance(now)
	b.rooms.lower(b.room())
	b.share = min(max(share, 0), FullShare)
	b.clamp()
}

// SetLimits changes rate and burst. A larger burst adds no tokens; a smaller one
// takes away the tokens that no longer fit.
func (b *Bucket) SetLimits(now tick.Instant, t Limits) {
	b.advance(now)
	b.rooms.lower(b.room())
	b.terms = t.bounded()
	b.clamp()
}

// Level returns the whole tokens that can be charged.
func (b *Bucket) Level(now tick.Instant) int64 {
	b.advance(now)
	return b.level / micro
}

// InFlight returns the tokens that were granted and may not be spent yet.
func (b *Bucket) InFlight(now tick.Instant) int64 {
	b.advance(now)
	return b.held / micro
}

// Limits returns rate and burst for the whole fleet.
func (b *Bucket) Limits() Limits { return b.terms }

// advance brings the bucket to now, ends the flights that are over, and
// returns the instant of the bucket, which never goes back.
func (b *Bucket) advance(now tick.Instant) tick.Instant {
	for len(b.flying) > 0 && b.flying[0].end <= now {
		f := b.flying[0]
		b.flying = b.flying[1:]
		b.land(f)
	}
	b.refill(now)
	b.forget()
	return b.at
}

// land ends one flight: what it granted counts against the burst no longer.
func (b *Bucket) land(f flight) {
	c, ok := b.open[f.serial]
	if !ok {
		return
	}
	b.refill(f.end)
	b.rooms.lower(b.room())
	b.held -= c.amount
	b.rooms.push(f.serial, max(b.room(), 0))
	b.landed = append(b.landed, f)
}

// refill creates the tokens that accrued since the last call. No other
// function creates tokens.
func (b *Bucket) refill(now tick.Instant) {
	d := now - b.at
	if d <= 0 {
		return
	}
	b.at = now
	room := b.room()
	if room <= 0 {
		b.rest = 0
		return
	}
	hi, lo := bits.Mul64(uint64(b.terms.Rate*b.share), uint64(d))
	lo, carry := bits.Add64(lo, b.rest, 0)
	hi += carry
	if hi >= uint64(time.Second) {
		b.level += room
		b.rest = 0
		return
	}
	made, rest := bits.Div64(hi, lo, uint64(time.Second))
	if made >= uint64(room) {
		b.level += room
		b.rest = 0
		return
	}
	b.level += int64(made)
	b.rest = rest
}

// forget drops charges that are settled or too old to be.
func (b *Bucket) forget() {
	for len(b.landed) > 0 {
		f := b.landed[0]
		if _, ok := b.open[f.serial]; ok {
			if b.at-f.end < openLife {
				return
			}
			delete(b.open, f.serial)
			b.rooms.settle(f.serial, 0)
		}
		b.landed = b.landed[1:]
	}
}

// room returns how much the bucket can take before it is full. It is negative
// while grants of a larger share than the present one may not be spent yet.
func (b *Bucket) room() int64 {
	return b.terms.Burst*b.share - b.level - b.held
}

func (b *Bucket) clamp() {
	if r := b.room(); r < 0 {
		b.level = max(0, b.level+r)
	}
	b.rooms.lower(max(b.room(), 0))
}

func (t Limits) bounded() Limits {
	return Limits{Rate: min(max(t.Rate, 0), MaxRate), Burst: min(max(t.Burst, 0), MaxBurst)}
}
