package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/tick"
)

// checksPerSilence is how often within the allowed silence a connection is
// checked for progress.
const checksPerSilence = 4

// watchdog ends a context when a wait for bytes has lasted too long. Time in
// which nobody waits does not count, so that a slow reader is not taken for a
// silent engine. It ends it too when the limit of the whole call has passed.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  tick.Clock
	since  atomic.Int64 // instant at which the present wait began, or idle
	done   chan struct{}
}

// idle stands for no wait.
const idle = -1

// watch starts a watchdog with a wait under way. A limit of zero stands for
// none. The caller must stop it.
func watch(ctx context.Context, timer tick.Clock, silence, limit time.Duration) *watchdog {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{ctx: ctx, cancel: cancel, timer: timer, done: make(chan struct{})}
	w.wait()
	sub := timer.Every(max(silence/checksPerSilence, time.Millisecond))
	var end tick.Timer
	if limit > 0 {
		end = timer.After(limit)
	}
	go func() {
		defer close(w.done)
		defer sub.Stop()
		if end == nil {
			w.run(sub, nil, silence)
			return
		}
		defer end.Stop()
		w.run(sub, end.C(), silence)
	}()
	return w
}

func (w *watchdog) run(sub tick.Timer, end <-chan tick.Instant, silence time.Duration) {
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-end:
			w.cancel(flow.ErrStalled)
			return
		case <-sub.C():
			if since := w.since.Load(); since != idle && w.timer.Now()-time.Duration(since) >= silence {
				w.cancel(flow.ErrStalled)
				return
			}
		}
	}
}

func (w *watchdog) wait() { w.since.Store(int64(w.timer.Now())) }

func (w *watchdog) rest() { w.since.Store(idle) }

// reason returns why a read or a call failed: the cause of the context if that
// has ended, or a broken connection.
func (w *watchdog) reason(err error) error {
	if cause := context.Cause(w.ctx); cause != nil {
		return cause
	}
	return errors.Wrap(flow.ErrConnBroken, err.Error())
}

// stop ends the watchdog and its context, and waits for the end.
func (w *watchdog) stop() {
	w.cancel(context.Canceled)
	<-w.done
}
