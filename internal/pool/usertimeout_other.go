//go:build !linux

package pool

import (
	"context"
	"syscall"
	"time"
)

// userTimeout returns nil: only Linux has TCP_USER_TIMEOUT. Elsewhere, keep-alive
// probes end silent connections.
func userTimeout(time.Duration) func(context.Context, string, string, syscall.RawConn) error {
	return nil
}
