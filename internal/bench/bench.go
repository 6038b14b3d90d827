// Package bench measures the policies of jasminesaddle on virtual time. It
// drives the planner, the queue, the rates and the routing of the product with
// small fakes of engines, the weight store, the control leader and callers.
//
// The measures are taken over the requests that arrive after the warm-up.
//
//   - Load stalls: the mean time, over all measured requests except those that
//     were rightly refused, during which a request waited while its adapter
//     version was not ready on any engine. A shared load stalls each waiting
//     request.
//   - Batch efficiency: tokens generated per second of engine time with running
//     requests, divided by the same figure for a full batch without prefill.
//   - Worst-served team: the least, over the teams, of requests served in time
//     divided by requests within the rate, at most 1. In time means that the
//     first token comes within 1 s (interactive) or 10 s (batch) of when the
//     oracle admits the request.
//   - Refusals within the rate: requests that were refused or timed out in the
//     queue, for whatever reason, although the reference had the tokens at that
//     time, divided by the requests within the rate.
//   - Time to first token: quantiles over the measured requests that were served.
//
// The oracle is a central bucket per team with the team's rate and burst. It
// admits the team's requests in the order of arrival, each within its class's
// wait bound; those are within the rate. It takes prompt + max_tokens and
// returns the unused part after the request's nominal duration, and does not
// depend on the policy. The reference is such a bucket with the requests that the
// policy admitted, at the time when it did; it is charged with a refusal within
// the rate as well, so that no token accounts for two refusals.
//
// Requests lost to the crash of an engine or of an entry host count as not
// served in time, and not as refused.
package bench

import (
	"fmt"
	"time"
)

// Deployment sets the sizes of a fleet.
type Deployment struct {
	Name           string
	Engines, Slots int
	FailureDomains int
	Hosts          int
	Adapters       int
	// RequestsPerSecond is the demand within the rates.
	RequestsPerSecond float64
}

// Deployments returns the two current deployments, and A with rates that promise
// more than its engines can serve.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "A", Engines: 9, Slots: 16, FailureDomains: 3, Hosts: 6, Adapters: 3000, RequestsPerSecond: 27},
		{Name: "B", Engines: 12, Slots: 16, FailureDomains: 4, Hosts: 9, Adapters: 3000, RequestsPerSecond: 36},
		{Name: "A-overload", Engines: 9, Slots: 16, FailureDomains: 3, Hosts: 6, Adapters: 3000, RequestsPerSecond: 60},
	}
}

// Policy selects the decision code. The zero value is the product's.
type Policy struct {
	Name string
	// Placement is "", "static" (an adapter's engine follows from its hash) or
	// "lru" (load at once on the least loaded engine, evict the least recently used).
	Placement string
	// LeastLoaded routes to the least loaded engine by the reports.
	LeastLoaded bool
	// FirstCome serves without teams and classes.
	FirstCome bool
	// EqualSplit gives each host an equal part of each rate.
	EqualSplit bool
}

// Policies returns the product's policy and its baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "jasmine"},
		{Name: "static-hash", Placement: "static"},
		{Name: "lru-least-loaded", Placement: "lru", LeastLoaded: true},
		{Name: "first-come", FirstCome: true},
		{Name: "equal-split", EqualSplit: true},
	}
}

// Config is one run.
type Config struct {
	Deployment Deployment
	Policy     Policy
	Seed       uint64
	// Duration is how long requests arrive.
	Duration time.Duration
}

// Result holds the measures of one run.
type Result struct {
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// StallMs is the mean load stall per request.
	StallMs float64 `json:"stall_ms"`
	// BatchEfficiency, WorstTeam and Refused are shares.
	BatchEfficiency float64 `json:"batch_efficiency"`
	WorstTeam       float64 `json:"worst_team"`
	WorstTeamName   string  `json:"worst_team_name"`
	Refused         float64 `json:"refused_within_rate"`
	TTFTP50Ms       float64 `json:"ttft_p50_ms"`
	TTFTP95Ms       float64 `json:"ttft_p95_ms"`
	TTFTP99Ms       float64 `json:"ttft_p99_ms"`
	Requests        int     `json:"requests"`
	WithinRate      int     `json:"within_rate"`
	Served          int     `json:"served"`
	Failed          int     `json:"failed"`
	// RefusedBy counts the refusals within the rate by their reason.
	RefusedBy map[string]int `json:"refused_by,omitempty"`
	// InTime is the share served in time by team.
	InTime map[string]float64 `json:"in_time"`
	Loads  int                `json:"loads"`
	Drains int                `json:"drains"`
}

const (
	// tick is the resolution of virtual time.
	tick = 5 * time.Millisecond
	// warmUp is not measured: the fleet starts cold and the lender empty.
	warmUp = 15 * time.Second
	// reportEvery is the period of reports, of Borrow and of scrapes.
	reportEvery = 250 * time.Millisecond
	planEvery   = 100 * time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run measures one policy on one seed.
func Run(cfg Config) Result {
	w := newWorld(cfg)
	end := epoch.Add(cfg.Duration + batchDeadline + 5*time.Second)
	for w.now.Before(end) {
		w.step()
	}
	return w.result()
}

func engineName(i int) string { return fmt.Sprintf("engine-%02d", i) }
func hostName(i int) string   { return fmt.Sprintf("host-%d", i) }
func teamName(i int) string   { return fmt.Sprintf("team-%d", i) }
func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }
