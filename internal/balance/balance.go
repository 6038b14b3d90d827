// Package balance chooses the backend server for a request, and refuses a
// request that no server can begin in time. It is pure: the result depends
// only on the arguments.
//
// It covers overload, servers that differ in speed or fail a fraction of their
// requests, and prompts with a common prefix that one engine has cached.
package balance

import (
	"time"
)

// Candidate is a backend server that could serve the request.
type Candidate struct {
	Instance string
	// Local is true for a server in this host's failure domain.
	Local bool
	// Slots is the number of requests that the server runs at once, InFlight
	// the number that all hosts have in flight there.
	Slots, InFlight int
	// PendingTokens is the number of prompt tokens sent to an engine that it
	// has not processed.
	PendingTokens int
	// ReadyIn is the time until an adapter that is being loaded is ready.
	ReadyIn time.Duration
	// CachedTokens is the number of the prompt's tokens that the engine is
	// believed to have cached.
	CachedTokens int
	// LatencyFactor is the server's latency as a multiple of the usual.
	LatencyFactor float64
	// Pace is how long work takes at the server as a multiple of usual by what all hosts know, 0 if they know nothing. It
	// goes before LatencyFactor, which one host measures in its own few requests.
	Pace float64
	// FailureRate is the fraction of recent requests that the server failed.
	FailureRate float64
}

// Request is the request to place.
type Request struct {
	// Generation is true for engines, false for plain services.
	Generation bool
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int
	// ServiceTime is the usual time of a plain request, or of a generation
	// after its first event.
	ServiceTime time.Duration
	// MaxWait is how long the request may wait before it begins; a longer
	// expected wait refuses it.
	MaxWait time.Duration
	// AnyInTime is true for a request that cannot be refused any more: a server at which
	// it begins within MaxWait goes before a cheaper one.
	AnyInTime bool
}

// Options holds the weights. Zero values select the defaults.
type Options struct {
	// TokensPerMS is the rate at which engines process prompts (30).
	TokensPerMS float64
	// RunningCost is the cost that each request in flight adds to the next one
	// (1 ms): a batch step takes only a little longer with each request.
	RunningCost time.Duration
	// RemoteCost is the cost of another failure domain (3 ms): latency and
	// traffic charges.
	RemoteCost time.Duration
	// FailureCost is the cost of a certain failure (2 s).
	FailureCost time.Duration
}

func (o Options) withDefaults() Options {
	if o.TokensPerMS == 0 {
		o.TokensPerMS = 30
	}
	if o.RunningCost == 0 {
		o.RunningCost = time.Millisecond
	}
	if o.RemoteCost == 0 {
		o.RemoteCost = 3 * time.Millisecond
	}
	if o.FailureCost == 0 {
		o.FailureCost = 2 * time.Second
	}
	return o
}

// Decision is the chosen server, or a refusal when Instance is empty.
type Decision struct {
	Instance string
	// Wait is how long the request is expected to wait before it begins.
	Wait time.Duration
	// Tokens is the number of prompt tokens that the server is expected to
	// process.
	Tokens int
	// Best is the server with the lowest cost, also when its wait is too long.
	Best string
	// RetryAfter is the time after which the wait is likely to be acceptable.
	RetryAfter time.Duration
}

// minRetryAfter keeps callers from retrying before anything has changed.
const minRetryAfter = 100 * time.Millisecond

// Choose returns the candidate with the lowest cost. Ties go to the earlier
// candidate.
func Choose(r Request, candidates []Candidate, opts Options) Decision {
	opts = opts.withDefaults()
	var best *Candidate
	var bestWait, bestCost time.Duration
	for i := range candidates {
		c := &candidates[i]
		wait, cost := Estimate(r, c, opts)
		better := best == nil || cost < bestCost
		if inTime := wait <= r.MaxWait; r.AnyInTime && best != nil && inTime != (bestWait <= r.MaxWait) {
			better = inTime
		}
		if better {
			best, bestWait, bestCost = c, wait, cost
		}
	}
	if best == nil {
		return Decision{RetryAfter: minRetryAfter}
	}
	d := Decision{Wait: bestWait, Best: best.Instance, Tokens: max(0, r.PromptTokens-best.CachedTokens)}
	if bestWait > r.MaxWait {
		d.RetryAfter = max(minRetryAfter, bestWait-r.MaxWait/2)
		return d
	}
	d.Instance = best.Instance
	return d
}

// Estimate returns how long the request is expected to wait at the candidate, and the cost that candidates are compared by.
func Estimate(r Request, c *Candidate, opts Options) (wait, cost time.Duration) {
	opts = opts.withDefaults()
	wait = EstimateWait(r, c, opts)
	return wait, wait + selfCost(r, c, opts)
}

// EstimateWait returns how long the request is expected to wait before the
// server begins it.
func EstimateWait(r Request, c *Candidate, opts Options) time.Duration {
	opts = opts.withDefaults()
	factor := c.Factor()
	var wait time.Duration
	if over := c.InFlight + 1 - c.Slots; c.Slots > 0 && over > 0 {
		wait = time.Duration(float64(over) / float64(c.Slots) * float64(r.ServiceTime) * factor)
	}
	if r.Generation {
		wait += time.Duration(float64(c.PendingTokens) / opts.TokensPerMS * factor * float64(time.Millisecond))
	}
	return max(wait, c.ReadyIn)
}

// Factor returns how long work takes at the server as a multiple of usual.
func (c *Candidate) Factor() float64 {
	if c.Pace > 0 {
		return c.Pace
	}
	return max(c.LatencyFactor, 1)
}

// selfCost returns the cost of the request itself at the server, without the
// wait.
func selfCost(r Request, c *Candidate, opts Options) time.Duration {
	factor := c.Factor()
	cost := time.Duration(c.FailureRate * float64(opts.FailureCost))
	if !c.Local {
		cost += opts.RemoteCost
	}
	if r.Generation {
		promptMS := float64(max(0, r.PromptTokens-c.CachedTokens)) / opts.TokensPerMS
		cost += time.Duration(promptMS * factor * float64(time.Millisecond))
		return cost + time.Duration(float64(c.InFlight)*factor)*opts.RunningCost
	}
	cost += time.Duration((factor - 1) * float64(r.ServiceTime))
	if c.Slots > 0 {
		// Servers slow down when they are nearly full.
		cost += time.Duration(float64(c.InFlight) / float64(c.Slots) * float64(r.ServiceTime) / 2)
	}
	return cost
}
