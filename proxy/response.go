package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/goccy/go-json"

	"wasabidock.dev/dock/drain"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/plain"
	"wasabidock.dev/dock/unread"
)

// errorBody is the JSON body of an error response that the router itself generates.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    fail.Code `json:"code"`
	Message string    `json:"message"`
	Outcome string    `json:"outcome"`
}

// clientError writes a 4xx response. A retry of the same request would fail again.
func (x *exchange) clientError(status int, code fail.Code, reason string) {
	x.writeError(status, code, reason, ident.NotRun)
}

// reject answers a request that has not run and will not run. The status is 429 if a rate limit
// rejected the request, else 503.
func (x *exchange) reject(r *fail.Refusal) {
	status := http.StatusServiceUnavailable
	if r.Code() == fail.CodeRateLimited {
		status = http.StatusTooManyRequests
	}
	if r.RetryAfter() > 0 {
		s := strconv.FormatFloat(r.RetryAfter().Seconds(), 'f', 3, 64)
		x.w.Header().Set("Retry-After", s)
	}
	x.writeError(status, r.Code(), r.Reason(), ident.NotRun)
}

// gatewayError answers a request that a server may have run. The status is 504 if timeout is set,
// else 502.
func (x *exchange) gatewayError(timeout bool, reason string) {
	status, code := http.StatusBadGateway, fail.CodeBackendFailed
	if timeout {
		status, code = http.StatusGatewayTimeout, fail.CodeDeadline
	}
	x.writeError(status, code, reason, ident.Unknown)
}

// writeError writes an error response with o as the outcome of the request.
func (x *exchange) writeError(status int, code fail.Code, reason string, o ident.Outcome) {
	b, err := json.Marshal(errorBody{errorDetail{code, reason, o.String()}})
	if err != nil {
		x.h.cfg.Log.Error().Err(err).Msg("relay: cannot encode the error body; sending it empty")
	}
	hd := x.w.Header()
	x.closeIfDraining()
	hd.Set("Content-Type", "application/json")
	hd.Set("Content-Length", strconv.Itoa(len(b)))
	x.discards = x.body == nil && unread.Prepare(x.w, x.r)
	x.headerWritten, x.status = true, status
	if o == ident.NotRun {
		x.code = code
	}
	x.summary = strconv.Itoa(status) + " " + reason
	x.w.WriteHeader(status)
	_, _ = x.w.Write(b) // fails only if the caller has disconnected
}

// giveUp ends a request for which no further attempt is made. It passes on the saved response
// of a server if there is one. Once the response header has been written, it aborts the
// connection.
func (x *exchange) giveUp(retry time.Duration, reason string) {
	x.giveUpAs(fail.CodeNoServer, retry, reason)
}

// giveUpAs is giveUp with the code for a request that no server has run.
func (x *exchange) giveUpAs(code fail.Code, retry time.Duration, reason string) {
	switch {
	case x.headerWritten:
		x.summary = x.cutSummary(reason)
		panic(http.ErrAbortHandler)
	case x.callerGone() && x.closedByProcess():
		x.summary = "cut off, " + stopReason + ": " + reason
	case x.callerGone():
		x.summary = "caller left: " + reason
	case x.savedFailure != nil:
		x.writeResponse(x.savedFailure)
	case !x.mayHaveRun && x.cutOff():
		x.rejectDraining()
	case x.cutOff():
		x.gatewayError(false, stopReason+": "+reason)
	case !x.mayHaveRun:
		x.reject(fail.Refuse(code, retry, reason))
	default:
		x.gatewayError(x.remaining() <= 0, reason)
	}
}

// cutSummary describes a response that ends in the middle: who ended it, and the reason if that is the router.
func (x *exchange) cutSummary(reason string) string {
	switch {
	case x.closedByProcess():
		return "stream cut: " + stopReason
	case x.callerGone():
		return "stream cut: its caller left"
	default:
		return "stream cut: " + reason
	}
}

// copyHeader copies the end-to-end header fields of a server's response, except for
// Content-Length.
func (x *exchange) copyHeader(h http.Header) {
	dst := x.w.Header()
	for k, v := range plain.EndToEnd(h) {
		if k == "Content-Length" {
			continue
		}
		dst[k] = v
	}
	x.closeIfDraining()
}

// closeIfDraining makes the response close its connection if the process drains.
func (x *exchange) closeIfDraining() {
	if x.h.cfg.Drain.Stage() != drain.Serving {
		x.w.Header().Set("Connection", "close")
	}
}
