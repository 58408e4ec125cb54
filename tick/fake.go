package tick

import (
	"sort"
	"sync"
	"time"
)

// Fake is a timer service for tests: its time moves only by Advance.
type Fake struct {
	mu  sync.Mutex
	now Instant
	seq uint64
	set []*fakeTimer
}

// NewFake returns a service that stands at start.
func NewFake(start Instant) *Fake {
	return &Fake{now: start}
}

// Now returns the time that the last Advance reached.
func (f *Fake) Now() Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Every subscribes to ticks at the period d.
func (f *Fake) Every(d time.Duration) Timer { return f.add(d, d) }

// After subscribes to one tick, d from now.
func (f *Fake) After(d time.Duration) Timer { return f.add(d, 0) }

// Advance moves the time by d and delivers each tick that falls due, in the
// order of their instants.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.now + d
	for len(f.set) > 0 {
		sort.Slice(f.set, func(i, j int) bool { return f.set[i].before(f.set[j]) })
		t := f.set[0]
		if t.due > end {
			break
		}
		f.now = t.due
		t.fire()
		if t.period == 0 {
			f.set = f.set[1:]
			continue
		}
		t.due += t.period
	}
	f.now = end
}

func (f *Fake) add(d, period time.Duration) Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	t := &fakeTimer{f: f, c: make(chan Instant, 1), due: f.now + d, period: period, seq: f.seq}
	f.set = append(f.set, t)
	return t
}

type fakeTimer struct {
	f      *Fake
	c      chan Instant
	due    Instant
	period time.Duration
	seq    uint64
}

func (t *fakeTimer) C() <-chan Instant { return t.c }

func (t *fakeTimer) Stop() {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	for i, o := range t.f.set {
		if o == t {
			t.f.set = append(t.f.set[:i], t.f.set[i+1:]...)
			return
		}
	}
}

func (t *fakeTimer) before(o *fakeTimer) bool {
	if t.due != o.due {
		return t.due < o.due
	}
	return t.seq < o.seq
}

func (t *fakeTimer) fire() {
	select {
	case t.c <- t.due:
	default:
	}
}
