// Package timer waits, and reads a monotonic clock that also counts while the machine is
// suspended, for leases and freshness.
package timer

import (
	"context"
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

// Sleep waits for d and reports false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
