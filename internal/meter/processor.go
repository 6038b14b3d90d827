package meter

import (
	"syscall"
	"time"
)

// ProcessorTime returns the processor time that this process has used, in user mode and in the kernel; 0 if the
// system does not tell.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
