// Package tick provides the clock and the timers of all parts of the router. Nothing else in the
// router reads the clock of the machine.
//
// # Usage
//
//	clock := tick.NewReal()
//	timer := clock.Every(time.Second)
//	defer timer.Stop()
//	for {
//		select {
//		case <-ctx.Done():
//			return
//		case <-timer.C():
//		}
//	}
//
// Instants are durations since an arbitrary origin of the process. They come from its monotonic
// clock, so changes of the wall clock have no effect. Tests use Fake, whose time advances only by
// Advance.
//
// A timer holds at most one undelivered tick: a slow reader misses ticks and never blocks the
// clock.
//
// # Concurrency
//
// Clocks and timers are safe for concurrent use.
package tick

import "time"

// bootOrigin is the instant of SinceBoot at which the machine was started. Instants are above 0 for events that
// instances report and that are older, such as crashes of backend servers.
const bootOrigin = 48 * time.Hour

// Instant is a point in time of this process: the monotonic time since its origin. Instants of
// different processes are not comparable.
type Instant = time.Duration

// Timer delivers the ticks of a Clock.
type Timer interface {
	// C returns the channel on which the ticks are delivered. It is never closed.
	C() <-chan Instant
	// Stop ends the ticks.
	Stop()
}

// Clock returns the current time and creates timers.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// Every returns a timer that ticks with the period d, which must be positive.
	Every(d time.Duration) Timer
	// After returns a timer that ticks once, d from now.
	After(d time.Duration) Timer
}
