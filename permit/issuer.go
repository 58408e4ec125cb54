package permit

import (
	"math"
	"sync"
	"time"

	"wasabidock.dev/dock/tick"
)

// FallbackShare is the fraction of a limit that the home issues if the data centre of the server has no instance.
// Two sides of a partition may each have such a home.
const FallbackShare = 0.25

// MinWarmupPart is the smallest part of the instances of a data centre that a home must hear to issue permits for servers
// that warm up. With more homes, the first permits of all of them would exceed the bound.
const MinWarmupPart = 0.25

const (
	// burstTime times the rate of a limit is the capacity of its bucket, and minBurst is the
	// smallest capacity, in permits. While a server warms up, minWarmupBurst replaces minBurst, since
	// each of several homes may issue that many at once.
	burstTime      = 500 * time.Millisecond
	minBurst       = 2.0
	minWarmupBurst = 1.0
	// minRate is the smallest rate at which permits are issued, in permits per second. A server
	// that names a lower rate, or 0, would otherwise never be asked whether it still does.
	minRate = 1.0 / 60
	// contentionTime is how long a denied claim takes precedence over claims that are less urgent
	// or whose customer has received a larger share.
	contentionTime = time.Second
	// shareTime is the time constant with which the permits of a customer are forgotten.
	shareTime = 4 * time.Second
	// minWait and maxWait bound the time for which an instance whose claim was denied makes no
	// further claim. maxRetryAfter bounds the time until a rejected caller is expected to be served.
	minWait       = 20 * time.Millisecond
	maxWait       = 5 * time.Second
	maxRetryAfter = 30 * time.Second
	// idleExpiry is how long a bucket is kept without claims.
	idleExpiry = time.Minute
)

// Claim is a request of an instance for a permit.
type Claim struct {
	Report           // the server, and its limit as the claiming instance knows it
	Centre   string  // data centre of the server
	Priority int     // 0 is the most urgent
	Customer string  // empty on public routes
	Weight   float64 // of the customer, 0 for the largest weight that was seen
	// Rejected is the number of callers that the instance has rejected for the limit since its
	// last claim. They are expected to retry.
	Rejected int
	// WarmupRate is the limit while the server warms up, in permits per second, 0 if it is warm. It is
	// the part of the limit that the home issues when it decides.
	WarmupRate float64
	WarmupLeft time.Duration // until the server is warm
}

// Answer is the answer to a claim.
type Answer struct {
	Granted bool
	// Wait is the time until the next claim of the instance for the server, if the claim was denied.
	Wait time.Duration
	// RetryAfter is the time until one more rejected caller is expected to be served.
	RetryAfter time.Duration
	Issuer     string // name of the instance that decided
}

// customer holds the claims of one customer.
type customer struct {
	share    float64      // permits by weight, decaying with shareTime
	updated  tick.Instant // of share
	deniedAt tick.Instant // the last denied claim, 0 for none
	priority int          // of that claim
}

// bucket is the token bucket of one limited server.
type bucket struct {
	level     float64
	updated   tick.Instant
	granted   tick.Instant // when the last permit was issued
	claimants float64      // denied claims whose turn has not come
	callers   float64      // rejected callers whose turn has not come
	customers map[string]*customer
	weight    float64 // the largest weight of a customer
	capacity  float64
	// The limit while the server warms up, as the last claim that knew of it stated it, and its end.
	warmup      float64
	warmupUntil tick.Instant
}

// Issuer issues permits for the servers of which this instance is the home. It is safe for
// concurrent use.
type Issuer struct {
	limits *Limits
	self   string

	mu      sync.Mutex
	buckets map[uint64]*bucket // by the hash of the server's key
}

// NewIssuer returns an Issuer that names itself self in its answers. The bucket of a server is empty
// when the server names its limit.
func NewIssuer(self string, limits *Limits) *Issuer {
	return &Issuer{limits: limits, self: self, buckets: make(map[uint64]*bucket)}
}

