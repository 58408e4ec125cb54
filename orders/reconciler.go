package orders

import (
	"context"
	"slices"
	"sync"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Source tells what the table wants and what the engines report.
type Source interface {
	// DesiredStates returns the rows of the revision in force and how long it has been.
	// They include those of servers whose reports are not known here: a model
	// that no row wants is unloaded even where it has its last replica.
	DesiredStates() (revision uint64, inForce time.Duration, wants []DesiredState)
	// States returns the latest reports.
	States() []State
}

// EngineClient gives orders.
type EngineClient interface {
	Order(ctx context.Context, o Order) error
}

// ReconcilerConfig holds the settings of a Runner. Zero values stand for the
// defaults.
type ReconcilerConfig struct {
	Source        Source
	Engines       EngineClient
	Clock         tick.Clock
	Owns          func(s ident.Server) bool // whether this instance orders a server
	OnOrder       func(o Order, err error)  // called after each order; may be nil
	Interval      time.Duration             // period
	SettleDelay   time.Duration             // time after which a revision is in force everywhere
	RetryInterval time.Duration             // time after which an order without effect is repeated
	DeferAfter    time.Duration             // time after which a load without effect lets others go first, for as long again
	Limits        Limits
}

const (
	defaultEvery  = 2 * time.Second
	defaultSettle = 25 * time.Second // in force everywhere, and all reports are younger
	defaultRepeat = 10 * time.Second
	defaultDefer  = 30 * time.Second
	defaultFresh  = 10 * time.Second
	defaultLoads  = 1
)

// Reconciler gives the orders that Plan decides on.
type Reconciler struct {
	cfg  ReconcilerConfig
	done chan struct{}

	mu    sync.Mutex // guards what follows
	given map[Order]tick.Instant
	loads map[Order]tick.Instant // loads without effect, by when they were first planned
	kept  []Withheld
}

// NewReconciler returns a Runner that has not started.
func NewReconciler(cfg ReconcilerConfig) *Reconciler {
	setDefault(&cfg.Interval, defaultEvery)
	setDefault(&cfg.SettleDelay, defaultSettle)
	setDefault(&cfg.RetryInterval, defaultRepeat)
	setDefault(&cfg.DeferAfter, defaultDefer)
	setDefault(&cfg.Limits.MaxReportAge, defaultFresh)
	if cfg.Limits.MaxLoads == 0 {
		cfg.Limits.MaxLoads = defaultLoads
	}
	return &Reconciler{
		cfg:   cfg,
		done:  make(chan struct{}),
		given: make(map[Order]tick.Instant),
		loads: make(map[Order]tick.Instant),
	}
}

func setDefault(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

// Start gives orders until ctx ends.
func (r *Reconciler) Start(ctx context.Context) {
	sub := r.cfg.Clock.Every(r.cfg.Interval)
	go func() {
		defer close(r.done)
		tick.Repeat(ctx, sub, r.Reconcile)
	}()
}

// Done is closed when the Runner has ended.
func (r *Reconciler) Done() <-chan struct{} { return r.done }

// Withheld returns the orders withheld by the last step.
func (r *Reconciler) Withheld() []Withheld {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.kept)
}

// Reconcile plans once and gives the orders that are due. A revision that may not
// have reached all instances gives none.
func (r *Reconciler) Reconcile(ctx context.Context) {
	revision, inForce, wants := r.cfg.Source.DesiredStates()
	if inForce < r.cfg.SettleDelay {
		return
	}
	planned := r.cfg.Clock.Now()
	orders, kept := Plan(revision, wants, r.states(), r.cfg.Limits)
	r.mu.Lock()
	r.kept = kept
	r.noteLoads(orders, planned)
	r.mu.Unlock()
	for _, o := range orders {
		if ctx.Err() != nil {
			return
		}
		if r.cfg.Clock.Now()-planned >= maxPlanAge {
			return // the process was paused or an engine hangs: plan again
		}
		if r.cfg.Owns(o.Server) && r.due(o) && r.current(revision) {
			r.give(ctx, o)
		}
	}
}

// maxPlanAge is how long the orders of a plan may be given.
const maxPlanAge = 2 * time.Second

// current reports whether a revision is still the one in force.
func (r *Reconciler) current(revision uint64) bool {
	now, _, _ := r.cfg.Source.DesiredStates()
	return now == revision
}

// noteLoads notes since when each load is planned, whichever instance gives
// the order. The caller holds mu.
func (r *Reconciler) noteLoads(orders []Order, now tick.Instant) {
	for _, o := range orders {
		if _, ok := r.loads[o]; !ok && o.Kind == Load {
			r.loads[o] = now
		}
	}
}

// deferLoads marks the loads that are without effect for too long, and forgets
// those that have one or have waited for their next turn. The caller holds mu.
func (r *Reconciler) deferLoads(states []State, now tick.Instant) {
	for o, since := range r.loads {
		if now-since >= 2*r.cfg.DeferAfter {
			delete(r.loads, o)
		}
	}
	for i := range states {
		s := &states[i]
		s.Deferred = nil
		for o, since := range r.loads {
			switch {
			case o.Server != s.Server:
			case has(s.Models, o.Model) || has(s.Loading, o.Model):
				delete(r.loads, o)
			case now-since >= r.cfg.DeferAfter:
				s.Deferred = append(s.Deferred, o.Model)
			}
		}
	}
}

// states returns the reports, with the loads that were ordered and are not
// reported yet, and those that are deferred.
func (r *Reconciler) states() []State {
	states := slices.Clone(r.cfg.Source.States())
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	for o, at := range r.given {
		if now-at >= r.cfg.RetryInterval {
			delete(r.given, o)
		}
	}
	r.deferLoads(states, now)
	for i := range states {
		s := &states[i]
		s.Loading = slices.Clone(s.Loading)
		for o := range r.given {
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
	_, given := r.given[o]
	return !given
}

func (r *Reconciler) give(ctx context.Context, o Order) {
	r.mu.Lock()
	r.given[o] = r.cfg.Clock.Now()
	r.mu.Unlock()
	err := r.cfg.Engines.Order(ctx, o)
	if r.cfg.OnOrder != nil {
		r.cfg.OnOrder(o, err)
	}
}
