package front

import (
	"math"
	"net/http"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code       fail.Code     `json:"code"`
	Message    string        `json:"message"`
	Outcome    string        `json:"outcome"`
	Request    ident.Request `json:"request"`
	RetryAfter int64         `json:"retry_after,omitempty"` // seconds, as in the Retry-After header
}

// apiError is an error in the form in which it is sent to a caller.
type apiError struct {
	code       fail.Code
	message    string
	outcome    ident.Outcome
	retryAfter time.Duration
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
	fail.CodePromptBlocked:    http.StatusServiceUnavailable,
	fail.CodeInternal:         http.StatusInternalServerError,
}

func (f apiError) status() int {
	if s, ok := statuses[f.code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

func (f apiError) body(id ident.Request) errorBody {
	return errorBody{errorDetail{
		Code: f.code, Message: f.message, Outcome: f.outcome.String(), Request: id, RetryAfter: f.retrySeconds(),
	}}
}

// retrySeconds returns the value of Retry-After in seconds, rounded up. Zero
// means that the time is unknown.
func (f apiError) retrySeconds() int64 {
	return max(0, int64(math.Ceil(f.retryAfter.Seconds())))
}

// toAPIError converts an error of the limiter, the generator or a backend call.
// Only the reason of a fail.Refusal is written for callers and is sent to them.
// Any other error is reduced to its code and a fixed message for that code.
func (s *Server) toAPIError(err error) apiError {
	f := apiError{code: fail.CodeBackendFailed, message: "the request failed at a backend server", outcome: fail.Outcome(err)}
	if r, ok := fail.AsRefusal(err); ok {
		f.code, f.message, f.retryAfter = r.Code(), r.Reason(), r.RetryAfter()
		return f
	}
	if s.cfg.ErrorCode == nil {
		return f
	}
	f.code, f.retryAfter = s.cfg.ErrorCode(err)
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

func rejection(code fail.Code, message string) apiError {
	return apiError{code: code, message: message, outcome: ident.NotRun}
}
