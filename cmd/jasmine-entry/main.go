// Command jasmine-entry is the program of an entry host. It stands between
// callers and backend servers.
package main

import (
	"context"
	"net"
	"os"

	"github.com/rs/zerolog"

	"github.com/jasminesaddle/jasminesaddle/internal/program"
	"github.com/jasminesaddle/jasminesaddle/internal/roles"
	"github.com/jasminesaddle/jasminesaddle/internal/settings"
)

func main() {
	program.Main(func(ctx context.Context, args []string) error {
		s, err := settings.ParseEntry(args, os.Stderr)
		if err != nil {
			return err
		}
		return run(ctx, s, program.Logger(s.LogLevel))
	})
}

func run(ctx context.Context, s settings.Entry, logger zerolog.Logger) error {
	host, err := roles.NewEntryHost(s, logger)
	if err != nil {
		return err
	}
	public, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	internal, err := net.Listen("tcp", s.InternalListen)
	if err != nil {
		return err
	}
	return host.Run(ctx, public, internal)
}
