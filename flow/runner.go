package flow

import (
	"context"
	"sync/atomic"
	"time"

	"wasabidock.dev/dock/crash"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/retry"
	"wasabidock.dev/dock/tick"
)

// Placer chooses the engines for a request.
type Placer interface {
	// Place blocks until the request is placed or rejected.
	Place(ctx context.Context, req place.Request) (place.Placement, error)
	// ReportProgress reports the stage of a placement and the number of output tokens sent. It does
	// not block.
	ReportProgress(p place.Placement, s place.Stage, output int64)
}

// HoldKeeper renews and releases the holds of requests at engines. Its methods do not block.
type HoldKeeper interface {
	// Keep starts renewing the hold of an attempt. It is called before the first engine call for
	// the attempt.
	Keep(s ident.Server, a ident.Attempt)
	// SetStreaming records whether a stream of the attempt is open.
	SetStreaming(s ident.Server, a ident.Attempt, open bool)
	// Release releases the hold of an attempt. It is called once per attempt.
	Release(s ident.Server, a ident.Attempt)
}

// Config configures a Runner. A zero RetryBudget, HoldTTL, MaxAttempts, MaxTransfers, MaxResumes or
// Backoff selects the default.
type Config struct {
	Node         ident.Node
	Engines      EngineClient
	Placer       Placer
	Holds        HoldKeeper
	Timer        tick.Clock
	RetryBudget  *retry.Budget
	Crashes      *crash.Gate   // admits requests by the blocks of their prompts; may be nil
	HoldTTL      time.Duration // time until an engine drops a hold that is not renewed
	MaxAttempts  int           // placements tried for one request
	MaxTransfers int           // imports of one KV cache to one decode engine
	MaxResumes   int           // consecutive reopenings of a stream without a token in between
	Backoff      time.Duration // pause before a stream is reopened, multiplied by the number of openings
}

const (
	defaultHoldTTL      = 10 * time.Second
	defaultMaxAttempts  = 4
	defaultMaxTransfers = 2
	defaultMaxResumes   = 4
	defaultBackoff      = 50 * time.Millisecond
	retryRatio          = 0.2
	retryBurst          = 20
)

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	cfg    Config
	serial atomic.Uint64
}

// New returns a Runner.
func New(cfg Config) *Runner {
	if cfg.RetryBudget == nil {
		cfg.RetryBudget = retry.NewBudget(retry.Config{PerRequest: retryRatio, PerRetry: 1, MaxCredit: retryBurst})
	}
	if cfg.HoldTTL == 0 {
		cfg.HoldTTL = defaultHoldTTL
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.MaxTransfers == 0 {
		cfg.MaxTransfers = defaultMaxTransfers
	}
	if cfg.MaxResumes == 0 {
		cfg.MaxResumes = defaultMaxResumes
	}
	if cfg.Backoff == 0 {
		cfg.Backoff = defaultBackoff
	}
	return &Runner{cfg: cfg}
}

// Run runs a request until it completes or fails. The result is valid in both cases. A nil error
// means that the sink received the complete answer.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) (Result, error) {
	if req.Deadline != 0 {
		limited, stop := tick.WithTimeout(ctx, r.cfg.Timer, req.Deadline-r.cfg.Timer.Now(), ErrDeadline)
		defer stop()
		ctx = limited
	}
	r.cfg.RetryBudget.RecordRequest()
	n := newRun(r, req, sink)
	defer n.releaseAll()
	err := n.runAttempts(ctx)
	n.releaseKV()
	n.res.finish(req, fail.Outcome(err))
	return n.res, err
}

// newAttempt returns an attempt ID that was never used before.
func (r *Runner) newAttempt() ident.Attempt {
	return ident.Attempt{Node: r.cfg.Node, Serial: r.serial.Add(1)}
}
