package pool

import (
	"math/rand/v2"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/fair"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/retry"
	"wasabidock.dev/dock/tick"
)

const (
	// sweepInterval is the time between two searches of the queue for requests that cannot meet
	// their targets.
	sweepInterval = 50 * time.Millisecond
	// maxKVWaiters is the maximum number of requests with a KV cache that wait for a decode slot.
	maxKVWaiters = 64
	// maxKVWait is the time within which the KV cache that a prefill server holds must be
	// transferred.
	maxKVWait = 400 * time.Millisecond
	// expectedUtilization is the share of the nominal rate that a pool is expected to serve until
	// its rate is measured.
	expectedUtilization = 0.9
)

// retryBudget lets 32 retries be placed at once. Ten new requests earn one more.
var retryBudget = retry.Config{PerRequest: 1, PerRetry: 10, MaxCredit: 320}

// Class is a latency class of the routing table.
type Class struct {
	Name             ident.Class
	FirstTokenTarget time.Duration // latency target of the first token
	GapTarget        time.Duration // latency target between tokens
	Deferrable       bool          // requests of the class are usually served after those of the other classes; see package fair
}

// Config holds the parameters of a Scheduler.
type Config struct {
	Instance    ident.Instance
	Incarnation uint64
	Rand        rand.Source
	Fair        fair.Config
	Place       place.Config
	// FIFO serves requests in order of arrival, whatever their customer and class, and rejects only
	// those that have missed their target.
	FIFO bool
}

// Ticket identifies a request that was submitted to a scheduler.
type Ticket uint64

// Scheduler queues the requests for one model and places them on servers.
type Scheduler struct {
	cfg             Config
	pool            *place.Pool
	queue           *fair.Queue
	outputEstimator *fair.OutputEstimator
	classes         []Class
	waiting         map[Ticket]*waiter
	kvWaiters       []*waiter // requests whose KV cache is at a prefill server
	live            map[string]*livePlacement
	owners          map[ident.Instance]*ownerState
	decisions       []Decision
	lastSweep       tick.Instant
	retryBudget     *retry.Budget
	rejected        []fair.Rejected
	freeWaiters     []*waiter
	lastTicket      Ticket
	serial          uint64
	idPrefix        []byte
}

// waiter is a request that is neither placed nor rejected yet.
type waiter struct {
	ticket         Ticket
	owner          ident.Instance
	req            place.Request
	class          Class
	query          place.Query
	item           fair.Item
	outputEstimate int64 // tokens
	queuedAt       tick.Instant
}

// New returns a scheduler without servers. If cfg.Rand is nil, the random numbers depend on
// cfg.Incarnation alone.
func New(cfg Config) *Scheduler {
	if cfg.Rand == nil {
		cfg.Rand = rand.NewPCG(cfg.Incarnation, 1)
	}
	cfg.Place.Rand = cfg.Rand
	return &Scheduler{
		cfg:             cfg,
		pool:            place.NewPool(cfg.Place),
		queue:           fair.New(cfg.Fair),
		outputEstimator: fair.NewOutputEstimator(),
		waiting:         make(map[Ticket]*waiter),
		live:            make(map[string]*livePlacement),
		owners:          make(map[ident.Instance]*ownerState),
		idPrefix:        placementPrefix(cfg),
		retryBudget:     retry.NewBudget(retryBudget),
	}
}

// Configure sets the servers of the pool and its latency classes from the routing table. Requests
// of an unknown class get the first class.
func (s *Scheduler) Configure(spec place.Spec, classes []Class) {
	s.pool.Configure(spec)
	s.classes = classes
	s.updateRate()
}

// SetWeight sets the weight of a customer in the fair queue.
func (s *Scheduler) SetWeight(c ident.Customer, w float64) { s.queue.SetWeight(c, w) }

// ApplyReport applies a load report of a backend server.
func (s *Scheduler) ApplyReport(r place.LoadReport, now tick.Instant) { s.pool.ApplyReport(r, now) }

// ApplyEvents applies changes to the prefix cache of a backend server.
func (s *Scheduler) ApplyEvents(e place.CacheEvent) { s.pool.ApplyCacheEvent(e) }

// SetDraining marks a backend server as draining, or as available again.
func (s *Scheduler) SetDraining(name ident.Server, draining bool) {
	s.pool.SetDraining(name, draining)
	s.updateRate()
}

// updateRate sets the cost per second that the pool is expected to serve. It is the rate of the
// scarcer of prefill and decode, with the other in the proportion seen so far.
func (s *Scheduler) updateRate() {
	_, decode := s.pool.Throughput()
	s.queue.SetExpectedRate(expectedUtilization * float64(s.queue.Cost(0, 1)) * decode)
}

