// Package admit decides which backend servers run a model request, and which request is next when
// not all can run.
//
// # Usage
//
//	b := admit.NewBalancer(admit.Config{Centre: "sierra-a", Region: "sierra"})
//	p, ok := b.Place(req, servers, engine, now)
//	...
//	b.PrefillDone(p, took) // the prompt has been prefilled
//	b.Release(p)           // the request has ended, with or without an error
//
// Scheduler adds a queue for requests that cannot be placed yet. Requests that can still be on time
// come first. Scheduler rejects a request at once if no server can run it in time.
//
// # Load
//
// Prompts queue at prefill servers. The expected prefill time of a server is its backlog in tokens
// divided by its measured prefill rate. Decode servers run out of memory well before they run out
// of slots, because a request takes blocks for its prompt and for all output that it may produce.
// Both estimates include the load placed by other instances, which UpdatePeerLoad sets.
//
// # Concurrency
//
// The package reads no clock and does no I/O. A Balancer is not safe for concurrent use; a
// Scheduler is.
package admit

import (
	"time"

	"wasabidock.dev/dock/delay"
	"wasabidock.dev/dock/filter"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// blockTokens is the unit in which servers allocate memory, in tokens.
	blockTokens = 16
	// defaultPrefillRate is the assumed rate of prefilling prompts, in tokens per second, until a
	// measurement is available.
	defaultPrefillRate = 25_000
	// prefillRateWeight is the weight of a new sample in the moving average of the prefill rate.
	prefillRateWeight = 0.2
	// outputShare is the part of the expected output for which memory is charged from the start.
	// The requests of a server are at different points of their output, so their outputs are
	// never all in memory at once.
	outputShare = 0.5
	// fullBackoff is how long a server that had no room is left out of placement.
	fullBackoff = 100 * time.Millisecond
	// slowPeriod is how long a server counts as slow after it did not prefill a prompt in time.
	slowPeriod = 3 * time.Second
	// ttftDeviations is the number of mean deviations that are added to the mean time to first
	// token. Most requests stay below the sum.
	ttftDeviations = 1
	// gapWeight is the weight of the mean gap of a new stream in the moving average of a server's
	// event gap.
	gapWeight = 0.2
)

// Request is a model request to be placed.
type Request struct {
	ID       uint64
	Service  string
	Prompt   int // tokens
	Output   int // expected number of output tokens
	Priority int // 0 is the most urgent
	// The request is on time if its first event arrives before Due. From Deadline on, the
	// response is of no use to the caller, and a request that is still queued is rejected.
	Due      tick.Instant
	Deadline tick.Instant
	// LatencyTarget is the time to the first event that the route asks for, 0 if it asks for none.
	LatencyTarget time.Duration
	// GapTarget is the longest acceptable gap between events, 0 for no bound.
	GapTarget time.Duration
	Scope     filter.Scope
	// Rescope returns the scope by the configuration in force, which replaces Scope when the request is placed and while
	// it is queued. Nil if the scope does not change.
	Rescope      func() filter.Scope
	held         []filter.Scope // of queued requests whose servers the request must leave to them
	Avoid        []string       // keys of servers that failed the request
	LocalPrefill bool           // the decode server prefills the prompt itself
	Prefilled    bool           // the prompt has been prefilled, so only a decode server is needed
	Resumed      bool           // the caller has received a part of the answer
	Spare        bool           // the request is running at a server to avoid, and can do without another one
}

// rescope replaces the scope by the one of the configuration in force.
func (r *Request) rescope() {
	if r.Rescope != nil {
		r.Scope = r.Rescope()
	}
}

// KVTokens returns the memory that is charged for the request, in tokens: whole blocks for the
// prompt and a share of the expected output.
func (r *Request) KVTokens() int {
	n := r.Prompt + int(outputShare*float64(r.Output)) + blockTokens - 1
	return n - n%blockTokens
}

// Placement holds the servers chosen for one request. Prefill is nil if the decode server prefills
// the prompt itself or the prompt has been prefilled already.
type Placement struct {
	Prefill      *route.Server
	Decode       *route.Server
	ExpectedTTFT time.Duration // expected time to the first event

	req       Request
	prefilled bool // the prompt has been prefilled
	placedAt  tick.Instant
}

// serverLoad is the load and the measured performance of one server.
type serverLoad struct {
	prefillTokens int           // tokens of prompts being prefilled, placed by this instance
	kvTokens      int           // memory charged by this instance, in tokens
	running       int           // requests placed by this instance
	peers         Load          // load placed by the other instances
	prefillRate   float64       // tokens of prompts prefilled per second
	fullUntil     tick.Instant  // end of the time in which the server is left out of placement
	eventGap      time.Duration // moving average of the time between events of its streams, 0 if not known

	slowRate  float64      // prefill rate that applies until slowUntil, in tokens per second
	slowUntil tick.Instant // end of the slow period after a prompt that took too long
}

