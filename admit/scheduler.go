package admit

import (
	"context"
	"sort"
	"sync"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// maxWaiting bounds the requests that wait at one instance.
	maxWaiting = 512
	// retryLeast is the least time after which a refused caller is asked back.
	retryLeast = 300 * time.Millisecond
	// paceWeight is the weight of a new measurement of the pace of the queue,
	// and paceMost the longest one that counts.
	paceWeight = 0.2
	paceMost   = 500 * time.Millisecond
)

// Source tells the servers of a service as they are now.
type Source interface {
	// Servers returns the servers of a service and what they are, nil if the
	// service has no model servers.
	Servers(service string) ([]*route.Server, *route.Engine)
}

// Scheduler hands out places and keeps the requests that wait for one.
type Scheduler struct {
	src   Source
	clock tick.Clock

	mu      sync.Mutex
	book    *Balancer
	waiting []*waiter
	pace    time.Duration // time from one place given to the next, while requests wait
	last    tick.Instant  // when a place was given last, 0 if none waited since
}

// waiter is a request that waits.
type waiter struct {
	want Request
	got  chan *Placement // nil is sent if the wait is in vain
	why  *fail.Refusal   // why it is, nil if time has run out; set before the send
}

// NewScheduler returns a Desk.
func NewScheduler(cfg Config, src Source, clock tick.Clock) *Scheduler {
	return &Scheduler{src: src, clock: clock, book: NewBalancer(cfg)}
}

// Place returns servers for a request, or a fail.Refusal as soon as it is
// known that there will be none in time.
func (d *Scheduler) Place(ctx context.Context, w Request) (*Placement, error) {
	now := d.clock.Now()
	d.mu.Lock()
	if !d.ahead(&w, now) {
		if p, ok := d.try(&w, now); ok {
			d.mu.Unlock()
			return p, nil
		}
	}
	wt := &waiter{want: w, got: make(chan *Placement, 1)}
	err := d.push(wt, now)
	d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case p := <-wt.got:
		if p == nil && wt.why != nil {
			return nil, wt.why
		}
		if p == nil {
			// The load has lasted for as long as the request has waited: who
			// comes back sooner most likely waits in vain once more.
			waited := d.clock.Now() - now
			return nil, fail.Refuse(fail.CodeOverloaded, max(d.RetryAfter(), waited), "no server has room in time")
		}
		return p, nil
	case <-ctx.Done():
		d.leave(wt)
		return nil, ctx.Err()
	}
}

// ahead tells whether a request that waits goes before w.
func (d *Scheduler) ahead(w *Request, now tick.Instant) bool {
	return len(d.waiting) > 0 && !d.before(w, &d.waiting[0].want, now)
}

// before orders requests: those that can still be on time first, the more
// urgent of them first, then those that are due first.
func (d *Scheduler) before(a, b *Request, now tick.Instant) bool {
	if la, lb := d.late(a, now), d.late(b, now); la != lb {
		return lb
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Due < b.Due
}

// late tells whether a request that starts now has its first event after it is
// due, as far as requests of late tell.
func (d *Scheduler) late(w *Request, now tick.Instant) bool { return now+d.book.start(w) >= w.Due }

func (d *Scheduler) try(w *Request, now tick.Instant) (*Placement, bool) {
	servers, engine := d.src.Servers(w.Service)
	if engine == nil {
		return nil, false
	}
	return d.book.Place(*w, servers, engine, now)
}

// refusal tells why no server could run a request, nil if one could.
func (d *Scheduler) refusal(w *Request, now tick.Instant) *fail.Refusal {
	servers, engine := d.src.Servers(w.Service)
	return d.book.refusal(w, servers, engine, now)
}

// push adds a waiter, or refuses it if its turn comes too late.
func (d *Scheduler) push(wt *waiter, now tick.Instant) error {
	if r := d.refusal(&wt.want, now); r != nil {
		return r
	}
	i := sort.Search(len(d.waiting), func(i int) bool { return d.before(&wt.want, &d.waiting[i].want, now) })
	if eta := d.eta(i); len(d.waiting) >= maxWaiting || now+eta > wt.want.Deadline {
		return fail.Refuse(fail.CodeOverloaded, max(eta, retryLeast), "too many requests wait")
	}
	d.waiting = append(d.waiting, nil)
	copy(d.waiting[i+1:], d.waiting[i:])
	d.waiting[i] = wt
	return nil
}

// eta returns the expected wait of the request at a place in the queue.
func (d *Scheduler) eta(place int) time.Duration { return time.Duration(place) * d.pace }

// Wait returns the time after which a refused caller may come back: the queue
// of now will have been served.
func (d *Scheduler) RetryAfter() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.eta(len(d.waiting)), retryLeast)
}

