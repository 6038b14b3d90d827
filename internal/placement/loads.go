package placement

import (
	"cmp"
	"math"
	"slices"
)

// want is one load that the planner would like to start.
type want struct {
	ref    int     // position in index.refs
	score  float64 // order of service
	value  float64 // arrivals per second that the slot would serve
	reason string
}

// wanted returns the loads in the order of service: first what waits and the
// replicas of overloaded adapters, by fairness between teams, then refills by
// demand. The requests of an overloaded adapter wait as well, at its engine.
func (p *Planner) wanted() []want {
	var waiting, ahead []want
	for i := range p.x.refs {
		r := &p.x.refs[i]
		if r.demand == nil || p.x.now.Before(r.retryAt) {
			continue
		}
		replicas := r.ready + r.loading
		value := r.demand.Arrivals / float64(replicas+1)
		switch {
		case replicas == 0 && r.demand.Waiting > 0:
			waiting = append(waiting, want{i, urgency(r.demand), value, ReasonWaiting})
		case replicas == 0 && r.draining == 0 && r.demand.Arrivals >= p.opts.RefillArrivals:
			ahead = append(ahead, want{i, value, value, ReasonRefill})
		case replicas > 0 && r.loading == 0 && replicas < p.replicas(r):
			waiting = append(waiting, want{i, value * expectedSeconds, value, ReasonReplica})
		}
	}
	p.sortWants(waiting)
	p.sortWants(ahead)
	return append(p.fairOrder(waiting), ahead...)
}

// urgency is the number of requests that a load serves: those that wait and those
// expected while the adapter version stays. Age does not count: while more
// adapters are asked for than the weight store loads, old requests first means
// that each one is served just before its deadline or just after.
func urgency(d *Demand) float64 {
	return float64(d.Waiting) + d.Arrivals*expectedSeconds
}

// expectedSeconds of arrivals count as much as waiting requests.
const expectedSeconds = 10

// replicas returns how many replicas the demand needs.
func (p *Planner) replicas(r *refState) int {
	n := int(math.Ceil(r.demand.Arrivals / p.opts.ReplicaArrivals))
	if r.inFlight > p.opts.ReplicaInFlight*r.ready {
		n = max(n, r.ready+1)
	}
	return min(n, p.opts.MaxReplicas)
}

func (p *Planner) sortWants(wants []want) {
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(cmp.Compare(b.score, a.score), p.x.refs[a.ref].ref.Compare(p.x.refs[b.ref].ref))
	})
}

// fairOrder interleaves teams: the next load goes to the team with the fewest
// recent loads.
func (p *Planner) fairOrder(sorted []want) []want {
	byTeam := map[string][]want{}
	var teams []*teamState
	recent := map[string]int{}
	for _, w := range sorted {
		name := p.x.refs[w.ref].team
		if byTeam[name] == nil {
			t := p.x.team(name)
			teams = append(teams, t)
			recent[name] = t.recent
		}
		byTeam[name] = append(byTeam[name], w)
	}
	out := make([]want, 0, len(sorted))
	// Only the head of the order can start in this tick.
	for len(teams) > 0 && len(out) < p.opts.MaxStarts+p.opts.Spare {
		next := slices.MinFunc(teams, func(a, b *teamState) int {
			return cmp.Or(
				cmp.Compare(recent[a.name], recent[b.name]),
				cmp.Compare(byTeam[b.name][0].score, byTeam[a.name][0].score),
				cmp.Compare(a.name, b.name),
			)
		})
		out = append(out, byTeam[next.name][0])
		recent[next.name]++
		byTeam[next.name] = byTeam[next.name][1:]
		if len(byTeam[next.name]) == 0 {
			teams = slices.DeleteFunc(teams, func(t *teamState) bool { return t == next })
		}
	}
	return out
}

// loads starts what fits into the store's limits and the free slots. It returns
// the loads that lack a slot.
func (p *Planner) loads(actions []Action, wanted []want) ([]Action, []want) {
	budget := min(p.opts.MaxInFlight-p.x.loading, p.opts.MaxStarts-p.x.starts)
	var missing []want
	for _, w := range wanted {
		if len(missing) > p.opts.Spare+p.opts.MaxStarts {
			break
		}
		i := p.slotFor(w)
		if i < 0 {
			missing = append(missing, w)
			continue
		}
		if budget <= 0 {
			break
		}
		budget--
		actions = append(actions, p.load(w, i))
	}
	return actions, missing
}

// slotFor returns the engine with a slot for the load, or -1. Spare slots are
// for requests that wait.
func (p *Planner) slotFor(w want) int {
	r := &p.x.refs[w.ref]
	if p.x.team(r.team).full() {
		return -1
	}
	if w.reason != ReasonWaiting && p.x.base(r.demand.BaseModel).free <= p.opts.Spare {
		return -1
	}
	return p.engineFor(r)
}

func (p *Planner) load(w want, engine int) Action {
	r, e := &p.x.refs[w.ref], &p.x.engines[engine]
	e.free--
	p.x.base(e.BaseModel).free--
	e.assigned++
	r.loading++
	p.x.loading++
	p.x.team(r.team).slots++
	return Action{Load, e.Name, r.ref, r.team, w.reason}
}

// engineFor returns the engine for a new replica, or -1: one in a failure domain
// without a replica if possible, then the one with the fewest running requests
// per slot.
func (p *Planner) engineFor(r *refState) int {
	best, bestScore := -1, math.Inf(1)
	for i := range p.x.engines {
		e := &p.x.engines[i]
		if e.free == 0 || !p.fits(r, i) {
			continue
		}
		score := float64(e.inFlight+e.assigned-e.free) / float64(e.Slots)
		if p.inDomain(r, e.FailureDomain) {
			score += 1000
		}
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// fits tells whether the adapter version may be loaded on the engine.
func (p *Planner) fits(r *refState, engine int) bool {
	e := &p.x.engines[engine]
	return e.usable() && e.Slots > 0 && e.BaseModel == r.demand.BaseModel &&
		!r.on(engine) && !p.x.blocked(r, e.Name)
}

func (p *Planner) inDomain(r *refState, domain string) bool {
	return slices.ContainsFunc(r.residents, func(at place) bool {
		e := &p.x.engines[at.engine]
		return e.FailureDomain == domain && e.usable()
	})
}
