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

// RetryBudgetConfig is the fleet's budget of repeats.
type RetryBudgetConfig struct {
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

// RetryBudget bounds the repeats of each service. It may be used concurrently.
type RetryBudget struct {
	cfg     RetryBudgetConfig
	clock   tick.Clock
	members func() int

	mu    sync.Mutex
	slots map[string]*[repeatSlots]slot // by service
}

// NewRetryBudget returns a Repeats. Members tells how many instances there are, 1
// if no other is known.
func NewRetryBudget(cfg RetryBudgetConfig, clock tick.Clock, members func() int) *RetryBudget {
	return &RetryBudget{cfg: cfg, clock: clock, members: members, slots: make(map[string]*[repeatSlots]slot)}
}

func (r *RetryBudget) current(service string) (*[repeatSlots]slot, *slot) {
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

// SetLimits changes the ratio and the extra of the bound.
func (r *RetryBudget) SetLimits(ratio, extra float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.Ratio, r.cfg.Extra = ratio, extra
}

// RecordRequest notes a request for a service.
func (r *RetryBudget) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, s := r.current(service)
	s.asked++
}

// Allow takes a repeat, if there is one left in the window.
func (r *RetryBudget) Allow(service string) bool {
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