// Submit adds a request that instance owner has received. A later call of Dispatch returns the
// decision on its ticket.
func (s *Scheduler) Submit(req *place.Request, owner ident.Instance, now tick.Instant) Ticket {
	s.lastTicket++
	t := s.lastTicket
	w := s.newWaiter()
	*w = waiter{ticket: t, owner: owner, req: *req, class: s.class(req.Class), queuedAt: now}
	arrived := now - req.Waited
	w.query = place.Query{
		PromptTokens: req.PromptTokens,
		BlockHashes:  req.BlockHashes,
		Avoid:        req.Avoid,
		KVSource:     req.KVSource,
		Deferrable:   w.class.Deferrable,
		FirstTokenBy: arrived + w.class.FirstTokenTarget,
		GapTarget:    w.class.GapTarget,
	}
	w.outputEstimate = s.outputEstimator.Estimate(req.Customer, req.MaxOutputTokens)
	if !req.Resumed {
		s.retryBudget.RecordRequest()
	}
	switch {
	case req.Resumed && !s.retryBudget.Allow():
		s.reject(w, fail.CodeOverloaded, s.queueDrainTime(), ReasonRetryBudget, now)
		return t
	case req.KVSource != "":
		s.enqueueWithKV(w, now)
		return t
	}
	s.enqueue(w, now)
	return t
}

func (s *Scheduler) enqueue(w *waiter, now tick.Instant) {
	minTTFT := s.pool.MinTTFT(&w.query)
	w.item = fair.Item{
		ID:       uint64(w.ticket),
		Customer: w.req.Customer,
		Cost:     s.queue.Cost(w.req.PromptTokens, w.outputEstimate),
		StartBy:  w.query.FirstTokenBy - minTTFT,
	}
	if w.class.Deferrable {
		w.item.Priority = fair.Deferrable
	}
	if s.cfg.FIFO {
		w.item.Customer, w.item.Priority = "", fair.Interactive
	}
	switch {
	case minTTFT > w.class.FirstTokenTarget:
		s.reject(w, fail.CodeDeadline, fail.NoRetry, ReasonPromptTooLong, now)
		return
	case w.item.StartBy < now:
		s.reject(w, fail.CodeDeadline, s.retryAfter(w, now), ReasonTargetMissed, now)
		return
	}
	if s.cfg.FIFO {
		w.item.StartBy += time.Hour
	}
	if retry, ok := s.queue.Push(w.item, now); !ok {
		s.reject(w, fail.CodeOverloaded, retry, ReasonQueueFull, now)
		return
	}
	s.waiting[w.ticket] = w
}

// enqueueWithKV adds a request whose KV cache is held at a prefill server. It is served before the
// queue, because its prefill has been charged and its work is nearly done.
func (s *Scheduler) enqueueWithKV(w *waiter, now tick.Instant) {
	if len(s.kvWaiters) >= maxKVWaiters {
		s.reject(w, fail.CodeOverloaded, s.queueDrainTime(), ReasonQueueFull, now)
		return
	}
	s.kvWaiters = append(s.kvWaiters, w)
	s.waiting[w.ticket] = w
}

// Cancel removes a request that its caller has given up. It does nothing if the request has been
// decided.
func (s *Scheduler) Cancel(t Ticket) {
	w, ok := s.waiting[t]
	if !ok {
		return
	}
	delete(s.waiting, t)
	for i, o := range s.kvWaiters {
		if o == w {
			s.kvWaiters = append(s.kvWaiters[:i], s.kvWaiters[i+1:]...)
			s.recycle(w)
			return
		}
	}
	s.queue.Remove(w.item.ID)
	s.recycle(w)
}

// retryAfter returns the time after which a rejected request may be sent again.
func (s *Scheduler) retryAfter(w *waiter, now tick.Instant) time.Duration {
	return s.queue.RetryAfter(w.item.Customer, w.item.Cost, 0, now)
}

// queueDrainTime returns the time that the pool takes to serve its queue.
func (s *Scheduler) queueDrainTime() time.Duration {
	if s.queue.Rate() <= 0 {
		return noServerRetryAfter
	}
	d := time.Duration(float64(s.queue.Backlog()) / s.queue.Rate() * float64(time.Second))
	return max(d, minRetryAfter)
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

func (s *Scheduler) newWaiter() *waiter {
	if n := len(s.freeWaiters); n > 0 {
		w := s.freeWaiters[n-1]
		s.freeWaiters = s.freeWaiters[:n-1]
		return w
	}
	return &waiter{}
}

func (s *Scheduler) recycle(w *waiter) {
	*w = waiter{}
	s.freeWaiters = append(s.freeWaiters, w)
}

// FirstTokenTarget returns the first-token target of a class.
func (s *Scheduler) FirstTokenTarget(c ident.Class) time.Duration { return s.class(c).FirstTokenTarget }
