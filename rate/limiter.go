package rate

import (
	"sync"
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// peerTimeout is how long a peer counts as reachable after its last report.
	peerTimeout = 500 * time.Millisecond
	// peerExpiry is how long an unreachable peer still counts as an instance. Other
	// instances do not use its fraction of each limit in that time.
	peerExpiry = 12 * time.Second
	// aloneInstanceCount is the number of instances that an instance assumes if
	// it knows of no peer.
	aloneInstanceCount = 8
	// discoveryTime is the longest time that a process needs after its start to
	// discover its peers. During this time, the process assumes at least
	// unknownInstanceCount instances. The assumption ends early if the process
	// discovers no further peer for discoverySettleTime.
	discoverySettleTime = 250 * time.Millisecond
	discoveryTime       = time.Second
	// maxRetryAfter bounds the Retry-After of a rejected request.
	maxRetryAfter = 30 * time.Second
	// startBurstFraction is the fraction of a customer's burst that is in its
	// bucket when a process starts. The rest may have been used at other instances.
	startBurstFraction = 0.25
	// overdraftTime times the customer's rate is how far a customer may overdraw its
	// bucket. Requests that are sent at one moment arrive in clumps and with uneven
	// delays.
	overdraftTime = 250 * time.Millisecond
)

// bucket is this instance's copy of a customer's token bucket. Amounts are in tokens,
// rates in tokens per second.
type bucket struct {
	level       float64
	updated     tick.Instant
	charged     int64   // tokens that this instance has charged since its start, less refunds
	retryTokens float64 // tokens of rejected requests that are expected to be retried here
	rate        float64
	burst       float64
	fraction    float64   // fraction of the initial fill that has been added
	queue       []*waiter // requests that wait for tokens, earliest deadline first
}

// peer is the last reported state of another instance.
type peer struct {
	lastSeen    tick.Instant
	used        map[string]int64 // tokens that the instance has charged since its start, by customer
	retryTokens map[string]int64 // tokens of the retries that the instance expects, by customer
}

// Limiter limits the tokens that each customer uses over all instances. It is safe for
// concurrent use.
type Limiter struct {
	clock tick.Clock
	start tick.Instant

	mu            sync.Mutex
	buckets       map[string]*bucket
	peers         map[string]*peer
	peerCount     int          // number of other instances, reachable or not
	lastDiscovery tick.Instant // instant at which the last further peer was discovered
}

