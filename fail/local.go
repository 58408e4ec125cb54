package fail

import "github.com/go-faster/errors"

// LocalError is an error that this process has caused: it has decided not to go on, or lacks what it needs. No peer is at fault.
type LocalError interface {
	error
	// Local reports whether no peer is at fault.
	Local() bool
}

// localError is an error that AsLocal has marked.
type localError struct{ err error }

// AsLocal returns err marked as a LocalError.
func AsLocal(err error) error { return &localError{err} }

// Error implements error.
func (e *localError) Error() string { return e.err.Error() }

// Unwrap returns the marked error.
func (e *localError) Unwrap() error { return e.err }

// Local implements LocalError.
func (e *localError) Local() bool { return true }

// IsLocal reports whether the first LocalError in the chain of err says that no peer is at fault.
func IsLocal(err error) bool {
	l, ok := errors.Into[LocalError](err)
	return ok && l.Local()
}
