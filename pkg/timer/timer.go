// Package timer reads a monotonic clock that keeps running while the host is
// suspended, as leases and freshness need, and sleeps until a context ends.
package timer

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, including the time it was
// suspended. It never goes backward, and steps of the wall clock do not change
// it. It panics if the kernel has no CLOCK_BOOTTIME. It is safe for concurrent
// use.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Sleep waits for d and returns true, or returns false as soon as ctx is done.
// Time for which the host is suspended does not count towards d.
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
