package flow

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
)

// The reasons for which an engine turns a call away or is given up on. They
// come wrapped in a fail.Error, which tells the outcome.
var (
	// ErrFull reports that the engine has no place or no memory left.
	ErrFull = errors.New("engine is full")
	// ErrModel reports that the engine does not serve the model.
	ErrModel = errors.New("model is not loaded")
	// ErrDraining reports that the engine takes nothing new.
	ErrDraining = errors.New("engine is draining")
	// ErrNoKV reports that the exported KV cache is gone.
	ErrNoKV = errors.New("exported KV cache is gone")
	// ErrSource reports an export that could not be read from its engine.
	ErrSource = errors.New("export cannot be read from its engine")
	// ErrNoAttempt reports that the engine holds nothing for the attempt.
	ErrNoAttempt = errors.New("engine does not know the attempt")
	// ErrSilent reports a connection without progress.
	ErrSilent = errors.New("no progress on the connection")
	// ErrBroken reports a connection that ended before the answer did.
	ErrBroken = errors.New("connection broke")
	// ErrFence reports an order with an older fencing number.
	ErrFence = errors.New("order is older than the fence")
	// ErrCrossed reports an answer that belongs to another attempt.
	ErrCrossed = errors.New("answer belongs to another attempt")
)

// Reservation asks a decode engine for a place.
type Reservation struct {
	Attempt   ident.Attempt
	Model     ident.Model
	Hold      time.Duration // life of the hold without contact
	Priority  int           // lower runs first
	MaxOutput int64         // tokens
	Seed      int64
	Exact     bool // temperature zero and a seed: the output is repeatable
}

// Seat is a place that a decode engine holds for an attempt.
type Seat struct {
	Place string
	// Build names the engine build and weights. Two engines of one build give
	// the same output to an exact request. It is empty if outputs differ.
	Build string
}

// Prefill asks a prefill engine to compute the KV cache of a prompt.
type Prefill struct {
	Attempt  ident.Attempt
	Model    ident.Model
	Prompt   string
	Hold     time.Duration
	Priority int
	Decode   ident.Server // where the KV cache will go
}

// KV is a KV cache that a prefill engine exports for a short time.
type KV struct {
	Name   string
	Tokens int64
	Cached int64         // tokens found in the prefix cache
	Life   time.Duration // time until it is dropped, counted by the engine
}

// Transfer asks a decode engine to pull a KV cache into a reserved place.
type Transfer struct {
	Attempt ident.Attempt
	Place   string
	KV      string
	Source  ident.Server
	Stall   time.Duration // the call fails with ErrSilent after so long without progress
}

// Event is one message of a decode stream: a token, or the end.
type Event struct {
	Attempt ident.Attempt
	Offset  int64
	Text    string
	End     bool
	Total   int64  // tokens of the whole output, with End
	Reason  string // "stop" or "length", with End
}

// Stream is an open decode stream. It belongs to one goroutine.
type Stream interface {
	// Next returns the next event. It fails once the stream is silent or
	// broken, or its context has ended.
	Next() (Event, error)
	// Close ends the connection. It does not release the place.
	Close()
}

// Engines are the engines, each addressed by its server name. All calls are
// idempotent per attempt: a repeated call joins or repeats the first.
type Engines interface {
	Reserve(ctx context.Context, s ident.Server, r Reservation) (Seat, error)
	Prefill(ctx context.Context, s ident.Server, p Prefill) (KV, error)
	Import(ctx context.Context, s ident.Server, t Transfer) error
	Stream(ctx context.Context, s ident.Server, a ident.Attempt, offset int64) (Stream, error)
}
