// Package capacity measures how the costs of the real packages grow, fits a
// line to each, and works out what each role costs at the two-year size. All
// loops are bounded; the figures hold for one run on one machine.
package capacity

import (
	"context"
	"os"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/calls"
)

// Target is the size that the roles are worked out for.
type Target struct {
	EntryHosts, Engines, Adapters, Regions, Domains int
	// ActivePerHour is the share of the adapters that become active or idle
	// within an hour.
	ActivePerHour             float64
	Requests, Tokens, Changes float64 // per second, per second, per day
	// Teams, KeysPerTeam, Slots and Voters are not given by the target. They are
	// assumptions that the page names.
	Teams, KeysPerTeam, Slots, Voters int
	// CallRecords is the bound of the call table. Kept for a day each, they bound
	// the rate of non-repeatable calls of a log group.
	CallRecords int
	// ControlCores is the assumed number of cores of a control host.
	ControlCores int
	// Limits of control on an entry host, and of the hosts for control.
	MaxCore        float64
	MaxMemory      float64 // bytes
	MaxBytes       float64 // per second
	MaxControlHost int
}

// TwoYears returns the two-year target of the design page.
func TwoYears() Target {
	return Target{
		EntryHosts: 1200, Engines: 10_000, Adapters: 28_000, Regions: 3, Domains: 8,
		ActivePerHour: 0.14, Requests: 56_000, Tokens: 19e6, Changes: 54_000,
		Teams: 400, KeysPerTeam: 4, Slots: 8, Voters: 5, CallRecords: calls.MaxRecords,
		ControlCores: 8,
		MaxCore:      0.022, MaxMemory: 256e6, MaxBytes: 3000, MaxControlHost: 24,
	}
}

// Options configure a run.
type Options struct {
	// Quick takes small sizes and few rounds. It shows that the measurements
	// work; its figures are not meaningful.
	Quick bool
	// Dir is the folder for temporary data folders; empty means the system's.
	Dir string
	// Progress gets a line per finished group of measurements.
	Progress func(string)
}

// Report is the outcome of a run.
type Report struct {
	Quick   bool
	Took    time.Duration
	Slopes  []Slope
	InForce []InForce
	Restart []Restart
	byID    map[string]*Slope
}

// bench carries the state of one run.
type bench struct {
	ctx    context.Context
	quick  bool
	dir    string
	slopes []Slope
	report *Report
}

// Run measures everything one after the other, so that the processor time of
// one measurement is not part of another.
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
		{"in force", b.measureInForce},
		{"restart", b.measureRestart},
	}
	for _, g := range groups {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		begun := time.Now()
		if err := g.run(); err != nil {
			return nil, err
		}
		if opts.Progress != nil {
			opts.Progress(g.name + " " + time.Since(begun).Round(time.Millisecond).String())
		}
	}
	b.report.Slopes = b.slopes
	b.report.index()
	b.report.Took = time.Since(start)
	return b.report, nil
}

func (r *Report) index() {
	r.byID = map[string]*Slope{}
	for i := range r.Slopes {
		r.byID[r.Slopes[i].ID] = &r.Slopes[i]
	}
}
