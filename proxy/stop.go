package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/drain"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/tick"
)

const (
	// A draining process rejects requests to plain services for which less time is left than earlier ones took, and
	// than minPlainDrainTime, or than plainDrainTime if there were none. For a model request, this time
	// is modelDrainTime plus tokenDrainTime, or what earlier requests took if that is longer, for each token
	// that the request is expected to generate, or may generate once the load balancer sends no new connections.
	minPlainDrainTime = 300 * time.Millisecond
	plainDrainTime    = 1500 * time.Millisecond
	modelDrainTime    = 2 * time.Second
	tokenDrainTime    = 6 * time.Millisecond
	// drainDeviations is the number of mean deviations by which a request may exceed the mean
	// of earlier ones.
	drainDeviations = 2
	// stopReason is the reason of responses to requests that the end of the process cuts off.
	stopReason = "this instance ends"
)

// outlivesProcess reports whether a request that arrives now would be cut off by the end of the process. Once the load balancer sends
// no new connections, callers of rejected requests reach another instance, so that only those are accepted that are sure to end.
func (x *exchange) outlivesProcess() bool {
	left, noticed, draining := x.h.cfg.Drain.Left()
	return draining && x.drainTime(noticed) > left
}

// drainView is what a draining process knows of a request when it arrives.
type drainView struct {
	left, needs time.Duration // time until the end, and time that the request is held to need
	noticed     bool          // the load balancer sends no new connections
}

// viewDrain records the view of a draining process for the decision log line.
func (x *exchange) viewDrain() {
	if left, noticed, draining := x.h.cfg.Drain.Left(); draining {
		x.drain = &drainView{left: left, needs: x.drainTime(noticed), noticed: noticed}
	}
}

// log adds the view to the decision log line.
func (v *drainView) log(e *zerolog.Event) {
	if v != nil {
		e.Dur("left", v.left).Dur("needs", v.needs).Bool("noticed", v.noticed)
	}
}

// drainTime returns how long the request may take. If sure is set, a stream is held to have all tokens that its caller allows,
// as callers' estimates are often too low.
func (x *exchange) drainTime(sure bool) time.Duration {
	if !x.info.HasTokenCounts {
		took := x.h.responseTimes.UpperBound(x.service.Name, lateDeviations)
		if took == 0 {
			return plainDrainTime
		}
		return max(minPlainDrainTime, took)
	}
	tokens := x.expectedOutputTokens()
	if sure {
		tokens = x.info.MaxOutputTokens
	}
	perToken := max(tokenDrainTime, x.h.tokenTimes.UpperBound(x.service.Name, drainDeviations))
	return modelDrainTime + time.Duration(tokens)*perToken
}

// rejectDraining answers a request that is left to another instance.
func (x *exchange) rejectDraining() {
	x.reject(fail.Refuse(fail.CodeDraining, drainRetry, stopReason+", another one takes the request"))
}

// The states of a request, for the end of the process, in order. A request has one of the last two at its end, or none of them.
const (
	stateReading   = iota // its body is read
	stateWaiting          // it waits for the response of a server
	stateAnswering        // a part of its response was written, which cannot be replaced by another one
	stateCut              // the end of the process has cut it off
)

// watch cuts the request off when the process ends and its response has not begun: it ends the read of the body, or
// calls cancel. The caller must call the result at the end of the request.
func (x *exchange) watch(cancel context.CancelFunc) (unwatch func()) {
	return tick.AfterEnd(x.h.cfg.Drain.Ending(), func() {
		if x.advance(stateReading, stateCut) {
			// The error is ignored because not every ResponseWriter supports deadlines, for example in tests.
			_ = http.NewResponseController(x.w).SetReadDeadline(time.Now())
		} else if x.advance(stateWaiting, stateCut) {
			cancel()
		}
	})
}

// advance records that the request has left a state. It returns false if the request is in another one.
func (x *exchange) advance(from, to int32) bool { return x.state.CompareAndSwap(from, to) }

// closedByProcess reports whether the process has closed the caller's connection, or has cut the request off.
func (x *exchange) closedByProcess() bool {
	return x.cutOff() || x.callerGone() && x.h.cfg.Drain.Stage() == drain.Closed
}

// cutOff reports whether the end of the process has cut the request off.
func (x *exchange) cutOff() bool { return x.state.Load() == stateCut }
