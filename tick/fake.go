package tick

import (
	"sort"
	"sync"
	"time"
)

// Fake is a Clock for tests. Its time advances only by Advance.
type Fake struct {
	mu     sync.Mutex
	now    Instant
	seq    uint64
	timers []*fakeTimer
}

// NewFake returns a Fake whose current time is start.
func NewFake(start Instant) *Fake {
	return &Fake{now: start}
}

// Now returns the current time of the Fake.
func (f *Fake) Now() Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Every returns a timer that ticks with the period d.
func (f *Fake) Every(d time.Duration) Timer { return f.add(d, d) }

// After returns a timer that ticks once, d from now.
func (f *Fake) After(d time.Duration) Timer { return f.add(d, 0) }

// Advance moves the time forward by d and delivers the ticks of that interval in the order of
// their instants.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.now + d
	for len(f.timers) > 0 {
		sort.Slice(f.timers, func(i, j int) bool { return f.timers[i].before(f.timers[j]) })
		t := f.timers[0]
		if t.due > end {
			break
		}
		f.now = t.due
		t.fire()
		if t.period == 0 {
			f.timers = f.timers[1:]
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
	f.timers = append(f.timers, t)
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
	for i, o := range t.f.timers {
		if o == t {
			t.f.timers = append(t.f.timers[:i], t.f.timers[i+1:]...)
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
