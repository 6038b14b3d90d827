package main

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminesaddle/jasminesaddle/internal/hop"
)

func hopCommand(out io.Writer) *ffcli.Command {
	var o hop.Options
	fs := flag.NewFlagSet("jasmine-bench hop", flag.ContinueOnError)
	fs.DurationVar(&o.Duration, "duration", 5*time.Second, "time of each phase")
	fs.IntVar(&o.Workers, "workers", 64, "requests in flight")
	fs.IntVar(&o.MaxTokens, "max-tokens", 16, "length of an answer")
	fs.DurationVar(&o.TokenTime, "token-time", 2*time.Millisecond, "time between two tokens of the stand-in engine")
	fs.BoolVar(&o.NoStream, "whole", false, "ask for whole answers instead of streams")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of the choice of adapters")
	return &ffcli.Command{
		Name:       "hop",
		ShortUsage: "jasmine-bench hop [flags]",
		ShortHelp:  "compare requests through an entry host with requests straight to the engine",
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			dir, err := os.MkdirTemp("", "jasmine-hop")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			o.Dir = dir
			report, err := hop.Run(ctx, o)
			if err != nil {
				return err
			}
			return report.WriteTable(out)
		},
	}
}
