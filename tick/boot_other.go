//go:build !linux

package tick

import "time"

// SinceBoot returns bootOrigin plus the time since the start of the process.
func SinceBoot() Instant { return bootOrigin + time.Since(processStart) }

var processStart = time.Now()
