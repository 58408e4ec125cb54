package flow

import (
	"context"
	"sync/atomic"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/tick"
)

// Placer chooses the engines of a request.
type Placer interface {
	// Place waits until the request is placed or refused.
	Place(ctx context.Context, ask place.Request) (place.Placement, error)
	// ReportProgress reports how far a placement has come. It does not block.
	ReportProgress(p place.Placement, s place.Stage, output int64)
}

// Holds keeps what requests hold at engines alive and releases it. No call
// blocks.
type Holds interface {
	// Keep is called before the first call for an attempt.
	Keep(s ident.Server, a ident.Attempt)
	// Streaming tells whether a stream of the attempt is open.
	Streaming(s ident.Server, a ident.Attempt, open bool)
	// Release is called once, at the end.
	Release(s ident.Server, a ident.Attempt)
}

// Config holds the settings of a Runner. Zero values stand for the defaults.
type Config struct {
	Node      ident.Node
	Engines   Engines
	Placer    Placer
	Holds     Holds
	Timer     tick.Clock
	Budget    *Budget
	Hold      time.Duration // life of holds without contact
	Tries     int           // placements of one request
	Transfers int           // imports of one KV cache to one decode engine
	Resumes   int           // openings of a stream without a token between
	Backoff   time.Duration // pause before a stream is opened again, times the openings
}

const (
	defaultHold      = 10 * time.Second
	defaultTries     = 4
	defaultTransfers = 2
	defaultResumes   = 4
	defaultBackoff   = 50 * time.Millisecond
	budgetRatio      = 0.2
	budgetLimit      = 20
)

// Runner runs requests.
type Runner struct {
	cfg    Config
	serial atomic.Uint64
}

// New returns a Runner.
func New(cfg Config) *Runner {
	if cfg.Budget == nil {
		cfg.Budget = NewBudget(budgetRatio, budgetLimit)
	}
	if cfg.Hold == 0 {
		cfg.Hold = defaultHold
	}
	if cfg.Tries == 0 {
		cfg.Tries = defaultTries
	}
	if cfg.Transfers == 0 {
		cfg.Transfers = defaultTransfers
	}
	if cfg.Resumes == 0 {
		cfg.Resumes = defaultResumes
	}
	if cfg.Backoff == 0 {
		cfg.Backoff = defaultBackoff
	}
	return &Runner{cfg: cfg}
}

// Run carries a request to its end. The result is filled in either way. A nil
// error means that the whole answer went to the sink.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) (Result, error) {
	if req.Deadline != 0 {
		limited, stop := tick.WithTimeout(ctx, r.cfg.Timer, req.Deadline-r.cfg.Timer.Now(), ErrDeadline)
		defer stop()
		ctx = limited
	}
	r.cfg.Budget.Earn()
	n := newRun(r, req, sink)
	defer n.releaseAll()
	err := n.loop(ctx)
	n.dropKV()
	n.res.finish(req, fail.Outcome(err))
	return n.res, err
}

// attempt draws an attempt that was never used.
func (r *Runner) attempt() ident.Attempt {
	return ident.Attempt{Node: r.cfg.Node, Serial: r.serial.Add(1)}
}
