// Package fail defines errors that record the failed step, the peer and whether the call may have
// run, and the refusals that callers receive.
//
// # Usage
//
//	return fail.New("engine: prefill", "sierra-a-p1", ident.Unknown, err)
//
//	if fail.Outcome(err) == ident.NotRun {
//		// safe to retry at another server
//	}
//
// Errors are immutable and may be used concurrently.
package fail

import (
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/ident"
)

// Error is an error with the step that failed and the peer of the call.
type Error struct {
	step    string
	peer    string
	outcome ident.Outcome
	err     error
}

// New returns an Error for a step that failed in a call to peer. The peer is empty for a local step.
func New(step, peer string, o ident.Outcome, err error) *Error {
	return &Error{step: step, peer: peer, outcome: o, err: err}
}

// Error returns "step: peer: cause (outcome)".
func (e *Error) Error() string {
	s := e.step
	if e.peer != "" {
		s += ": " + e.peer
	}
	return s + ": " + e.err.Error() + " (" + e.outcome.String() + ")"
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Step returns the step that failed.
func (e *Error) Step() string { return e.step }

// Peer returns the peer of the call. It is empty for a local step.
func (e *Error) Peer() string { return e.peer }

// Outcome returns whether the call ran, as far as it is known.
func (e *Error) Outcome() ident.Outcome { return e.outcome }

// Outcome returns the outcome of the outermost Error in err. Without an Error it returns Done for a
// nil err, NotRun for a Refusal, and Unknown for any other error.
func Outcome(err error) ident.Outcome {
	if err == nil {
		return ident.Done
	}
	var e *Error
	if errors.As(err, &e) {
		return e.outcome
	}
	if _, ok := AsRefusal(err); ok {
		return ident.NotRun
	}
	return ident.Unknown
}
