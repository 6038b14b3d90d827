package pool

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout returns a dialer control that sets TCP_USER_TIMEOUT.
func userTimeout(d time.Duration) func(context.Context, string, string, syscall.RawConn) error {
	return func(_ context.Context, _, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}
}
