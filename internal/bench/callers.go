package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fairqueue"
	"github.com/jasminesaddle/jasminesaddle/internal/placement"
)

const (
	interactiveDeadline = 3 * time.Second
	batchDeadline       = 20 * time.Second
	maxOutput           = 256
	meanOutput          = 100
	meanPrompt          = 300
	// zipfExponent gives the demand that 144 slots and 3 loads/s can serve.
	zipfExponent = 1.6
	// shiftEvery is how often a part of the popular adapters is replaced.
	shiftEvery = 30 * time.Second
	// moveEvery is how often a team's callers are spread anew over the hosts.
	moveEvery = 10 * time.Second
)

// teamSizes are the shares of the demand; floodTeam sends floodFactor times as
// much as its rate is made for.
var teamSizes = []float64{0.40, 0.30, 0.15, 0.10, 0.05}

const (
	floodTeam   = 2
	floodFactor = 4
)

// request is one call.
type request struct {
	arrived        time.Time
	team           int
	ref            placement.Ref
	class          fairqueue.Class
	host           int
	prompt, output int
	prefix         []uint64  // hashes of the shared part of the prompt
	withinRate     bool      // by the oracle
	due            time.Time // when the oracle admits it

	reservation any
	engine      int
	prefillLeft int
	outputLeft  int
	started     time.Time
	firstToken  time.Time
	stall       time.Duration
	outcome     outcome
	wrongful    bool // refused although the central bucket had the tokens
}

type outcome int

const (
	waiting outcome = iota
	running
	served
	failed
	refusedRate
	refusedDeadline
	refusedFull
)

func (r *request) tokens() uint64 { return uint64(r.prompt + maxOutput) }
func (r *request) used() uint64   { return uint64(r.prompt + r.output) }

func (r *request) deadline() time.Duration {
	if r.class == fairqueue.Batch {
		return batchDeadline
	}
	return interactiveDeadline
}

// inTime tells whether the first token came in time, counted from when the
// oracle admits the request. One that the oracle does not admit may take the
// place of another of its team.
func (r *request) inTime() bool {
	bound := time.Second
	if r.class == fairqueue.Batch {
		bound = 10 * time.Second
	}
	due := r.arrived.Add(r.deadline())
	if r.withinRate {
		due = r.due
	}
	return r.outcome == served && r.firstToken.Sub(due) <= bound
}

// callers generates the requests of a run. They depend on the seed and on the
// deployment only, so that all policies meet the same requests.
type callers struct {
	cfg     Config
	random  *rand.Rand
	popular [][]int // adapters of each team by rank
	cdf     [][]float64
	spread  [][]float64 // share of each host by team
}

// teams returns the teams with rates that fit their regular demand with a
// margin of a third, and a burst of 4 s.
func teams(d Deployment) []*apiv1.Team {
	var out []*apiv1.Team
	for i, share := range teamSizes {
		rate := uint64(d.RequestsPerSecond * share * (meanPrompt + meanOutput) * 4 / 3)
		out = append(out, &apiv1.Team{
			Name: teamName(i), Weight: uint32(share * 100),
			Rate: &apiv1.Rate{TokensPerSecond: rate, BurstTokens: 4*rate + 2000},
		})
	}
	return out
}

func newCallers(cfg Config) *callers {
	c := &callers{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 7))}
	next := 0
	for _, share := range teamSizes {
		n := int(share * float64(cfg.Deployment.Adapters))
		ranks := make([]int, n)
		cdf := make([]float64, n)
		sum := 0.0
		for i := range ranks {
			ranks[i] = next + i
			sum += math.Pow(float64(i+1), -zipfExponent)
			cdf[i] = sum
		}
		next += n
		c.random.Shuffle(n, func(i, j int) { ranks[i], ranks[j] = ranks[j], ranks[i] })
		c.popular = append(c.popular, ranks)
		c.cdf = append(c.cdf, cdf)
	}
	return c
}

// requests returns the requests of a run by arrival.
func (c *callers) requests(lostHost int, lostAt time.Time) []*request {
	var out []*request
	end := epoch.Add(c.cfg.Duration)
	nextShift, nextMove := epoch.Add(shiftEvery), epoch
	for now := epoch; now.Before(end); now = now.Add(tick) {
		if !now.Before(nextMove) {
			c.move()
			nextMove = nextMove.Add(moveEvery)
		}
		if !now.Before(nextShift) {
			c.shift()
			nextShift = nextShift.Add(shiftEvery)
		}
		for team, share := range teamSizes {
			rate := share * c.cfg.Deployment.RequestsPerSecond
			if team == floodTeam {
				rate *= floodFactor
			}
			for range c.poisson(rate * tick.Seconds()) {
				r := c.request(team, now)
				if r.host == lostHost && !now.Before(lostAt) {
					r.host = (r.host + 1 + c.random.IntN(c.cfg.Deployment.Hosts-1)) % c.cfg.Deployment.Hosts
				}
				out = append(out, r)
			}
		}
	}
	markWithinRate(out, teams(c.cfg.Deployment))
	return out
}

func (c *callers) poisson(mean float64) int {
	n := 0
	for p := c.random.Float64(); p > math.Exp(-mean); n++ {
		p *= c.random.Float64()
	}
	return n
}

func (c *callers) request(team int, now time.Time) *request {
	cdf := c.cdf[team]
	rank := sort.SearchFloat64s(cdf, c.random.Float64()*cdf[len(cdf)-1])
	r := &request{arrived: now, team: team, host: c.pickHost(team), engine: -1}
	r.ref = placement.Ref{Adapter: fmt.Sprintf("adapter-%04d", c.popular[team][min(rank, len(cdf)-1)]), Version: "1"}
	r.prompt = 50 + int(c.random.ExpFloat64()*(meanPrompt-50))
	r.prompt = min(r.prompt, 2000)
	r.output = 1 + min(int(c.random.ExpFloat64()*meanOutput), maxOutput-1)
	if c.random.Float64() < 0.15 {
		r.class = fairqueue.Batch
	}
	// One of three prefixes per adapter covers half of the prompt.
	prefix := c.random.Uint64N(3)
	for b := range r.prompt / 2 / blockTokens {
		r.prefix = append(r.prefix, uint64(c.popular[team][rank])<<16|prefix<<8|uint64(b))
	}
	return r
}

func (c *callers) pickHost(team int) int {
	x := c.random.Float64()
	for h, share := range c.spread[team] {
		if x -= share; x < 0 {
			return h
		}
	}
	return 0
}

// move spreads each team's callers over the hosts with skew, as long-lived
// connections behind a balancer are.
func (c *callers) move() {
	c.spread = make([][]float64, len(teamSizes))
	for t := range c.spread {
		shares, sum := make([]float64, c.cfg.Deployment.Hosts), 0.0
		for h := range shares {
			shares[h] = math.Pow(c.random.ExpFloat64(), 2)
			sum += shares[h]
		}
		for h := range shares {
			shares[h] /= sum
		}
		c.spread[t] = shares
	}
}

// shift replaces a fifth of each team's ten most popular adapters.
func (c *callers) shift() {
	for _, ranks := range c.popular {
		for range 2 {
			i, j := c.random.IntN(10), 10+c.random.IntN(len(ranks)-10)
			ranks[i], ranks[j] = ranks[j], ranks[i]
		}
	}
}
