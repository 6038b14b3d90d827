// Package routing chooses the engine that serves a request. The choice depends on
// what the entry host knows: its own requests, the engines' reports and the prompt
// prefixes that the engines have probably cached.
package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is an engine on which the request's adapter version is ready.
type Candidate struct {
	Engine, FailureDomain string
	// OwnInFlight is the number of this host's requests in flight on the engine.
	OwnInFlight int
	// OthersInFlight is the number of other hosts' requests in flight on the engine: its
	// running and queued requests minus this host's when the report arrived.
	OthersInFlight int
	// Running and Queued are the engine's counts from a report of age ReportAge.
	Running, Queued int
	// MaxBatch is the engine's number of batch slots, the requests that it runs
	// concurrently; 0 means no limit.
	MaxBatch  int
	ReportAge time.Duration
	// PrefixTokens is the estimated number of tokens of the prompt's prefix that the
	// engine has cached.
	PrefixTokens int
	// Suspects is the number of requests in flight on the engine that are suspected
	// of crashing engines.
	Suspects int
}

// Request is the properties of a request that affect the choice.
type Request struct {
	// Suspect is true if the request was in flight on an engine that crashed.
	Suspect       bool
	PromptTokens  int
	FailureDomain string
}

// Decision is the chosen engine and the reason. Considered is the number of eligible
// candidates.
type Decision struct {
	Engine, Reason string
	Score          float64
	Considered     int
}

// Options sets the weights of the score. Zero fields take the default.
type Options struct {
	// ReportHalfLife is the age at which an engine's report has half its weight.
	ReportHalfLife time.Duration
	// PrefixWeight is the number of requests in flight that a completely cached
	// prompt outweighs.
	PrefixWeight float64
	// RemoteCost is the cost, in requests in flight, of an engine in another failure
	// domain.
	RemoteCost float64
	// QueueWeight is the additional cost, in requests in flight, of a request that
	// waits in the engine's queue.
	QueueWeight float64
	// Headroom is the number of requests beyond its batch slots that an engine may
	// have. Further requests wait in the fair queue of the entry host.
	Headroom int
}

func (o Options) withDefaults() Options {
	o.ReportHalfLife = cmp.Or(o.ReportHalfLife, 500*time.Millisecond)
	o.PrefixWeight = cmp.Or(o.PrefixWeight, 3)
	o.RemoteCost = cmp.Or(o.RemoteCost, 0.25)
	o.QueueWeight = cmp.Or(o.QueueWeight, 2)
	o.Headroom = cmp.Or(o.Headroom, 2)
	return o
}

// Reasons of decisions.
const (
	ReasonOnly   = "only candidate"
	ReasonLoad   = "least loaded of the sample"
	ReasonPrefix = "prompt prefix cached"
	ReasonFull   = "every candidate is full or has a crash suspect in flight"
	ReasonNone   = "no candidate"
)

// Planner chooses engines. It is not safe for concurrent use.
type Planner struct {
	opts   Options
	random *rand.Rand
}

// NewPlanner returns a planner whose random choices are determined by the seed.
func NewPlanner(seed uint64, opts Options) *Planner {
	return &Planner{opts: opts.withDefaults(), random: rand.New(rand.NewPCG(seed, 0x6a61736d))}
}

// Choose returns the engine for the request. It compares two random candidates and
// the one with the longest cached prefix. Always choosing the best of all candidates
// would make all hosts with equally old reports choose the same engine. Choose
// returns false if no candidate is eligible.
func (p *Planner) Choose(req Request, candidates []Candidate) (Decision, bool) {
	if len(candidates) == 0 {
		return Decision{Reason: ReasonNone}, false
	}
	first, second, n := p.sample(req, candidates)
	if n == 0 {
		return Decision{Reason: ReasonFull}, false
	}
	d := Decision{Score: math.Inf(1), Reason: ReasonLoad, Considered: n}
	if n == 1 {
		d.Reason = ReasonOnly
	}
	p.compareCandidate(req, &candidates[first], ReasonLoad, &d)
	if second >= 0 {
		p.compareCandidate(req, &candidates[second], ReasonLoad, &d)
	}
	if cached := p.longestPrefix(req, candidates); cached >= 0 && cached != first && cached != second {
		p.compareCandidate(req, &candidates[cached], ReasonPrefix, &d)
	}
	return d, true
}

// eligible reports whether the candidate may get the request. Two crash suspects
// must not run on the same engine, and requests should not wait in the engines'
// queues, which are not fair.
func (p *Planner) eligible(req Request, c *Candidate) bool {
	if req.Suspect && c.Suspects > 0 {
		return false
	}
	return c.MaxBatch == 0 || p.load(c) < float64(c.MaxBatch+p.opts.Headroom)
}

// load estimates the number of requests on the engine. The report counts the requests
// of all hosts; its excess over the known requests in flight is discounted by the
// report's age.
func (p *Planner) load(c *Candidate) float64 {
	known := float64(c.OwnInFlight + c.OthersInFlight)
	weight := math.Exp2(-float64(c.ReportAge) / float64(p.opts.ReportHalfLife))
	return known + weight*max(0, float64(c.Running+c.Queued)-known)
}

// sample draws two distinct eligible candidates in one pass. It returns their
// indexes, or -1, and the number of eligible candidates.
func (p *Planner) sample(req Request, candidates []Candidate) (first, second, n int) {
	first, second = -1, -1
	for i := range candidates {
		if !p.eligible(req, &candidates[i]) {
			continue
		}
		n++
		switch {
		case first < 0:
			first = i
		case second < 0:
			second = i
		default:
			if k := p.random.IntN(n); k == 0 {
				first = i
			} else if k == 1 {
				second = i
			}
		}
	}
	return first, second, n
}

// longestPrefix returns the index of the eligible candidate with the longest cached
// prefix, or -1 if none has one.
func (p *Planner) longestPrefix(req Request, candidates []Candidate) int {
	best, tokens := -1, 0
	for i := range candidates {
		if c := &candidates[i]; c.PrefixTokens > tokens && p.eligible(req, c) {
			best, tokens = i, c.PrefixTokens
		}
	}
	return best
}

// compareCandidate updates the decision if the candidate has a lower score.
func (p *Planner) compareCandidate(req Request, c *Candidate, reason string, d *Decision) {
	score := p.score(req, c)
	if score < d.Score || score == d.Score && c.Engine < d.Engine {
		d.Engine, d.Score = c.Engine, score
		if reason == ReasonPrefix {
			d.Reason = reason
		}
	}
}

// score estimates the cost of the request on the candidate, in requests in flight.
func (p *Planner) score(req Request, c *Candidate) float64 {
	score := p.load(c)
	if c.MaxBatch > 0 {
		// Requests beyond the batch slots wait for a running request to end.
		score += p.opts.QueueWeight * max(0, score-float64(c.MaxBatch))
	}
	score += p.opts.QueueWeight * float64(c.Queued)
	if req.FailureDomain != "" && c.FailureDomain != req.FailureDomain {
		score += p.opts.RemoteCost
	}
	if req.PromptTokens > 0 {
		score -= p.opts.PrefixWeight * min(1, float64(c.PrefixTokens)/float64(req.PromptTokens))
	}
	return score
}
