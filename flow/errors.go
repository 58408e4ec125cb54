package flow

import (
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

// Reasons for which a request ends without a complete answer.
var (
	// ErrTruncated reports an answer that was sent in part and cannot be completed.
	ErrTruncated = errors.New("answer was cut short")
	// ErrDeadline reports a request whose deadline has passed.
	ErrDeadline = errors.New("deadline has passed")
	// ErrCallerGone reports that the caller has disconnected.
	ErrCallerGone = errors.New("caller is gone")
	// ErrTotalMismatch reports an end event whose total differs from the number of tokens received.
	ErrTotalMismatch = errors.New("total in the end event differs from the tokens received")
	// ErrOutputMismatch reports a second run whose output differs from the tokens already sent.
	ErrOutputMismatch = errors.New("output of the second run differs from the tokens already sent")
	// ErrBuildMismatch reports an engine whose build differs from that of the engine whose output
	// was sent.
	ErrBuildMismatch = errors.New("engine build differs from that of the first run")
	// ErrSlotExpired reports a slot reservation that may have expired before it was used.
	ErrSlotExpired = errors.New("slot reservation may have expired")
	// ErrMissingTokens reports a stream that skipped at least one token.
	ErrMissingTokens = errors.New("stream skips tokens")
)

// retryAfter is how long a caller should wait before it repeats a request that the router could not
// complete.
const retryAfter = time.Second

// ErrorCode returns the error code to send to the caller for an error of Run, and the time after
// which the caller may retry. The time is zero if it is not known and fail.NoRetry if a retry cannot
// succeed.
func ErrorCode(err error) (fail.Code, time.Duration) {
	if r, ok := fail.AsRefusal(err); ok {
		return r.Code(), r.RetryAfter()
	}
	switch {
	case errors.Is(err, ErrTruncated):
		return fail.CodeStreamCut, retryAfter
	case errors.Is(err, ErrDeadline):
		return fail.CodeDeadline, retryAfter
	default:
		return fail.CodeBackendFailed, retryAfter
	}
}

// attemptError is the failure of one placement attempt.
type attemptError struct {
	step        string
	server      ident.Server
	err         error
	permanent   bool // a further attempt cannot succeed or is not allowed
	skipsBudget bool // a retry is not charged to the budget, as no engine work was lost
}

func (s *attemptError) Error() string { return s.step + ": " + s.err.Error() }

func (s *attemptError) Unwrap() error { return s.err }

// notRun reports whether err means that no work ran, because the engine rejected the call or was
// not reached.
func notRun(err error) bool { return fail.Outcome(err) == ident.NotRun }

// canRepeat reports whether a failed call can be repeated on a new connection. If the first call is
// still running at the engine, the repeated call joins it.
func canRepeat(err error) bool {
	return errors.Is(err, ErrStalled) || errors.Is(err, ErrConnBroken)
}
