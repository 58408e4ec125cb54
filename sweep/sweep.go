package sweep

import (
	"context"
	"time"

	"wasabidock.dev/dock/ident"
)

// Hold is one hold in the list that an engine returns.
type Hold struct {
	Attempt ident.Attempt
	Kind    string
	Idle    time.Duration // time since the last contact, as measured by the engine
}

// Engines is the client of the engines. All calls are idempotent.
type Engines interface {
	Cancel(ctx context.Context, s ident.Server, a ident.Attempt, idleOver time.Duration) (released int, err error)
	Touch(ctx context.Context, s ident.Server, as []ident.Attempt) (gone []ident.Attempt, err error)
	// Holds returns the holds without contact for longer than idleOver, or all
	// of them if it is zero.
	Holds(ctx context.Context, s ident.Server, idleOver time.Duration) ([]Hold, error)
}
