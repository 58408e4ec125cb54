// Package drain leads a process from serving to its end. A Tracker counts the requests in progress, and decides in the same step
// whether a request is taken and whether the process may end, so that no request is taken after the decision.
//
// # Usage
//
//	t := drain.New(clock)
//
//	// for each request
//	if !t.Enter() {
//		// refuse the request; it has not run
//	}
//	defer t.Leave()
//
//	// at the end of the process
//	t.Drain(noticed, end)
//	v := t.Weigh(drain.Request{Deadline: deadline, Usual: usual}) // before a request is written to a server
//	for !t.CloseIfIdle() {
//		// wait; call Close when the time is up
//	}
//	t.Cut() // before the connections are closed
//
// # Stages
//
// A Tracker goes from Serving to Draining, Closing and Closed, and never back. While it drains, requests are taken that end before
// the process, see Weigh. From Closing on none is taken, and those in progress end or are answered.
//
// # Concurrency
//
// All methods may be called concurrently.
package drain

import (
	"context"
	"sync"
	"time"

	"wasabidock.dev/dock/tick"
)

// Stage is a stage of a process.
type Stage int

// The stages, in order.
const (
	Serving  Stage = iota // requests are taken
	Draining              // requests are taken that end before the process
	Closing               // no request is taken
	Closed                // the connections of callers are closed
)

// Tracker counts the requests of a process and holds its stage.
type Tracker struct {
	clock     tick.Clock
	closing   context.Context // ends with the call of Close
	endActive context.CancelFunc
	closed    context.Context // ends with the call of Cut
	endClosed context.CancelFunc

	mu      sync.Mutex
	stage   Stage
	active  int64
	refused int64        // requests that came after the stage was Closing
	began   tick.Instant // call of Drain
	noticed tick.Instant // see Drain
	end     tick.Instant // see Drain
}

// New returns a Tracker of a process that serves.
func New(clock tick.Clock) *Tracker {
	t := &Tracker{clock: clock}
	t.closing, t.endActive = context.WithCancel(context.Background())
	t.closed, t.endClosed = context.WithCancel(context.Background())
	return t
}

// Enter counts a request as active and reports whether it is taken. The caller must call Leave at the end of the request, also if it is
// not taken.
func (t *Tracker) Enter() (taken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
	if t.stage >= Closing {
		t.refused++
		return false
	}
	return true
}

// Leave records the end of a request.
func (t *Tracker) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
}

// Drain begins the drain: the load balancer sends no new connections from noticed on, and Close will be called at end, or CloseIfIdle
// before.
func (t *Tracker) Drain(noticed, end tick.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.advance(Draining) {
		t.began, t.noticed, t.end = t.clock.Now(), noticed, end
	}
}

// CloseIfIdle ends the drain if no request is active, and reports whether it has. No request is taken from then on.
func (t *Tracker) CloseIfIdle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active == 0 && t.advance(Closing)
}

// Close ends the drain. No request is taken from then on, and the context of Ending ends.
func (t *Tracker) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(Closing)
	t.endActive()
}

// Cut states that the connections of callers are closed now.
func (t *Tracker) Cut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(Closed)
	t.endActive()
	t.endClosed()
}

// advance goes to a later stage. It returns false if the stage is not an earlier one. The caller holds mu.
func (t *Tracker) advance(to Stage) bool {
	if t.stage >= to {
		return false
	}
	t.stage = to
	return true
}

// Ending returns a context that ends when the requests in progress must be answered.
func (t *Tracker) Ending() context.Context { return t.closing }

// End returns a context that ends when the connections of callers are closed.
func (t *Tracker) End() context.Context { return t.closed }

// Stage returns the stage.
func (t *Tracker) Stage() Stage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stage
}

// Active returns the number of requests that have entered and not left.
func (t *Tracker) Active() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

// Refused returns the number of requests that came too late to be taken.
func (t *Tracker) Refused() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused
}

// Since returns the time from the begin of the drain to at. It is negative for an earlier time. Ok is false if the process serves.
func (t *Tracker) Since(at tick.Instant) (d time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return at - t.began, t.stage > Serving
}
