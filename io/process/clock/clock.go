// Package clock reads a clock that goes on while the host is suspended. Go's
// own monotonic time stands still then, and a leader that slept past its
// leadership would take what it knew for fresh.
//
// # Usage
//
//	now := clock.Now()
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's start as a time.Time. It compares with
// other results of Now only, never with the time of day.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().Round(0) // no such clock: the time of day at least counts suspension
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
