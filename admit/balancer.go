// Package admit decides which backend servers run a model request, and which
// request is next when not all can run.
//
// # Usage
//
// b := admit.NewBook(admit.Config{Centre: "sierra-a", Region: "sierra"})
// p, ok := b.Place(want, servers, now)
// ...
// b.Read(p, took, now) // the prompt has been read
// b.Done(p, now) // the request has ended, however
//
// Desk adds the waiting: it keeps requests that find no place, in the order in
// which they are worth most, and tells at once which ones cannot be served.
//
// # Load
//
// Prompts queue at prefill servers, so the estimate for each is the backlog of
// tokens divided by its measured speed. Decode servers are bounded by memory
// well before their slots: a request takes blocks for its prompt and for all
// output that it may make. What other instances have placed is told by Peers
// and added.
//
// The package reads no clock and does no I/O. A Book is not safe for
// concurrent use; a Desk is.
package admit

import (
	"time"

	"wasabidock.dev/dock/delay"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// blockTokens is the unit in which servers hand out memory.
	blockTokens = 16
	// speedDefault is the expected speed of reading prompts, in tokens per
	// second, until answers tell.
	speedDefault = 25_000
	// speedWeight is the weight of a new measurement of speed.
	speedWeight = 0.2
	// outputShare is the part of the expected output that is charged from the
	// start: the requests of a server are at different points of theirs, so
	// that their outputs are never all there at once.
	outputShare = 0.5
	// fullPause is how long a server that had no room is passed over.
	fullPause = 100 * time.Millisecond
	// slowTime is how long a server counts as slow after a prompt that it has not
	// read in time.
	slowTime = 3 * time.Second
	// startDeviations is how many mean deviations above the mean most requests
	// stay on their way to the first event.
	startDeviations = 1
	// pauseWeight is the weight of the pauses of one more stream.
	pauseWeight = 0.2
)

// Request is a model request that asks for servers.
type Request struct {
	ID       uint64
	Service  string
	Prompt   int // tokens
	Output   int // tokens that it is expected to make
	Priority int // 0 is the most urgent
	// Due is when the first event is due to be on time, Until when it is of no
	// use any more.
	Due      tick.Instant
	Deadline tick.Instant
	// GapTarget is the longest pause between events that is on time, 0 for no bound.
	GapTarget    time.Duration
	Avoid        []string // keys of servers that failed the request
	LocalPrefill bool     // the decode server reads the prompt itself
	Prefilled    bool     // the prompt has been read, only a decode server is needed
	Resumed      bool     // the caller has got part of the answer
}

// Need returns the memory that the request is charged, in tokens.
func (w *Request) KVTokens() int {
	n := w.Prompt + int(outputShare*float64(w.Output)) + blockTokens - 1
	return n - n%blockTokens
}

// Placement names the servers of one request. Prefill is nil if the decode
// server reads the prompt itself.
type Placement struct {
	Prefill      *route.Server
	Decode       *route.Server
	ExpectedTTFT time.Duration // expected time to the first event

	want Request
	read bool // the prompt is read
	at   tick.Instant
}

// serverLoad is what runs on one server.
type serverLoad struct {
	reading int           // tokens of prompts being read, placed by this instance
	memory  int           // tokens of memory taken, by this instance
	running int           // requests, of this instance
	peers   Load          // of the other instances
	speed   float64       // tokens of prompts read per second
	full    tick.Instant  // it takes nothing until then
	pause   time.Duration // mean time between the events of its streams, 0 if not known

	slow      float64 // speed that counts until slowUntil, after a prompt that took too long
	slowUntil tick.Instant
}

// Load is the load that instances have placed on a server or, by the hash of a
// service's name, the requests that wait for it.
type Load struct {
	PrefillTokens int // tokens of prompts that are being read
	KVTokens      int // tokens of memory
	Running       int // requests
	Queued        int // requests that can still be on time
}

// Add adds another load.
func (s *Load) Add(o Load) {
	s.PrefillTokens += o.PrefillTokens
	s.KVTokens += o.KVTokens
	s.Running += o.Running
	s.Queued += o.Queued
}

// Sub takes another load off.
func (s *Load) Sub(o Load) {
	s.PrefillTokens -= o.PrefillTokens
	s.KVTokens -= o.KVTokens
	s.Running -= o.Running
	s.Queued -= o.Queued
}

// Config configures a Book.
type Config struct {
	Centre string
	Region string
	Usable func(key string, now tick.Instant) bool
	// ClosedUntil returns the instant until which a server wants no request, one in
	// the past if it takes them; nil for servers that take them always.
	ClosedUntil func(key string, now tick.Instant) tick.Instant
	// Instances returns the number of instances, nil for few. Random returns
	// numbers from 0 to 1.
	Instances func() int
	Random    func() float64
	// Connected tells whether a connection to an address is open and idle, nil for
	// always.
	Connected func(addr string) bool
}

// Balancer keeps the load that this instance knows of each server.
type Balancer struct {
	cfg   Config
	loads map[uint64]*serverLoad // by route.Hash of the server's key
	views map[string]view        // by service

	// starts is what requests of a service take to their first event beyond the
	// time in which an idle server reads their prompt: calls, queues and the way
	// of the KV cache.
	starts *delay.Estimates
}