// granted measures the pace at which those that wait are given places.
func (d *Scheduler) granted(now tick.Instant) {
	if d.last > 0 {
		d.pace += time.Duration(paceWeight * float64(min(now-d.last, paceMost)-d.pace))
	}
	d.last = now
}

// leave takes a waiter out. A place that it was given meanwhile is given back.
func (d *Scheduler) leave(wt *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, o := range d.waiting {
		if o == wt {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return
		}
	}
	select {
	case p := <-wt.got:
		if p != nil {
			d.book.Release(p)
		}
	default:
	}
}

// Sweep gives places to those that wait, and sends away those that cannot be
// served in time. It is called at each change and from time to time.
func (d *Scheduler) Dispatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(d.clock.Now())
}

func (d *Scheduler) sweep(now tick.Instant) {
	if len(d.waiting) == 0 {
		d.last = 0
		return
	}
	sort.SliceStable(d.waiting, func(i, j int) bool {
		return d.before(&d.waiting[i].want, &d.waiting[j].want, now)
	})
	kept := d.waiting[:0]
	full := false
	for _, wt := range d.waiting {
		if now >= wt.want.Deadline {
			wt.got <- nil
			continue
		}
		if !full && !d.yields(&wt.want, now) {
			if p, ok := d.try(&wt.want, now); ok {
				wt.got <- p
				d.granted(now)
				continue
			}
			if wt.why = d.refusal(&wt.want, now); wt.why != nil {
				wt.got <- nil
				continue
			}
			// The next ones must not take the room for which this one waits.
			full = true
		}
		kept = append(kept, wt)
	}
	for i := len(kept); i < len(d.waiting); i++ {
		d.waiting[i] = nil
	}
	d.waiting = kept
}

// yields tells whether a request leaves the next place to another instance: it
// is late in any case, and there is one that waits there and can still be on
// time. A stream that goes on does not, since its caller has part of it.
func (d *Scheduler) yields(w *Request, now tick.Instant) bool {
	return !w.Resumed && d.late(w, now) && d.book.elsewhere(w.Service) > 0
}

// Forget drops what is known of servers that are not there any more, those for
// whose hash here returns false.
func (d *Scheduler) Prune(here func(hash uint64) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Prune(here)
}

// Read says that the prompt of a placement has been read, and how long it took.
func (d *Scheduler) PrefillDone(p *Placement, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.PrefillDone(p, took)
	d.sweep(d.clock.Now())
}

// Slow says that the prompt of a placement has not been read within a time.
func (d *Scheduler) PrefillSlow(p *Placement, within time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.PrefillSlow(p, within, d.clock.Now())
}

// Began says that the first event of a placement has come.
func (d *Scheduler) FirstEvent(p *Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.FirstEvent(p, d.clock.Now())
	d.sweep(d.clock.Now())
}

// Paced tells the mean pause between the events of a placement's stream.
func (d *Scheduler) ObserveGap(p *Placement, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.ObserveGap(p, pause)
}

// Done gives the places of a request back.
func (d *Scheduler) Release(p *Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Release(p)
	d.sweep(d.clock.Now())
}

// Full says that a server had no room for a request.
func (d *Scheduler) ServerFull(s *route.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.ServerFull(s, d.clock.Now())
}

// UpdatePeerLoad takes in what has changed of that which other instances have placed, by
// Hash of the key.
func (d *Scheduler) UpdatePeerLoad(changed map[uint64]Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.UpdatePeerLoad(changed)
	d.sweep(d.clock.Now())
}

// OwnLoad returns what this instance has placed, by Hash of the key, and what waits
// here, by Hash of the service.
func (d *Scheduler) OwnLoad() map[uint64]Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.book.OwnLoad()
	now := d.clock.Now()
	for _, wt := range d.waiting {
		if d.late(&wt.want, now) {
			continue
		}
		h := route.Hash(wt.want.Service)
		sum := own[h]
		sum.Queued++
		own[h] = sum
	}
	return own
}

// Waiting returns the number of requests that wait.
func (d *Scheduler) Queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}
