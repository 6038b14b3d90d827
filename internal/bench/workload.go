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
	// zipfExponent concentrates the demand so that 144 adapter slots (deployment A)
	// and 3 loads/s can serve it.
	zipfExponent = 1.6
	// popularityShiftInterval is how often some of the popular adapters are
	// replaced.
	popularityShiftInterval = 30 * time.Second
	// redistributeInterval is how often each team's callers are redistributed over
	// the hosts.
	redistributeInterval = 10 * time.Second
)

// teamSizes are the teams' fractions of the regular demand. The team floodTeam
// sends floodFactor times its regular demand.
var teamSizes = []float64{0.40, 0.30, 0.15, 0.10, 0.05}

const (
	floodTeam   = 2
	floodFactor = 4
)

// request is a simulated completion request.
type request struct {
	arrived        time.Time
	team           int
	ref            placement.Ref
	class          fairqueue.Class
	host           int
	prompt, output int
	prefix         []uint64  // block hashes of the prefix shared with other requests
	withinRate     bool      // admitted by the oracle
	oracleAdmitted time.Time // when withinRate

	reservation       any
	engine            int
	prefillLeft       int
	outputLeft        int
	started           time.Time
	firstToken        time.Time
	stall             time.Duration
	outcome           outcome
	refusedWithinRate bool // refused although the reference had the tokens
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

// inTime reports whether the first token came in time after the oracle admitted
// the request. For a request that the oracle does not admit, the time counts from
// its queue deadline; such a request may make up for another one of its team.
func (r *request) inTime() bool {
	limit := time.Second
	if r.class == fairqueue.Batch {
		limit = 10 * time.Second
	}
	due := r.arrived.Add(r.deadline())
	if r.withinRate {
		due = r.oracleAdmitted
	}
	return r.outcome == served && r.firstToken.Sub(due) <= limit
}

// workload generates the requests of a run. They depend only on the seed and the
// deployment, so that all policies are measured with the same requests.
type workload struct {
	cfg            Config
	rng            *rand.Rand
	adaptersByRank [][]int // adapters of each team by rank
	cdf            [][]float64
	hostShares     [][]float64 // fraction of each host, by team
}

// teams returns the teams. A team's rate is a third above its regular demand, and
// its burst is 4 s of the rate plus 2000 tokens.
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

func newWorkload(cfg Config) *workload {
	w := &workload{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7))}
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
		w.rng.Shuffle(n, func(i, j int) { ranks[i], ranks[j] = ranks[j], ranks[i] })
		w.adaptersByRank = append(w.adaptersByRank, ranks)
		w.cdf = append(w.cdf, cdf)
	}
	return w
}

// requests returns the requests of a run in the order of arrival. Requests to
// lostHost from lostAt on go to other hosts instead.
func (w *workload) requests(lostHost int, lostAt time.Time) []*request {
	var out []*request
	end := epoch.Add(w.cfg.Duration)
	nextShift, nextRedistribute := epoch.Add(popularityShiftInterval), epoch
	for now := epoch; now.Before(end); now = now.Add(tick) {
		if !now.Before(nextRedistribute) {
			w.redistribute()
			nextRedistribute = nextRedistribute.Add(redistributeInterval)
		}
		if !now.Before(nextShift) {
			w.shiftPopularity()
			nextShift = nextShift.Add(popularityShiftInterval)
		}
		for team, share := range teamSizes {
			rate := share * w.cfg.Deployment.RequestsPerSecond
			if team == floodTeam {
				rate *= floodFactor
			}
			for range w.poisson(rate * tick.Seconds()) {
				r := w.request(team, now)
				if r.host == lostHost && !now.Before(lostAt) {
					r.host = (r.host + 1 + w.rng.IntN(w.cfg.Deployment.Hosts-1)) % w.cfg.Deployment.Hosts
				}
				out = append(out, r)
			}
		}
	}
	markWithinRate(out, teams(w.cfg.Deployment))
	return out
}

// poisson returns a random number with a Poisson distribution.
func (w *workload) poisson(mean float64) int {
	n := 0
	for p := w.rng.Float64(); p > math.Exp(-mean); n++ {
		p *= w.rng.Float64()
	}
	return n
}

func (w *workload) request(team int, now time.Time) *request {
	cdf := w.cdf[team]
	rank := sort.SearchFloat64s(cdf, w.rng.Float64()*cdf[len(cdf)-1])
	r := &request{arrived: now, team: team, host: w.pickHost(team), engine: -1}
	r.ref = placement.Ref{Adapter: fmt.Sprintf("adapter-%04d", w.adaptersByRank[team][min(rank, len(cdf)-1)]), Version: "1"}
	r.prompt = 50 + int(w.rng.ExpFloat64()*(meanPrompt-50))
	r.prompt = min(r.prompt, 2000)
	r.output = 1 + min(int(w.rng.ExpFloat64()*meanOutput), maxOutput-1)
	if w.rng.Float64() < 0.15 {
		r.class = fairqueue.Batch
	}
	// One of three prefixes per adapter covers half of the prompt.
	prefix := w.rng.Uint64N(3)
	for b := range r.prompt / 2 / blockTokens {
		r.prefix = append(r.prefix, uint64(w.adaptersByRank[team][rank])<<16|prefix<<8|uint64(b))
	}
	return r
}

func (w *workload) pickHost(team int) int {
	x := w.rng.Float64()
	for h, share := range w.hostShares[team] {
		if x -= share; x < 0 {
			return h
		}
	}
	return 0
}

// redistribute distributes each team's callers unevenly over the hosts, as
// long-lived connections behind a load balancer are.
func (w *workload) redistribute() {
	w.hostShares = make([][]float64, len(teamSizes))
	for t := range w.hostShares {
		shares, sum := make([]float64, w.cfg.Deployment.Hosts), 0.0
		for h := range shares {
			shares[h] = math.Pow(w.rng.ExpFloat64(), 2)
			sum += shares[h]
		}
		for h := range shares {
			shares[h] /= sum
		}
		w.hostShares[t] = shares
	}
}

// shiftPopularity replaces a fifth of each team's ten most popular adapters.
func (w *workload) shiftPopularity() {
	for _, ranks := range w.adaptersByRank {
		for range 2 {
			i, j := w.rng.IntN(10), 10+w.rng.IntN(len(ranks)-10)
			ranks[i], ranks[j] = ranks[j], ranks[i]
		}
	}
}
