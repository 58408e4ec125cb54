package proxy

import (
	"context"
	"net/http"
	"time"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/tick"
)

const (
	// plainDrainTime is the time before its end during which a draining process rejects
	// requests to plain services, or what earlier requests took if that is longer. For a model request, this time
	// is modelDrainTime plus tokenDrainTime, or what earlier requests took if that is longer, for each token
	// that the request is expected to generate.
	plainDrainTime = 1500 * time.Millisecond
	modelDrainTime = 2 * time.Second
	tokenDrainTime = 6 * time.Millisecond
	// drainDeviations is the number of mean deviations by which a request may exceed the mean
	// of earlier ones.
	drainDeviations = 2
	// stopReason is the reason of responses to requests that the end of the process cuts off.
	stopReason = "this instance ends"
)

// Drain announces that the process ends: Finish will be called at the given instant. After the call, each response
// closes its connection, and requests that would not finish before that instant are
// rejected at once.
func (h *Handler) Drain(end tick.Instant) { h.endsAt.Store(int64(end)) }

// Finish answers the requests whose responses have not begun: a request that no server has run is rejected, and the
// outcome of the others is unknown. Responses that have begun go on.
func (h *Handler) Finish() { h.finish() }

// draining reports whether Drain was called.
func (h *Handler) draining() bool { return h.endsAt.Load() != 0 }

// outlivesProcess reports whether a request that arrives now would be cut off by the
// end of the process.
func (x *exchange) outlivesProcess() bool {
	end := tick.Instant(x.h.endsAt.Load())
	if end == 0 {
		return false
	}
	need := max(plainDrainTime, x.h.responseTimes.UpperBound(x.service.Name, drainDeviations))
	if x.info.HasTokenCounts {
		perToken := max(tokenDrainTime, x.h.tokenTimes.UpperBound(x.service.Name, drainDeviations))
		need = modelDrainTime + time.Duration(x.expectedOutputTokens())*perToken
	}
	return x.h.cfg.Clock.Now()+need > end
}

// rejectDraining answers a request that is left to another instance.
func (x *exchange) rejectDraining() {
	x.reject(fail.Refuse(fail.CodeDraining, drainRetry, stopReason+", another one takes the request"))
}

// The states of a request, for Finish, in order. A request has one of the last two at its end, or none of them.
const (
	stateReading   = iota // its body is read
	stateWaiting          // it waits for the response of a server
	stateAnswering        // a part of its response was written, which cannot be replaced by another one
	stateCut              // Finish has cut it off
)

// watch cuts the request off when Finish is called and its response has not begun: it ends the read of the body, or
// calls cancel. The caller must call the result at the end of the request.
func (x *exchange) watch(cancel context.CancelFunc) (unwatch func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(x.h.finishing, func() {
		defer close(done)
		if x.advance(stateReading, stateCut) {
			// The error is ignored because not every ResponseWriter supports deadlines, for example in tests.
			_ = http.NewResponseController(x.w).SetReadDeadline(time.Now())
		} else if x.advance(stateWaiting, stateCut) {
			cancel()
		}
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

// advance records that the request has left a state. It returns false if the request is in another one.
func (x *exchange) advance(from, to int32) bool { return x.state.CompareAndSwap(from, to) }

// cutOff reports whether Finish has cut the request off.
func (x *exchange) cutOff() bool { return x.state.Load() == stateCut }
