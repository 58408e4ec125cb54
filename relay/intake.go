package relay

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/route"
)

const (
	// unknownRetry is when a caller may come back while nothing is configured.
	unknownRetry = time.Second
	// findTime is the time from its start within which a process expects to learn
	// the configuration, and findWait how long a request waits for it.
	findTime = time.Second
	findWait = 300 * time.Millisecond
	// drainRetry is when a caller may come back to another instance.
	drainRetry = 50 * time.Millisecond
	// limitShare is the part of a request's objective for which it may wait for
	// its customer's limit.
	limitShare = 0.25
	// defaultTimeout bounds requests where neither the caller nor the route does.
	defaultTimeout = 30 * time.Second
)

// admit finds the route, the service and the customer.
func (j *job) admit() bool {
	j.ask = j.h.cfg.Protocol.ParseRequest(j.r.Header)
	j.find()
	j.table = j.h.cfg.Live.Table()
	if j.table == nil {
		j.refuse(fail.Refuse(fail.CodeNoTable, unknownRetry, "no configuration is known yet"))
		return false
	}
	var ok bool
	if j.route, ok = j.table.Match(j.r.Host, j.r.URL.Path); !ok {
		j.deny(http.StatusNotFound, fail.CodeUnknownRoute, "no route takes this host and path")
		return false
	}
	if most := j.table.Limits().HeaderBytes; most > 0 && headerBytes(j.r.Header) > most {
		j.w.Header().Set("Connection", "close")
		j.deny(http.StatusRequestHeaderFieldsTooLarge, fail.CodeTooLarge, "the header is too large")
		return false
	}
	if j.table.KeysRequired() && !j.route.Public {
		if j.cust, ok = j.table.Customer(route.HashKey(j.ask.APIKey)); !ok || j.ask.APIKey == "" {
			j.deny(http.StatusUnauthorized, fail.CodeInvalidKey, "the key is not known")
			return false
		}
	}
	if j.tooLate() {
		j.refuse(fail.Refuse(fail.CodeDraining, drainRetry, "this instance ends, another one takes the request"))
		return false
	}
	name := j.route.Pick(rand.Float64())
	if j.service, ok = j.table.Service(name); !ok {
		j.service = &route.Service{Name: name}
	}
	limit := j.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if j.ask.Timeout > 0 {
		limit = min(limit, j.ask.Timeout)
	}
	j.until = j.start + limit
	return true
}

// find waits until this process knows a configuration and servers, if it has
// just started and is about to learn them.
func (j *job) find() {
	h := j.h
	select {
	case <-h.cfg.Live.Ready():
		return
	default:
	}
	left := min(findWait, h.start+findTime-h.cfg.Clock.Now())
	if left <= 0 {
		return
	}
	t := h.cfg.Clock.After(left)
	defer t.Stop()
	select {
	case <-h.cfg.Live.Ready():
	case <-t.C():
	case <-j.r.Context().Done():
	}
}

// read reads the body and charges the customer.
func (j *job) read() bool {
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, j.mostBody()))
	if err != nil {
		if _, ok := errors.Into[*http.MaxBytesError](err); ok {
			j.deny(http.StatusRequestEntityTooLarge, fail.CodeTooLarge, "the body is too large")
			return false
		}
		if j.r.Context().Err() == nil {
			j.deny(http.StatusBadRequest, fail.CodeBadRequest, "the body cannot be read")
		}
		return false
	}
	j.body = body
	if j.cust == nil {
		return true
	}
	tokens := j.cust.DefaultTokens
	if j.ask.HasTokenCounts {
		tokens = j.ask.PromptTokens + j.ask.MaxOutputTokens
	}
	patience := time.Duration(limitShare * float64(j.route.LatencyTarget))
	wait, ok := j.h.cfg.Limiter.Admit(j.r.Context(), j.cust, tokens, patience)
	if !ok && j.gone() {
		j.note = "caller left: it waited for its limit"
		return false
	}
	if !ok {
		j.refuse(fail.Refuse(fail.CodeRateLimited, wait, "the customer's limit is reached"))
		return false
	}
	j.charged = tokens
	return true
}
