package sweep

import (
	"context"
	"time"

	"wasabidock.dev/dock/ident"
)

// Hold is one entry of an engine's account of what it holds.
type Hold struct {
	Attempt ident.Attempt
	Kind    string
	Idle    time.Duration // since the last contact, by the engine's account
}

// Engines are the calls that release what engines hold. All of them may be
// repeated.
type Engines interface {
	Cancel(ctx context.Context, s ident.Server, a ident.Attempt, idleOver time.Duration) (released int, err error)
	Touch(ctx context.Context, s ident.Server, as []ident.Attempt) (gone []ident.Attempt, err error)
	// Holds returns the holds without contact for longer than idleOver, or all
	// of them if it is zero.
	Holds(ctx context.Context, s ident.Server, idleOver time.Duration) ([]Hold, error)
}
