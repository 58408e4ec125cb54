package stand

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// Store is a weight store that serves one load at a time.
type Store struct {
	timer tick.Clock
	load  time.Duration // time of one load

	mu     sync.Mutex
	free   tick.Instant
	loads  int
	queued int // maximum length of the queue so far
}

// NewStore returns a store that needs the time load for each model.
func NewStore(timer tick.Clock, load time.Duration) *Store {
	return &Store{timer: timer, load: load}
}

// fetch queues a load and returns the time at which it will complete.
func (s *Store) fetch() tick.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	s.free = max(s.free, now) + s.load
	s.loads++
	if s.load > 0 {
		s.queued = max(s.queued, int((s.free-now+s.load-1)/s.load))
	}
	return s.free
}

// Loads returns the number of loads and the maximum length of their queue so far.
func (s *Store) Loads() (loads, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.queued
}

type loading struct {
	model engine.LoadedModel
	until tick.Instant
}

func (e *Engine) orders(w http.ResponseWriter, r *http.Request) {
	var in engine.OrderRequest
	if !readJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fencing {
		if in.Fence < e.fence {
			refuse(w, http.StatusConflict, engine.CodeStaleFence, "order is older than the fence")
			return
		}
		e.fence = in.Fence
	}
	e.counts.Orders++
	e.finishLoads()
	model := engine.LoadedModel{Model: in.Model, Adapter: in.Adapter, Version: in.Version}
	switch in.Kind {
	case "load":
		e.startLoad(model)
	case "unload":
		e.models = slices.DeleteFunc(slices.Clone(e.models), func(l engine.LoadedModel) bool { return l == model })
		e.loading = slices.DeleteFunc(e.loading, func(l loading) bool { return l.model == model })
	case "role":
		e.role = in.Role
	default:
		refuse(w, http.StatusBadRequest, "body", "unknown kind of order")
		return
	}
	writeJSON(w, struct{}{})
}

// startLoad starts to load a model unless it is loaded or loading.
func (e *Engine) startLoad(m engine.LoadedModel) {
	if slices.Contains(e.models, m) {
		return
	}
	for _, l := range e.loading {
		if l.model == m {
			return
		}
	}
	until := e.cfg.Timer.Now()
	if e.cfg.Store != nil {
		until = e.cfg.Store.fetch()
	}
	e.counts.Loads++
	e.loading = append(e.loading, loading{model: m, until: until})
	e.finishLoads()
}

// finishLoads marks the models whose loading has completed as loaded.
func (e *Engine) finishLoads() {
	now := e.cfg.Timer.Now()
	rest := e.loading[:0]
	for _, l := range e.loading {
		if now < l.until {
			rest = append(rest, l)
			continue
		}
		e.models = append(slices.Clone(e.models), l.model)
	}
	e.loading = rest
}

// Serves reports whether a model is loaded.
func (e *Engine) Serves(m ident.Model) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serves(m)
}
