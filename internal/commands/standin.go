package commands

import (
	"context"
	"flag"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rs/zerolog"

	"github.com/jasminesaddle/jasminesaddle/internal/program"
	"github.com/jasminesaddle/jasminesaddle/internal/settings"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// StandinEngine runs a stand-in engine. It runs no model and is not for
// production.
func StandinEngine(ctx context.Context, args []string) error {
	var opts standin.EngineOptions
	var store standin.WeightStoreOptions
	fs := flag.NewFlagSet("standin-engine", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:8000", "address to listen on")
	stopTimeout := fs.Duration("stop-timeout", 30*time.Second, "bound on the graceful stop")
	fs.StringVar(&opts.Name, "name", "standin-engine", "name in the state")
	fs.StringVar(&opts.BaseModel, "base-model", "base", "name of the base model")
	fs.IntVar(&opts.Slots, "slots", 8, "adapters held at once")
	fs.IntVar(&opts.MaxBatch, "max-batch", 16, "completions run at once")
	fs.DurationVar(&opts.TokenTime, "token-time", 20*time.Millisecond, "time of one step")
	fs.DurationVar(&opts.PrefillTime, "prefill-time", 0, "time for each prompt token that is not cached")
	fs.DurationVar(&opts.LoadTime, "load-time", 250*time.Millisecond, "time of an adapter load at full speed")
	fs.IntVar(&opts.PrefixTokens, "prefix-tokens", 65536, "size of the prefix cache")
	fs.BoolVar(&opts.CheckFencing, "check-fencing", false, "refuse orders with an old fencing number")
	fs.DurationVar(&opts.ResumeWindow, "resume-window", 5*time.Second, "how long a stream without a reader is kept")
	fs.DurationVar(&opts.RestartTime, "restart-time", 0, "how long a restart takes")
	fs.Float64Var(&store.PerSecond, "loads-per-second", 3, "loads that the engine's own weight store starts per second")
	fs.IntVar(&store.Parallel, "parallel-loads", 2, "loads that the weight store runs at full speed")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(settings.EnvPrefix)); err != nil {
		return err
	}
	opts.Store = standin.NewWeightStore(store)
	return standin.ListenAndServe(ctx, standin.NewEngine(opts), *listen, *stopTimeout, program.Logger(zerolog.InfoLevel))
}

// StandinService runs a stand-in plain service. It is not for production.
func StandinService(ctx context.Context, args []string) error {
	var opts standin.ServiceOptions
	fs := flag.NewFlagSet("standin-service", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:8100", "address to listen on")
	stopTimeout := fs.Duration("stop-timeout", 30*time.Second, "bound on the graceful stop")
	fs.StringVar(&opts.Name, "name", "standin-service", "name in the answers")
	fs.DurationVar(&opts.Delay, "delay", 0, "time of a call")
	fs.DurationVar(&opts.RestartTime, "restart-time", 0, "how long a restart takes")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(settings.EnvPrefix)); err != nil {
		return err
	}
	return standin.ListenAndServe(ctx, standin.NewService(opts), *listen, *stopTimeout, program.Logger(zerolog.InfoLevel))
}
