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

// HoldKeeper keeps what requests hold at engines alive and releases it. No call
// blocks.
type HoldKeeper interface {
	// Keep is called before the first call for an attempt.
	Keep(s ident.Server, a ident.Attempt)
	// SetStreaming tells whether a stream of the attempt is open.
	SetStreaming(s ident.Server, a ident.Attempt, open bool)
	// Release is called once, at the end.
	Release(s ident.Server, a ident.Attempt)
}

// Config holds the settings of a Runner. Zero values stand for the defaults.
type Config struct {
	Node         ident.Node
	Engines      EngineClient
	Placer       Placer
	Holds        HoldKeeper
	Timer        tick.Clock
	RetryBudget  *RetryBudget
	HoldTTL      time.Duration // life of holds without contact
	MaxAttempts  int           // placements of one request
	MaxTransfers int           // imports of one KV cache to one decode engine
	MaxResumes   int           // openings of a stream without a token between
	Backoff      time.Duration // pause before a stream is opened again, times the openings
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
	if cfg.RetryBudget == nil {
		cfg.RetryBudget = NewRetryBudget(budgetRatio, budgetLimit)
	}
	if cfg.HoldTTL == 0 {
		cfg.HoldTTL = defaultHold
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultTries
	}
	if cfg.MaxTransfers == 0 {
		cfg.MaxTransfers = defaultTransfers
	}
	if cfg.MaxResumes == 0 {
		cfg.MaxResumes = defaultResumes
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
	r.cfg.RetryBudget.RecordRequest()
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
