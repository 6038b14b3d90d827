// Command jasmine-dev runs a development fleet in one process, with stand-in
// engines and plain services, and sends sample requests through it.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/rs/zerolog"

	"github.com/jasminesaddle/jasminesaddle/internal/program"
	"github.com/jasminesaddle/jasminesaddle/internal/quickstart"
	"github.com/jasminesaddle/jasminesaddle/internal/settings"
)

func main() {
	program.Main(run)
}

func run(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("jasmine-dev", flag.ContinueOnError)
	level := fs.String("log-level", "error", "lowest level of log lines")
	dir := fs.String("dir", "", "folder for the fleet's files; a temporary one unless set")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(settings.EnvPrefix)); err != nil {
		return err
	}
	parsed, err := zerolog.ParseLevel(*level)
	if err != nil {
		return err
	}
	return quickstart.Run(ctx, quickstart.Options{Dir: *dir, Out: os.Stdout, Logger: program.Logger(parsed)})
}
