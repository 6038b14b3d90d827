// Package routing chooses the engine that serves a request. It decides from
// what the entry host knows: its own requests, the reports and cached prefixes.
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
	// Own is the number of requests in flight there from this host.
	Own int
	// Others is the number of requests in flight there from other hosts: the
	// engine's running and queued requests less the own ones when the report came.
	Others int
	// Running and Queued are the engine's own counts ReportAge ago.
	Running, Queued int
	// MaxBatch is how many requests the engine runs at once.
	MaxBatch  int
	ReportAge time.Duration
	// PrefixTokens is how many tokens of the prompt are believed cached there.
	PrefixTokens int
	// Suspects is the number of crash suspects in flight there.
	Suspects int
}

// Request is what the choice depends on.
type Request struct {
	// Suspect is set when the request was in flight at a crash.
	Suspect       bool
	PromptTokens  int
	FailureDomain string
}

// Decision is the chosen engine and why.
type Decision struct {
	Engine, Reason string
	Score          float64
	Considered     int
}

// Options sets the weights of the score. Zero fields take the default.
type Options struct {
	// ReportHalfLife halves the weight of an engine's report.
	ReportHalfLife time.Duration
	// PrefixWeight is the worth, in requests in flight, of a prompt that is
	// cached as a whole.
	PrefixWeight float64
	// RemoteCost is the cost, in requests, of crossing to another failure domain.
	RemoteCost float64
	// QueueWeight is the cost of a request that waits in an engine's own queue.
	QueueWeight float64
	// Headroom is how many requests beyond its batch an engine may have before
	// further ones wait on the entry host, where the fair queue orders them.
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

// NewPlanner returns a planner whose random choices follow from the seed.
func NewPlanner(seed uint64, opts Options) *Planner {
	return &Planner{opts: opts.withDefaults(), random: rand.New(rand.NewPCG(seed, 0x6a61736d))}
}

// Choose returns the engine for the request. It compares two random candidates
// and the one with the longest cached prefix; the global minimum would make all
// hosts with equally old reports choose the same engine. It returns false when
// no candidate may take the request.
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
	p.consider(req, &candidates[first], ReasonLoad, &d)
	if second >= 0 {
		p.consider(req, &candidates[second], ReasonLoad, &d)
	}
	if cached := p.longestPrefix(req, candidates); cached >= 0 && cached != first && cached != second {
		p.consider(req, &candidates[cached], ReasonPrefix, &d)
	}
	return d, true
}

// allowed keeps two crash suspects off the same engine and requests out of the
// engines' own queues, which are not fair.
func (p *Planner) allowed(req Request, c *Candidate) bool {
	if req.Suspect && c.Suspects > 0 {
		return false
	}
	return c.MaxBatch == 0 || p.load(c) < float64(c.MaxBatch+p.opts.Headroom)
}

// load estimates the requests on the engine. The report counts the requests of
// all hosts; it is discounted by age, and the known requests in flight are the
// lower bound.
func (p *Planner) load(c *Candidate) float64 {
	known := float64(c.Own + c.Others)
	weight := math.Exp2(-float64(c.ReportAge) / float64(p.opts.ReportHalfLife))
	return known + weight*max(0, float64(c.Running+c.Queued)-known)
}

// sample draws two distinct allowed candidates in one pass and returns the
// number of allowed ones.
func (p *Planner) sample(req Request, candidates []Candidate) (first, second, n int) {
	first, second = -1, -1
	for i := range candidates {
		if !p.allowed(req, &candidates[i]) {
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

func (p *Planner) longestPrefix(req Request, candidates []Candidate) int {
	best, tokens := -1, 0
	for i := range candidates {
		if c := &candidates[i]; c.PrefixTokens > tokens && p.allowed(req, c) {
			best, tokens = i, c.PrefixTokens
		}
	}
	return best
}

func (p *Planner) consider(req Request, c *Candidate, reason string, d *Decision) {
	score := p.score(req, c)
	if score < d.Score || score == d.Score && c.Engine < d.Engine {
		d.Engine, d.Score = c.Engine, score
		if reason == ReasonPrefix {
			d.Reason = reason
		}
	}
}

// score estimates the load that the request meets, in requests.
func (p *Planner) score(req Request, c *Candidate) float64 {
	score := p.load(c)
	if c.MaxBatch > 0 {
		// Requests beyond the batch wait for a whole request to end.
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
