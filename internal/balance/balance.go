// Package balance chooses the backend server for a request and decides when a
// request is refused because none can answer it in time. It is pure: its answer
// follows from its arguments.
//
// It answers loads in which more comes than can be served, in which servers
// differ in speed or fail a part of their requests, and in which prompts share
// prefixes that one engine has cached.
package balance

import (
	"time"
)

// Candidate is a backend server that could take the request.
type Candidate struct {
	Instance string
	// Local is true for a server in the own failure domain.
	Local bool
	// Slots is the number of requests that it runs at once, and InFlight what
	// all hosts have sent it.
	Slots, InFlight int
	// PendingTokens are prompt tokens sent to an engine that it has not read.
	PendingTokens int
	// ReadyIn is when an adapter on its way will be there.
	ReadyIn time.Duration
	// CachedTokens of the prompt are believed to be in the engine's memory.
	CachedTokens int
	// LatencyFactor is the time that the server needs as a multiple of the usual.
	LatencyFactor float64
	// FailureRate is the part of recent requests that the server failed.
	FailureRate float64
}

// Request is what is to be placed.
type Request struct {
	// Generation is true for engines, false for plain services.
	Generation bool
	// PromptTokens are the tokens that have to be read.
	PromptTokens int
	// ServiceTime is the usual time of a plain request, or of a generation after its
	// first event.
	ServiceTime time.Duration
	// MaxWait is how long the request may wait before it begins; it is refused
	// when it would wait longer.
	MaxWait time.Duration
}

// Options holds the weights. Zero values take defaults.
type Options struct {
	// TokensPerMS is the speed at which an engine reads prompts (30).
	TokensPerMS float64
	// RunningCost is what a request in flight adds to the next one (1 ms): the
	// step of a batch grows little with each.
	RunningCost time.Duration
	// RemoteCost is what another failure domain counts (3 ms): the way and the
	// price of the bytes.
	RemoteCost time.Duration
	// FailureCost is what a certain failure counts (2 s).
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

// Decision is the chosen server, or the refusal when Instance is empty.
type Decision struct {
	Instance string
	// Wait is how long the request is expected to wait before it begins.
	Wait time.Duration
	// Tokens of the prompt are expected to be read.
	Tokens int
	// Best is the server with the shortest wait, also when it is too long.
	Best string
	// RetryAfter is when the wait is likely to be within the request's patience.
	RetryAfter time.Duration
}

// minRetryAfter keeps callers from coming back before anything has changed.
const minRetryAfter = 100 * time.Millisecond

// Choose returns the candidate that costs the request least. The order of the
// candidates decides between equals.
func Choose(r Request, candidates []Candidate, opts Options) Decision {
	opts = opts.withDefaults()
	var best *Candidate
	var bestWait, bestCost time.Duration
	for i := range candidates {
		c := &candidates[i]
		wait := EstimateWait(r, c, opts)
		cost := wait + own(r, c, opts)
		if best == nil || cost < bestCost {
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

// EstimateWait estimates how long the request waits before the server begins with it.
func EstimateWait(r Request, c *Candidate, opts Options) time.Duration {
	opts = opts.withDefaults()
	slow := max(c.LatencyFactor, 1)
	var wait time.Duration
	if over := c.InFlight + 1 - c.Slots; c.Slots > 0 && over > 0 {
		wait = time.Duration(float64(over) / float64(c.Slots) * float64(r.ServiceTime) * slow)
	}
	if r.Generation {
		wait += time.Duration(float64(c.PendingTokens) / opts.TokensPerMS * slow * float64(time.Millisecond))
	}
	return max(wait, c.ReadyIn)
}

// own is what the request itself costs at the server beside the wait.
func own(r Request, c *Candidate, opts Options) time.Duration {
	slow := max(c.LatencyFactor, 1)
	cost := time.Duration(c.FailureRate * float64(opts.FailureCost))
	if !c.Local {
		cost += opts.RemoteCost
	}
	if r.Generation {
		read := float64(max(0, r.PromptTokens-c.CachedTokens)) / opts.TokensPerMS
		cost += time.Duration(read * slow * float64(time.Millisecond))
		return cost + time.Duration(float64(c.InFlight)*slow)*opts.RunningCost
	}
	cost += time.Duration((slow - 1) * float64(r.ServiceTime))
	if c.Slots > 0 {
		// Servers slow down when they are nearly full.
		cost += time.Duration(float64(c.InFlight) / float64(c.Slots) * float64(r.ServiceTime) / 2)
	}
	return cost
}
