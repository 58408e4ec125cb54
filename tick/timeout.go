package tick

import (
	"context"
	"time"
)

// WithTimeout returns a copy of ctx that ends with cause once d has passed by
// s. The caller must call stop, which ends the subscription and waits for it.
func WithTimeout(ctx context.Context, s Clock, d time.Duration, cause error) (limited context.Context, stop func()) {
	limited, cancel := context.WithCancelCause(ctx)
	if d <= 0 {
		cancel(cause)
		return limited, func() {}
	}
	t := s.After(d)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer t.Stop()
		select {
		case <-t.C():
			cancel(cause)
		case <-limited.Done():
		}
	}()
	return limited, func() {
		cancel(context.Canceled)
		<-done
	}
}

// Sleep waits until d has passed by s or ctx has ended.
func Sleep(ctx context.Context, s Clock, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	t := s.After(d)
	defer t.Stop()
	select {
	case <-t.C():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
