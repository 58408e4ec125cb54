package pool

import (
	"math/rand/v2"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/fair"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

const (
	// sweepEvery is the time between two searches of the queue for items that
	// cannot meet their targets.
	sweepEvery = 50 * time.Millisecond
	// maxHeld is the most requests with a KV cache that wait for a decode
	// place.
	maxHeld = 64
	// heldLife is the time within which a held KV cache must be moved.
	heldLife = 400 * time.Millisecond
	// capacityPart is the part of the nominal rate that is expected of a pool
	// until it is measured.
	capacityPart = 0.9
)

// Class is a latency class of the table.
type Class struct {
	Name    ident.Class
	First   time.Duration // target for the first token
	Between time.Duration // target for the time between tokens
	Patient bool          // gives way to the other classes
}

// Config holds the parameters of a Scheduler.
type Config struct {
	Instance    ident.Instance
	Incarnation uint64
	Rand        rand.Source
	Fair        fair.Config
	Place       place.Config
	// FIFO serves requests in the order of their arrival, without regard to
	// customers and classes, and refuses only what has missed its target.
	FIFO bool
}

// Ticket names a request in the queue of a scheduler.
type Ticket uint64

// Scheduler places the requests for one model.
type Scheduler struct {
	cfg      Config
	pool     *place.Pool
	queue    *fair.Queue
	output   *fair.OutputEstimator
	classes  []Class
	waiting  map[Ticket]*waiter
	held     []*waiter
	live     map[string]*live
	entries  map[ident.Instance]*entry
	decided  []Decision
	swept    tick.Instant
	retries  budget
	refused  []fair.Rejected
	spare    []*waiter
	next     Ticket
	serial   uint64
	idPrefix []byte
}

// waiter is a request that is neither placed nor refused.
type waiter struct {
	ticket Ticket
	owner  ident.Instance
	ask    place.Request
	class  Class
	query  place.Query
	item   fair.Item
	output int64 // estimate
	since  tick.Instant
}

// New returns a scheduler without servers.
func New(cfg Config) *Scheduler {
	if cfg.Rand == nil {
		cfg.Rand = rand.NewPCG(cfg.Incarnation, 1)
	}
	cfg.Place.Rand = cfg.Rand
	return &Scheduler{
		cfg:      cfg,
		pool:     place.NewPool(cfg.Place),
		queue:    fair.New(cfg.Fair),
		output:   fair.NewOutputEstimator(),
		waiting:  make(map[Ticket]*waiter),
		live:     make(map[string]*live),
		entries:  make(map[ident.Instance]*entry),
		idPrefix: placementPrefix(cfg),
		retries:  budget{earned: maxRetries * retryCost},
	}
}

// Configure takes the table's account of the pool and its latency classes.
// The first class is that of requests whose class is unknown.
func (s *Scheduler) Configure(spec place.Spec, classes []Class) {
	s.pool.Configure(spec)
	s.classes = classes
	s.updateRate()
}

// SetWeight sets the weight of a customer.
func (s *Scheduler) SetWeight(c ident.Customer, w float64) { s.queue.SetWeight(c, w) }

// Report applies a load report of a backend server.
func (s *Scheduler) Report(r place.LoadReport, now tick.Instant) { s.pool.ApplyReport(r, now) }

// Events applies changes of a backend server's prefix cache.
func (s *Scheduler) Events(e place.CacheEvent) { s.pool.ApplyCacheEvent(e) }

// Depart marks a backend server as departing or as live again.
func (s *Scheduler) Depart(name ident.Server, departing bool) {
	s.pool.SetDraining(name, departing)
	s.updateRate()
}

// updateRate sets the cost per second that the pool should serve: that of the
// scarcer of prefill and decode, with the other in the proportion seen so far.
func (s *Scheduler) updateRate() {
	_, decode := s.pool.Throughput()
	s.queue.SetExpectedRate(capacityPart * float64(s.queue.Cost(0, 1)) * decode)
}

// Submit takes a request in. Step tells when it is placed or refused.
func (s *Scheduler) Submit(a *place.Request, owner ident.Instance, now tick.Instant) Ticket {
	s.next++
	t := s.next
	w := s.waiter()
	*w = waiter{ticket: t, owner: owner, ask: *a, class: s.class(a.Class), since: now}
	arrived := now - a.Waited
	w.query = place.Query{
		PromptTokens: a.PromptTokens,
		BlockHashes:  a.BlockHashes,
		Avoid:        a.Avoid,
		KVSource:     a.KVSource,
		Deferrable:   w.class.Patient,
		FirstTokenBy: arrived + w.class.First,
		GapTarget:    w.class.Between,
	}
	w.output = s.output.Estimate(a.Customer, a.MaxOutputTokens)
	switch {
	case !s.retries.allow(a.Resumed):
		s.refuse(w, fail.CodeOverloaded, s.queueTime(), ReasonRetries, now)
		return t
	case a.KVSource != "":
		s.hold(w, now)
		return t
	}
	s.enqueue(w, now)
	return t
}

func (s *Scheduler) enqueue(w *waiter, now tick.Instant) {
	least := s.pool.MinTTFT(&w.query)
	w.item = fair.Item{
		ID:       uint64(w.ticket),
		Customer: w.ask.Customer,
		Cost:     s.queue.Cost(w.ask.PromptTokens, w.output),
		StartBy:  w.query.FirstTokenBy - least,
	}
	if w.class.Patient {
		w.item.Priority = fair.Deferrable
	}
	if s.cfg.FIFO {
		w.item.Customer, w.item.Priority = "", fair.Interactive
	}
	switch {
	case least > w.class.First:
		s.refuse(w, fail.CodeDeadline, fail.NoRetry, ReasonLength, now)
		return
	case w.item.StartBy < now:
		s.refuse(w, fail.CodeDeadline, s.turn(w, now), ReasonTarget, now)
		return
	}
	if s.cfg.FIFO {
		w.item.StartBy += time.Hour
	}
	if retry, ok := s.queue.Push(w.item, now); !ok {
		s.refuse(w, fail.CodeOverloaded, retry, ReasonQueue, now)
		return
	}
	s.waiting[w.ticket] = w
}

// hold takes a request in whose KV cache waits at a prefill server. Its
// prefill has been charged and its work is nearly done, so that it goes
// before the queue.
func (s *Scheduler) hold(w *waiter, now tick.Instant) {
	if len(s.held) >= maxHeld {
		s.refuse(w, fail.CodeOverloaded, s.queueTime(), ReasonQueue, now)
		return
	}
	s.held = append(s.held, w)
	s.waiting[w.ticket] = w
}

// Cancel takes a request out that its caller no longer wants.
func (s *Scheduler) Cancel(t Ticket) {
	w, ok := s.waiting[t]
	if !ok {
		return
	}
	delete(s.waiting, t)
	for i, o := range s.held {
		if o == w {
			s.held = append(s.held[:i], s.held[i+1:]...)
			s.recycle(w)
			return
		}
	}
	s.queue.Remove(w.item.ID)
	s.recycle(w)
}

// turn returns the time after which the request may come back.
func (s *Scheduler) turn(w *waiter, now tick.Instant) time.Duration {
	return s.queue.RetryAfter(w.item.Customer, w.item.Cost, 0, now)
}

// queueTime returns the time in which the pool serves its queue.
func (s *Scheduler) queueTime() time.Duration {
	if s.queue.Rate() <= 0 {
		return noServerRetry
	}
	d := time.Duration(float64(s.queue.Backlog()) / s.queue.Rate() * float64(time.Second))
	return max(d, minRetry)
}

func (s *Scheduler) class(name ident.Class) Class {
	for _, c := range s.classes {
		if c.Name == name {
			return c
		}
	}
	if len(s.classes) > 0 {
		return s.classes[0]
	}
	return DefaultClass
}

func (s *Scheduler) waiter() *waiter {
	if n := len(s.spare); n > 0 {
		w := s.spare[n-1]
		s.spare = s.spare[:n-1]
		return w
	}
	return &waiter{}
}

func (s *Scheduler) recycle(w *waiter) {
	*w = waiter{}
	s.spare = append(s.spare, w)
}

// Target returns the first-token target of a class.
func (s *Scheduler) Target(c ident.Class) time.Duration { return s.class(c).First }
