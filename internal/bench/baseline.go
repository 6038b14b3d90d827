package bench

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminesaddle/jasminesaddle/internal/placement"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
	"github.com/jasminesaddle/jasminesaddle/internal/routing"
)

// rates limits the requests of one host to its part of the teams' rates.
type rates interface {
	reserve(r *request, now time.Time) bool
	settle(r *request, used uint64, now time.Time)
	setDemand(team int, tokens uint64)
	borrow(now time.Time)
}

func newRates(sim *simulation, host int) rates {
	if sim.cfg.Policy.EqualSplit {
		s := &splitRates{}
		n := float64(sim.cfg.Deployment.Hosts)
		for _, t := range sim.teams {
			s.buckets = append(s.buckets, newBucket(float64(t.GetRate().GetTokensPerSecond())/n, float64(t.GetRate().GetBurstTokens())/n))
		}
		return s
	}
	return &leasedRates{
		lender: sim.lender, account: rate.NewAccount(hostName(host), 1),
		rng: rand.New(rand.NewPCG(sim.cfg.Seed, 100+uint64(host))),
	}
}

// leasedRates is the rate account of jasminesaddle. One in lostResponseOneIn Borrow
// responses is lost.
type leasedRates struct {
	lender  *rate.Lender
	account *rate.Account
	rng     *rand.Rand
}

const lostResponseOneIn = 100

func (l *leasedRates) reserve(r *request, now time.Time) bool {
	res, ok := l.account.Reserve(teamName(r.team), r.tokens(), now)
	if ok {
		r.reservation = res
	}
	return ok
}

func (l *leasedRates) settle(r *request, used uint64, now time.Time) {
	l.account.Settle(r.reservation.(rate.Reservation), used, now)
}

func (l *leasedRates) setDemand(team int, tokens uint64) { l.account.SetDemand(teamName(team), tokens) }

func (l *leasedRates) borrow(now time.Time) {
	req := l.account.Request(now)
	resp := l.lender.Borrow(req, now)
	if l.rng.IntN(lostResponseOneIn) > 0 {
		l.account.Apply(req, resp, now)
	}
}

// splitRates is the baseline that splits rate and burst equally between the hosts.
type splitRates struct{ buckets []*bucket }

func (s *splitRates) reserve(r *request, now time.Time) bool {
	return s.buckets[r.team].take(r.tokens(), now)
}

func (s *splitRates) settle(r *request, used uint64, now time.Time) {
	s.buckets[r.team].credit(r.tokens()-used, now)
}

func (s *splitRates) setDemand(int, uint64) {}
func (s *splitRates) borrow(time.Time)      {}

// leastLoaded is the baseline of routing. It chooses the engine with the lowest
// reported load, or none when this host has maxBatch+2 requests in flight there.
func leastLoaded(candidates []routing.Candidate) (routing.Decision, bool) {
	c := slices.MinFunc(candidates, func(a, b routing.Candidate) int {
		return cmp.Or(cmp.Compare(a.Running+a.Queued, b.Running+b.Queued), cmp.Compare(a.Engine, b.Engine))
	})
	if c.OwnInFlight >= maxBatch+2 {
		return routing.Decision{}, false
	}
	return routing.Decision{Engine: c.Engine, Considered: len(candidates)}, true
}

func newPlacement(p Policy) planner {
	if p.Placement == "" {
		return placement.NewPlanner(placement.Options{})
	}
	return &simplePlacement{static: p.Placement == "static"}
}

// simplePlacement is the baseline of placement. It immediately loads each adapter
// that requests wait for, on the engine that its hash selects or the least loaded
// one. When no adapter slot is free there, it drains the least recently used idle
// adapter.
type simplePlacement struct{ static bool }

// Plan implements planner.
func (p *simplePlacement) Plan(s placement.Snapshot) []placement.Action {
	var actions []placement.Action
	used, draining, drained := make([]int, len(s.Engines)), make([]int, len(s.Engines)), map[string]bool{}
	resident := map[placement.Ref]placement.State{}
	for i, e := range s.Engines {
		used[i] = len(e.Residents)
		for _, r := range e.Residents {
			if e.Healthy {
				resident[r.Ref] = r.State
			}
			if r.State == placement.Draining {
				draining[i]++
			}
		}
	}
	for _, d := range s.Demand {
		if state, ok := resident[d.Ref]; d.Waiting == 0 || ok && state != placement.Draining {
			continue
		}
		i := p.engine(s, d.Ref, used)
		if i < 0 || resident[d.Ref] == placement.Draining {
			continue
		}
		e := s.Engines[i]
		if used[i] < e.Slots {
			used[i]++
			actions = append(actions, placement.Action{Kind: placement.Load, Engine: e.Name, Ref: d.Ref})
		} else if draining[i] > 0 {
			draining[i]--
		} else if victim, ok := leastRecentlyUsed(e, drained); ok {
			drained[e.Name+victim.Adapter] = true
			actions = append(actions, placement.Action{Kind: placement.Drain, Engine: e.Name, Ref: victim})
		}
	}
	return actions
}

func (p *simplePlacement) engine(s placement.Snapshot, ref placement.Ref, used []int) int {
	if p.static {
		i := int(xxhash.Sum64String(ref.Adapter) % uint64(len(s.Engines)))
		if !s.Engines[i].Healthy {
			return -1
		}
		return i
	}
	best, least := -1, 0
	for i, e := range s.Engines {
		load := 0
		for _, r := range e.Residents {
			load += r.InFlight
		}
		if used[i] >= e.Slots {
			load += maxBatch // prefer a free adapter slot to a drain
		}
		if e.Healthy && (best < 0 || load < least) {
			best, least = i, load
		}
	}
	return best
}

func leastRecentlyUsed(e placement.Engine, drained map[string]bool) (placement.Ref, bool) {
	var best *placement.Resident
	for i := range e.Residents {
		r := &e.Residents[i]
		if r.State != placement.Ready || r.InFlight > 0 || drained[e.Name+r.Ref.Adapter] {
			continue
		}
		if best == nil || r.LastUsed.Before(best.LastUsed) {
			best = r
		}
	}
	if best == nil {
		return placement.Ref{}, false
	}
	return best.Ref, true
}
