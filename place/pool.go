package place

import (
	"math/rand/v2"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Defaults of Config.
const (
	DefaultMaxQueue = 250 * time.Millisecond
	DefaultMaxHold  = 400 * time.Millisecond
	DefaultMargin   = 100 * time.Millisecond
)

// Config holds the parameters of a Pool. Zero fields take their defaults.
type Config struct {
	Rand rand.Source
	// Choices is the number of servers of each role among which a choice is
	// made at random; zero means all.
	Choices int
	// MaxQueue is the longest wait at a prefill server. What must wait longer
	// stays in the scheduler's queue, where the order is fair.
	MaxQueue time.Duration
	// MaxHold is the longest time that a prefill's result may wait for its
	// transfer.
	MaxHold time.Duration
	// Margin is the time kept free before the first-token target.
	Margin time.Duration
}

// Pool is what one scheduler knows of the servers of one model.
type Pool struct {
	cfg      Config
	spec     Spec
	set      []*state
	byName   map[ident.Server]int
	prefill  []int // indices of the servers with the role
	decode   []int
	prefixes *prefixes
	depth    []uint16 // leading pieces in each server's cache
}

// NewPool returns a pool without servers.
func NewPool(cfg Config) *Pool {
	if cfg.Rand == nil {
		cfg.Rand = rand.NewPCG(1, 2)
	}
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = DefaultMaxQueue
	}
	if cfg.MaxHold == 0 {
		cfg.MaxHold = DefaultMaxHold
	}
	if cfg.Margin == 0 {
		cfg.Margin = DefaultMargin
	}
	return &Pool{cfg: cfg, byName: make(map[ident.Server]int), prefixes: newPrefixes(0)}
}

// Configure takes the table's account of the pool. What is known of servers
// that stay is kept; prefix hints start afresh if the servers have changed.
func (p *Pool) Configure(spec Spec) {
	old := p.set
	names := p.byName
	same := len(old) == len(spec.Servers)
	p.spec = spec
	p.set = make([]*state, len(spec.Servers))
	p.byName = make(map[ident.Server]int, len(spec.Servers))
	p.prefill, p.decode = nil, nil
	for i, sv := range spec.Servers {
		s := &state{}
		j, ok := names[sv.Name]
		if ok {
			s = old[j]
		}
		same = same && ok && i == j
		s.spec = sv
		p.set[i] = s
		p.byName[sv.Name] = i
		if s.is(RolePrefill) {
			p.prefill = append(p.prefill, i)
		}
		if s.is(RoleDecode) {
			p.decode = append(p.decode, i)
		}
	}
	if !same {
		p.prefixes = newPrefixes(len(p.set))
		p.depth = make([]uint16, len(p.set))
	}
}

// Spec returns the table's account of the pool.
func (p *Pool) Spec() *Spec { return &p.spec }

// Report applies a load report.
func (p *Pool) Report(r Report, now tick.Instant) {
	if i, ok := p.byName[r.Server]; ok {
		p.set[i].apply(&r, now)
	}
}

// Events applies changes of a server's prefix cache.
func (p *Pool) Events(e Events) {
	if i, ok := p.byName[e.Server]; ok {
		p.prefixes.apply(i, &e)
	}
}

// Depart marks a server as departing or as live again.
func (p *Pool) Depart(name ident.Server, departing bool) {
	if i, ok := p.byName[name]; ok {
		p.set[i].departing = departing
	}
}

// Rate returns the prompt tokens and the output tokens that the pool can
// serve in a second.
func (p *Pool) Rate() (prefill, decode float64) {
	for _, s := range p.set {
		if s.gone() {
			continue
		}
		if s.is(RolePrefill) {
			prefill += s.spec.PrefillRate
		}
		if s.is(RoleDecode) && s.spec.TokenTime > 0 {
			decode += float64(s.spec.Places) / s.spec.TokenTime.Seconds()
		}
	}
	return prefill, decode
}

// Places returns the decode places taken and those there are.
func (p *Pool) Places() (taken, places int) {
	for _, i := range p.decode {
		if s := p.set[i]; !s.gone() {
			taken += s.taken()
			places += s.spec.Places
		}
	}
	return taken, places
}

