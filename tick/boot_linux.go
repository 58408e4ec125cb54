package tick

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns bootOrigin plus the time since the machine was started. Unlike the instants of Real, it includes
// the time in which the machine was suspended. Values of different machines are not comparable.
func SinceBoot() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return bootOrigin + time.Since(processStart) // the kernel has no such clock
	}
	return bootOrigin + time.Duration(t.Nano())
}

// processStart is the origin of SinceBoot on a kernel without a clock that includes suspensions.
var processStart = time.Now()
