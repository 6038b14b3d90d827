package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
)

// Measure is one column of the report.
type Measure struct {
	Name, Unit string
	// LowerIsBetter reports whether lower values are better.
	LowerIsBetter bool
	Value         func(Result) float64
	// format is the fmt verb for the table.
	format string
}

// Measures returns the columns of the report: the four measures, then the
// quantiles of the time to first token.
func Measures() []Measure {
	return []Measure{
		{"load stall", "ms", true, func(r Result) float64 { return r.StallMs }, "%.0f"},
		{"batch efficiency", "share", false, func(r Result) float64 { return r.BatchEfficiency }, "%.3f"},
		{"worst team", "share", false, func(r Result) float64 { return r.WorstTeam }, "%.3f"},
		{"refused within rate", "share", true, func(r Result) float64 { return r.RefusedWithinRate }, "%.4f"},
		{"TTFT p50", "ms", true, func(r Result) float64 { return r.TTFTP50Ms }, "%.0f"},
		{"TTFT p95", "ms", true, func(r Result) float64 { return r.TTFTP95Ms }, "%.0f"},
		{"TTFT p99", "ms", true, func(r Result) float64 { return r.TTFTP99Ms }, "%.0f"},
	}
}

// RunAll runs the configurations, at most parallel at once, and returns the results
// in the same order.
func RunAll(configs []Config, parallel int) []Result {
	results := make([]Result, len(configs))
	var group errgroup.Group
	group.SetLimit(max(parallel, 1))
	for i, cfg := range configs {
		group.Go(func() error {
			results[i] = Run(cfg)
			return nil
		})
	}
	_ = group.Wait() // the functions never return an error
	return results
}

// summary holds the mean and the standard deviation of each measure over the seeds.
type summary struct {
	deployment, policy string
	mean, stddev       []float64
	seeds              int
}

func summarize(results []Result) []summary {
	var order []string
	groups := map[string][]Result{}
	for _, r := range results {
		key := r.Deployment + "/" + r.Policy
		if groups[key] == nil {
			order = append(order, key)
		}
		groups[key] = append(groups[key], r)
	}
	var out []summary
	for _, key := range order {
		rs := groups[key]
		s := summary{deployment: rs[0].Deployment, policy: rs[0].Policy, seeds: len(rs)}
		for _, m := range Measures() {
			values := make([]float64, len(rs))
			for i, r := range rs {
				values[i] = m.Value(r)
			}
			mean, stddev := stat.Mean(values, nil), 0.0
			if len(values) > 1 {
				stddev = stat.StdDev(values, nil)
			}
			s.mean, s.stddev = append(s.mean, mean), append(s.stddev, stddev)
		}
		out = append(out, s)
	}
	return out
}

// WriteTable writes a table with the mean and the standard deviation of each
// measure.
func WriteTable(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(w, "deployment\tpolicy\tseeds")
	for _, m := range Measures() {
		_, _ = fmt.Fprintf(w, "\t%s (%s)", m.Name, m.Unit)
	}
	_, _ = fmt.Fprintln(w)
	for _, s := range summarize(results) {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d", s.deployment, s.policy, s.seeds)
		for i, m := range Measures() {
			_, _ = fmt.Fprintf(w, "\t"+m.format+" ±"+m.format, s.mean[i], s.stddev[i])
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}