// Least returns the shortest time from a placement to the first token that an
// idle pool would need for the query.
func (p *Pool) Least(q *Query) time.Duration {
	p.prefixes.match(q.Pieces, p.depth)
	best := time.Duration(-1)
	for _, i := range p.prefill {
		s := p.set[i]
		if s.gone() {
			continue
		}
		d := s.prefillTime(q.Prompt - p.cached(i, q))
		if best < 0 || d < best {
			best = d
		}
	}
	for _, i := range p.decode {
		if s := p.set[i]; !s.gone() {
			return max(best, 0) + p.transfer(q, s, s) + s.spec.TokenTime + p.cfg.Margin
		}
	}
	return max(best, 0) + p.cfg.Margin
}

// Hold is what a placement has reserved.
type Hold struct {
	Prefill ident.Server
	Decode  ident.Server
	Tokens  int64 // prompt tokens to prefill, zero once that is done
}

// Commit reserves what the choice needs: prefill time, time on the links and
// a decode place.
func (p *Pool) Commit(q *Query, c *Choice, now tick.Instant) Hold {
	d := p.set[c.decode]
	h := Hold{Prefill: c.Prefill, Decode: c.Decode}
	d.takePlace(1, now)
	d.link = c.transferEnd
	if d.health.outlier() {
		d.health.trials++
	}
	if c.prefill < 0 {
		return h
	}
	s := p.set[c.prefill]
	s.link = max(s.link, c.transferEnd)
	if s.health.outlier() {
		s.health.trials++
	}
	if q.Held == "" {
		h.Tokens = q.Prompt - c.Cached
		s.queuePrefill(h.Tokens, now)
		p.prefixes.learn(c.prefill, q.Pieces)
	}
	return h
}

// Restore books a placement that another scheduler made.
func (p *Pool) Restore(h Hold, now tick.Instant) {
	if i, ok := p.byName[h.Decode]; ok {
		p.set[i].places++
	}
	if i, ok := p.byName[h.Prefill]; ok && h.Tokens > 0 {
		s := p.set[i]
		s.pending += h.Tokens
		s.until = max(s.until, now) + s.prefillTime(h.Tokens)
	}
}

// Prefilled notes that the prefill of a hold has ended.
func (p *Pool) Prefilled(h *Hold, now tick.Instant) {
	if i, ok := p.byName[h.Prefill]; ok && h.Tokens > 0 {
		p.set[i].endPrefill(h.Tokens, now)
	}
	h.Tokens = 0
}

// Release gives back all that a hold has reserved.
func (p *Pool) Release(h *Hold, now tick.Instant) {
	p.Prefilled(h, now)
	if i, ok := p.byName[h.Prefill]; ok {
		p.set[i].health.leave()
	}
	if i, ok := p.byName[h.Decode]; ok && p.set[i].places > 0 {
		p.set[i].takePlace(-1, now)
		p.set[i].health.leave()
	}
}

// Succeeded notes that a server has done its part of a request.
func (p *Pool) Succeeded(name ident.Server) {
	if i, ok := p.byName[name]; ok {
		p.set[i].health.succeed()
	}
}

// Failed notes that a server has failed a request. A server that fails again
// and again is set aside, unless half of its role already is.
func (p *Pool) Failed(name ident.Server, now tick.Instant) {
	i, ok := p.byName[name]
	if !ok {
		return
	}
	s := p.set[i]
	if s.health.fail() && (s.health.outlier() || p.spare(s.spec.Role)) {
		s.health.setAside(now)
	}
}

// spare reports whether one more server of each part of the role may be set
// aside.
func (p *Pool) spare(r Role) bool {
	return (r&RolePrefill == 0 || p.half(p.prefill)) && (r&RoleDecode == 0 || p.half(p.decode))
}

// half reports whether at most half of the servers that may be used would be
// set aside with one more. Those that depart or drain don't count.
func (p *Pool) half(set []int) bool {
	live, aside := 0, 1
	for _, i := range set {
		s := p.set[i]
		if s.gone() {
			continue
		}
		live++
		if s.health.outlier() {
			aside++
		}
	}
	return 2*aside <= live
}
