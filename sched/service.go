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

// dispatchInterval is the time between two dispatches of a scheduler while requests are queued and
// nothing else triggers one.
const dispatchInterval = 10 * time.Millisecond

// CustomerWeight is the weight of a customer in the routing table.
type CustomerWeight struct {
	Customer ident.Customer
	Weight   float64
}

// PoolSpec describes the pool of one model in the data centre of this instance, as the routing
// table defines it.
type PoolSpec struct {
	Spec    place.Spec
	Classes []pool.Class
	Weights []CustomerWeight
}

// ServiceConfig holds the parameters of a Service.
type ServiceConfig struct {
	Self    ident.Node
	Clock   tick.Clock
	Log     zerolog.Logger
	Metrics metrics.Registry // optional
	Pool    pool.Config      // parameters of the schedulers
}

// Service runs the schedulers of this instance.
type Service struct {
	cfg           ServiceConfig
	placedTotal   metrics.Counter
	rejectedTotal metrics.Counter
	wake          chan struct{} // holds a signal while requests may be queued

	mu       sync.RWMutex // guards the fields below
	shards   map[ident.Model]*shard
	draining map[ident.Server]bool
}

// NewService returns a service without pools.
func NewService(cfg ServiceConfig) *Service {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Service{
		cfg:           cfg,
		placedTotal:   metrics.NewRegisteredCounter("placements_total", cfg.Metrics),
		rejectedTotal: metrics.NewRegisteredCounter("placements_refused_total", cfg.Metrics),
		wake:          make(chan struct{}, 1),
		shards:        make(map[ident.Model]*shard),
		draining:      make(map[ident.Server]bool),
	}
}

// Configure sets the pools of a table revision. If a pool has been removed from the table, the
// requests in its queue are rejected.
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
		sh.configure(p, s.draining)
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

// ApplyReport applies a load report of a backend server.
func (s *Service) ApplyReport(r place.LoadReport) {
	now := s.cfg.Clock.Now()
	s.each(func(sh *shard) { sh.applyReport(r, now) })
}

// ApplyEvents applies changes to the prefix cache of a backend server.
func (s *Service) ApplyEvents(e place.CacheEvent) {
	s.each(func(sh *shard) { sh.applyEvents(e) })
}

// SetDraining marks a backend server as draining, or as available again.
func (s *Service) SetDraining(name ident.Server, draining bool) {
	s.mu.Lock()
	if draining {
		s.draining[name] = true
	} else {
		delete(s.draining, name)
	}
	s.mu.Unlock()
	s.each(func(sh *shard) { sh.setDraining(name, draining) })
}

// Place waits until the request is placed or rejected, or until ctx ends. The error of a rejected
// request is a *fail.Refusal.
func (s *Service) Place(ctx context.Context, req *place.Request, owner ident.Node) (place.Placement, error) {
	sh := s.shard(req.Model)
	if sh == nil {
		return place.Placement{}, fail.Refuse(fail.CodeUnknownModel, fail.NoRetry, "no pool serves this model in this data centre")
	}
	return sh.place(ctx, req, owner)
}

// RecordProgress applies the progress of placements of one model whose requests instance owner has
// received. If whole is true, items are all such placements.
func (s *Service) RecordProgress(owner ident.Node, m ident.Model, items []pool.Progress, whole bool) {
	if sh := s.shard(m); sh != nil {
		sh.recordProgress(owner, items, whole)
	}
}

// NeedsResync compares the checksums over an owner's placements, by model, with those of the
// schedulers. It reports whether the owner must send all its placements.
func (s *Service) NeedsResync(owner ident.Node, sums map[ident.Model]pool.Checksum) bool {
	resend := false
	for _, m := range s.Models() {
		if sh := s.shard(m); sh != nil {
			resend = sh.needsResync(owner, sums[m]) || resend
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

// Run dispatches queued requests until ctx ends. The returned channel is closed when it has
// stopped.
func (s *Service) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.run(ctx)
	}()
	return done
}

// run dispatches on a timer only while requests are queued. Every other event that may let a
// request proceed triggers a dispatch of its own.
func (s *Service) run(ctx context.Context) {
	expire := s.cfg.Clock.Every(time.Second)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C():
			s.each(func(sh *shard) { sh.expire() })
		case <-s.wake:
			s.dispatchWhileQueued(ctx, expire)
		}
	}
}

// dispatchWhileQueued dispatches on a timer until no request is queued or ctx ends.
func (s *Service) dispatchWhileQueued(ctx context.Context, expire tick.Timer) {
	step := s.cfg.Clock.Every(dispatchInterval)
	defer step.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C():
			s.each(func(sh *shard) { sh.expire() })
		case <-step.C():
			queued := false
			s.each(func(sh *shard) { queued = sh.tick() || queued })
			if !queued {
				return
			}
		}
	}
}

// wakeLoop makes run dispatch on a timer until no request is queued. It does not block.
func (s *Service) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) shard(m ident.Model) *shard {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.shards[m]
}

// each calls f for each shard without holding s.mu.
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

// Queued returns the number of requests that are neither placed nor rejected.
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
