package tick

import "context"

// Repeat calls f at each tick of t until ctx ends, and stops t. Ticks that fall
// due while f runs are one call.
func Repeat(ctx context.Context, t Timer, f func(ctx context.Context)) {
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C():
			f(ctx)
		}
	}
}
