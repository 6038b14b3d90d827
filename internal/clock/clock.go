// Package clock reads the boot clock, which includes the time during which a
// host was suspended. Leases, ages and deadlines that other hosts rely on are
// measured with it, because Go's monotonic clock stops during a suspend.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including suspended time, as an offset from
// the Unix epoch. Only the difference of two readings on one host is meaningful.
// The result has no monotonic reading, so that time.Sub uses the boot clock.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// This fails only on kernels without CLOCK_BOOTTIME, which Go does not support.
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
