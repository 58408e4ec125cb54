package admit

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/filter"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// maxQueued is the maximum number of requests that are queued at one instance.
	maxQueued = 512
	// minRetryAfter is the shortest Retry-After of a rejected request.
	minRetryAfter = 300 * time.Millisecond
	// intervalWeight is the weight of a new sample in the moving average of the dispatch
	// interval. Longer samples count as maxInterval.
	intervalWeight = 0.2
	maxInterval    = 500 * time.Millisecond
)

// Source provides the current servers of a service.
type Source interface {
	// Servers returns the servers of a service and the description of its model servers, which is
	// nil if the service has none.
	Servers(service string) ([]*route.Server, *route.Engine)
}

// Scheduler places model requests on servers and queues those that cannot be placed yet. It is
// safe for concurrent use.
type Scheduler struct {
	src   Source
	clock tick.Clock

	mu           sync.Mutex
	balancer     *Balancer
	queue        []*waiter
	interval     time.Duration // moving average of the time between dispatches
	lastDispatch tick.Instant  // time of the last dispatch, 0 if the queue has been empty since then
}

// waiter is a queued request.
type waiter struct {
	req       Request
	result    chan *Placement // receives nil if the request is rejected
	rejection *fail.Refusal   // reason of the rejection, nil if the deadline passed; set before nil is sent to result
}

// NewScheduler returns a Scheduler with an empty queue.
func NewScheduler(cfg Config, src Source, clock tick.Clock) *Scheduler {
	return &Scheduler{src: src, clock: clock, balancer: NewBalancer(cfg)}
}

// Place returns servers for a request and waits for them if necessary. It returns a fail.Refusal
// as soon as it determines that no server will be available in time. If ctx ends first, Place
// returns the error of ctx.
func (s *Scheduler) Place(ctx context.Context, r Request) (*Placement, error) {
	now := s.clock.Now()
	r.rescope()
	s.mu.Lock()
	if !s.yieldsToUrgent(&r, now) {
		if p, ok := s.tryPlace(&r, s.heldFrom(&r, now), now); ok {
			s.mu.Unlock()
			return p, nil
		}
	}
	wt := &waiter{req: r, result: make(chan *Placement, 1)}
	err := s.enqueue(wt, now)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case p := <-wt.result:
		if p == nil && wt.rejection != nil {
			return nil, wt.rejection
		}
		if p == nil {
			// The overload has lasted for as long as the request waited. A caller that retries
			// earlier would most likely wait without success again.
			waited := s.clock.Now() - now
			return nil, fail.Refuse(fail.CodeOverloaded, max(s.RetryAfter(), waited), "no server has room in time")
		}
		return p, nil
	case <-ctx.Done():
		s.cancel(wt)
		return nil, ctx.Err()
	}
}

// heldFrom returns the scopes of the queued requests of the same service that go before r. They hold their places: r must
// not take the room that they wait for.
func (s *Scheduler) heldFrom(r *Request, now tick.Instant) []filter.Scope {
	var held []filter.Scope
	for _, wt := range s.queue {
		q := &wt.req
		if q.Service != r.Service || q.Spare {
			continue
		}
		if s.before(r, q, now) {
			break
		}
		if held = hold(held, q.Scope); covered(held, r.Scope) {
			break
		}
	}
	return held
}

// hold adds a scope to those of requests that hold their places.
func hold(held []filter.Scope, scope filter.Scope) []filter.Scope {
	if covered(held, scope) {
		return held
	}
	return append(held, scope)
}

// covered reports whether one of the scopes is known to allow all regions that another one allows.
func covered(held []filter.Scope, scope filter.Scope) bool {
	return slices.ContainsFunc(held, func(h filter.Scope) bool { return h.Covers(scope) })
}

// tryPlace returns a placement for a request that leaves the servers that the held scopes allow to other requests.
func (s *Scheduler) tryPlace(r *Request, held []filter.Scope, now tick.Instant) (*Placement, bool) {
	if covered(held, r.Scope) {
		return nil, false
	}
	servers, engine := s.src.Servers(r.Service)
	if engine == nil {
		return nil, false
	}
	req := *r
	req.held = held
	return s.balancer.Place(req, servers, engine, now)
}

// rejection returns the reason why no server could run the request even if all were idle. It
// returns nil if a server could run the request.
func (s *Scheduler) rejection(r *Request, now tick.Instant) *fail.Refusal {
	servers, engine := s.src.Servers(r.Service)
	return s.balancer.rejection(r, servers, engine, now)
}

// enqueue adds a waiter to the queue. It returns a fail.Refusal if no server could run the request,
// if the queue is full, or if the request would be dispatched after its deadline.
func (s *Scheduler) enqueue(wt *waiter, now tick.Instant) error {
	if r := s.rejection(&wt.req, now); r != nil {
		return r
	}
	i := sort.Search(len(s.queue), func(i int) bool { return s.before(&wt.req, &s.queue[i].req, now) })
	eta := s.expectedWait(i)
	switch {
	case len(s.queue) >= maxQueued:
		return fail.Refuse(fail.CodeOverloaded, max(eta, minRetryAfter), "too many requests wait")
	case now >= wt.req.Deadline:
		return fail.Refuse(fail.CodeOverloaded, max(eta, minRetryAfter), "no server has room, and the time to wait for one is over")
	case now+eta > wt.req.Deadline:
		return fail.Refuse(fail.CodeOverloaded, max(eta, minRetryAfter), "too many requests wait for the time that is left")
	}
	s.queue = append(s.queue, nil)
	copy(s.queue[i+1:], s.queue[i:])
	s.queue[i] = wt
	return nil
}

