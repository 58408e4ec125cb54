package tick

import "context"

// Repeat calls f at each tick of t until ctx ends, then stops t. Ticks that occur while f
// runs cause only one further call.
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
