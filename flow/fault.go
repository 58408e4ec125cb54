package flow

import (
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

// The reasons for which a request ends without its whole answer.
var (
	// ErrTruncated reports an answer of which a part was sent and the rest is lost.
	ErrTruncated = errors.New("answer was cut short")
	// ErrDeadline reports a request whose deadline has passed.
	ErrDeadline = errors.New("deadline has passed")
	// ErrCallerGone reports a caller that is gone.
	ErrCallerGone = errors.New("caller is gone")
	// ErrTotalMismatch reports an end whose total does not match the tokens.
	ErrTotalMismatch = errors.New("end does not match the tokens")
	// ErrOutputMismatch reports a repeated output that differs from what was sent.
	ErrOutputMismatch = errors.New("repeated output differs")
	// ErrBuildMismatch reports an engine of another build than the first.
	ErrBuildMismatch = errors.New("engine is of another build")
	// ErrSlotExpired reports a place that may have run out before it was used.
	ErrSlotExpired = errors.New("place is too old")
	// ErrMissingTokens reports a stream that skips an offset.
	ErrMissingTokens = errors.New("stream skips tokens")
)

// retryAfter is when a caller may come back after the router has given up on
// its request.
const retryAfter = time.Second

// ErrorCode returns the code for the caller of a request that Run gave up on,
// and when the caller may come back: zero if that is not known, fail.Never if
// it is of no use.
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

// setback is the failure of one try.
type setback struct {
	step   string
	server ident.Server
	err    error
	final  bool // another try is of no use or not allowed
	free   bool // another try costs no engine work
}

func (s *setback) Error() string { return s.step + ": " + s.err.Error() }

func (s *setback) Unwrap() error { return s.err }

// refusedBy reports whether the engine turned the call away, or was not
// reached, so that nothing ran.
func refusedBy(err error) bool { return fail.Outcome(err) == ident.NotRun }

// mayJoin reports whether a call that failed may be joined by repeating it on
// a new connection.
func mayJoin(err error) bool {
	return errors.Is(err, ErrStalled) || errors.Is(err, ErrConnBroken)
}
