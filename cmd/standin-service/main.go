// Command standin-service runs a stand-in plain service for development and
// tests. It is not for production.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rs/zerolog"

	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

func main() {
	logger := zerolog.New(os.Stderr).With().Timestamp().Str("program", "standin-service").Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:], logger); err != nil {
		logger.Error().Err(err).Msg("stand-in failed")
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, logger zerolog.Logger) error {
	var opts standin.ServiceOptions
	fs := flag.NewFlagSet("standin-service", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:8100", "address to listen on")
	stop := fs.Duration("stop-timeout", 30*time.Second, "bound on the graceful stop")
	fs.StringVar(&opts.Name, "name", "standin-service", "name in the answers")
	fs.DurationVar(&opts.Delay, "delay", 0, "time of a call")
	fs.DurationVar(&opts.RestartTime, "restart-time", 0, "how long a restart takes")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("JASMINE")); err != nil {
		return err
	}
	return standin.ListenAndServe(ctx, standin.NewService(opts), *listen, *stop, logger)
}
