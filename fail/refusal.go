package fail

import (
	"time"

	"github.com/go-faster/errors"
)

// Code is the machine-readable reason of a refusal.
type Code string

// The codes that callers see.
const (
	CodeRate        Code = "rate_limited"
	CodeTooLarge    Code = "too_large"
	CodeOverload    Code = "overloaded"
	CodeDeadline    Code = "deadline"
	CodeNoServer    Code = "no_server"
	CodeModel       Code = "unknown_model"
	CodeRoute       Code = "unknown_route"
	CodeKey         Code = "invalid_key"
	CodeWithdrawn   Code = "key_withdrawn"
	CodeBadRequest  Code = "bad_request"
	CodeMethod      Code = "method_not_allowed"
	CodeDraining    Code = "draining"
	CodeNoTable     Code = "no_table"
	CodeHomeAway    Code = "home_unreachable"
	CodeKeyReused   Code = "key_reused"
	CodeKeyOpen     Code = "key_in_progress"
	CodeKeyUnknown  Code = "key_unknown"
	CodeBackend     Code = "backend_failed"
	CodeStreamCut   Code = "stream_cut"
	CodeUnsupported Code = "unsupported"
	CodeInternal    Code = "internal"
)

// Never says that a refused request will not be admitted however long the
// caller waits.
const Never time.Duration = -1

// Refusal says that a request was turned away before any byte of it could
// reach a backend server. Its outcome is always "not run".
type Refusal struct {
	code   Code
	reason string
	retry  time.Duration
}

// Refuse returns a Refusal. Retry is the time after which the caller may come
// back, zero if it is not known, Never if coming back is of no use.
func Refuse(code Code, retry time.Duration, reason string) *Refusal {
	return &Refusal{code: code, reason: reason, retry: retry}
}

// Error returns "code: reason".
func (r *Refusal) Error() string { return string(r.code) + ": " + r.reason }

// Code returns the machine-readable reason.
func (r *Refusal) Code() Code { return r.code }

// Reason returns the sentence for the caller.
func (r *Refusal) Reason() string { return r.reason }

// Retry returns the time after which the caller may come back, zero if it is
// not known, or Never.
func (r *Refusal) Retry() time.Duration { return r.retry }

// AsRefusal returns the Refusal in err, if there is one.
func AsRefusal(err error) (*Refusal, bool) {
	var r *Refusal
	ok := errors.As(err, &r)
	return r, ok
}
