// Package program provides the main function, exit codes and logger that all
// programs share.
package program

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/jasminesaddle/jasminesaddle/internal/settings"
)

// Exit codes of all programs.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// Main runs a program with a context that SIGTERM or SIGINT cancels. A second
// signal kills the process. Main exits with an error code if the program failed.
func Main(run func(ctx context.Context, args []string) error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	err := run(ctx, os.Args[1:])
	switch {
	case err == nil:
	case errors.Is(err, settings.ErrHelp):
		os.Exit(ExitUsage)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitFailed)
	}
}

// Logger returns the logger of a program: JSON lines on standard error.
func Logger(level zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
}
