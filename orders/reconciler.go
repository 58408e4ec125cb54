package orders

import (
	"context"
	"slices"
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Source provides the published configuration and the reports of the servers.
type Source interface {
	// DesiredStates returns the desired states of all servers in the revision in force, and for how
	// long that revision has been in force. Servers without a report on this instance must be
	// included, because a model that no desired state names is unloaded even from its last replica.
	DesiredStates() (revision uint64, inForce time.Duration, desired []DesiredState)
	// States returns the latest reports of the servers.
	States() []State
}

// EngineClient sends orders to servers.
type EngineClient interface {
	Order(ctx context.Context, o Order) error
}

// ReconcilerConfig holds the settings of a Reconciler. Zero durations and limits select the defaults.
type ReconcilerConfig struct {
	Source        Source
	Engines       EngineClient
	Clock         tick.Clock
	Owns          func(s ident.Server) bool // reports whether this instance sends the orders of a server
	OnOrder       func(o Order, err error)  // called after each order; may be nil
	Interval      time.Duration             // time between two runs of Reconcile
	SettleDelay   time.Duration             // time after which a revision is in force on all instances
	RetryInterval time.Duration             // time after which an order that had no effect is sent again
	DeferAfter    time.Duration             // time after which a load without effect is deferred behind other loads, for the same time
	Limits        Limits
}

const (
	defaultInterval      = 2 * time.Second
	defaultSettleDelay   = 25 * time.Second // then it is in force on all instances, and all reports are more recent
	defaultRetryInterval = 10 * time.Second
	defaultDeferAfter    = 30 * time.Second
	defaultMaxReportAge  = 10 * time.Second
	defaultMaxLoads      = 1
)

// Reconciler sends the orders that Plan returns, for the servers that this instance owns.
type Reconciler struct {
	cfg  ReconcilerConfig
	done chan struct{}

	mu           sync.Mutex // guards the fields below
	sentAt       map[Order]tick.Instant
	pendingLoads map[Order]tick.Instant // loads without effect so far, with the time at which each was first planned
	withheld     []Withheld
}

// NewReconciler returns a Reconciler that is not started.
func NewReconciler(cfg ReconcilerConfig) *Reconciler {
	setDefault(&cfg.Interval, defaultInterval)
	setDefault(&cfg.SettleDelay, defaultSettleDelay)
	setDefault(&cfg.RetryInterval, defaultRetryInterval)
	setDefault(&cfg.DeferAfter, defaultDeferAfter)
	setDefault(&cfg.Limits.MaxReportAge, defaultMaxReportAge)
	if cfg.Limits.MaxLoads == 0 {
		cfg.Limits.MaxLoads = defaultMaxLoads
	}
	return &Reconciler{
		cfg:          cfg,
		done:         make(chan struct{}),
		sentAt:       make(map[Order]tick.Instant),
		pendingLoads: make(map[Order]tick.Instant),
	}
}

func setDefault(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

// Start runs Reconcile periodically in a goroutine until ctx ends.
func (r *Reconciler) Start(ctx context.Context) {
	sub := r.cfg.Clock.Every(r.cfg.Interval)
	go func() {
		defer close(r.done)
		tick.Repeat(ctx, sub, r.Reconcile)
	}()
}

// Done returns a channel that is closed when the goroutine of Start has ended.
func (r *Reconciler) Done() <-chan struct{} { return r.done }

// Withheld returns the orders that the last plan withheld.
func (r *Reconciler) Withheld() []Withheld {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.withheld)
}

// Reconcile makes one plan and sends its orders to the servers that this instance owns, except orders
// that were sent less than RetryInterval ago. It does nothing while the revision may not have reached all instances.
func (r *Reconciler) Reconcile(ctx context.Context) {
	revision, inForce, desired := r.cfg.Source.DesiredStates()
	if inForce < r.cfg.SettleDelay {
		return
	}
	planned := r.cfg.Clock.Now()
	orders, withheld := Plan(revision, desired, r.states(), r.cfg.Limits)
	r.mu.Lock()
	r.withheld = withheld
	r.recordLoads(orders, planned)
	r.mu.Unlock()
	for _, o := range orders {
		if ctx.Err() != nil {
			return
		}
		if r.cfg.Clock.Now()-planned >= maxPlanAge {
			return // the process was paused or a server hangs: the next run plans again
		}
		if r.cfg.Owns(o.Server) && r.due(o) && r.current(revision) {
			r.send(ctx, o)
		}
	}
}

// maxPlanAge is the time within which the orders of a plan may be sent.
const maxPlanAge = 2 * time.Second

// current reports whether a revision is still the one in force.
func (r *Reconciler) current(revision uint64) bool {
	now, _, _ := r.cfg.Source.DesiredStates()
	return now == revision
}

// recordLoads records when each load was first planned, whichever instance sends the order. The
// caller holds mu.
func (r *Reconciler) recordLoads(orders []Order, now tick.Instant) {
	for _, o := range orders {
		if _, ok := r.pendingLoads[o]; !ok && o.Kind == Load {
			r.pendingLoads[o] = now
		}
	}
}

// deferLoads sets State.Deferred to the loads that have had no effect for DeferAfter or longer. It
// removes the records of loads that took effect, and of loads whose deferral is over. The caller
// holds mu.
func (r *Reconciler) deferLoads(states []State, now tick.Instant) {
	for o, since := range r.pendingLoads {
		if now-since >= 2*r.cfg.DeferAfter {
			delete(r.pendingLoads, o)
		}
	}
	for i := range states {
		s := &states[i]
		s.Deferred = nil
		for o, since := range r.pendingLoads {
			switch {
			case o.Server != s.Server:
			case has(s.Models, o.Model) || has(s.Loading, o.Model):
				delete(r.pendingLoads, o)
			case now-since >= r.cfg.DeferAfter:
				s.Deferred = append(s.Deferred, o.Model)
			}
		}
	}
}

// states returns the latest reports. Loads that were ordered and are not reported yet are added to
// Loading, and Deferred is set.
func (r *Reconciler) states() []State {
	states := slices.Clone(r.cfg.Source.States())
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	for o, at := range r.sentAt {
		if now-at >= r.cfg.RetryInterval {
			delete(r.sentAt, o)
		}
	}
	r.deferLoads(states, now)
	for i := range states {
		s := &states[i]
		s.Loading = slices.Clone(s.Loading)
		for o := range r.sentAt {
			if o.Server != s.Server || o.Kind != Load {
				continue
			}
			if !has(s.Models, o.Model) && !has(s.Loading, o.Model) {
				s.Loading = append(s.Loading, o.Model)
			}
		}
	}
	return states
}

func (r *Reconciler) due(o Order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, sent := r.sentAt[o]
	return !sent
}

func (r *Reconciler) send(ctx context.Context, o Order) {
	r.mu.Lock()
	r.sentAt[o] = r.cfg.Clock.Now()
	r.mu.Unlock()
	err := r.cfg.Engines.Order(ctx, o)
	if r.cfg.OnOrder != nil {
		r.cfg.OnOrder(o, err)
	}
}
