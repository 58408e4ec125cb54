package sched

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/pool"
	"wasabidock.dev/dock/tick"
)

// stepEvery is the time between two steps of a scheduler that nothing else
// wakes.
const stepEvery = 10 * time.Millisecond

// CustomerWeight is the share of a customer in the table.
type CustomerWeight struct {
	Customer ident.Customer
	Weight   float64
}

// PoolSpec is what the table says of the pool of one model in the data centre
// of this instance.
type PoolSpec struct {
	Spec    place.Spec
	Classes []pool.Class
	Weights []CustomerWeight
}

// ServiceConfig holds what a Service needs.
type ServiceConfig struct {
	Self    ident.Node
	Clock   tick.Clock
	Log     zerolog.Logger
	Metrics metrics.Registry // optional
	Pool    pool.Config      // parameters of the schedulers
}

// Service holds the schedulers of this instance.
type Service struct {
	cfg     ServiceConfig
	placed  metrics.Counter
	refused metrics.Counter
	waiting chan struct{} // holds a notice while a request may wait

	mu     sync.RWMutex // guards the fields below
	shards map[ident.Model]*shard
	gone   map[ident.Server]bool
}

// NewService returns a service without pools.
func NewService(cfg ServiceConfig) *Service {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Service{
		cfg:     cfg,
		placed:  metrics.NewRegisteredCounter("placements_total", cfg.Metrics),
		refused: metrics.NewRegisteredCounter("placements_refused_total", cfg.Metrics),
		waiting: make(chan struct{}, 1),
		shards:  make(map[ident.Model]*shard),
		gone:    make(map[ident.Server]bool),
	}
}

// Configure takes the pools of a table revision. Requests in the queue of a
// pool that is gone are refused.
func (s *Service) Configure(revision uint64, pools []PoolSpec) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.shards
	s.shards = make(map[ident.Model]*shard, len(pools))
	for _, p := range pools {
		p.Spec.Revision = revision
		sh, ok := old[p.Spec.Model]
		if !ok {
			sh = s.newShard()
		}
		sh.configure(p, s.gone)
		s.shards[p.Spec.Model] = sh
		delete(old, p.Spec.Model)
	}
	for _, sh := range old {
		sh.close(now)
	}
}

func (s *Service) newShard() *shard {
	cfg := s.cfg.Pool
	cfg.Instance = s.cfg.Self.Instance
	cfg.Incarnation = s.cfg.Self.Incarnation
	cfg.Rand = rand.NewPCG(s.cfg.Self.Incarnation, uint64(len(s.shards))+1)
	return &shard{svc: s, sch: pool.New(cfg), calls: make(map[pool.Ticket]chan pool.Decision)}
}

// Report takes in a load report of a backend server.
func (s *Service) ApplyReport(r place.LoadReport) {
	now := s.cfg.Clock.Now()
	s.each(func(sh *shard) { sh.report(r, now) })
}

// Events takes in changes of a backend server's prefix cache.
func (s *Service) ApplyEvents(e place.CacheEvent) {
	s.each(func(sh *shard) { sh.events(e) })
}

// Depart marks a backend server as departing or as live again.
func (s *Service) SetDraining(name ident.Server, departing bool) {
	s.mu.Lock()
	if departing {
		s.gone[name] = true
	} else {
		delete(s.gone, name)
	}
	s.mu.Unlock()
	s.each(func(sh *shard) { sh.depart(name, departing) })
}

// Place waits until the request is placed or refused or ctx ends. The error
// of a refusal is a *fail.Refusal.
func (s *Service) Place(ctx context.Context, a *place.Request, owner ident.Node) (place.Placement, error) {
	sh := s.shard(a.Model)
	if sh == nil {
		return place.Placement{}, fail.Refuse(fail.CodeUnknownModel, fail.NoRetry, "no pool serves this model in this data centre")
	}
	return sh.place(ctx, a, owner)
}

// RecordProgress takes in the progress of an instance's placements of one model. If
// whole is set, items are all of them.
func (s *Service) RecordProgress(owner ident.Node, m ident.Model, items []pool.Progress, whole bool) {
	if sh := s.shard(m); sh != nil {
		sh.progress(owner, items, whole)
	}
}

// NeedsResync takes in the sums over an instance's placements by model, and reports
// whether the instance is to send all of them.
func (s *Service) NeedsResync(owner ident.Node, sums map[ident.Model]pool.Checksum) bool {
	resend := false
	for _, m := range s.Models() {
		if sh := s.shard(m); sh != nil {
			resend = sh.beat(owner, sums[m]) || resend
		}
	}
	return resend
}

// Models returns the models that have a pool.
func (s *Service) Models() []ident.Model {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]ident.Model, 0, len(s.shards))
	for m := range s.shards {
		out = append(out, m)
	}
	return out
}

// Run steps the schedulers until ctx ends. The channel that it returns is
// closed when it has stopped.
func (s *Service) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.run(ctx)
	}()
	return done
}

// run steps the schedulers by time only while requests wait: all else that may
// let a request go ahead steps its scheduler itself.
func (s *Service) run(ctx context.Context) {
	expire := s.cfg.Clock.Every(time.Second)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C():
			s.each(func(sh *shard) { sh.expire() })
		case <-s.waiting:
			s.stepWhileWaiting(ctx, expire)
		}
	}
}

func (s *Service) stepWhileWaiting(ctx context.Context, expire tick.Timer) {
	step := s.cfg.Clock.Every(stepEvery)
	defer step.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C():
			s.each(func(sh *shard) { sh.expire() })
		case <-step.C():
			waits := false
			s.each(func(sh *shard) { waits = sh.tick() || waits })
			if !waits {
				return
			}
		}
	}
}

// wait has the schedulers stepped until no request waits.
func (s *Service) wait() {
	select {
	case s.waiting <- struct{}{}:
	default:
	}
}

func (s *Service) shard(m ident.Model) *shard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.shards[m]
}

func (s *Service) each(f func(*shard)) {
	s.mu.RLock()
	set := make([]*shard, 0, len(s.shards))
	for _, sh := range s.shards {
		set = append(set, sh)
	}
	s.mu.RUnlock()
	for _, sh := range set {
		f(sh)
	}
}

// Queued returns the number of requests that are neither placed nor refused.
func (s *Service) Queued() int {
	n := 0
	s.each(func(sh *shard) {
		sh.mu.Lock()
		n += len(sh.calls)
		sh.mu.Unlock()
	})
	return n
}

// LivePlacements returns the number of placements that have not ended.
func (s *Service) LivePlacements() int {
	n := 0
	s.each(func(sh *shard) {
		sh.mu.Lock()
		n += sh.sch.LivePlacements()
		sh.mu.Unlock()
	})
	return n
}
