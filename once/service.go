package once

import (
	"context"
	"sync"
	"sync/atomic"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/plain"
	"wasabidock.dev/dock/tick"
)

// Service runs the keyed calls whose home is the seat of this process, forwards
// the others, and holds replicas of other seats' journals.
type Service struct {
	cfg     Config
	journal *intent.Journal
	copies  *intent.Replicas
	lost    atomic.Bool // a backup reported a later process of the seat

	mu       sync.Mutex // guards the fields below
	joined   bool
	since    tick.Instant // if joined, the journal holds every call since then
	backups  map[ident.Instance]*backup
	seen     bool // a table has been in force
	revision uint64
	current  layout
	earlier  []layout
	leaving  bool
	active   int        // callers, calls and copies in progress
	quiet    *sync.Cond // signalled when active is 0
	runs     map[intent.ID]*run
}

// run is a call in progress. Its fields are set before done is closed.
type run struct {
	done   chan struct{}
	answer plain.Answer
	err    error
}

// New returns a Service. It joins its backups only after Start, or by Join.
func New(cfg Config) *Service {
	cfg.setDefaults()
	s := &Service{
		cfg:     cfg,
		journal: intent.NewJournal(cfg.Journal),
		copies:  intent.NewReplicas(cfg.Copies),
		backups: make(map[ident.Instance]*backup),
		runs:    make(map[intent.ID]*run),
	}
	s.quiet = sync.NewCond(&s.mu)
	return s
}

// Run makes the call at its home and returns the service's answer, or the
// recorded answer of an earlier call with the same key.
func (s *Service) Run(ctx context.Context, c Call) (plain.Answer, error) {
	arrived := s.cfg.Clock.Now()
	v, ok := s.cfg.Table.View()
	if !ok {
		return plain.Answer{}, fail.Refuse(fail.CodeNoTable, retryHome, "no table is in force yet")
	}
	if len(c.Body) > maxBody {
		return plain.Answer{}, fail.Refuse(fail.CodeTooLarge, fail.NoRetry, "calls with an idempotency key take bodies of up to 4 MB")
	}
	r, ok := v.Route(c.Route)
	if !ok {
		return plain.Answer{}, fail.Refuse(fail.CodeUnknownRoute, fail.NoRetry, "the table has no such route")
	}
	home, ok := intent.Home(v.Seats(), r.Centre, intent.NewID(c.Customer, c.Route, c.Key))
	if !ok {
		return plain.Answer{}, fail.Refuse(fail.CodeNoServer, fail.NoRetry, "the route's home data centre has no seat")
	}
	if home != s.cfg.Self.Instance {
		a, err := s.forward(ctx, arrived, home, r, c, v.Revision())
		s.line(c, home, "call passed on to its home", a, err)
		return a, err
	}
	a, err := s.runHome(ctx, v, r, c)
	s.line(c, home, "call decided at its home", a, err)
	return a, err
}

// runHome makes the call in this process, which is its home.
func (s *Service) runHome(ctx context.Context, v View, r Route, c Call) (plain.Answer, error) {
	if !s.enter() {
		return plain.Answer{}, fail.Refuse(fail.CodeDraining, retryHome, "the call's home is being replaced")
	}
	defer s.exit()
	arrived := s.cfg.Clock.Now()
	if s.superseded() {
		return plain.Answer{}, fail.Refuse(fail.CodeHomeUnreachable, retryHome, "the call's home has been replaced")
	}
	s.observe(v)
	return s.decide(ctx, arrived, r, c)
}

// decide carries out the journal's decision about a call that arrived at the
// given instant.
func (s *Service) decide(ctx context.Context, arrived tick.Instant, r Route, c Call) (plain.Answer, error) {
	id := intent.NewID(c.Customer, c.Route, c.Key)
	verdict, e, cur, err := s.begin(ctx, arrived, id, r, c)
	if err != nil {
		return plain.Answer{}, err
	}
	switch verdict {
	case intent.Run:
		return await(ctx, cur, r)
	case intent.Join:
		a, err := await(ctx, cur, r)
		a.Replayed = err == nil
		return a, err
	case intent.Replay:
		return replay(e, r)
	case intent.KeyReused:
		return plain.Answer{}, fail.Refuse(fail.CodeKeyReused, fail.NoRetry,
			"the idempotency key was used for another call before")
	case intent.Full:
		return plain.Answer{}, fail.Refuse(fail.CodeOverloaded, retryHome, "the journal of keyed calls is full")
	default:
		return plain.Answer{}, unknown(r, 0, "an earlier call with this key may have run")
	}
}

// begin returns the journal's decision about the call and starts it if it is new.
// A call that has started continues if its caller disconnects. It fails for a
// call that arrived too long ago, because this process was suspended, and for one
// that is not in the journal but may have been in an earlier one.
func (s *Service) begin(ctx context.Context, arrived tick.Instant, id intent.ID, r Route, c Call) (
	v intent.Decision, e intent.Entry, cur *run, err error,
) {
	sum := intent.NewFingerprint(c.Method, c.Path, c.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if now-arrived > maxWait {
		return v, e, nil, late()
	}
	if !s.journal.Has(now, id) {
		if err := s.known(now, r, id); err != nil {
			return v, e, nil, err
		}
	}
	v, e = s.journal.Begin(now, id, sum, r.hold())
	switch v {
	case intent.Run:
		cur = &run{done: make(chan struct{})}
		s.runs[id] = cur
		s.active++
		go s.dispatch(context.WithoutCancel(ctx), cur, e, r, c)
	case intent.Join:
		cur = s.runs[id]
	}
	return v, e, cur, nil
}

// late returns the rejection of a call that has waited too long.
func late() error {
	return fail.Refuse(fail.CodeDeadline, retryHome, "the call waited too long inside the router")
}

// await waits for the end of a call, or until its caller disconnects.
func await(ctx context.Context, cur *run, r Route) (plain.Answer, error) {
	select {
	case <-cur.done:
		return cur.answer, cur.err
	case <-ctx.Done():
		err := fail.Refuse(fail.CodeKeyInProgress, retryHome, "the call is still on its way: "+advice(r))
		return plain.Answer{}, fail.New("once: wait", "", ident.Unknown, err)
	}
}

// enter adds a caller to active and returns true, unless the service is leaving.
func (s *Service) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.active++
	return true
}

// begun adds work to active that continues while the service is leaving.
func (s *Service) begun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

func (s *Service) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active--; s.active == 0 {
		s.quiet.Broadcast()
	}
}

// superseded reports whether a later process holds the seat.
func (s *Service) superseded() bool {
	return s.lost.Load() || s.cfg.Superseded()
}

// supersede records that a later process holds the seat.
func (s *Service) supersede() {
	if s.lost.CompareAndSwap(false, true) {
		s.cfg.Log.Warn().Str("seat", string(s.cfg.Self.Instance)).Msg("once: a later process holds the seat")
		s.cfg.Lost()
	}
}
