package rate

import (
	"sync"
	"time"

	"wasabidock.dev/dock/tick"
)

const (
	// budgetMargin is the fraction of the budget that is used. The rest is a margin for
	// requests that other instances count in a different window than this one.
	budgetMargin = 0.75
	// windowSlots is the number of slots into which a sliding window is divided.
	windowSlots = 10
	// unknownInstanceCount is the assumed number of instances while no peer is known.
	// A Limiter assumes at least this number while it discovers its peers.
	unknownInstanceCount = 32
)

// FleetRetryBudgetConfig configures the retry budget of each service for the whole fleet.
type FleetRetryBudgetConfig struct {
	Ratio  float64 // retries per request
	Extra  float64 // retries in each window beyond those that Ratio allows, over all instances
	Window time.Duration
}

// slot counts the requests and retries of one part of the window.
type slot struct {
	n        int64 // number of the slot since the origin of the clock
	requests int
	retries  int
}

// FleetRetryBudget limits the retries of all instances to each service, over a sliding window. It is
// safe for concurrent use.
type FleetRetryBudget struct {
	cfg       FleetRetryBudgetConfig
	clock     tick.Clock
	instances func() int

	mu    sync.Mutex
	slots map[string]*[windowSlots]slot // by service
}

// NewFleetRetryBudget returns a FleetRetryBudget without any requests. The function instances
// returns the number of instances, 1 if no peer is known.
func NewFleetRetryBudget(cfg FleetRetryBudgetConfig, clock tick.Clock, instances func() int) *FleetRetryBudget {
	return &FleetRetryBudget{cfg: cfg, clock: clock, instances: instances, slots: make(map[string]*[windowSlots]slot)}
}

// currentSlot returns the slots of a service and the one for the current time. The caller
// holds r.mu.
func (r *FleetRetryBudget) currentSlot(service string) (*[windowSlots]slot, *slot) {
	ring, ok := r.slots[service]
	if !ok {
		ring = &[windowSlots]slot{}
		r.slots[service] = ring
	}
	n := int64(r.clock.Now() / (r.cfg.Window / windowSlots))
	s := &ring[n%windowSlots]
	if s.n != n {
		*s = slot{n: n}
	}
	return ring, s
}

// SetLimits replaces Ratio and Extra of the FleetRetryBudgetConfig.
func (r *FleetRetryBudget) SetLimits(ratio, extra float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.Ratio, r.cfg.Extra = ratio, extra
}

// RecordRequest counts a request to a service.
func (r *FleetRetryBudget) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, s := r.currentSlot(service)
	s.requests++
}

// Allow reports whether a retry to a service is within the budget, and counts it if so.
func (r *FleetRetryBudget) Allow(service string) bool {
	instances := r.instances()
	if instances <= 1 {
		instances = unknownInstanceCount
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ring, s := r.currentSlot(service)
	requests, retries := 0, 0
	for _, o := range ring {
		if o.n > s.n-windowSlots {
			requests += o.requests
			retries += o.retries
		}
	}
	limit := budgetMargin * (r.cfg.Ratio*float64(requests) + r.cfg.Extra/float64(instances))
	if float64(retries+1) > limit {
		return false
	}
	s.retries++
	return true
}
