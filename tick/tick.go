// Package tick is the timer service that all parts subscribe to. Nothing else
// in the router reads the clock of the machine.
//
// # Usage
//
//	t := tick.NewReal()
//	sub := t.Every(time.Second)
//	defer sub.Stop()
//	for {
//		select {
//		case <-ctx.Done():
//			return
//		case <-sub.C():
//		}
//	}
//
// Instants are durations since an arbitrary origin of the process and come
// from its monotonic clock, so that wall clocks never matter. Tests use Fake,
// whose time moves only by Advance.
//
// A subscription holds at most one undelivered tick: a slow subscriber misses
// ticks and never blocks the service.
package tick

import "time"

// Instant is a point in time of this process: the monotonic time since its
// origin. Instants of different processes do not compare.
type Instant = time.Duration

// Timer is a subscription to the timer service.
type Timer interface {
	// C delivers the ticks. It is never closed.
	C() <-chan Instant
	// Stop ends the subscription.
	Stop()
}

// Clock tells the time and takes subscriptions.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// Every subscribes to ticks at the period d, which must be positive.
	Every(d time.Duration) Timer
	// After subscribes to one tick, d from now.
	After(d time.Duration) Timer
}
