package fail

import (
	"time"

	"github.com/go-faster/errors"
)

// Code is the machine-readable reason of a Refusal.
type Code string

// The codes in responses to callers.
const (
	CodeRateLimited      Code = "rate_limited"
	CodeTooLarge         Code = "too_large"
	CodeOverloaded       Code = "overloaded"
	CodeDeadline         Code = "deadline"
	CodeNoServer         Code = "no_server"
	CodeUnknownModel     Code = "unknown_model"
	CodeUnknownRoute     Code = "unknown_route"
	CodeInvalidKey       Code = "invalid_key"
	CodeKeyWithdrawn     Code = "key_withdrawn"
	CodeBadRequest       Code = "bad_request"
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeDraining         Code = "draining"
	CodeNoTable          Code = "no_table"
	CodeHomeUnreachable  Code = "home_unreachable"
	CodeKeyReused        Code = "key_reused"
	CodeKeyInProgress    Code = "key_in_progress"
	CodeKeyUnknown       Code = "key_unknown"
	CodeBackendFailed    Code = "backend_failed"
	CodeStreamCut        Code = "stream_cut"
	CodePromptBlocked    Code = "prompt_blocked"
	CodeUnsupported      Code = "unsupported"
	CodeInternal         Code = "internal"
)

// NoRetry is the retry time of a rejected request that will not be admitted however long the caller
// waits.
const NoRetry time.Duration = -1

// Refusal is the error of a request that was rejected before any byte of it could reach a backend
// server. Its outcome is always ident.NotRun.
type Refusal struct {
	code   Code
	reason string
	retry  time.Duration
}

// Refuse returns a Refusal. The argument retry is the time after which the caller may retry: zero
// if it is not known, NoRetry if a retry is useless. The reason is a sentence for the caller.
func Refuse(code Code, retry time.Duration, reason string) *Refusal {
	return &Refusal{code: code, reason: reason, retry: retry}
}

// Error returns "code: reason".
func (r *Refusal) Error() string { return string(r.code) + ": " + r.reason }

// Code returns the machine-readable reason.
func (r *Refusal) Code() Code { return r.code }

// Reason returns the sentence for the caller.
func (r *Refusal) Reason() string { return r.reason }

// RetryAfter returns the time after which the caller may retry. It is zero if the time is not
// known, and NoRetry if a retry is useless.
func (r *Refusal) RetryAfter() time.Duration { return r.retry }

// AsRefusal returns the first Refusal in the chain of err, and false if there is none.
func AsRefusal(err error) (*Refusal, bool) {
	var r *Refusal
	ok := errors.As(err, &r)
	return r, ok
}
