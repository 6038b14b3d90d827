// Package clock reads the clock that counts the time during which a host was
// suspended. Leases, ages and deadlines that other hosts rely on are measured on
// it, because Go's monotonic clock stands still while a host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, with suspended time, as an offset from the
// Unix epoch. Only differences between two readings on one host have a meaning.
// The time carries no monotonic reading, so that time.Sub uses the boot clock.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on kernels without the clock, which Go does not run on.
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