// Load is the load that instances have placed on a server. An entry that is keyed by the result of
// queueHash sets only Queued.
type Load struct {
	PrefillTokens int // tokens of prompts being prefilled
	KVTokens      int // memory charged, in tokens
	Running       int // requests
	Queued        int // requests of one priority queued for a service that can still be on time
}

// Add adds o to s.
func (s *Load) Add(o Load) {
	s.PrefillTokens += o.PrefillTokens
	s.KVTokens += o.KVTokens
	s.Running += o.Running
	s.Queued += o.Queued
}

// Sub subtracts o from s.
func (s *Load) Sub(o Load) {
	s.PrefillTokens -= o.PrefillTokens
	s.KVTokens -= o.KVTokens
	s.Running -= o.Running
	s.Queued -= o.Queued
}

// Config configures a Balancer.
type Config struct {
	Centre string
	Region string
	// Usable reports whether a server may be chosen while other servers have room. It returns
	// false for an ejected server. A nil function means that all servers are usable.
	Usable func(key string, now tick.Instant) bool
	// Refuses reports whether a server is known to refuse connections. It is not chosen, even if no other
	// server has room. A nil function means that no server does.
	Refuses func(key string, now tick.Instant) bool
	// Check returns whether a server may serve a request with the given scope. A nil function means that
	// all servers may serve all requests.
	Check func(s *route.Server, scope filter.Scope, now tick.Instant) filter.Verdict
	// Instances returns the number of instances, and Random returns numbers in [0, 1). If either
	// is nil, costs are compared without jitter, which suits a small number of instances.
	Instances func() int
	Random    func() float64
	// Warming reports whether a server is cold. A nil function means that all servers are warm.
	Warming func(s *route.Server) bool
	// Connected reports whether an open and idle connection to an address exists. A nil function
	// means that every address has one.
	Connected func(addr string) bool
}

// Balancer chooses servers for requests. It tracks the load of each server from the placements of
// this instance and the reports of other instances.
type Balancer struct {
	cfg        Config
	loads      map[uint64]*serverLoad              // by route.Hash of the server's key
	loadCaches map[string]loadCache                // by service name
	queueKeys  map[string]*[maxPriority + 1]uint64 // results of queueHash by service name and priority

	// ttftOverhead estimates, for each service, the time to the first event less the time in which
	// an idle server prefills the prompt. It covers calls, queues and the KV transfer.
	ttftOverhead *delay.Estimates
}

// NewBalancer returns a Balancer without any load.
func NewBalancer(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, loads: make(map[uint64]*serverLoad), loadCaches: make(map[string]loadCache), queueKeys: make(map[string]*[maxPriority + 1]uint64), ttftOverhead: delay.NewEstimates()}
}

func (b *Balancer) load(s *route.Server) *serverLoad { return b.loadByHash(s.Hash()) }

func (b *Balancer) loadByHash(h uint64) *serverLoad {
	l, ok := b.loads[h]
	if !ok {
		l = &serverLoad{prefillRate: defaultPrefillRate}
		b.loads[h] = l
	}
	return l
}

// Place chooses servers for a request and charges them for it. It returns false if no server has
// room for the request. Servers that Config.Usable rejects are used only if no other has room.
func (b *Balancer) Place(r Request, servers []*route.Server, engine *route.Engine, now tick.Instant) (*Placement, bool) {
	p := b.bestPair(&r, servers, engine, now, true)
	if p == nil {
		p = b.bestPair(&r, servers, engine, now, false)
	}
	if p == nil {
		return nil, false
	}
	p.req, p.placedAt = r, now
	d := b.load(p.Decode)
	d.kvTokens += r.KVTokens()
	d.running++
	p.prefilled = r.Prefilled
	if !r.Prefilled {
		b.load(p.prefillServer()).prefillTokens += r.Prompt
	}
	return p, true
}

// prefillServer returns the server that prefills the prompt, which is the decode server if there
// is no separate prefill server.
func (p *Placement) prefillServer() *route.Server {
	if p.Prefill != nil {
		return p.Prefill
	}
	return p.Decode
}

// ServerFull records that a server had no room for a request. The server is left out of placement
// for fullBackoff.
func (b *Balancer) ServerFull(s *route.Server, now tick.Instant) {
	b.load(s).fullUntil = now + fullBackoff
}

