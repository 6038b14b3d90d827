// Command jasmine-bench runs the benchmarks. The subcommand policy compares the
// decision code with baseline policies in virtual time, hop compares requests
// through an entry host with requests sent straight to the engine, and capacity
// measures how costs grow with the size of the fleet.
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
	err := rootCommand(os.Stdout).ParseAndRun(context.Background(), os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "jasmine-bench:", err)
		os.Exit(1)
	}
}

// rootCommand returns jasmine-bench with its subcommands.
func rootCommand(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:        "jasmine-bench",
		ShortUsage:  "jasmine-bench SUBCOMMAND [flags]",
		FlagSet:     flag.NewFlagSet("jasmine-bench", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{policyCommand(out), hopCommand(out), capacityCommand(out)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func envOptions() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix("JASMINE_BENCH")} }
