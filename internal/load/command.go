package load

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Command runs the load that the arguments and the JASMINE_ environment variables
// describe, and writes its report. It returns an error when any completion is
// wrong.
func Command(ctx context.Context, args []string, out io.Writer) error {
	var opts Options
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	fs.StringVar(&opts.URL, "url", "http://127.0.0.1:8080", "base URL without /v1")
	fs.StringVar(&opts.Key, "key", "", "caller's key")
	models := fs.String("models", "base", "comma-separated models, the most popular first")
	adapters := fs.Int("adapters", 0, "call adapter-0000, adapter-0001, ... instead of the models")
	fs.Float64Var(&opts.Skew, "skew", 0, "Zipf exponent over the models; at most 1 is uniform")
	fs.BoolVar(&opts.Chat, "chat", false, "send chat completions")
	fs.BoolVar(&opts.NoStream, "whole", false, "ask for whole answers instead of streams")
	fs.IntVar(&opts.Workers, "workers", 16, "requests in flight")
	fs.Float64Var(&opts.Rate, "rate", 0, "requests started per second; 0 starts one when another ends")
	fs.IntVar(&opts.Requests, "requests", 1000, "bound on the requests")
	fs.DurationVar(&opts.Duration, "duration", 30*time.Second, "bound on the time in which requests start")
	fs.DurationVar(&opts.Timeout, "timeout", time.Minute, "bound on one request")
	fs.IntVar(&opts.PromptBytes, "prompt-bytes", 256, "length of a prompt")
	fs.IntVar(&opts.MaxTokens, "max-tokens", 16, "length of an answer")
	fs.Uint64Var(&opts.Seed, "seed", 1, "seed of the choice of models")
	asJSON := fs.Bool("json", false, "write JSON lines instead of a table")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("JASMINE")); err != nil {
		return err
	}
	opts.Models = strings.Split(*models, ",")
	if *adapters > 0 {
		opts.Models = nil
		for i := range *adapters {
			opts.Models = append(opts.Models, fmt.Sprintf("adapter-%04d", i))
		}
	}
	report, err := Run(ctx, opts)
	if err != nil {
		return err
	}
	write := report.WriteTable
	if *asJSON {
		write = report.WriteJSON
	}
	if err := write(out); err != nil {
		return err
	}
	if report.Wrong > 0 {
		return fault.Newf(fault.KindInternal, "look at the problems in the report", "%d wrong answers", report.Wrong)
	}
	return nil
}