// Decide grants or denies a claim. share is the fraction of the limit that this instance issues.
func (i *Issuer) Decide(c Claim, share float64, now tick.Instant) Answer {
	i.limits.RecordClaim(c.Report)
	l, named := i.limits.Of(c.Server)
	i.mu.Lock()
	defer i.mu.Unlock()
	b, ok := i.buckets[c.Server]
	warmup := c.WarmupRate
	if warmup <= 0 && ok && now < b.warmupUntil {
		warmup = b.warmup // the claimant does not know yet that the server is cold
	}
	var rate float64
	switch {
	case !named && warmup <= 0:
		return Answer{Granted: true, Issuer: i.self} // the limit was lifted after the claimant heard of it
	case !named:
		rate = warmup
	case warmup <= 0:
		rate = l.Rate * share
	default:
		rate = min(l.Rate*share, warmup)
	}
	rate = max(rate, minRate)
	if !ok {
		b = &bucket{updated: now, customers: make(map[string]*customer)}
		if named {
			// The permits since the statement was made are available.
			b.updated = min(l.Received, now)
		}
		i.buckets[c.Server] = b
	}
	least := minBurst
	if warmup > 0 {
		least = minWarmupBurst
	}
	b.capacity = max(rate*burstTime.Seconds(), least)
	if c.WarmupRate > 0 {
		b.warmup, b.warmupUntil = c.WarmupRate, now+c.WarmupLeft
	}
	b.refill(rate, now)
	if named && l.Sent-b.granted > lifetime {
		// Another instance has issued permits meanwhile.
		b.level = min(b.level, rate*max(now-l.Received, 0).Seconds())
	}
	b.callers += float64(c.Rejected)
	a := Answer{Granted: b.take(&c, now), Issuer: i.self}
	if !a.Granted {
		b.claimants++
		a.Wait = min(max(b.timeUntil(b.claimants, rate), minWait), maxWait)
	}
	a.RetryAfter = min(b.timeUntil(b.callers+1, rate), maxRetryAfter)
	return a
}

// refill adds the permits for the time since the last call.
func (b *bucket) refill(rate float64, now tick.Instant) {
	added := rate * max(now-b.updated, 0).Seconds()
	b.updated = now
	b.level = min(b.level+added, b.capacity)
	b.claimants = max(b.claimants-added, 0)
	b.callers = max(b.callers-added, 0)
}

// RateWithin returns the rate at which permits for a server that warms up may be issued, so that at most bound
// requests arrive in one second. The permits of a second and of warmupLifetime before it may all be used then, by
// the claims of two homes in turn with a full bucket each, beside those of a home that is partitioned from the
// data centre of the server. A bound below 2 can't be kept while the home moves, since each home issues a first permit.
func RateWithin(bound float64) float64 {
	const homes = 2
	seconds := (1 + FallbackShare) * (time.Second + warmupLifetime).Seconds()
	rate := bound / (seconds + homes*burstTime.Seconds())
	if rate*burstTime.Seconds() < minWarmupBurst {
		rate = (bound - homes*minWarmupBurst) / seconds
	}
	return max(rate, minRate)
}

// timeUntil returns the time until n permits are available.
func (b *bucket) timeUntil(n, rate float64) time.Duration {
	return time.Duration(min(max(n-b.level, 0)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// take takes a permit for a claim. It reports whether there is one. While the bucket is not full, a
// claim yields to recently denied ones that take precedence.
func (b *bucket) take(c *Claim, now tick.Instant) bool {
	b.weight = max(b.weight, c.Weight)
	own := b.customer(c.Customer, now)
	if b.level < 1 || b.level < b.capacity && b.yields(c, own, now) {
		if own.deniedAt == 0 || now-own.deniedAt > contentionTime || c.Priority < own.priority {
			own.priority = c.Priority
		}
		own.deniedAt = now
		return false
	}
	b.level--
	b.granted = now
	own.share += b.cost(c)
	own.deniedAt = 0
	return true
}

// yields reports whether a recently denied claim takes precedence over c: a more urgent one, or one
// that is as urgent and whose customer has received less.
func (b *bucket) yields(c *Claim, own *customer, now tick.Instant) bool {
	for name, o := range b.customers {
		if name == c.Customer || o.deniedAt == 0 || now-o.deniedAt > contentionTime {
			continue
		}
		if o.priority < c.Priority || o.priority == c.Priority && o.decayed(now)+b.cost(c) <= own.share {
			return true
		}
	}
	return false
}

// cost returns what a permit adds to the share of the claim's customer. Shares are in permits of the
// customer with the largest weight.
func (b *bucket) cost(c *Claim) float64 {
	if c.Weight <= 0 {
		return 1
	}
	return b.weight / c.Weight
}

// customer returns the claims of a customer, with the share as of now. Other customers without
// recent claims are removed.
func (b *bucket) customer(name string, now tick.Instant) *customer {
	own, ok := b.customers[name]
	if !ok {
		for n, o := range b.customers {
			if now-o.updated > idleExpiry {
				delete(b.customers, n)
			}
		}
		own = &customer{}
		b.customers[name] = own
	}
	own.share, own.updated = own.decayed(now), now
	return own
}

// decayed returns the share as of now.
func (c *customer) decayed(now tick.Instant) float64 {
	return c.share * math.Exp(-max(now-c.updated, 0).Seconds()/shareTime.Seconds())
}

// Sweep removes the buckets without recent claims.
func (i *Issuer) Sweep(now tick.Instant) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for h, b := range i.buckets {
		if now-b.updated > idleExpiry {
			delete(i.buckets, h)
		}
	}
}
