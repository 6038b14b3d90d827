// Package hop measures what the real role code adds to a request: the same load
// goes straight to a stand-in engine and through an entry host of a development
// fleet, in one run, and the figures are compared as ratios.
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
	// engineSlots holds every sample adapter on each engine, so that loads end
	// before the measurement.
	engineSlots = 16
	// maxBatch is above the number of workers, so that engines add no queue.
	maxBatch = 1024
	// ratePerSecond and burst of the measuring team are out of the way.
	ratePerSecond = 50_000_000
	burst         = 100_000_000
	warmRequests  = 200
	maxRequests   = 1_000_000
)

// Options configures a run.
type Options struct {
	// Dir holds the fleet's files.
	Dir string
	// Duration of each phase.
	Duration time.Duration
	// Workers are requests in flight.
	Workers int
	// MaxTokens of each answer, and TokenTime between two of them.
	MaxTokens int
	TokenTime time.Duration
	// Whole asks for whole answers in place of streams.
	Whole bool
	Seed  uint64
}

// Report holds the phases of a run.
type Report struct {
	// Bare goes straight to the engine, and Base through an entry host, both
	// with the base model. Adapters goes through both entry hosts with adapters.
	Bare, Base, Adapters load.Report
	// Evicted counts adapters that an engine unloaded while they served.
	Evicted int
	// Executions counts what the engines ran twice under one identifier.
	Executions int
}

// Run starts a fleet, runs the phases and returns the report.
func Run(ctx context.Context, opts Options) (_ Report, err error) {
	fleet, err := devfleet.Start(ctx, devfleet.Options{
		Dir: opts.Dir, Entries: 1, Engines: 1, Services: 1, Logger: zerolog.Nop(),
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

// publish puts the sample manifest in force with a rate that does not bind.
func publish(ctx context.Context, fleet *devfleet.Fleet) error {
	m := fleet.Manifest()
	for _, t := range m.GetTeams() {
		t.Rate.TokensPerSecond, t.Rate.BurstTokens = ratePerSecond, burst
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
	warm := opts.load(entry, adapters)
	warm.Requests, warm.Duration = warmRequests, time.Minute
	if _, err := load.Run(ctx, warm); err != nil {
		return Report{}, err
	}
	var r Report
	for _, phase := range []struct {
		report *load.Report
		url    string
		models []string
	}{
		{&r.Bare, engine, []string{devfleet.BaseModel}},
		{&r.Base, entry, []string{devfleet.BaseModel}},
		{&r.Adapters, entry, adapters},
	} {
		report, err := load.Run(ctx, opts.load(phase.url, phase.models))
		if err != nil {
			return r, err
		}
		*phase.report = report
	}
	for _, e := range fleet.Engines {
		state := e.State()
		r.Evicted += state.EvictedUse
		r.Executions = max(r.Executions, state.Record.MaxPerRequest)
	}
	return r, r.check()
}

func (o Options) load(url string, models []string) load.Options {
	return load.Options{
		URL: url, Key: devfleet.KeyLarge, Models: models, Skew: 1.1, Workers: o.Workers, Whole: o.Whole,
		Requests: maxRequests, Duration: o.Duration, MaxTokens: o.MaxTokens, Seed: o.Seed,
	}
}

// check fails when an answer was lost, doubled or wrong.
func (r Report) check() error {
	for name, p := range map[string]load.Report{"bare": r.Bare, "base": r.Base, "adapters": r.Adapters} {
		if p.Answered != p.Sent || p.Sent == 0 {
			return errors.Newf("phase %s: %d sent, %d answered: %v", name, p.Sent, p.Answered, p.Problems)
		}
	}
	if r.Evicted > 0 || r.Executions > 1 {
		return errors.Newf("%d adapters evicted while serving, %d executions of one request", r.Evicted, r.Executions)
	}
	return nil
}

// WriteTable writes the phases, and each as a ratio to the bare hop.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "phase\tanswered\trequests/s\tratio\tfirst token p50 ms\tadded ms\tp95 ms\tadded ms\ttotal p50 ms\tratio")
	for _, p := range []struct {
		name   string
		report load.Report
	}{{"straight to the engine", r.Bare}, {"through an entry host", r.Base}, {"with adapters", r.Adapters}} {
		row := func(q float64, pick func(load.Report) *hdrhistogram.Histogram) (ms, added float64) {
			ms = float64(pick(p.report).ValueAtQuantile(q)) / 1000
			return ms, ms - float64(pick(r.Bare).ValueAtQuantile(q))/1000
		}
		first := func(l load.Report) *hdrhistogram.Histogram { return l.FirstToken }
		total := func(l load.Report) *hdrhistogram.Histogram { return l.Total }
		p50, add50 := row(50, first)
		p95, add95 := row(95, first)
		all, addAll := row(50, total)
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", p.name, p.report.Answered,
			perSecond(p.report), perSecond(p.report)/perSecond(r.Bare), p50, add50, p95, add95, all, all/(all-addAll))
	}
	return t.Flush()
}

func perSecond(r load.Report) float64 { return float64(r.Answered) / r.Elapsed.Seconds() }
