package flow

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
)

// Reasons for which a call to an engine fails. They are wrapped in a fail.Error, which holds the
// outcome of the call.
var (
	// ErrFull reports that the engine has no free slot or no free memory.
	ErrFull = errors.New("engine is full")
	// ErrModelNotLoaded reports that the engine does not serve the model.
	ErrModelNotLoaded = errors.New("model is not loaded")
	// ErrDraining reports that the engine accepts no new work.
	ErrDraining = errors.New("engine is draining")
	// ErrKVGone reports that the engine no longer has the exported KV cache.
	ErrKVGone = errors.New("exported KV cache is gone")
	// ErrExportUnreadable reports that the decode engine could not read the exported KV cache from
	// the prefill engine.
	ErrExportUnreadable = errors.New("exported KV cache cannot be read from the prefill engine")
	// ErrUnknownAttempt reports that the engine has no state for the attempt.
	ErrUnknownAttempt = errors.New("engine does not know the attempt")
	// ErrStalled reports a connection that made no progress for too long.
	ErrStalled = errors.New("no progress on the connection")
	// ErrConnBroken reports a connection that ended before the response was complete.
	ErrConnBroken = errors.New("connection ended before the response was complete")
	// ErrStaleFence reports a command whose fencing number is lower than one that the engine has
	// already received.
	ErrStaleFence = errors.New("order is older than the fence")
	// ErrWrongAttempt reports a response that belongs to another attempt.
	ErrWrongAttempt = errors.New("response belongs to another attempt")
)

// ReserveRequest reserves a slot at a decode engine.
type ReserveRequest struct {
	Attempt   ident.Attempt
	Model     ident.Model
	TTL       time.Duration // time without contact after which the engine drops the hold
	Priority  int           // lower values run first
	MaxOutput int64         // tokens
	Seed      int64
	Exact     bool // temperature zero and a seed: the output is reproducible
}

// Slot is a slot that a decode engine has reserved for an attempt.
type Slot struct {
	ID string
	// Build identifies the engine build and weights. Engines with the same build return the same
	// output for an exact request. Build is empty if the engine's outputs are not reproducible.
	Build string
}

// PrefillRequest computes the KV cache of a prompt at a prefill engine.
type PrefillRequest struct {
	Attempt  ident.Attempt
	Model    ident.Model
	Prompt   string
	TTL      time.Duration
	Priority int
	Decode   ident.Server // engine that will import the KV cache
}

// KV describes a KV cache that a prefill engine exports for a limited time.
type KV struct {
	Name         string
	Tokens       int64
	CachedTokens int64         // tokens found in the prefix cache
	TTL          time.Duration // remaining time until the engine drops the cache, measured by the engine
}

// ImportRequest makes a decode engine pull a KV cache into a reserved slot.
type ImportRequest struct {
	Attempt      ident.Attempt
	Slot         string
	KV           string
	Source       ident.Server
	StallTimeout time.Duration // the call fails with ErrStalled after this time without progress
}

// Event is one message of a decode stream: a token or the end of the output.
type Event struct {
	Attempt ident.Attempt
	Offset  int64
	Text    string
	End     bool
	Total   int64  // tokens in the whole output; set if End is true
	Reason  string // "stop" or "length"; set if End is true
}

// Stream is an open decode stream. It is not safe for concurrent use.
type Stream interface {
	// Next returns the next event. It fails if the stream stalls or breaks, or if its context is
	// done.
	Next() (Event, error)
	// Close closes the connection. It does not release the slot.
	Close()
}

// EngineClient calls engines, which are addressed by server name. Reserve, Prefill, Import and Stream
// are idempotent per attempt: a repeated call joins the first one or returns its result again.
type EngineClient interface {
	Reserve(ctx context.Context, s ident.Server, r ReserveRequest) (Slot, error)
	Prefill(ctx context.Context, s ident.Server, p PrefillRequest) (KV, error)
	Import(ctx context.Context, s ident.Server, t ImportRequest) error
	Stream(ctx context.Context, s ident.Server, a ident.Attempt, offset int64) (Stream, error)
}
