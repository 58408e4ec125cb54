package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/memory"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/unread"
)

const (
	// noConfigRetry is the Retry-After while there is no configuration.
	noConfigRetry = time.Second
	// startupWindow is the time after its start within which a process should receive
	// the configuration. startupWait is how long a request waits for the configuration
	// during that time.
	startupWindow = time.Second
	startupWait   = 300 * time.Millisecond
	// drainRetry is the Retry-After while draining. It is short because another instance
	// can take the request.
	drainRetry = 50 * time.Millisecond
	// limitWaitShare is the fraction of the latency target for which a request may wait
	// for its customer's rate limit.
	limitWaitShare = 0.25
	// defaultTimeout bounds a request if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
)

// resolve determines the route, the service, the customer and the deadline. It returns false
// if it has answered the request.
func (x *exchange) resolve() bool {
	x.waitForConfig()
	x.table = x.h.cfg.Live.Table()
	if x.table == nil {
		x.reject(fail.Refuse(fail.CodeNoTable, noConfigRetry, "no configuration is known yet"))
		return false
	}
	var ok bool
	if x.route, ok = x.table.Match(x.r.Host, x.r.URL.Path); !ok {
		x.clientError(http.StatusNotFound, fail.CodeUnknownRoute, "no route takes this host and path")
		return false
	}
	if maxBytes := x.table.Limits().HeaderBytes; maxBytes > 0 && headerBytes(x.r.Header) > maxBytes {
		x.w.Header().Set("Connection", "close")
		x.clientError(http.StatusRequestHeaderFieldsTooLarge, fail.CodeTooLarge, "the header is too large")
		return false
	}
	if x.table.KeysRequired() && !x.route.Public {
		if x.customer, ok = x.table.Customer(route.HashKey(x.info.APIKey)); !ok || x.info.APIKey == "" {
			x.clientError(http.StatusUnauthorized, fail.CodeInvalidKey, "the key is not known")
			return false
		}
	}
	name := x.route.Pick(rand.Float64())
	if x.service, ok = x.table.Service(name); !ok {
		x.service = &route.Service{Name: name}
	}
	x.nameParts()
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.info.Timeout > 0 {
		timeout = min(timeout, x.info.Timeout)
	}
	x.deadline = x.start + timeout
	return x.viewDrain()
}

// waitForConfig waits for the configuration and the server list if the process has just
// started and has not received them yet.
func (x *exchange) waitForConfig() {
	h := x.h
	select {
	case <-h.cfg.Live.Ready():
		return
	default:
	}
	left := min(startupWait, h.start+startupWindow-h.cfg.Clock.Now())
	if left <= 0 {
		return
	}
	t := h.cfg.Clock.After(left)
	defer t.Stop()
	select {
	case <-h.cfg.Live.Ready():
	case <-t.C():
	case <-x.r.Context().Done():
	}
}

// discardBody drops what was not read of the body after the response, so that its caller sees it.
func (x *exchange) discardBody() {
	if x.discards {
		unread.Discard(x.h.cfg.Drain.End(), x.w, x.r)
	}
}

// readAndCharge reads the body and charges the customer's rate limit. It returns false if the
// request has ended.
func (x *exchange) readAndCharge(ctx context.Context) bool {
	maxBytes := x.maxBodyBytes()
	body, err := x.memory.ReadAll(http.MaxBytesReader(x.w, x.r.Body, maxBytes), x.r.ContentLength, maxBytes)
	x.received = x.h.cfg.Clock.Now()
	x.advance(stateReading, stateWaiting)
	if x.cutOff() {
		x.rejectDraining()
		return false
	}
	if errors.Is(err, memory.ErrFull) {
		x.reject(fail.Refuse(fail.CodeOverloaded, overloadRetry, "this instance has no memory left for the body"))
		return false
	}
	if err != nil {
		if _, ok := errors.Into[*http.MaxBytesError](err); ok {
			x.clientError(http.StatusRequestEntityTooLarge, fail.CodeTooLarge, "the body is too large")
			return false
		}
		if x.r.Context().Err() == nil {
			x.clientError(http.StatusBadRequest, fail.CodeBadRequest, "the body cannot be read")
		}
		return false
	}
	x.body = body
	if x.customer == nil {
		return true
	}
	tokens := x.customer.DefaultTokens
	if x.info.HasTokenCounts {
		tokens = x.info.PromptTokens + x.info.MaxOutputTokens
	}
	maxWait := time.Duration(limitWaitShare * float64(x.route.LatencyTarget))
	wait, ok := x.h.cfg.Limiter.Admit(ctx, x.customer, tokens, maxWait)
	if !ok && x.callerGone() {
		x.summary = "caller left: it waited for its limit"
		return false
	}
	if !ok && x.cutOff() {
		x.rejectDraining()
		return false
	}
	if !ok {
		x.reject(fail.Refuse(fail.CodeRateLimited, wait, "the customer's limit is reached"))
		return false
	}
	x.chargedTokens = tokens
	return true
}
