package tick

import (
	"sync"
	"time"
)

// Real is a Clock that reads the monotonic clock of the machine.
type Real struct {
	origin time.Time
}

// NewReal returns a Real whose origin is now.
func NewReal() *Real {
	return &Real{origin: time.Now()}
}

// Now returns the monotonic time since the origin.
func (r *Real) Now() Instant { return time.Since(r.origin) }

// Every returns a timer that ticks with the period d.
func (r *Real) Every(d time.Duration) Timer { return r.start(d, d) }

// After returns a timer that ticks once, d from now.
func (r *Real) After(d time.Duration) Timer { return r.start(d, 0) }

func (r *Real) start(d, period time.Duration) Timer {
	t := &realTimer{r: r, c: make(chan Instant, 1), period: period}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.t = time.AfterFunc(d, t.fire)
	return t
}

type realTimer struct {
	r      *Real
	c      chan Instant
	period time.Duration

	mu      sync.Mutex
	t       *time.Timer
	stopped bool
}

func (t *realTimer) C() <-chan Instant { return t.c }

func (t *realTimer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.t.Stop()
}

func (t *realTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	select {
	case t.c <- t.r.Now():
	default:
	}
	if t.period > 0 {
		t.t.Reset(t.period)
	}
}
