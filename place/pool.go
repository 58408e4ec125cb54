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
	// SampleSize is the number of randomly drawn servers of each role among which Choose picks. Zero
	// means all; at most 8 are drawn.
	SampleSize int
	// MaxPrefillWait is the longest wait at a prefill server. A request that would wait longer stays in
	// the scheduler's queue, where the order is fair.
	MaxPrefillWait time.Duration
	// MaxTransferWait is the longest time that a prefilled KV cache may wait for its transfer.
	MaxTransferWait time.Duration
	// TTFTMargin is the time kept free before the target of the first token.
	TTFTMargin time.Duration
}

// Pool holds the state of the servers of one model as recorded by one scheduler. Create it with
// NewPool.
type Pool struct {
	cfg      Config
	spec     Spec
	servers  []*serverState
	byName   map[ident.Server]int // indices in servers
	prefill  []int                // indices of the servers with the role
	decode   []int                // indices of the servers with the role
	prefixes *prefixIndex
	depth    []uint16 // number of leading blocks of the last query in each server's cache
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
	return &Pool{cfg: cfg, byName: make(map[ident.Server]int), prefixes: newPrefixIndex(0)}
}

// Configure applies the configuration of the pool. The state of servers that remain is kept. Prefix
// cache hints are cleared if the list of servers has changed.
func (p *Pool) Configure(spec Spec) {
	old := p.servers
	names := p.byName
	same := len(old) == len(spec.Servers)
	p.spec = spec
	p.servers = make([]*serverState, len(spec.Servers))
	p.byName = make(map[ident.Server]int, len(spec.Servers))
	p.prefill, p.decode = nil, nil
	for i, sv := range spec.Servers {
		s := &serverState{}
		j, ok := names[sv.Name]
		if ok {
			s = old[j]
		}
		same = same && ok && i == j
		s.spec = sv
		p.servers[i] = s
		p.byName[sv.Name] = i
		if s.hasRole(RolePrefill) {
			p.prefill = append(p.prefill, i)
		}
		if s.hasRole(RoleDecode) {
			p.decode = append(p.decode, i)
		}
	}
	if !same {
		p.prefixes = newPrefixIndex(len(p.servers))
		p.depth = make([]uint16, len(p.servers))
	}
}

// Spec returns the configuration of the pool. The caller must not change it.
func (p *Pool) Spec() *Spec { return &p.spec }

// ApplyReport applies a load report. Reports of unknown servers are ignored.
func (p *Pool) ApplyReport(r LoadReport, now tick.Instant) {
	if i, ok := p.byName[r.Server]; ok {
		p.servers[i].apply(&r, now)
	}
}

// ApplyCacheEvent applies a change of a server's prefix cache. Events of unknown servers are
// ignored.
func (p *Pool) ApplyCacheEvent(e CacheEvent) {
	if i, ok := p.byName[e.Server]; ok {
		p.prefixes.apply(i, &e)
	}
}

// SetDraining marks a server as draining or as live again.
func (p *Pool) SetDraining(name ident.Server, draining bool) {
	if i, ok := p.byName[name]; ok {
		p.servers[i].markedDraining = draining
	}
}

// Throughput returns the prompt tokens and the output tokens per second that the pool can serve.
// Draining servers do not count.
func (p *Pool) Throughput() (prefill, decode float64) {
	for _, s := range p.servers {
		if s.isDraining() {
			continue
		}
		if s.hasRole(RolePrefill) {
			prefill += s.spec.PrefillRate
		}
		if s.hasRole(RoleDecode) && s.spec.TokenInterval > 0 {
			decode += float64(s.spec.Slots) / s.spec.TokenInterval.Seconds()
		}
	}
	return prefill, decode
}

// Slots returns the number of decode slots in use and of all decode slots. Draining servers do not
// count.
func (p *Pool) Slots() (busy, slots int) {
	for _, i := range p.decode {
		if s := p.servers[i]; !s.isDraining() {
			busy += s.busySlots()
			slots += s.spec.Slots
		}
	}
	return busy, slots
}

