package permit

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// lifetime is the time after a claim for which its permit is valid. It covers a prefill on
	// another server. Permits for servers that warm up are valid for warmupLifetime, since the longer
	// they are valid, the fewer can be issued within the same bound.
	lifetime       = time.Second
	warmupLifetime = 500 * time.Millisecond
	// unreachableWait is how long no claim is made for a server after a claim that was not answered.
	unreachableWait = 250 * time.Millisecond
	// unreachableRetry is the Retry-After of a caller after a claim that was not answered. Another
	// instance issues permits by then.
	unreachableRetry = 2 * time.Second
	// minRetryAfter is the shortest Retry-After of a caller rejected for a limit.
	minRetryAfter = 300 * time.Millisecond
)

// ErrNoHome is returned for a claim if no instance is known that issues the permits of the server.
var ErrNoHome = errors.New("no instance issues permits for the server")

// ErrExpired reports that a permit was not used within its lifetime.
var ErrExpired = fail.AsLocal(errors.New("the permit for the server has expired"))

// DeniedError reports that a server with a limit gets no request now.
type DeniedError struct {
	Err error // why the claim was not answered, nil if it was denied
}

// Error implements error.
func (e *DeniedError) Error() string {
	if e.Err != nil {
		return "no permit under the limit of the server: " + e.Err.Error()
	}
	return "no permit under the limit of the server"
}

// Local implements fail.LocalError.
func (e *DeniedError) Local() bool { return true }

// Unwrap returns the error of the claim.
func (e *DeniedError) Unwrap() error { return e.Err }

// Claimer forwards claims to the instances that issue permits.
type Claimer interface {
	// Claim forwards a claim to the home of its server and returns the answer. The statement of
	// the claim is relative to now.
	Claim(ctx context.Context, c Claim, now tick.Instant) (Answer, error)
}

// Warmups provides the limits of servers that warm up.
type Warmups interface {
	// Limit returns the rate at which permits for a cold server are issued to all instances together, and
	// the time until the server is warm. Both are 0 if it is warm.
	Limit(s *route.Server) (rate float64, left time.Duration)
}

// Caller describes the request for which a permit is needed.
type Caller struct {
	Priority int
	Customer string
	Weight   float64
}

// Permit allows one request to a server. The zero value is a permit for a server without a limit.
type Permit struct {
	Server  uint64 // hash of the server's key
	Rate    float64
	Age     time.Duration // age of the server's statement when the permit was issued
	Issuer  string
	Limited bool
	warmup  bool // it was issued within the limit of a server that warms up
	expires tick.Instant
}

// closing is the time in which this instance makes no claims for a server.
type closing struct {
	until tick.Instant
	// retryAt is the instant at which one more rejected caller is expected to be served.
	retryAt  tick.Instant
	rejected int // callers rejected since the last claim
}

// Gate obtains permits for the requests of this instance. It is safe for concurrent use.
type Gate struct {
	limits *Limits
	now    func() tick.Instant

	warmups Warmups // nil if no server warms up

	mu       sync.Mutex
	claimer  Claimer
	closings map[uint64]*closing // by the hash of the server's key
}

// NewGate returns a Gate that denies all permits until SetClaimer is called. now must include the time
// in which the machine is suspended.
func NewGate(limits *Limits, now func() tick.Instant) *Gate {
	return &Gate{limits: limits, now: now, closings: make(map[uint64]*closing)}
}

// SetClaimer sets the receiver of claims.
func (g *Gate) SetClaimer(c Claimer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claimer = c
}

// SetWarmups sets the source of the limits of servers that warm up. It must be called before the first use.
func (g *Gate) SetWarmups(w Warmups) { g.warmups = w }

// warmup returns the limit of a server that warms up and the time until it is warm, 0 if it is.
func (g *Gate) warmup(s *route.Server) (rate float64, left time.Duration) {
	if g.warmups == nil {
		return 0, 0
	}
	return g.warmups.Limit(s)
}

// Warming reports whether a server has a limit because it warms up.
func (g *Gate) Warming(s *route.Server) bool {
	rate, _ := g.warmup(s)
	return rate > 0
}

// rate returns the limit that applies to a server. It returns false if the server has none.
func (g *Gate) rate(s *route.Server) (float64, bool) {
	warmup, _ := g.warmup(s)
	return g.lower(s, warmup)
}

// lower returns the lower one of the limit that a server names and the one while it warms up, 0 if it is warm. It
// returns false if the server has neither.
func (g *Gate) lower(s *route.Server, warmup float64) (float64, bool) {
	l, ok := g.limits.Of(s.Hash())
	switch {
	case !ok:
		return warmup, warmup > 0
	case warmup > 0:
		return min(l.Rate, warmup), true
	default:
		return l.Rate, true
	}
}

// Record records what a response of a server states about its limit. rate has no meaning unless
// limited is set. age is the time since the request was sent.
func (g *Gate) Record(s *route.Server, rate float64, limited bool, age time.Duration) Change {
	if !limited && !g.limits.known(s.Hash()) {
		return Unchanged // the usual case, without a system call for the time
	}
	now := g.now()
	c := g.limits.Record(s.Hash(), Statement{Rate: rate, Limited: limited, Sent: now - age, Received: now})
	if c == Lifted {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.closings, s.Hash())
	}
	return c
}

// Limited reports whether a server has a limit.
func (g *Gate) Limited(s *route.Server) bool {
	_, ok := g.rate(s)
	return ok
}

// Limit returns the limit of a server, in requests per second, and the age of the server's statement, 0 if the
// server warms up and has named none. It returns false if the server has no limit.
func (g *Gate) Limit(s *route.Server) (float64, time.Duration, bool) {
	rate, ok := g.rate(s)
	if !ok {
		return 0, 0, false
	}
	return rate, g.age(s), true
}

