package front

import (
	"math"
	"net/http"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

// errorBody is the JSON form of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code       fail.Code     `json:"code"`
	Message    string        `json:"message"`
	Outcome    string        `json:"outcome"`
	Request    ident.Request `json:"request"`
	RetryAfter int64         `json:"retry_after,omitempty"` // seconds, as in the header
}

// fault is an error as a caller sees it.
type fault struct {
	code    fail.Code
	message string
	outcome ident.Outcome
	retry   time.Duration
}

var statuses = map[fail.Code]int{
	fail.CodeRateLimited:      http.StatusTooManyRequests,
	fail.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	fail.CodeOverloaded:       http.StatusServiceUnavailable,
	fail.CodeDeadline:         http.StatusGatewayTimeout,
	fail.CodeNoServer:         http.StatusServiceUnavailable,
	fail.CodeUnknownModel:     http.StatusNotFound,
	fail.CodeUnknownRoute:     http.StatusNotFound,
	fail.CodeInvalidKey:       http.StatusUnauthorized,
	fail.CodeKeyWithdrawn:     http.StatusUnauthorized,
	fail.CodeBadRequest:       http.StatusBadRequest,
	fail.CodeMethodNotAllowed: http.StatusMethodNotAllowed,
	fail.CodeDraining:         http.StatusServiceUnavailable,
	fail.CodeNoTable:          http.StatusServiceUnavailable,
	fail.CodeHomeUnreachable:  http.StatusServiceUnavailable,
	fail.CodeKeyReused:        http.StatusUnprocessableEntity,
	fail.CodeKeyInProgress:    http.StatusConflict,
	fail.CodeKeyUnknown:       http.StatusConflict,
	fail.CodeBackendFailed:    http.StatusBadGateway,
	fail.CodeStreamCut:        http.StatusBadGateway,
	fail.CodeUnsupported:      http.StatusBadRequest,
	fail.CodeInternal:         http.StatusInternalServerError,
}

func (f fault) status() int {
	if s, ok := statuses[f.code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

func (f fault) body(id ident.Request) errorBody {
	return errorBody{errorDetail{
		Code: f.code, Message: f.message, Outcome: f.outcome.String(), Request: id, RetryAfter: f.retryAfter(),
	}}
}

// retryAfter returns the seconds after which the caller may come back, and
// zero if nothing true can be said.
func (f fault) retryAfter() int64 {
	return max(0, int64(math.Ceil(f.retry.Seconds())))
}

// explain converts an error of the parts behind the front. Its message never
// shows more than the code unless the error is a refusal, whose reason is
// meant for callers.
func (s *Server) explain(err error) fault {
	f := fault{code: fail.CodeBackendFailed, message: "the request failed at a backend server", outcome: fail.Outcome(err)}
	if r, ok := fail.AsRefusal(err); ok {
		f.code, f.message, f.retry = r.Code(), r.Reason(), r.RetryAfter()
		return f
	}
	if s.cfg.ErrorCode == nil {
		return f
	}
	f.code, f.retry = s.cfg.ErrorCode(err)
	if m, ok := messages[f.code]; ok {
		f.message = m
	}
	return f
}

var messages = map[fail.Code]string{
	fail.CodeStreamCut:  "the answer was cut off and is not whole",
	fail.CodeDeadline:   "the answer did not come in time",
	fail.CodeOverloaded: "no capacity is free",
	fail.CodeNoServer:   "no backend server is available",
}

func refused(code fail.Code, message string) fault {
	return fault{code: code, message: message, outcome: ident.NotRun}
}
