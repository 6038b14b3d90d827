// Package bench simulates a fleet in virtual time and compares the policies of
// jasminesaddle with baselines. It runs the real placement planner, request queue,
// rate leases and routing against simple simulations of the engines, the weight
// store, the control leader and the callers.
//
// The measures cover the requests that arrive after the warm-up.
//
//   - Load stalls: the mean time during which a request waited while its adapter
//     version was not ready on any engine, over all measured requests except those
//     that were refused for exceeding the rate. A load for which several requests
//     wait counts for each of them.
//   - Batch efficiency: tokens generated per second of engine time with running
//     requests, divided by the same figure for a full batch without prefill.
//   - Worst-served team: the minimum over the teams of the requests served in time
//     divided by the requests within the rate, at most 1. A request is served in
//     time when its first token comes within 1 s (interactive) or 10 s (batch) of
//     its admission by the oracle.
//   - Refusals within the rate: requests that were refused or timed out in the
//     queue for any reason, although the reference had the tokens for them at that
//     time, divided by the requests within the rate.
//   - Time to first token: quantiles over the measured requests that were served.
//
// The oracle is a central token bucket per team with the team's rate and burst. It
// does not depend on the policy. It admits the team's requests in the order of
// arrival; those that it can admit before their queue deadline are within the rate.
// A request takes prompt + max_tokens, and the unused part is returned after the
// request's nominal duration. The reference is a bucket of the same kind, to which
// each request is charged when the policy admits it. Refusals within the rate are
// charged as well, so that no token accounts for two refusals.
//
// Requests that are lost in the crash of an engine or of an entry host count as not
// served in time, but not as refused.
package bench

import (
	"fmt"
	"time"
)

// Deployment is the size of a fleet and its load.
type Deployment struct {
	Name           string
	Engines, Slots int
	FailureDomains int
	Hosts          int
	Adapters       int
	// RequestsPerSecond is the regular demand, which the teams' rates are derived
	// from.
	RequestsPerSecond float64
}

// Deployments returns the two current deployments, A and B, and A-overload, whose
// rates exceed the capacity of its engines.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "A", Engines: 9, Slots: 16, FailureDomains: 3, Hosts: 6, Adapters: 3000, RequestsPerSecond: 27},
		{Name: "B", Engines: 12, Slots: 16, FailureDomains: 4, Hosts: 9, Adapters: 3000, RequestsPerSecond: 36},
		{Name: "A-overload", Engines: 9, Slots: 16, FailureDomains: 3, Hosts: 6, Adapters: 3000, RequestsPerSecond: 60},
	}
}

// Policy selects the implementations of the decisions. The zero value selects those
// of jasminesaddle, and each field replaces one by a baseline.
type Policy struct {
	Name string
	// Placement is "", "static" (the hash of an adapter selects its engine) or
	// "lru" (load at once on the least loaded engine, evict the least recently
	// used adapter).
	Placement string
	// LeastLoaded routes to the engine with the lowest reported load.
	LeastLoaded bool
	// FirstCome serves requests in the order of arrival, regardless of team and
	// class.
	FirstCome bool
	// EqualSplit gives each host an equal fraction of each rate.
	EqualSplit bool
}

// Policies returns the policy of jasminesaddle and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "jasmine"},
		{Name: "static-hash", Placement: "static"},
		{Name: "lru-least-loaded", Placement: "lru", LeastLoaded: true},
		{Name: "first-come", FirstCome: true},
		{Name: "equal-split", EqualSplit: true},
	}
}

// Config configures one run.
type Config struct {
	Deployment Deployment
	Policy     Policy
	Seed       uint64
	// Duration is the virtual time during which requests arrive.
	Duration time.Duration
}

// Result holds the measures of one run.
type Result struct {
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// StallMs is the mean load stall per request.
	StallMs float64 `json:"stall_ms"`
	// BatchEfficiency, WorstTeam and RefusedWithinRate are fractions.
	BatchEfficiency   float64 `json:"batch_efficiency"`
	WorstTeam         float64 `json:"worst_team"`
	WorstTeamName     string  `json:"worst_team_name"`
	RefusedWithinRate float64 `json:"refused_within_rate"`
	TTFTP50Ms         float64 `json:"ttft_p50_ms"`
	TTFTP95Ms         float64 `json:"ttft_p95_ms"`
	TTFTP99Ms         float64 `json:"ttft_p99_ms"`
	Requests          int     `json:"requests"`
	WithinRate        int     `json:"within_rate"`
	Served            int     `json:"served"`
	Failed            int     `json:"failed"`
	// RefusedBy counts the refusals within the rate by their reason.
	RefusedBy map[string]int `json:"refused_by,omitempty"`
	// InTime is the fraction of requests served in time, by team.
	InTime map[string]float64 `json:"in_time"`
	Loads  int                `json:"loads"`
	Drains int                `json:"drains"`
}

const (
	// tick is the time step of the simulation.
	tick = 5 * time.Millisecond
	// warmUp is excluded from the measures, since at the start no adapter is loaded
	// and the lender has no tokens.
	warmUp = 15 * time.Second
	// reportInterval is the period of host reports, Borrow calls and engine scrapes.
	reportInterval = 250 * time.Millisecond
	planInterval   = 100 * time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run simulates one policy with one seed and returns its measures.
func Run(cfg Config) Result {
	sim := newSimulation(cfg)
	end := epoch.Add(cfg.Duration + batchDeadline + 5*time.Second)
	for sim.now.Before(end) {
		sim.step()
	}
	return sim.result()
}

func engineName(i int) string { return fmt.Sprintf("engine-%02d", i) }
func hostName(i int) string   { return fmt.Sprintf("host-%d", i) }
func teamName(i int) string   { return fmt.Sprintf("team-%d", i) }
func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }
