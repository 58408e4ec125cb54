package share

import (
	"sync"
	"time"

	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// heardWithin is how long a peer counts as heard after its last message.
	heardWithin = 500 * time.Millisecond
	// rememberFor is how long a silent peer still counts as a member, with a
	// part of each limit that nobody else uses.
	rememberFor = 12 * time.Second
	// aloneMembers is the number of instances that is assumed by one that has
	// never heard another.
	aloneMembers = 8
	// findTime is how long a process takes to find the others at most. Until
	// then it assumes that there are unknownMembers at least, unless it has found
	// no more of them for settleTime.
	settleTime = 250 * time.Millisecond
	findTime   = time.Second
	// mostWait bounds what a refused caller is told.
	mostWait = 30 * time.Second
	// startShare is the part of its burst that a customer finds at a process
	// that has just started: the rest may have been used elsewhere.
	startShare = 0.25
	// overdraft is the time of its rate by which a customer may be ahead: the
	// requests of one moment come in clumps, and arrive later than they were
	// sent by uneven times.
	overdraft = 250 * time.Millisecond
)

// bucket is this instance's copy of a customer's bucket, in tokens.
type bucket struct {
	level float64
	at    tick.Instant
	own   int64   // tokens that this instance has charged since its start
	due   float64 // tokens of those that were told to come back and whose turn is still to come
	rate  float64
	burst float64
	part  float64   // part of the first filling that was put in
	line  []*ticket // requests that wait for tokens, those that can wait least first
}

// peer is what is known of another instance.
type peer struct {
	at   tick.Instant
	used map[string]int64 // its own charges by customer when it was heard last
	due  map[string]int64 // tokens of those that it has told to come back
}

// Limiter keeps the buckets of the customers. It may be used concurrently.
type Limiter struct {
	clock tick.Clock
	start tick.Instant

	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
	known   int          // other instances that there are, heard or not
	grew    tick.Instant // when one more became known
}

// NewLimiter returns a Limits whose buckets are full.
func NewLimiter(clock tick.Clock) *Limiter {
	return &Limiter{clock: clock, start: clock.Now(), grew: clock.Now(), buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// Refund gives back tokens of a request that has not run.
func (l *Limiter) Refund(c *route.Customer, tokens int) {
	if c.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(c, l.clock.Now())
	b.level += float64(tokens) // it was there before it was charged
	b.own -= int64(tokens)
}

// bucket returns a customer's bucket, filled up to now.
func (l *Limiter) bucket(c *route.Customer, now tick.Instant) *bucket {
	b := l.named(c.Name, now)
	part := l.part(now)
	// The first filling belongs to all that have just started together: what an
	// instance may use of it grows as it finds the others.
	if b.burst == 0 || part > b.part && now-l.start < findTime {
		b.level += c.Burst * startShare * (part - b.part)
		b.part = part
	}
	b.rate, b.burst = c.Rate, c.Burst
	refill := b.rate * part * (now - b.at).Seconds()
	b.level += refill
	b.level = min(b.level, b.burst*part)
	if b.due > 0 {
		share := b.due / (b.due + l.dueElsewhere(c.Name, now))
		b.due = max(b.due-share*refill, 0)
	}
	b.at = now
	return b
}

// dueElsewhere returns the tokens of callers that other instances have told to
// come back.
func (l *Limiter) dueElsewhere(customer string, now tick.Instant) float64 {
	sum := 0.0
	for _, p := range l.peers {
		if now-p.at <= heardWithin {
			sum += float64(p.due[customer])
		}
	}
	return sum
}

// named returns a customer's bucket, which is empty and without a rate until
// the customer is charged here.
func (l *Limiter) named(customer string, now tick.Instant) *bucket {
	b, ok := l.buckets[customer]
	if !ok {
		b = &bucket{at: now}
		l.buckets[customer] = b
	}
	return b
}

// part returns the part of each limit that the instances that hear each other
// may use.
func (l *Limiter) part(now tick.Instant) float64 {
	heard, all := 1, 1
	for _, p := range l.peers {
		all++
		if now-p.at <= heardWithin {
			heard++
		}
	}
	all = max(all, l.known+1)
	if all == 1 {
		all = aloneMembers
	}
	if l.finding(now) {
		all = max(all, unknownMembers)
	}
	return float64(heard) / float64(all)
}

// finding tells whether this process has just started and may not have found all
// the others yet.
func (l *Limiter) finding(now tick.Instant) bool {
	return now-l.start < findTime && now-l.grew < settleTime
}

// SetPeerCount tells how many other instances there are. Those that were not heard
// yet have their part of each limit.
func (l *Limiter) SetPeerCount(others int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if others > l.known {
		l.grew = l.clock.Now()
	}
	l.known = others
}

// SetPeerUsage takes in the charges of a peer since its start, by customer. A peer
// that starts anew must come under another name.
func (l *Limiter) SetPeerUsage(name string, used map[string]int64, now tick.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[name]
	if !ok {
		l.peers[name] = &peer{at: now, used: used}
		if len(l.peers) > l.known {
			l.grew = now
		}
		return
	}
	// While the peer was not heard, its part of the rate was left to it: what
	// it has charged beyond that is taken off, what it has left is there.
	alone := max(now-p.at-heardWithin, 0).Seconds() / float64(len(l.peers)+1)
	for c, n := range used {
		b := l.named(c, now)
		b.level += b.rate*alone - float64(n-p.used[c])
	}
	p.at, p.used = now, used
}

// RemovePeer says that a peer has left by itself, so that its part of the limits is
// free at once.
func (l *Limiter) RemovePeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, name)
}

// RetryTokens returns the tokens of callers that this instance has told to come back
// and whose turn is still to come, by customer.
func (l *Limiter) RetryTokens() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	due := make(map[string]int64)
	for c, b := range l.buckets {
		if b.due >= 1 {
			due[c] = int64(b.due)
		}
	}
	return due
}

// SetPeerRetryTokens takes in the same of a peer that was heard.
func (l *Limiter) SetPeerRetryTokens(name string, due map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.peers[name]; ok {
		p.due = due
	}
}

// Used returns what this instance has charged since its start, by customer.
func (l *Limiter) Used() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := make(map[string]int64, len(l.buckets))
	for c, b := range l.buckets {
		used[c] = b.own
	}
	return used
}

// Sweep forgets the peers that were not heard for long.
func (l *Limiter) Sweep(now tick.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.peers {
		if now-p.at > rememberFor {
			delete(l.peers, name)
		}
	}
}

// InstanceCount returns the number of instances that count, this one included.
func (l *Limiter) InstanceCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(len(l.peers), l.known) + 1
}
