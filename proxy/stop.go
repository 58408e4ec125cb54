package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"wasabidock.dev/dock/drain"
	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
	"wasabidock.dev/dock/usual"
)

const (
	// minUsualTime is the least time that a request is held to take in a process that drains. It allows for the way of its response.
	minUsualTime = 300 * time.Millisecond
	// stopReason is the reason of responses to requests that the end of the process cuts off.
	stopReason = "this instance ends"
)

// weighDrain returns whether the process, if it drains, takes the request, which no server may have run yet.
func (x *exchange) weighDrain() drain.View {
	return x.h.cfg.Drain.Weigh(drain.Request{
		Received: x.received, Deadline: x.deadline, Usual: max(minUsualTime, x.usualTime()), Repeatable: x.route.Kind == route.Idempotent,
	})
}

// outlivesProcess reports whether the request is left to another instance, since the end of the process might cut it off.
func (x *exchange) outlivesProcess() bool { return !x.weighDrain().Taken }

// usualTime returns how long such requests usually take. Before one has ended, that is the time that the operator asks for.
func (x *exchange) usualTime() time.Duration {
	if d, ok := x.h.usual.Of(x.usualKey(), x.expectedOutputTokens()); ok {
		return d
	}
	return x.route.LatencyTarget
}

// usualKey returns the key of the request for estimates.
func (x *exchange) usualKey() usual.Key {
	return usual.Key{Route: x.route.Name, Service: x.service.Name, Sized: x.info.HasTokenCounts}
}

// recordUsual records how long the request has taken. first is the time of its first event, 0 if it has none.
func (x *exchange) recordUsual(first time.Duration) {
	total := x.h.cfg.Clock.Now() - x.start
	if first == 0 {
		first = total
	}
	x.h.usual.Record(x.usualKey(), usual.Sample{Size: x.expectedOutputTokens(), First: first, Total: total})
}

// viewDrain weighs the request for the first time. It returns false if the process has refused it.
func (x *exchange) viewDrain() bool {
	v := x.weighDrain()
	if v.Draining {
		x.drain = &drainView{View: v, usual: x.usualTime()}
	}
	if !v.Taken {
		x.rejectDraining()
	}
	return v.Taken
}

// drainView is how a process that drains has seen a request on its arrival.
type drainView struct {
	drain.View
	usual time.Duration
}

// log adds the view to the decision log line.
func (v *drainView) log(e *zerolog.Event) {
	if v != nil {
		e.Dur("left", v.Left).Dur("usual", v.usual).Bool("noticed", v.Noticed)
	}
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
