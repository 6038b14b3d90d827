// Command jasmine-load sends a limited load to an OpenAI-compatible base URL that
// is served by stand-in engines, and checks every response.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/jasminesaddle/jasminesaddle/internal/load"
)

func main() {
	logger := zerolog.New(os.Stderr).With().Timestamp().Str("program", "jasmine-load").Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := load.Command(ctx, os.Args[1:], os.Stdout); err != nil {
		logger.Error().Err(err).Msg("load run failed")
		os.Exit(1)
	}
}
