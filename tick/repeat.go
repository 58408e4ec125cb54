package tick

import "context"

// Repeat calls f at each tick of t until ctx ends, then stops t. Ticks that become due while f
// runs are merged into one call.
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
