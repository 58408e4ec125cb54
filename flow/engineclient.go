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
	// ErrModelNotLoaded reports that the engine does not serve the model.
	ErrModelNotLoaded = errors.New("model is not loaded")
	// ErrDraining reports that the engine takes nothing new.
	ErrDraining = errors.New("engine is draining")
	// ErrKVGone reports that the exported KV cache is gone.
	ErrKVGone = errors.New("exported KV cache is gone")
	// ErrExportUnreadable reports an export that could not be read from its engine.
	ErrExportUnreadable = errors.New("export cannot be read from its engine")
	// ErrUnknownAttempt reports that the engine holds nothing for the attempt.
	ErrUnknownAttempt = errors.New("engine does not know the attempt")
	// ErrStalled reports a connection without progress.
	ErrStalled = errors.New("no progress on the connection")
	// ErrConnBroken reports a connection that ended before the answer did.
	ErrConnBroken = errors.New("connection broke")
	// ErrStaleFence reports an order with an older fencing number.
	ErrStaleFence = errors.New("order is older than the fence")
	// ErrWrongAttempt reports an answer that belongs to another attempt.
	ErrWrongAttempt = errors.New("answer belongs to another attempt")
)

// ReserveRequest asks a decode engine for a place.
type ReserveRequest struct {
	Attempt   ident.Attempt
	Model     ident.Model
	TTL       time.Duration // life of the hold without contact
	Priority  int           // lower runs first
	MaxOutput int64         // tokens
	Seed      int64
	Exact     bool // temperature zero and a seed: the output is repeatable
}

// Slot is a place that a decode engine holds for an attempt.
type Slot struct {
	ID string
	// Build names the engine build and weights. Two engines of one build give
	// the same output to an exact request. It is empty if outputs differ.
	Build string
}

// PrefillRequest asks a prefill engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	Attempt  ident.Attempt
	Model    ident.Model
	Prompt   string
	TTL      time.Duration
	Priority int
	Decode   ident.Server // where the KV cache will go
}

// KV is a KV cache that a prefill engine exports for a short time.
type KV struct {
	Name         string
	Tokens       int64
	CachedTokens int64         // tokens found in the prefix cache
	TTL          time.Duration // time until it is dropped, counted by the engine
}

// ImportRequest asks a decode engine to pull a KV cache into a reserved place.
type ImportRequest struct {
	Attempt      ident.Attempt
	Slot         string
	KV           string
	Source       ident.Server
	StallTimeout time.Duration // the call fails with ErrSilent after so long without progress
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

// EngineClient are the engines, each addressed by its server name. All calls are
// idempotent per attempt: a repeated call joins or repeats the first.
type EngineClient interface {
	Reserve(ctx context.Context, s ident.Server, r ReserveRequest) (Slot, error)
	Prefill(ctx context.Context, s ident.Server, p PrefillRequest) (KV, error)
	Import(ctx context.Context, s ident.Server, t ImportRequest) error
	Stream(ctx context.Context, s ident.Server, a ident.Attempt, offset int64) (Stream, error)
}
