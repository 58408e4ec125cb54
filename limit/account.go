package limit

import (
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// never is an instant later than any other.
const never = tick.Instant(1<<63 - 1)

// group holds the leases and the buckets of one group of customers.
type group struct {
	mu         sync.Mutex               // guards the fields below
	leases     map[ident.Instance]lease // leases by lessor
	nextExpiry tick.Instant             // earliest expiry of a lease, never if there is none
	share      int64                    // sum of the leased shares, parts per million
	stopped    bool                     // no lease is accepted
	onlyLessor ident.Instance           // the only lessor whose leases are accepted; empty means all
	accounts   map[ident.Customer]*account
}

type lease struct {
	share   int64
	expires tick.Instant
}

// account is a customer's bucket with limits that may not have taken effect yet.
type account struct {
	bucket      *Bucket
	target      Limits
	effectiveAt tick.Instant // when target takes effect
}

func (g *group) charge(now tick.Instant, c ident.Customer, tokens int64, partial bool) (Grant, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	a, ok := g.accounts[c]
	if !ok {
		return Grant{}, false
	}
	a.applyTarget(now)
	serial, taken := a.bucket.Charge(now, tokens, partial)
	return Grant{
		Serial: serial,
		Tokens: taken,
		Level:  a.bucket.level / microPerToken,
		Share:  g.share,
		Limits: a.bucket.limits,
	}, true
}

func (g *group) settle(now tick.Instant, c ident.Customer, serial uint64, unused int64) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	a, ok := g.accounts[c]
	if !ok {
		return 0
	}
	return a.bucket.Settle(now, serial, unused) / microPerToken
}

func (g *group) recordLease(now tick.Instant, lessor ident.Instance, l lease) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	old := g.leases[lessor]
	if g.stopped || g.onlyLessor != "" && lessor != g.onlyLessor || l.expires <= max(now, old.expires) {
		return
	}
	g.leases[lessor] = l
	g.nextExpiry = min(g.nextExpiry, l.expires)
	g.setShare(now, g.share-old.share+l.share)
}

func (g *group) stop(now tick.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := len(g.leases) > 0
	g.stopped = true
	clear(g.leases)
	g.setShare(now, 0)
	return held
}

func (g *group) keepOnly(now tick.Instant, lessor ident.Instance) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	held := len(g.leases) > 0
	g.onlyLessor = lessor
	kept, ok := g.leases[lessor]
	clear(g.leases)
	g.nextExpiry = never
	if ok {
		g.leases[lessor] = kept
		g.nextExpiry = kept.expires
	}
	g.setShare(now, kept.share)
	return held
}

// expire ends the leases that have expired, each at its own expiry time.
func (g *group) expire(now tick.Instant) {
	for len(g.leases) > 0 && g.nextExpiry <= now {
		g.expireFirst()
	}
}

func (g *group) expireFirst() {
	at, next, lost := g.nextExpiry, never, int64(0)
	for lessor, l := range g.leases {
		if l.expires > at {
			next = min(next, l.expires)
			continue
		}
		lost += l.share
		delete(g.leases, lessor)
	}
	g.nextExpiry = next
	if lost > 0 {
		g.setShare(at, g.share-lost)
	}
}

func (g *group) setShare(now tick.Instant, share int64) {
	if share == g.share {
		return
	}
	g.share = share
	for _, a := range g.accounts {
		a.bucket.SetShare(now, share)
	}
}

func (g *group) setLimits(now tick.Instant, customers []Customer, raiseDelay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	old := g.accounts
	g.accounts = make(map[ident.Customer]*account, len(customers))
	for _, c := range customers {
		a, ok := old[c.Name]
		if !ok {
			b := NewBucket(now, c.Limits)
			b.SetShare(now, g.share)
			a = &account{bucket: b, target: b.limits}
		}
		a.setLimits(now, c.Limits, raiseDelay)
		g.accounts[c.Name] = a
	}
}

func (a *account) setLimits(now tick.Instant, t Limits, raiseDelay time.Duration) {
	a.applyTarget(now)
	t = t.bounded()
	if t == a.target {
		return
	}
	a.target = t
	a.effectiveAt = now + raiseDelay
	in := a.bucket.limits
	lowered := Limits{Rate: min(in.Rate, t.Rate), Burst: min(in.Burst, t.Burst)}
	if lowered != in {
		a.bucket.SetLimits(now, lowered)
	}
}

func (a *account) applyTarget(now tick.Instant) {
	if a.target != a.bucket.limits && now >= a.effectiveAt {
		a.bucket.SetLimits(a.effectiveAt, a.target)
	}
}
