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
	// retryMin is the least time after which a refused caller is asked back.
	retryMin = 300 * time.Millisecond
)

// Source tells the servers of a service as they are now.
type Source interface {
	// Servers returns the servers of a service and what they are, nil if the
	// service has no model servers.
	Servers(service string) ([]*route.Server, *route.Engine)
}

// Desk hands out places and keeps the requests that wait for one.
type Desk struct {
	src   Source
	clock tick.Service

	mu      sync.Mutex
	book    *Book
	waiting []*waiter
}

// waiter is a request that waits.
type waiter struct {
	want Want
	got  chan *Placement // nil is sent if the wait is in vain
}

// NewDesk returns a Desk.
func NewDesk(cfg Config, src Source, clock tick.Service) *Desk {
	return &Desk{src: src, clock: clock, book: NewBook(cfg)}
}

// Place returns servers for a request, or a fail.Refusal as soon as it is
// known that there will be none in time.
func (d *Desk) Place(ctx context.Context, w Want) (*Placement, error) {
	now := d.clock.Now()
	d.mu.Lock()
	if !d.ahead(&w, now) {
		if p, ok := d.try(&w, now); ok {
			d.mu.Unlock()
			return p, nil
		}
	}
	if len(d.waiting) >= maxWaiting {
		d.mu.Unlock()
		return nil, fail.Refuse(fail.CodeOverload, time.Second, "too many requests wait")
	}
	wt := &waiter{want: w, got: make(chan *Placement, 1)}
	d.insert(wt, now)
	d.mu.Unlock()
	select {
	case p := <-wt.got:
		if p == nil {
			return nil, fail.Refuse(fail.CodeOverload, retryMin, "no server has room in time")
		}
		return p, nil
	case <-ctx.Done():
		d.leave(wt)
		return nil, ctx.Err()
	}
}

// ahead tells whether a request that waits goes before w.
func (d *Desk) ahead(w *Want, now tick.Instant) bool {
	return len(d.waiting) > 0 && !before(w, &d.waiting[0].want, now)
}

// before orders requests: those that can still be on time first, the more
// urgent of them first, then those that are due first.
func before(a, b *Want, now tick.Instant) bool {
	if la, lb := a.late(now), b.late(now); la != lb {
		return lb
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.By < b.By
}

// late tells whether a request that starts now has its first event after it is
// due.
func (w *Want) late(now tick.Instant) bool {
	return now+readFixed+span(float64(w.Prompt)/speedDefault) >= w.By
}

func (d *Desk) try(w *Want, now tick.Instant) (*Placement, bool) {
	servers, engine := d.src.Servers(w.Service)
	if engine == nil {
		return nil, false
	}
	return d.book.Place(*w, servers, engine, now)
}

func (d *Desk) insert(wt *waiter, now tick.Instant) {
	i := sort.Search(len(d.waiting), func(i int) bool { return before(&wt.want, &d.waiting[i].want, now) })
	d.waiting = append(d.waiting, nil)
	copy(d.waiting[i+1:], d.waiting[i:])
	d.waiting[i] = wt
}

// leave takes a waiter out. A place that it was given meanwhile is given back.
func (d *Desk) leave(wt *waiter) {
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
			d.book.Done(p)
		}
	default:
	}
}

// Sweep gives places to those that wait, and sends away those that cannot be
// served in time. It is called at each change and from time to time.
func (d *Desk) Sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(d.clock.Now())
}

func (d *Desk) sweep(now tick.Instant) {
	if len(d.waiting) == 0 {
		return
	}
	sort.SliceStable(d.waiting, func(i, j int) bool {
		return before(&d.waiting[i].want, &d.waiting[j].want, now)
	})
	kept := d.waiting[:0]
	full := false
	for _, wt := range d.waiting {
		if now >= wt.want.Until {
			wt.got <- nil
			continue
		}
		if !full {
			if p, ok := d.try(&wt.want, now); ok {
				wt.got <- p
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

// Read says that the prompt of a placement has been read, and how long it took.
func (d *Desk) Read(p *Placement, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Read(p, took)
	d.sweep(d.clock.Now())
}

// Done gives the places of a request back.
func (d *Desk) Done(p *Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Done(p)
	d.sweep(d.clock.Now())
}

// Full says that a server had no room for a request.
func (d *Desk) Full(s *route.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Full(s, d.clock.Now())
}

// Peers takes in what other instances have placed, by Hash of the key.
func (d *Desk) Peers(sums map[uint64]Sum) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Peers(sums)
	d.sweep(d.clock.Now())
}

// Own returns what this instance has placed, by Hash of the key.
func (d *Desk) Own() map[uint64]Sum {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Own()
}

// Waiting returns the number of requests that wait.
func (d *Desk) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}
