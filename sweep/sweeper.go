package sweep

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// View returns the engines and the instances of a data centre.
type View interface {
	// Servers returns the engines of this data centre.
	Servers() []ident.Server
	// Instances returns the live instances of this data centre.
	Instances() []ident.Instance
}

// SweeperConfig holds the settings of a Sweeper. Zero values select the defaults.
type SweeperConfig struct {
	Self    ident.Node
	Engines Engines
	View    View
	Timer   tick.Clock
	Every   time.Duration // interval between sweeps
	Idle    time.Duration // holds that have been idle for longer are cancelled
	Owners  int           // number of instances that sweep an engine
}

const (
	defaultEvery  = 3 * time.Second
	defaultIdle   = defaultLife
	defaultOwners = 2
)

// Sweeper cancels the holds that crashed processes have left at engines.
type Sweeper struct {
	cfg   SweeperConfig
	done  chan struct{}
	swept atomic.Int64
}

// NewSweeper returns a Sweeper that has not started.
func NewSweeper(cfg SweeperConfig) *Sweeper {
	setDefault(&cfg.Every, defaultEvery)
	setDefault(&cfg.Idle, defaultIdle)
	if cfg.Owners == 0 {
		cfg.Owners = defaultOwners
	}
	return &Sweeper{cfg: cfg, done: make(chan struct{})}
}

// Start sweeps until ctx ends.
func (s *Sweeper) Start(ctx context.Context) {
	sub := s.cfg.Timer.Every(s.cfg.Every)
	go func() {
		defer close(s.done)
		tick.Repeat(ctx, sub, s.Sweep)
	}()
}

// Done returns a channel that is closed when the Sweeper has stopped.
func (s *Sweeper) Done() <-chan struct{} { return s.done }

// Swept returns the number of holds cancelled so far.
func (s *Sweeper) Swept() int64 { return s.swept.Load() }

// Sweep lists once the holds of the engines that this instance is responsible for
// and cancels the idle ones. An engine that does not answer is skipped.
func (s *Sweeper) Sweep(ctx context.Context) {
	instances := s.cfg.View.Instances()
	for _, server := range s.cfg.View.Servers() {
		if ctx.Err() != nil {
			return
		}
		if Owns(s.cfg.Self.Instance, server, instances, s.cfg.Owners) {
			s.sweepServer(ctx, server)
		}
	}
}

func (s *Sweeper) sweepServer(ctx context.Context, server ident.Server) {
	holds, err := s.cfg.Engines.Holds(ctx, server, s.cfg.Idle)
	if err != nil {
		return
	}
	cancelled := make(map[ident.Attempt]bool)
	for _, h := range holds {
		if h.Attempt.Node == s.cfg.Self || h.Idle <= s.cfg.Idle || cancelled[h.Attempt] {
			continue
		}
		cancelled[h.Attempt] = true
		n, err := s.cfg.Engines.Cancel(ctx, server, h.Attempt, s.cfg.Idle)
		if err != nil {
			return
		}
		s.swept.Add(int64(n))
	}
}

// Owns reports whether self is among the n instances that are responsible for
// an engine. They are chosen by rendezvous hashing, so the choice changes only
// when one of them leaves or a new one is added.
func Owns(self ident.Instance, server ident.Server, instances []ident.Instance, n int) bool {
	mine := weight(self, server)
	ahead := 0
	for _, i := range instances {
		if w := weight(i, server); i != self && (w > mine || (w == mine && i < self)) {
			ahead++
		}
	}
	return ahead < n
}

func weight(i ident.Instance, s ident.Server) uint64 {
	return xxhash.Sum64String(string(i) + "\x00" + string(s))
}
