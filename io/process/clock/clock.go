// Package clock reads a clock that keeps running while the host is suspended. Go's monotonic
// clock stops during suspension, so a leader whose leadership ended meanwhile would still
// consider its state up to date.
//
// # Usage
//
//	now := clock.Now()
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, as a time.Time. Compare it only with other
// results of Now, never with the time of day.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().Round(0) // without CLOCK_BOOTTIME: the time of day also runs during suspension
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