// PrefillDone records that the prompt of a placement has been prefilled, and how long the server
// took. Further calls for the same placement have no effect.
func (b *Balancer) PrefillDone(p *Placement, took time.Duration) {
	if p.prefilled {
		return
	}
	p.prefilled = true
	l := b.load(p.prefillServer())
	alone := l.prefillTokens == p.req.Prompt
	l.prefillTokens -= p.req.Prompt
	if alone && took > prefillOverhead && p.Prefill != nil {
		rate := float64(p.req.Prompt) / (took - prefillOverhead).Seconds()
		l.prefillRate += prefillRateWeight * (rate - l.prefillRate)
	}
}

// PrefillSlow records that the prompt of a placement was not prefilled within the given time. For
// slowPeriod, the server's backlog divided by that time is used as its prefill rate, unless the
// measured rate is lower. Otherwise each of the next requests would time out at the slow server.
func (b *Balancer) PrefillSlow(p *Placement, within time.Duration, now tick.Instant) {
	l := b.load(p.prefillServer())
	tokens := l.prefillTokens + l.peers.PrefillTokens
	if within <= prefillOverhead || tokens <= 0 {
		return
	}
	l.slowRate = min(l.prefillRate, float64(tokens)/(within-prefillOverhead).Seconds())
	l.slowUntil = now + slowPeriod
}

// currentPrefillRate returns the tokens of prompts that the server prefills per second.
func (l *serverLoad) currentPrefillRate(now tick.Instant) float64 {
	if now < l.slowUntil {
		return l.slowRate
	}
	return l.prefillRate
}

// FirstEvent records that the first event of a placement has arrived.
func (b *Balancer) FirstEvent(p *Placement, now tick.Instant) {
	b.PrefillDone(p, 0)
	if p.Prefill == nil || p.req.Prefilled {
		return
	}
	b.ttftOverhead.Add(p.req.Service, now-p.placedAt-idlePrefillTime(&p.req))
}

// expectedTTFT returns an upper bound on the time to the first event that holds for most requests.
func (b *Balancer) expectedTTFT(r *Request) time.Duration {
	return idlePrefillTime(r) + max(b.ttftOverhead.UpperBound(r.Service, ttftDeviations), 0)
}

// ObserveGap records the mean gap between the events of a placement's stream.
func (b *Balancer) ObserveGap(p *Placement, gap time.Duration) {
	l := b.load(p.Decode)
	if l.eventGap == 0 {
		l.eventGap = gap
		return
	}
	l.eventGap += time.Duration(gapWeight * float64(gap-l.eventGap))
}

// Release frees the resources of a placement when its request has ended, with or without an
// error.
func (b *Balancer) Release(p *Placement) {
	b.PrefillDone(p, 0)
	d := b.load(p.Decode)
	d.kvTokens -= p.req.KVTokens()
	d.running--
}

// UpdatePeerLoad replaces the load placed by other instances, for the entries that have changed.
// The keys are route.Hash of a server's key or results of queueHash.
func (b *Balancer) UpdatePeerLoad(changed map[uint64]Load) {
	for h, s := range changed {
		b.loadByHash(h).peers = s
	}
}

// queuedElsewhere returns the number of requests for a service that are queued at other instances, are at least as
// urgent as the given priority, and can still be on time.
func (b *Balancer) queuedElsewhere(service string, priority int) int {
	n := 0
	for _, k := range b.queueKeysOf(service)[:reportedPriority(priority)+1] {
		if l, ok := b.loads[k]; ok {
			n += l.peers.Queued
		}
	}
	return n
}

// queueKeysOf returns the results of queueHash for a service, by priority.
func (b *Balancer) queueKeysOf(service string) *[maxPriority + 1]uint64 {
	keys, ok := b.queueKeys[service]
	if !ok {
		keys = new([maxPriority + 1]uint64)
		for p := range keys {
			keys[p] = queueHash(service, p)
		}
		b.queueKeys[service] = keys
	}
	return keys
}

// OwnLoad returns the load that this instance has placed, by route.Hash of the server's key.
func (b *Balancer) OwnLoad() map[uint64]Load {
	own := make(map[uint64]Load)
	for h, l := range b.loads {
		if l.prefillTokens != 0 || l.kvTokens != 0 || l.running != 0 {
			own[h] = Load{PrefillTokens: l.prefillTokens, KVTokens: l.kvTokens, Running: l.running}
		}
	}
	return own
}

// Prune removes the state of servers that no longer exist and run nothing. A server exists if
// exists returns true for its hash.
func (b *Balancer) Prune(exists func(hash uint64) bool) {
	for h, l := range b.loads {
		if l.running == 0 && l.prefillTokens == 0 && l.peers == (Load{}) && !exists(h) {
			delete(b.loads, h)
			clear(b.loadCaches) // they may refer to the deleted entry
		}
	}
}
