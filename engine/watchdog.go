package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/tick"
)

// checksPerStallTimeout is the number of checks for progress within a stall timeout.
const checksPerStallTimeout = 4

// watchdog cancels a context when a read has waited too long for bytes. Time in which no read is
// waiting does not count, so a slow reader is not mistaken for a stalled engine. The watchdog also
// cancels the context when the timeout of the whole call has passed.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	clock  tick.Clock
	since  atomic.Int64 // instant at which the present read began to wait, or idle
	done   chan struct{}
}

// idle is the value of watchdog.since while no read is waiting.
const idle = -1

// watch starts a watchdog in the waiting state. A timeout of zero means none. The caller must call
// stop.
func watch(ctx context.Context, clock tick.Clock, stallTimeout, timeout time.Duration) *watchdog {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{ctx: ctx, cancel: cancel, clock: clock, done: make(chan struct{})}
	w.resume()
	sub := clock.Every(max(stallTimeout/checksPerStallTimeout, time.Millisecond))
	var end tick.Timer
	if timeout > 0 {
		end = clock.After(timeout)
	}
	go func() {
		defer close(w.done)
		defer sub.Stop()
		if end == nil {
			w.run(sub, nil, stallTimeout)
			return
		}
		defer end.Stop()
		w.run(sub, end.C(), stallTimeout)
	}()
	return w
}

func (w *watchdog) run(sub tick.Timer, end <-chan tick.Instant, stallTimeout time.Duration) {
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-end:
			w.cancel(flow.ErrStalled)
			return
		case <-sub.C():
			if since := w.since.Load(); since != idle && w.clock.Now()-time.Duration(since) >= stallTimeout {
				w.cancel(flow.ErrStalled)
				return
			}
		}
	}
}

func (w *watchdog) resume() { w.since.Store(int64(w.clock.Now())) }

func (w *watchdog) pause() { w.since.Store(idle) }

// reason returns the reason why a read or a call failed with err: the cause of the context if it has
// ended, or else flow.ErrConnBroken.
func (w *watchdog) reason(err error) error {
	if cause := context.Cause(w.ctx); cause != nil {
		return cause
	}
	return errors.Wrap(flow.ErrConnBroken, err.Error())
}

// stop cancels the context and waits for the watchdog to end.
func (w *watchdog) stop() {
	w.cancel(context.Canceled)
	<-w.done
}
