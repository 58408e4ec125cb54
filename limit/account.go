package limit

import (
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// never is later than every instant.
const never = tick.Instant(1<<63 - 1)

// group holds the leases and the buckets of one group of customers.
type group struct {
	mu       sync.Mutex // guards the fields below
	leases   map[ident.Instance]lease
	first    tick.Instant // earliest stop of a lease
	share    int64
	stopped  bool
	only     ident.Instance // no lease of another seat counts; empty for all
	accounts map[ident.Customer]*account
}

type lease struct {
	share int64
	stop  tick.Instant
}

// account is a customer's bucket with terms that may still have to take
// effect.
type account struct {
	bucket *Bucket
	target Limits
	due    tick.Instant // target takes effect
}

func (g *group) charge(now tick.Instant, c ident.Customer, tokens int64, partial bool) (Grant, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	a, ok := g.accounts[c]
	if !ok {
		return Grant{}, false
	}
	a.apply(now)
	serial, taken := a.bucket.Charge(now, tokens, partial)
	return Grant{
		Serial: serial,
		Tokens: taken,
		Level:  a.bucket.level / micro,
		Share:  g.share,
		Terms:  a.bucket.terms,
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
	return a.bucket.Settle(now, serial, unused) / micro
}

func (g *group) lease(now tick.Instant, seat ident.Instance, l lease) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	old := g.leases[seat]
	if g.stopped || g.only != "" && seat != g.only || l.stop <= max(now, old.stop) {
		return
	}
	g.leases[seat] = l
	g.first = min(g.first, l.stop)
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

func (g *group) keep(now tick.Instant, seat ident.Instance) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	held := len(g.leases) > 0
	g.only = seat
	kept, ok := g.leases[seat]
	clear(g.leases)
	g.first = never
	if ok {
		g.leases[seat] = kept
		g.first = kept.stop
	}
	g.setShare(now, kept.share)
	return held
}

// expire ends the leases that are over, each at its own instant.
func (g *group) expire(now tick.Instant) {
	for len(g.leases) > 0 && g.first <= now {
		g.expireFirst()
	}
}

func (g *group) expireFirst() {
	at, next, lost := g.first, never, int64(0)
	for seat, l := range g.leases {
		if l.stop > at {
			next = min(next, l.stop)
			continue
		}
		lost += l.share
		delete(g.leases, seat)
	}
	g.first = next
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

func (g *group) setTerms(now tick.Instant, customers []Customer, raise time.Duration) {
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
			a = &account{bucket: b, target: b.terms}
		}
		a.setTerms(now, c.Limits, raise)
		g.accounts[c.Name] = a
	}
}

func (a *account) setTerms(now tick.Instant, t Limits, raise time.Duration) {
	a.apply(now)
	t = t.bounded()
	if t == a.target {
		return
	}
	a.target = t
	a.due = now + raise
	in := a.bucket.terms
	lowered := Limits{Rate: min(in.Rate, t.Rate), Burst: min(in.Burst, t.Burst)}
	if lowered != in {
		a.bucket.SetLimits(now, lowered)
	}
}

func (a *account) apply(now tick.Instant) {
	if a.target != a.bucket.terms && now >= a.due {
		a.bucket.SetLimits(a.due, a.target)
	}
}
