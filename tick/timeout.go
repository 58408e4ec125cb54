package tick

import (
	"context"
	"time"
)

// WithTimeout returns a copy of ctx that is cancelled with the given cause after d has passed on
// the clock. The caller must call stop, which stops the timer and waits until its goroutine has
// ended.
func WithTimeout(ctx context.Context, clock Clock, d time.Duration, cause error) (limited context.Context, stop func()) {
	limited, cancel := context.WithCancelCause(ctx)
	if d <= 0 {
		cancel(cause)
		return limited, func() {}
	}
	timer := clock.After(d)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer timer.Stop()
		select {
		case <-timer.C():
			cancel(cause)
		case <-limited.Done():
		}
	}()
	return limited, func() {
		cancel(context.Canceled)
		<-done
	}
}

// AfterEnd calls f in a goroutine when ctx ends. The caller must call stop once, which prevents the call of f or waits until
// f has returned.
func AfterEnd(ctx context.Context, f func()) (stop func()) {
	done := make(chan struct{})
	prevent := context.AfterFunc(ctx, func() {
		defer close(done)
		f()
	})
	return func() {
		if !prevent() {
			<-done
		}
	}
}

// Sleep waits until d has passed on the clock or ctx has ended. It returns the cause of ctx if
// that ended first.
func Sleep(ctx context.Context, clock Clock, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	timer := clock.After(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