// NewLimiter returns a Limiter without peers. A bucket starts with at most
// startBurstFraction of the burst.
func NewLimiter(clock tick.Clock) *Limiter {
	return &Limiter{clock: clock, start: clock.Now(), lastDiscovery: clock.Now(), buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// Refund returns the tokens of a request that was admitted but did not run to the
// customer's bucket.
func (l *Limiter) Refund(c *route.Customer, tokens int) {
	if c.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(c, l.clock.Now())
	b.level += float64(tokens) // no need to cap the level: the tokens were in the bucket before the charge
	b.charged -= int64(tokens)
}

// bucket returns a customer's bucket, refilled up to now. The caller holds l.mu.
func (l *Limiter) bucket(c *route.Customer, now tick.Instant) *bucket {
	b := l.bucketFor(c.Name, now)
	fraction := l.fraction(now)
	// All instances that have just started share the initial fill. The fraction that
	// this instance may use grows as it discovers its peers.
	if b.burst == 0 || fraction > b.fraction && now-l.start < discoveryTime {
		b.level += c.Burst * startBurstFraction * (fraction - b.fraction)
		b.fraction = fraction
	}
	b.rate, b.burst = c.Rate, c.Burst
	refill := b.rate * fraction * (now - b.updated).Seconds()
	b.level += refill
	b.level = min(b.level, b.burst*fraction)
	if b.retryTokens > 0 {
		retryFraction := b.retryTokens / (b.retryTokens + l.peerRetryTokens(c.Name, now))
		b.retryTokens = max(b.retryTokens-retryFraction*refill, 0)
	}
	b.updated = now
	return b
}

// peerRetryTokens returns the tokens of the retries that reachable peers expect.
func (l *Limiter) peerRetryTokens(customer string, now tick.Instant) float64 {
	sum := 0.0
	for _, p := range l.peers {
		if now-p.lastSeen <= peerTimeout {
			sum += float64(p.retryTokens[customer])
		}
	}
	return sum
}

// bucketFor returns a customer's bucket without refilling it. A new bucket is empty and
// has no rate until the customer sends a request to this instance.
func (l *Limiter) bucketFor(customer string, now tick.Instant) *bucket {
	b, ok := l.buckets[customer]
	if !ok {
		b = &bucket{updated: now}
		l.buckets[customer] = b
	}
	return b
}

// fraction returns the fraction of each limit that this instance and its reachable peers
// may use together.
func (l *Limiter) fraction(now tick.Instant) float64 {
	reachable, all := 1, 1
	for _, p := range l.peers {
		all++
		if now-p.lastSeen <= peerTimeout {
			reachable++
		}
	}
	all = max(all, l.peerCount+1)
	if all == 1 {
		all = aloneInstanceCount
	}
	if l.discovering(now) {
		all = max(all, unknownInstanceCount)
	}
	return float64(reachable) / float64(all)
}

// discovering reports whether this process has just started and may not have discovered
// all its peers yet.
func (l *Limiter) discovering(now tick.Instant) bool {
	return now-l.start < discoveryTime && now-l.lastDiscovery < discoverySettleTime
}

// SetPeerCount sets the number of other instances. A fraction of each limit is reserved for
// those that have not reported yet.
func (l *Limiter) SetPeerCount(peers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if peers > l.peerCount {
		l.lastDiscovery = l.clock.Now()
	}
	l.peerCount = peers
}

// SetPeerUsage records the tokens that a peer has charged since its start, by customer.
// A peer that restarts must report under a new name.
func (l *Limiter) SetPeerUsage(name string, used map[string]int64, now tick.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[name]
	if !ok {
		l.peers[name] = &peer{lastSeen: now, used: used}
		if len(l.peers) > l.peerCount {
			l.lastDiscovery = now
		}
		return
	}
	// While the peer was unreachable, its fraction of the rate was reserved for it. The
	// tokens that it charged beyond that fraction are subtracted from the bucket, and the
	// reserved tokens that it did not charge are added.
	reservedSeconds := max(now-p.lastSeen-peerTimeout, 0).Seconds() / float64(len(l.peers)+1)
	for c, n := range used {
		b := l.bucketFor(c, now)
		b.level += b.rate*reservedSeconds - float64(n-p.used[c])
	}
	p.lastSeen, p.used = now, used
}

// RemovePeer removes a peer that has shut down, so that its fraction of the limits is
// available at once.
func (l *Limiter) RemovePeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, name)
}

// RetryTokens returns the tokens of requests that this instance has rejected and whose
// Retry-After has not passed yet, by customer. It omits customers with less than one
// token.
func (l *Limiter) RetryTokens() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	retryTokens := make(map[string]int64)
	for c, b := range l.buckets {
		if b.retryTokens >= 1 {
			retryTokens[c] = int64(b.retryTokens)
		}
	}
	return retryTokens
}

// SetPeerRetryTokens records the result of RetryTokens at a peer. It ignores a peer that has not
// reported its usage.
func (l *Limiter) SetPeerRetryTokens(name string, retryTokens map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.peers[name]; ok {
		p.retryTokens = retryTokens
	}
}

// Used returns the tokens that this instance has charged since its start, by customer.
func (l *Limiter) Used() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := make(map[string]int64, len(l.buckets))
	for c, b := range l.buckets {
		used[c] = b.charged
	}
	return used
}

// Sweep removes the peers that have not reported for peerExpiry.
func (l *Limiter) Sweep(now tick.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.peers {
		if now-p.lastSeen > peerExpiry {
			delete(l.peers, name)
		}
	}
}

// InstanceCount returns the number of known instances, this one included.
func (l *Limiter) InstanceCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(len(l.peers), l.peerCount) + 1
}
