// Package timer reads a monotonic clock that also counts while the machine is
// suspended, for leases and freshness.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started. It never goes backward and
// steps of the wall clock do not change it.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}
