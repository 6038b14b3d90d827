// Package capacity measures how the costs of the system's packages grow with
// size, fits a line to each, and extrapolates the cost of each role at the
// two-year size. All loops are bounded. The figures are comparable only within
// one run on one machine.
package capacity

import (
	"context"
	"os"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/calls"
)

// Target is the size of the deployment for which the costs are extrapolated.
type Target struct {
	EntryHosts, Engines, Adapters, Regions, FailureDomains int
	// ActiveFractionPerHour is the fraction of the adapters that become active or
	// idle within an hour.
	ActiveFractionPerHour                             float64
	RequestsPerSecond, TokensPerSecond, ChangesPerDay float64
	// Teams, KeysPerTeam, AdapterSlots (per engine) and Voters are not part of the
	// two-year target. The page lists them as assumptions.
	Teams, KeysPerTeam, AdapterSlots, Voters int
	// CallRecords is the capacity of the call table. Since each record is retained
	// for a day, it limits the rate of non-repeatable calls of a log group.
	CallRecords int
	// ControlCores is the assumed number of cores of a control host.
	ControlCores int
	// Limits of the control work on one entry host, and of the number of control
	// hosts.
	MaxCores          float64
	MaxMemoryBytes    float64
	MaxBytesPerSecond float64
	MaxControlHosts   int
}

// TwoYears returns the two-year target of docs/design.md.
func TwoYears() Target {
	return Target{
		EntryHosts: 1200, Engines: 10_000, Adapters: 28_000, Regions: 3, FailureDomains: 8,
		ActiveFractionPerHour: 0.14, RequestsPerSecond: 56_000, TokensPerSecond: 19e6, ChangesPerDay: 54_000,
		Teams: 400, KeysPerTeam: 4, AdapterSlots: 8, Voters: 5, CallRecords: calls.MaxRecords,
		ControlCores: 8,
		MaxCores:     0.022, MaxMemoryBytes: 256e6, MaxBytesPerSecond: 3000, MaxControlHosts: 24,
	}
}

// Options configure a run.
type Options struct {
	// Quick selects small sizes and few rounds. It only checks that the
	// measurements work; the figures are not meaningful.
	Quick bool
	// Dir is the parent of the temporary data folders; the default is the system's
	// temporary folder.
	Dir string
	// Progress, if not nil, is called with one line per finished group of
	// measurements.
	Progress func(string)
}

// Report holds the results of a run.
type Report struct {
	Quick           bool
	Duration        time.Duration
	Slopes          []Slope
	ChangeLatencies []ChangeLatency
	Restarts        []Restart
	byID            map[string]*Slope
}

// bench is the state of one run.
type bench struct {
	ctx    context.Context
	quick  bool
	dir    string
	slopes []Slope
	report *Report
}

// Run runs all measurements one after the other, because processor time is
// measured for the whole process.
func Run(ctx context.Context, opts Options) (*Report, error) {
	dir, err := os.MkdirTemp(opts.Dir, "jasmine-capacity-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	start := time.Now()
	b := &bench{ctx: ctx, quick: opts.Quick, dir: dir, report: &Report{Quick: opts.Quick}}
	groups := []struct {
		name string
		run  func() error
	}{
		{"configuration", b.measureConfig},
		{"sync", b.measureSync},
		{"messages", b.measureWire},
		{"fleet", b.measureFleet},
		{"placement", b.measurePlacement},
		{"rates", b.measureRate},
		{"state", b.measureState},
		{"storage", b.measureStorage},
		{"scrapes", b.measureScrape},
		{"requests", b.measureRequests},
		{"in force", b.measureChangeLatency},
		{"restart", b.measureRestart},
	}
	for _, g := range groups {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		groupStart := time.Now()
		if err := g.run(); err != nil {
			return nil, err
		}
		if opts.Progress != nil {
			opts.Progress(g.name + " " + time.Since(groupStart).Round(time.Millisecond).String())
		}
	}
	b.report.Slopes = b.slopes
	b.report.indexSlopes()
	b.report.Duration = time.Since(start)
	return b.report, nil
}

func (r *Report) indexSlopes() {
	r.byID = map[string]*Slope{}
	for i := range r.Slopes {
		r.byID[r.Slopes[i].ID] = &r.Slopes[i]
	}
}