// MinTTFT returns the shortest time from a placement to the first token of the query that an idle
// pool would need.
func (p *Pool) MinTTFT(q *Query) time.Duration {
	p.prefixes.match(q.BlockHashes, p.depth)
	best := time.Duration(-1)
	for _, i := range p.prefill {
		s := p.servers[i]
		if s.isDraining() {
			continue
		}
		d := s.prefillTime(q.PromptTokens - p.cachedTokens(i, q))
		if best < 0 || d < best {
			best = d
		}
	}
	for _, i := range p.decode {
		if s := p.servers[i]; !s.isDraining() {
			return max(best, 0) + p.transferTime(q, s, s) + s.spec.TokenInterval + p.cfg.TTFTMargin
		}
	}
	return max(best, 0) + p.cfg.TTFTMargin
}

// Reservation holds the resources that a placement has reserved.
type Reservation struct {
	Prefill       ident.Server
	Decode        ident.Server
	PendingTokens int64 // prompt tokens to prefill, zero once that is done
}

// Reserve reserves what the choice needs: prefill time, time on the links and a decode slot.
func (p *Pool) Reserve(q *Query, c *Choice, now tick.Instant) Reservation {
	d := p.servers[c.decodeIndex]
	r := Reservation{Prefill: c.Prefill, Decode: c.Decode}
	d.addSlots(1, now)
	d.linkFreeAt = c.transferEnd
	if d.health.ejected() {
		d.health.trials++
	}
	if c.prefillIndex < 0 {
		return r
	}
	s := p.servers[c.prefillIndex]
	s.linkFreeAt = max(s.linkFreeAt, c.transferEnd)
	if s.health.ejected() {
		s.health.trials++
	}
	if q.KVSource == "" {
		r.PendingTokens = q.PromptTokens - c.CachedTokens
		s.queuePrefill(r.PendingTokens, now)
		p.prefixes.add(c.prefillIndex, q.BlockHashes)
	}
	return r
}

// Restore records a reservation that another scheduler made: its decode slot and its pending
// prefill.
func (p *Pool) Restore(r Reservation, now tick.Instant) {
	if i, ok := p.byName[r.Decode]; ok {
		p.servers[i].ownSlots++
	}
	if i, ok := p.byName[r.Prefill]; ok && r.PendingTokens > 0 {
		s := p.servers[i]
		s.pendingTokens += r.PendingTokens
		s.prefillEnd = max(s.prefillEnd, now) + s.prefillTime(r.PendingTokens)
	}
}

// PrefillDone records that the prefill of a reservation has ended.
func (p *Pool) PrefillDone(r *Reservation, now tick.Instant) {
	if i, ok := p.byName[r.Prefill]; ok && r.PendingTokens > 0 {
		p.servers[i].endPrefill(r.PendingTokens, now)
	}
	r.PendingTokens = 0
}

// Release releases all that a reservation holds.
func (p *Pool) Release(r *Reservation, now tick.Instant) {
	p.PrefillDone(r, now)
	if i, ok := p.byName[r.Prefill]; ok {
		p.servers[i].health.endTrial()
	}
	if i, ok := p.byName[r.Decode]; ok && p.servers[i].ownSlots > 0 {
		p.servers[i].addSlots(-1, now)
		p.servers[i].health.endTrial()
	}
}

// RecordSuccess records that a server has completed its stage of a request.
func (p *Pool) RecordSuccess(name ident.Server) {
	if i, ok := p.byName[name]; ok {
		p.servers[i].health.recordSuccess()
	}
}

// RecordFailure records that a server has failed a request. After several consecutive failures the
// server is ejected, unless half of the servers of its role are ejected already.
func (p *Pool) RecordFailure(name ident.Server, now tick.Instant) {
	i, ok := p.byName[name]
	if !ok {
		return
	}
	s := p.servers[i]
	if s.health.recordFailure() && (s.health.ejected() || p.canEject(s.spec.Role)) {
		s.health.eject(now)
	}
}

// canEject reports whether one more server of each stage in the role may be ejected.
func (p *Pool) canEject(r Role) bool {
	return (r&RolePrefill == 0 || p.canEjectFrom(p.prefill)) && (r&RoleDecode == 0 || p.canEjectFrom(p.decode))
}

// canEjectFrom reports whether at most half of the servers in the list would be ejected with one
// more. Draining servers do not count.
func (p *Pool) canEjectFrom(indices []int) bool {
	live, ejected := 0, 1
	for _, i := range indices {
		s := p.servers[i]
		if s.isDraining() {
			continue
		}
		live++
		if s.health.ejected() {
			ejected++
		}
	}
	return 2*ejected <= live
}
