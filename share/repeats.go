package share

import (
	"sync"
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// repeatMargin is the part of the budget that is used. The rest covers
	// requests that count in another window than here.
	repeatMargin = 0.75
	// repeatSlots is the number of parts in which a window is counted.
	repeatSlots = 10
	// unknownMembers is the number of instances that is assumed while no peer
	// was ever heard.
	unknownMembers = 32
)

// RepeatConfig is the fleet's budget of repeats.
type RepeatConfig struct {
	Ratio  float64 // of the requests for a service
	Extra  float64 // beside them, in each window
	Window time.Duration
}

// slot counts one part of a window.
type slot struct {
	n      int64 // number of the part since the origin of the clock
	asked  int
	repeat int
}

// Repeats bounds the repeats of each service. It may be used concurrently.
type Repeats struct {
	cfg     RepeatConfig
	clock   tick.Clock
	members func() int

	mu    sync.Mutex
	slots map[string]*[repeatSlots]slot // by service
}

// NewRepeats returns a Repeats. Members tells how many instances there are, 1
// if no other is known.
func NewRepeats(cfg RepeatConfig, clock tick.Clock, members func() int) *Repeats {
	return &Repeats{cfg: cfg, clock: clock, members: members, slots: make(map[string]*[repeatSlots]slot)}
}

func (r *Repeats) current(service string) (*[repeatSlots]slot, *slot) {
	ring, ok := r.slots[service]
	if !ok {
		ring = &[repeatSlots]slot{}
		r.slots[service] = ring
	}
	n := int64(r.clock.Now() / (r.cfg.Window / repeatSlots))
	s := &ring[n%repeatSlots]
	if s.n != n {
		*s = slot{n: n}
	}
	return ring, s
}

// SetTerms changes the ratio and the extra of the bound.
func (r *Repeats) SetTerms(ratio, extra float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.Ratio, r.cfg.Extra = ratio, extra
}

// Asked notes a request for a service.
func (r *Repeats) Asked(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, s := r.current(service)
	s.asked++
}

// Spend takes a repeat, if there is one left in the window.
func (r *Repeats) Spend(service string) bool {
	members := r.members()
	if members <= 1 {
		members = unknownMembers
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ring, s := r.current(service)
	asked, spent := 0, 0
	for _, o := range ring {
		if o.n > s.n-repeatSlots {
			asked += o.asked
			spent += o.repeat
		}
	}
	most := repeatMargin * (r.cfg.Ratio*float64(asked) + r.cfg.Extra/float64(members))
	if float64(spent+1) > most {
		return false
	}
	s.repeat++
	return true
}