// NewBalancer returns an empty Book.
func NewBalancer(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, loads: make(map[uint64]*serverLoad), views: make(map[string]view), starts: delay.NewEstimates()}
}

func (b *Balancer) load(s *route.Server) *serverLoad { return b.byHash(s.Hash()) }

func (b *Balancer) byHash(h uint64) *serverLoad {
	l, ok := b.loads[h]
	if !ok {
		l = &serverLoad{speed: speedDefault}
		b.loads[h] = l
	}
	return l
}

// Place chooses servers for a request and charges them. It returns false if no
// server has room for it.
func (b *Balancer) Place(w Request, servers []*route.Server, engine *route.Engine, now tick.Instant) (*Placement, bool) {
	p := b.best(&w, servers, engine, now, true)
	if p == nil {
		p = b.best(&w, servers, engine, now, false)
	}
	if p == nil {
		return nil, false
	}
	p.want, p.at = w, now
	d := b.load(p.Decode)
	d.memory += w.KVTokens()
	d.running++
	p.read = w.Prefilled
	if !w.Prefilled {
		b.load(p.reader()).reading += w.Prompt
	}
	return p, true
}

// reader returns the server that reads the prompt.
func (p *Placement) reader() *route.Server {
	if p.Prefill != nil {
		return p.Prefill
	}
	return p.Decode
}

// Full says that a server had no room for a request.
func (b *Balancer) ServerFull(s *route.Server, now tick.Instant) { b.load(s).full = now + fullPause }

// Read says that the prompt of a placement has been read, and how long the
// server took.
func (b *Balancer) PrefillDone(p *Placement, took time.Duration) {
	if p.read {
		return
	}
	p.read = true
	l := b.load(p.reader())
	alone := l.reading == p.want.Prompt
	l.reading -= p.want.Prompt
	if alone && took > readFixed && p.Prefill != nil {
		got := float64(p.want.Prompt) / (took - readFixed).Seconds()
		l.speed += speedWeight * (got - l.speed)
	}
}

// Slow says that the prompt of a placement has not been read within a time. Its
// server counts as so slow for a while, so that the next requests do not find
// out again one by one.
func (b *Balancer) PrefillSlow(p *Placement, within time.Duration, now tick.Instant) {
	l := b.load(p.reader())
	tokens := l.reading + l.peers.PrefillTokens
	if within <= readFixed || tokens <= 0 {
		return
	}
	l.slow = min(l.speed, float64(tokens)/(within-readFixed).Seconds())
	l.slowUntil = now + slowTime
}

// pace returns the tokens of prompts that the server reads per second.
func (l *serverLoad) pace(now tick.Instant) float64 {
	if now < l.slowUntil {
		return l.slow
	}
	return l.speed
}

// Began says that the first event of a placement has come.
func (b *Balancer) FirstEvent(p *Placement, now tick.Instant) {
	b.PrefillDone(p, 0)
	if p.Prefill == nil || p.want.Prefilled {
		return
	}
	b.starts.Add(p.want.Service, now-p.at-reading(&p.want))
}

// start returns the time to the first event that most requests stay within.
func (b *Balancer) start(w *Request) time.Duration {
	return reading(w) + max(b.starts.UpperBound(w.Service, startDeviations), 0)
}

// Paced tells the mean pause between the events of a placement's stream.
func (b *Balancer) ObserveGap(p *Placement, pause time.Duration) {
	l := b.load(p.Decode)
	if l.pause == 0 {
		l.pause = pause
		return
	}
	l.pause += time.Duration(pauseWeight * float64(pause-l.pause))
}

// Done says that a placement has ended, however it did.
func (b *Balancer) Release(p *Placement) {
	b.PrefillDone(p, 0)
	d := b.load(p.Decode)
	d.memory -= p.want.KVTokens()
	d.running--
}

// Peers sets the loads of other instances that have changed, by route.Hash of the
// key.
func (b *Balancer) UpdatePeerLoad(changed map[uint64]Load) {
	for h, s := range changed {
		b.byHash(h).peers = s
	}
}

// elsewhere returns how many requests for a service wait at other instances and
// can still be on time.
func (b *Balancer) elsewhere(service string) int {
	l, ok := b.loads[route.Hash(service)]
	if !ok {
		return 0
	}
	return l.peers.Queued
}

// Own returns the load that this instance has placed, by route.Hash of the key.
func (b *Balancer) OwnLoad() map[uint64]Load {
	own := make(map[uint64]Load)
	for h, l := range b.loads {
		if l.reading != 0 || l.memory != 0 || l.running != 0 {
			own[h] = Load{PrefillTokens: l.reading, KVTokens: l.memory, Running: l.running}
		}
	}
	return own
}

// Forget drops the servers that are gone and run nothing.
func (b *Balancer) Prune(here func(hash uint64) bool) {
	for h, l := range b.loads {
		if l.running == 0 && l.reading == 0 && l.peers == (Load{}) && !here(h) {
			delete(b.loads, h)
			clear(b.views) // they may hold it
		}
	}
}