// expectedWait returns the expected wait of the request at a position in the queue.
func (s *Scheduler) expectedWait(position int) time.Duration {
	return time.Duration(position) * s.interval
}

// RetryAfter returns the time after which a rejected caller may retry. The current queue is expected
// to be empty by then.
func (s *Scheduler) RetryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.expectedWait(len(s.queue)), minRetryAfter)
}

// recordDispatch updates the moving average of the interval at which queued requests are
// dispatched.
func (s *Scheduler) recordDispatch(now tick.Instant) {
	if s.lastDispatch > 0 {
		s.interval += time.Duration(intervalWeight * float64(min(now-s.lastDispatch, maxInterval)-s.interval))
	}
	s.lastDispatch = now
}

// cancel removes a waiter from the queue. If the waiter has been placed in the meantime, its
// placement is released.
func (s *Scheduler) cancel(wt *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.queue {
		if o == wt {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
	select {
	case p := <-wt.result:
		if p != nil {
			s.balancer.Release(p)
		}
	default:
	}
}

// Dispatch places queued requests and rejects those that cannot be served in time. It should be
// called after each change and periodically.
func (s *Scheduler) Dispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.rejectExcluded(now)
	s.dispatch(now)
}

// rejectExcluded rejects the queued requests whose servers are all outside the allowed regions or evacuated by now. It
// includes those that wait behind others, which dispatch does not consider.
func (s *Scheduler) rejectExcluded(now tick.Instant) {
	kept := s.queue[:0]
	for _, wt := range s.queue {
		wt.req.rescope()
		if servers, _ := s.src.Servers(wt.req.Service); s.balancer.excluded(&wt.req, servers, now) {
			wt.rejection = s.rejection(&wt.req, now)
			wt.result <- nil
			continue
		}
		kept = append(kept, wt)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

func (s *Scheduler) dispatch(now tick.Instant) {
	if len(s.queue) == 0 {
		s.lastDispatch = 0
		return
	}
	sort.SliceStable(s.queue, func(i, j int) bool {
		return s.before(&s.queue[i].req, &s.queue[j].req, now)
	})
	kept := s.queue[:0]
	held := make(map[string][]filter.Scope) // by service, of the requests that hold the places of those behind them
	for _, wt := range s.queue {
		if now >= wt.req.Deadline {
			wt.result <- nil
			continue
		}
		if scopes := held[wt.req.Service]; !covered(scopes, wt.req.Scope) && !s.yields(&wt.req, now) {
			if p, ok := s.tryPlace(&wt.req, scopes, now); ok {
				wt.result <- p
				s.recordDispatch(now)
				continue
			}
			if wt.rejection = s.rejection(&wt.req, now); wt.rejection != nil {
				wt.result <- nil
				continue
			}
			// Later requests in the queue must not take the room that this one waits for, unless it can do without.
			if !wt.req.Spare {
				held[wt.req.Service] = hold(scopes, wt.req.Scope)
			}
		}
		kept = append(kept, wt)
	}
	for i := len(kept); i < len(s.queue); i++ {
		s.queue[i] = nil
	}
	s.queue = kept
}

// Prune removes the state of servers that no longer exist. A server exists if exists returns true
// for its hash.
func (s *Scheduler) Prune(exists func(hash uint64) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Prune(exists)
}

// PrefillDone records that the prompt of a placement has been prefilled, and how long that took.
func (s *Scheduler) PrefillDone(p *Placement, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.PrefillDone(p, took)
	s.dispatch(s.clock.Now())
}

// PrefillSlow records that the prompt of a placement was not prefilled within the given time.
func (s *Scheduler) PrefillSlow(p *Placement, within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.PrefillSlow(p, within, s.clock.Now())
}

// FirstEvent records that the first event of a placement has arrived.
func (s *Scheduler) FirstEvent(p *Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.FirstEvent(p, s.clock.Now())
	s.dispatch(s.clock.Now())
}

// ObserveGap records the mean gap between the events of a placement's stream.
func (s *Scheduler) ObserveGap(p *Placement, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.ObserveGap(p, gap)
}

// Release frees the resources of a placement when its request has ended.
func (s *Scheduler) Release(p *Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Release(p)
	s.dispatch(s.clock.Now())
}

// ServerFull records that a server had no room for a request.
func (s *Scheduler) ServerFull(srv *route.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.ServerFull(srv, s.clock.Now())
}

// UpdatePeerLoad replaces the load that other instances have placed, for the entries that have
// changed. The keys are route.Hash of a server's key or, for queued requests, results of queueHash.
func (s *Scheduler) UpdatePeerLoad(changed map[uint64]Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.UpdatePeerLoad(changed)
	s.dispatch(s.clock.Now())
}

// OwnLoad returns the load that this instance has placed, by route.Hash of the server's key, and
// the number of its queued requests that can still be on time, by queueHash.
func (s *Scheduler) OwnLoad() map[uint64]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.balancer.OwnLoad()
	now := s.clock.Now()
	for _, wt := range s.queue {
		if wt.req.Spare || s.late(&wt.req, now) {
			continue
		}
		h := s.balancer.queueKeysOf(wt.req.Service)[reportedPriority(wt.req.Priority)]
		sum := own[h]
		sum.Queued++
		own[h] = sum
	}
	return own
}

// Queued returns the number of queued requests.
func (s *Scheduler) Queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}
