package place

import (
	"math/rand/v2"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Defaults of Config.
const (
	DefaultMaxPrefillWait  = 250 * time.Millisecond
	DefaultMaxTransferWait = 400 * time.Millisecond
	DefaultTTFTMargin      = 100 * time.Millisecond
)

// Config holds the parameters of a Pool. Zero fields take their defaults.
type Config struct {
	Rand rand.Source
	// SampleSize is the number of servers of each role among which a choice is
	// made at random; zero means all.
	SampleSize int
	// MaxPrefillWait is the longest wait at a prefill server. What must wait longer
	// stays in the scheduler's queue, where the order is fair.
	MaxPrefillWait time.Duration
	// MaxTransferWait is the longest time that a prefill's result may wait for its
	// transfer.
	MaxTransferWait time.Duration
	// TTFTMargin is the time kept free before the first-token target.
	TTFTMargin time.Duration
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
	if cfg.MaxPrefillWait == 0 {
		cfg.MaxPrefillWait = DefaultMaxPrefillWait
	}
	if cfg.MaxTransferWait == 0 {
		cfg.MaxTransferWait = DefaultMaxTransferWait
	}
	if cfg.TTFTMargin == 0 {
		cfg.TTFTMargin = DefaultTTFTMargin
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

// ApplyReport applies a load report.
func (p *Pool) ApplyReport(r LoadReport, now tick.Instant) {
	if i, ok := p.byName[r.Server]; ok {
		p.set[i].apply(&r, now)
	}
}

// ApplyCacheEvent applies changes of a server's prefix cache.
func (p *Pool) ApplyCacheEvent(e CacheEvent) {
	if i, ok := p.byName[e.Server]; ok {
		p.prefixes.apply(i, &e)
	}
}

// SetDeparting marks a server as departing or as live again.
func (p *Pool) SetDeparting(name ident.Server, departing bool) {
	if i, ok := p.byName[name]; ok {
		p.set[i].departing = departing
	}
}

// Throughput returns the prompt tokens and the output tokens that the pool can
// serve in a second.
func (p *Pool) Throughput() (prefill, decode float64) {
	for _, s := range p.set {
		if s.gone() {
			continue
		}
		if s.is(RolePrefill) {
			prefill += s.spec.PrefillRate
		}
		if s.is(RoleDecode) && s.spec.TokenInterval > 0 {
			decode += float64(s.spec.Slots) / s.spec.TokenInterval.Seconds()
		}
	}
	return prefill, decode
}

// Slots returns the decode places taken and those there are.
func (p *Pool) Slots() (taken, places int) {
	for _, i := range p.decode {
		if s := p.set[i]; !s.gone() {
			taken += s.taken()
			places += s.spec.Slots
		}
	}
	return taken, places
}

// MinTTFT returns the shortest time from a placement to the first token that an
// idle pool would need for the query.
func (p *Pool) MinTTFT(q *Query) time.Duration {
	p.prefixes.match(q.BlockHashes, p.depth)
	best := time.Duration(-1)
	for _, i := range p.prefill {
		s := p.set[i]
		if s.gone() {
			continue
		}
		d := s.prefillTime(q.PromptTokens - p.cached(i, q))
		if best < 0 || d < best {
			best = d
		}
	}
	for _, i := range p.decode {
		if s := p.set[i]; !s.gone() {
			return max(best, 0) + p.transfer(q, s, s) + s.spec.TokenInterval + p.cfg.TTFTMargin
		}
	}
	return max(best, 0) + p.cfg.TTFTMargin
}

// Reservation is what a placement has reserved.
type Reservation struct {
	Prefill       ident.Server
	Decode        ident.Server
	PendingTokens int64 // prompt tokens to prefill, zero once that is done
}

// Reserve reserves what the choice needs: prefill time, time on the links and
// a decode place.
func (p *Pool) Reserve(q *Query, c *Choice, now tick.Instant) Reservation {
	d := p.set[c.decode]
	h := Reservation{Prefill: c.Prefill, Decode: c.Decode}
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
	if q.KVSource == "" {
		h.PendingTokens = q.PromptTokens - c.CachedTokens
		s.queuePrefill(h.PendingTokens, now)
		p.prefixes.learn(c.prefill, q.BlockHashes)
	}
	return h
}

// Restore books a placement that another scheduler made.
func (p *Pool) Restore(h Reservation, now tick.Instant) {
	if i, ok := p.byName[h.Decode]; ok {
		p.set[i].places++
	}
	if i, ok := p.byName[h.Prefill]; ok && h.PendingTokens > 0 {
		s := p.set[i]
		s.pending += h.PendingTokens
		s.until = max(s.until, now) + s.prefillTime(h.PendingTokens)
	}
}

// PrefillDone notes that the prefill of a hold has ended.
func (p *Pool) PrefillDone(h *Reservation, now tick.Instant) {
	if i, ok := p.byName[h.Prefill]; ok && h.PendingTokens > 0 {
		p.set[i].endPrefill(h.PendingTokens, now)
	}
	h.PendingTokens = 0
}

// Release gives back all that a hold has reserved.
func (p *Pool) Release(h *Reservation, now tick.Instant) {
	p.PrefillDone(h, now)
	if i, ok := p.byName[h.Prefill]; ok {
		p.set[i].health.leave()
	}
	if i, ok := p.byName[h.Decode]; ok && p.set[i].places > 0 {
		p.set[i].takePlace(-1, now)
		p.set[i].health.leave()
	}
}

// RecordSuccess notes that a server has done its part of a request.
func (p *Pool) RecordSuccess(name ident.Server) {
	if i, ok := p.byName[name]; ok {
		p.set[i].health.succeed()
	}
}

// RecordFailure notes that a server has failed a request. A server that fails again
// and again is set aside, unless half of its role already is.
func (p *Pool) RecordFailure(name ident.Server, now tick.Instant) {
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
