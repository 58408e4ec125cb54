//go:build !linux

package tick

import "time"

// SinceBoot returns the time since the start of the process.
func SinceBoot() Instant { return time.Since(processStart) }

var processStart = time.Now()
