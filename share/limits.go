package share

import (
	"sync"
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// heardWithin is how long a peer counts as heard after its last message.
	heardWithin = 1500 * time.Millisecond
	// rememberFor is how long a silent peer still counts as a member, with a
	// part of each limit that nobody else uses.
	rememberFor = 12 * time.Second
	// overdraft is the time of its rate by which a customer may be ahead: the
	// requests of one moment come in clumps, and arrive later than they were
	// sent by uneven times.
	overdraft = 250 * time.Millisecond
)

// bucket is this instance's copy of a customer's bucket, in tokens.
type bucket struct {
	level float64
	at    tick.Instant
	own   int64 // tokens that this instance has charged since its start
	rate  float64
	burst float64
}

// peer is what is known of another instance.
type peer struct {
	at   tick.Instant
	used map[string]int64 // its own charges by customer when it was heard last
}

// Limits keeps the buckets of the customers. It may be used concurrently.
type Limits struct {
	clock tick.Service
	slack float64 // part of a limit that may be exceeded

	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
}

// NewLimits returns a Limits that lets customers exceed their rates by the
// part slack.
func NewLimits(clock tick.Service, slack float64) *Limits {
	return &Limits{
		clock: clock, slack: slack,
		buckets: make(map[string]*bucket), peers: make(map[string]*peer),
	}
}

// Charge takes tokens from a customer's bucket. If there are not enough, it
// takes none and returns the time after which there will be.
func (l *Limits) Charge(c *route.Customer, tokens int) (time.Duration, bool) {
	if c.Rate <= 0 {
		return 0, true
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(c, now)
	rate := c.Rate * l.part(now)
	floor := -c.Rate * overdraft.Seconds()
	// A request larger than the burst goes when the bucket is full.
	least := min(floor+float64(tokens), b.burst)
	if b.level < least {
		return time.Duration((least - b.level) / rate * float64(time.Second)), false
	}
	b.level -= float64(tokens)
	b.own += int64(tokens)
	return 0, true
}

// Return gives back tokens of a request that has not run.
func (l *Limits) Return(c *route.Customer, tokens int) {
	if c.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(c, l.clock.Now())
	b.level = min(b.level+float64(tokens), b.burst)
	b.own -= int64(tokens)
}

// bucket returns a customer's bucket, filled up to now.
func (l *Limits) bucket(c *route.Customer, now tick.Instant) *bucket {
	b, ok := l.buckets[c.Name]
	if !ok {
		b = &bucket{level: c.Burst, at: now}
		l.buckets[c.Name] = b
	}
	b.rate, b.burst = c.Rate, c.Burst
	b.level += b.rate * l.part(now) * (now - b.at).Seconds()
	b.level = min(b.level, b.burst)
	b.at = now
	return b
}

// part returns the part of each limit that the instances that hear each other
// may use.
func (l *Limits) part(now tick.Instant) float64 {
	heard, all := 1, 1
	for _, p := range l.peers {
		all++
		if now-p.at <= heardWithin {
			heard++
		}
	}
	return min(1, float64(heard)/float64(all)*(1+l.slack))
}

// Heard takes in the charges of a peer since its start, by customer. A peer
// that starts anew must come under another name.
func (l *Limits) Heard(name string, used map[string]int64, now tick.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[name]
	if !ok {
		l.peers[name] = &peer{at: now, used: used}
		return
	}
	if now-p.at <= heardWithin {
		for c, n := range used {
			if b, ok := l.buckets[c]; ok {
				b.level -= float64(n - p.used[c])
			}
		}
	}
	p.at, p.used = now, used
}

// Gone says that a peer has left by itself, so that its part of the limits is
// free at once.
func (l *Limits) Gone(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, name)
}

// Used returns what this instance has charged since its start, by customer.
func (l *Limits) Used() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := make(map[string]int64, len(l.buckets))
	for c, b := range l.buckets {
		used[c] = b.own
	}
	return used
}

// Sweep forgets the peers that were not heard for long.
func (l *Limits) Sweep(now tick.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.peers {
		if now-p.at > rememberFor {
			delete(l.peers, name)
		}
	}
}

// Members returns the number of instances that count, this one included.
func (l *Limits) Members() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.peers) + 1
}
