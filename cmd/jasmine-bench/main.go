// Command jasmine-bench measures the project. The subcommand policy runs the
// decision code on virtual time beside its baselines, hop compares requests
// through an entry host with a bare hop, and capacity measures how costs grow.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	err := root(os.Stdout).ParseAndRun(context.Background(), os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "jasmine-bench:", err)
		os.Exit(1)
	}
}

// root returns the command with its subcommands.
func root(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:        "jasmine-bench",
		ShortUsage:  "jasmine-bench SUBCOMMAND [flags]",
		FlagSet:     flag.NewFlagSet("jasmine-bench", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{policyCommand(out), hopCommand(out), capacityCommand(out)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func envOptions() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix("JASMINE_BENCH")} }
