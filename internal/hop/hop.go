// Package hop measures the overhead of the extra network hop through an entry host.
// In one run it sends the same load directly to a stand-in engine and through an
// entry host of a development fleet, and reports the differences and ratios.
package hop

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/jasminesaddle/jasminesaddle/internal/devfleet"
	"github.com/jasminesaddle/jasminesaddle/internal/load"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

const (
	// engineSlots is enough for all sample adapters, so that all of them are loaded
	// before the measurement and none is evicted.
	engineSlots = 16
	// maxBatch is above the usual number of workers, so that requests do not queue
	// in the engine.
	maxBatch = 1024
	// tokensPerSecond and burstTokens are so high that the rate limit never applies.
	tokensPerSecond = 50_000_000
	burstTokens     = 100_000_000
	warmUpRequests  = 200
	maxRequests     = 1_000_000
)

// Options configures a run.
type Options struct {
	// Dir is the directory for the fleet's files.
	Dir string
	// Duration is the time of each phase.
	Duration time.Duration
	// Workers is the number of requests in flight.
	Workers int
	// MaxTokens is the length of a completion, and TokenTime the time of one step
	// of the engine.
	MaxTokens int
	TokenTime time.Duration
	// NoStream selects responses that are not streamed.
	NoStream bool
	// Seed seeds the choice of adapters.
	Seed uint64
}

// Report holds the results of the phases of a run.
type Report struct {
	// Direct is the phase directly against the engine and Base the one through the
	// entry host, both with the base model. Adapters goes through the entry host
	// with all sample adapters.
	Direct, Base, Adapters load.Report
	// Evicted counts adapters that were unloaded while requests used them.
	Evicted int
	// Executions is the highest number of executions of one request identifier.
	Executions int
}

// Run starts a fleet, runs all phases and returns the report.
func Run(ctx context.Context, opts Options) (_ Report, err error) {
	fleet, err := devfleet.Start(ctx, devfleet.Options{
		Dir: opts.Dir, EntryHosts: 1, Engines: 1, Services: 1, Logger: zerolog.Nop(),
		Engine: standin.EngineOptions{
			Slots: engineSlots, MaxBatch: maxBatch, TokenTime: opts.TokenTime,
			Store: standin.NewWeightStore(standin.WeightStoreOptions{}),
		},
	})
	if err != nil {
		return Report{}, err
	}
	defer func() { err = errors.CombineErrors(err, fleet.Close()) }()
	if err := publish(ctx, fleet); err != nil {
		return Report{}, err
	}
	return measure(ctx, opts, fleet)
}

// publish applies the sample manifest with rates and batch sizes that never limit
// the load.
func publish(ctx context.Context, fleet *devfleet.Fleet) error {
	m := fleet.Manifest()
	for _, t := range m.GetTeams() {
		t.Rate.TokensPerSecond, t.Rate.BurstTokens = tokensPerSecond, burstTokens
	}
	for _, b := range m.GetBackendServers() {
		if b.GetMaxBatch() > 0 {
			b.MaxBatch = maxBatch
		}
	}
	return fleet.Publish(ctx, m)
}

func measure(ctx context.Context, opts Options, fleet *devfleet.Fleet) (Report, error) {
	entry, engine := fleet.Entries[0].URL, fleet.EngineURLs[0]
	var adapters []string
	for i := range devfleet.SampleAdapters {
		adapters = append(adapters, devfleet.AdapterName(i)+":1")
	}
	warmUp := opts.loadOptions(entry, adapters)
	warmUp.Requests, warmUp.Duration = warmUpRequests, time.Minute
	if _, err := load.Run(ctx, warmUp); err != nil {
		return Report{}, err
	}
	var r Report
	for _, phase := range []struct {
		report *load.Report
		url    string
		models []string
	}{
		{&r.Direct, engine, []string{devfleet.BaseModel}},
		{&r.Base, entry, []string{devfleet.BaseModel}},
		{&r.Adapters, entry, adapters},
	} {
		report, err := load.Run(ctx, opts.loadOptions(phase.url, phase.models))
		if err != nil {
			return r, err
		}
		*phase.report = report
	}
	for _, e := range fleet.Engines {
		state := e.State()
		r.Evicted += state.EvictedInUse
		r.Executions = max(r.Executions, state.Record.MaxPerRequest)
	}
	return r, r.verify()
}

func (o Options) loadOptions(url string, models []string) load.Options {
	return load.Options{
		URL: url, Key: devfleet.KeyLarge, Models: models, Skew: 1.1, Workers: o.Workers, NoStream: o.NoStream,
		Requests: maxRequests, Duration: o.Duration, MaxTokens: o.MaxTokens, Seed: o.Seed,
	}
}

// verify returns an error when a request was not answered correctly, a request ran
// more than once, or an adapter was evicted while in use.
func (r Report) verify() error {
	for name, p := range map[string]load.Report{"bare": r.Direct, "base": r.Base, "adapters": r.Adapters} {
		if p.Answered != p.Sent || p.Sent == 0 {
			return errors.Newf("phase %s: %d sent, %d answered: %v", name, p.Sent, p.Answered, p.Problems)
		}
	}
	if r.Evicted > 0 || r.Executions > 1 {
		return errors.Newf("%d adapters evicted while serving, %d executions of one request", r.Evicted, r.Executions)
	}
	return nil
}

// WriteTable writes one row per phase, with the differences and ratios to the
// direct phase.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "phase\tanswered\trequests/s\tratio\tfirst token p50 ms\tadded ms\tp95 ms\tadded ms\ttotal p50 ms\tratio")
	for _, p := range []struct {
		name   string
		report load.Report
	}{{"straight to the engine", r.Direct}, {"through an entry host", r.Base}, {"with adapters", r.Adapters}} {
		quantile := func(q float64, histogram func(load.Report) *hdrhistogram.Histogram) (ms, added float64) {
			ms = float64(histogram(p.report).ValueAtQuantile(q)) / 1000
			return ms, ms - float64(histogram(r.Direct).ValueAtQuantile(q))/1000
		}
		first := func(l load.Report) *hdrhistogram.Histogram { return l.FirstToken }
		total := func(l load.Report) *hdrhistogram.Histogram { return l.Total }
		p50, added50 := quantile(50, first)
		p95, added95 := quantile(95, first)
		total50, addedTotal50 := quantile(50, total)
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", p.name, p.report.Answered,
			perSecond(p.report), perSecond(p.report)/perSecond(r.Direct), p50, added50, p95, added95, total50, total50/(total50-addedTotal50))
	}
	return t.Flush()
}

func perSecond(r load.Report) float64 { return float64(r.Answered) / r.Elapsed.Seconds() }