// age returns the age of the statement of a server, 0 if it has made none.
func (g *Gate) age(s *route.Server) time.Duration {
	l, ok := g.limits.Of(s.Hash())
	if !ok {
		return 0
	}
	return g.now() - l.Received
}

// ClosedFor returns the time for which a server gets no requests because of its limit, 0 if it may
// get one now.
func (g *Gate) ClosedFor(s *route.Server) time.Duration {
	closed := g.closingLeft(s.Hash())
	if closed == 0 {
		return 0
	}
	warmup, left := g.warmup(s)
	_, named := g.limits.Of(s.Hash())
	switch {
	case named:
		return closed
	case warmup > 0:
		return min(closed, left)
	default:
		return 0
	}
}

// closingLeft returns the time for which this instance makes no claims for a server.
func (g *Gate) closingLeft(server uint64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.closings[server]
	if !ok {
		return 0
	}
	return max(c.until-g.now(), 0)
}

// RetryAfter returns the time after which a caller that is rejected for the limits of these servers
// is expected to be served by one of them, and false if none of them has a limit. A limit that holds
// while a server warms up delays no caller beyond that. It counts the caller as rejected.
func (g *Gate) RetryAfter(servers []*route.Server) (time.Duration, bool) {
	now := g.now()
	rates := make(map[uint64]float64)
	longest := maxRetryAfter
	for _, s := range servers {
		warmup, left := g.warmup(s)
		if r, ok := g.lower(s, warmup); ok {
			rates[s.Hash()] = max(r, minRate)
		}
		if _, named := g.limits.Of(s.Hash()); warmup > 0 && !named {
			longest = min(longest, max(left, minRetryAfter))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var first *closing
	var rate float64
	for h, r := range rates {
		c := g.closing(h)
		if first == nil || c.retryAt < first.retryAt {
			first, rate = c, r
		}
	}
	if first == nil {
		return 0, false
	}
	first.rejected++
	wait := min(max(first.retryAt-now, minRetryAfter), longest)
	// The next caller is served after this one.
	first.retryAt = max(first.retryAt, now) + time.Duration(min(1/rate, maxRetryAfter.Seconds())*float64(time.Second))
	return wait, true
}

// closing returns the closing of a server, which it creates at the first use. The caller holds g.mu.
func (g *Gate) closing(server uint64) *closing {
	c, ok := g.closings[server]
	if !ok {
		c = &closing{}
		g.closings[server] = c
	}
	return c
}

// Acquire returns a permit for one request to a server. If there is none now, it returns a
// *DeniedError at once.
func (g *Gate) Acquire(ctx context.Context, s *route.Server, by Caller) (Permit, error) {
	warmup, left := g.warmup(s)
	rate, ok := g.lower(s, warmup)
	if !ok {
		return Permit{}, nil
	}
	now := g.now()
	claimer, rejected, ok := g.startClaim(s.Hash(), now)
	if !ok {
		return Permit{}, &DeniedError{}
	}
	a, err := Answer{}, ErrNoHome
	if claimer != nil {
		named, _ := g.limits.Of(s.Hash())
		a, err = claimer.Claim(ctx, Claim{
			Report: Report{s.Hash(), named}, Centre: s.Centre, Priority: by.Priority, Customer: by.Customer, Weight: by.Weight,
			Rejected: rejected, WarmupRate: warmup, WarmupLeft: left,
		}, now)
	}
	g.endClaim(s.Hash(), a, err, rejected, ctx.Err() != nil)
	if err != nil {
		return Permit{}, &DeniedError{Err: err}
	}
	if !a.Granted {
		return Permit{}, &DeniedError{}
	}
	p := Permit{Server: s.Hash(), Rate: rate, Age: g.age(s), Issuer: a.Issuer, Limited: true, warmup: warmup > 0, expires: now + lifetime}
	if p.warmup {
		p.expires = now + warmupLifetime
	}
	return p, nil
}

// startClaim returns the receiver of a claim and the number of callers rejected since the last one.
// It returns false while no claim is made for the server.
func (g *Gate) startClaim(server uint64, now tick.Instant) (Claimer, int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.closings[server]
	if !ok {
		return g.claimer, 0, true
	}
	if c.until > now {
		return nil, 0, false
	}
	n := c.rejected
	c.rejected = 0
	return g.claimer, n, true
}

// endClaim records the answer to a claim, or that the caller did not wait for it.
func (g *Gate) endClaim(server uint64, a Answer, err error, rejected int, abandoned bool) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.closing(server)
	switch {
	case err != nil:
		if !abandoned {
			c.until, c.retryAt = now+unreachableWait, max(c.retryAt, now+unreachableRetry)
		}
		c.rejected += rejected
	case !a.Granted:
		c.until, c.retryAt = now+a.Wait, now+a.RetryAfter
	default:
		c.retryAt = now + a.RetryAfter
	}
}

// Check returns an error if a permit may not be used any more: ErrExpired, or a *DeniedError if the server has
// become cold since the permit was issued, or was not needed. It must be called right before the request is written.
func (g *Gate) Check(p Permit, s *route.Server) error {
	if p.Limited && g.now() >= p.expires {
		return ErrExpired
	}
	if !p.warmup && g.Warming(s) {
		return &DeniedError{}
	}
	return nil
}

// Covers reports whether a permit may be used for a request to a server.
func (g *Gate) Covers(p Permit, s *route.Server) bool {
	return p.Limited && p.Server == s.Hash() && g.Check(p, s) == nil
}

// Sweep removes the state of servers whose limits are not known any more.
func (g *Gate) Sweep() {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for h, c := range g.closings {
		if !g.limits.known(h) && now >= max(c.until, c.retryAt) {
			delete(g.closings, h)
		}
	}
}
