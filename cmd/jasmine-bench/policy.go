package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminesaddle/jasminesaddle/internal/bench"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

type policySettings struct {
	seeds, firstSeed, parallel uint
	duration                   time.Duration
	policies, deployments      string
	json                       bool
	plot                       string
}

func policyCommand(out io.Writer) *ffcli.Command {
	var s policySettings
	fs := flag.NewFlagSet("jasmine-bench policy", flag.ContinueOnError)
	fs.UintVar(&s.seeds, "seeds", 5, "number of seeds")
	fs.UintVar(&s.firstSeed, "first-seed", 1, "first seed")
	fs.UintVar(&s.parallel, "parallel", 4, "runs at a time")
	fs.DurationVar(&s.duration, "duration", 2*time.Minute, "virtual time during which requests arrive")
	fs.StringVar(&s.policies, "policies", "", "comma-separated policies, all when empty")
	fs.StringVar(&s.deployments, "deployments", "", "comma-separated deployments, all when empty")
	fs.BoolVar(&s.json, "json", false, "print one JSON line per run instead of the table")
	fs.StringVar(&s.plot, "plot", "", "PNG file for a plot of the measures")
	return &ffcli.Command{
		Name:       "policy",
		ShortUsage: "jasmine-bench policy [flags]",
		ShortHelp:  "measure the policies on virtual time beside their baselines",
		FlagSet:    fs,
		Options:    envOptions(),
		Exec:       func(context.Context, []string) error { return s.run(out) },
	}
}

func (s *policySettings) run(out io.Writer) error {
	configs, err := s.configs()
	if err != nil {
		return err
	}
	results := bench.RunAll(configs, int(s.parallel))
	if s.plot != "" {
		if err := bench.WritePlot(s.plot, results); err != nil {
			return err
		}
	}
	if !s.json {
		return bench.WriteTable(out, results)
	}
	encoder := json.NewEncoder(out)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// configs returns the configurations of all runs, ordered by deployment, policy
// and seed.
func (s *policySettings) configs() ([]bench.Config, error) {
	if s.seeds == 0 || s.duration < 30*time.Second {
		return nil, fault.New(fault.KindInvalidSetting, "seeds is 0 or duration is below 30 s, which the warm-up needs", "raise the flag").At("seeds, duration")
	}
	deployments, err := selectNamed(bench.Deployments(), s.deployments, "deployments", func(d bench.Deployment) string { return d.Name })
	if err != nil {
		return nil, err
	}
	policies, err := selectNamed(bench.Policies(), s.policies, "policies", func(p bench.Policy) string { return p.Name })
	if err != nil {
		return nil, err
	}
	var out []bench.Config
	for _, d := range deployments {
		for _, p := range policies {
			for i := range s.seeds {
				out = append(out, bench.Config{Deployment: d, Policy: p, Seed: uint64(s.firstSeed + i), Duration: s.duration})
			}
		}
	}
	return out, nil
}

// selectNamed returns the entries whose names are in the comma-separated list, or
// all entries when the list is empty.
func selectNamed[T any](all []T, list, field string, name func(T) string) ([]T, error) {
	if list == "" {
		return all, nil
	}
	var out []T
	for want := range strings.SplitSeq(list, ",") {
		i := slices.IndexFunc(all, func(t T) bool { return name(t) == want })
		if i < 0 {
			var known []string
			for _, t := range all {
				known = append(known, name(t))
			}
			return nil, fault.Newf(fault.KindInvalidSetting, "name one of "+strings.Join(known, ", "), "%q is unknown", want).At(field)
		}
		out = append(out, all[i])
	}
	return out, nil
}
