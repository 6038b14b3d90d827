package placement

import (
	"cmp"
	"math"
	"slices"
)

// loadCandidate is a load that the planner would start if the limits allowed it.
type loadCandidate struct {
	ref    int     // position in index.refs
	score  float64 // loads with a higher score are started first
	value  float64 // arrivals per second that the slot would serve
	reason string
}

// candidateLimit is the number of loads that the planner considers per call. The
// rest waits for a later call; a few more than can start are considered so that
// slots are freed in advance.
func (p *Planner) candidateLimit() int { return 2 * (p.opts.MaxStarts + p.opts.Spare) }

// teamLoads is the list of the highest ranked loads of one team, or of all teams if
// team is empty, on the engines of one base model.
type teamLoads struct {
	base, team string
	topK[loadCandidate]
}

// rankedLoads returns the candidates in the order in which they are started: first
// loads for waiting requests and replicas of overloaded adapters, by fairness
// between teams, then refills by demand. Replicas rank with the former because the
// requests for an overloaded adapter wait as well, in its engine's queue.
func (p *Planner) rankedLoads() []loadCandidate {
	byTeam, refillsByBase := map[[2]string]*teamLoads{}, map[[2]string]*teamLoads{}
	for i := range p.idx.refs {
		r := &p.idx.refs[i]
		c, ok := p.loadCandidate(i, r)
		if !ok {
			continue
		}
		lists, key := byTeam, [2]string{r.demand.BaseModel, r.team}
		if c.reason == ReasonRefill {
			lists, key[1] = refillsByBase, ""
		}
		l := lists[key]
		if l == nil {
			l = &teamLoads{key[0], key[1], topK[loadCandidate]{k: p.candidateLimit(), compare: p.compareLoads}}
			lists[key] = l
		}
		l.add(c)
	}
	var refills []loadCandidate
	for _, l := range refillsByBase {
		refills = append(refills, l.items...)
	}
	slices.SortFunc(refills, p.compareLoads)
	return append(p.fairOrder(byTeam), refills...)
}

// loadCandidate returns the load that an adapter version needs, if any.
func (p *Planner) loadCandidate(i int, r *refState) (loadCandidate, bool) {
	if r.demand == nil || p.idx.now.Before(r.retryAt) || p.idx.base(r.demand.BaseModel).slots == 0 {
		return loadCandidate{}, false
	}
	replicas := r.ready + r.loading
	value := r.demand.Arrivals / float64(replicas+1)
	switch {
	case replicas == 0 && r.demand.Waiting > 0:
		return loadCandidate{i, requestsServed(r.demand), value, ReasonWaiting}, true
	case replicas == 0 && r.draining == 0 && r.demand.Arrivals >= p.opts.RefillArrivals:
		return loadCandidate{i, value, value, ReasonRefill}, true
	case replicas > 0 && r.loading == 0 && replicas < p.replicas(r):
		return loadCandidate{i, value * arrivalWindowSeconds, value, ReasonReplica}, true
	}
	return loadCandidate{}, false
}

// requestsServed estimates the number of requests that a load serves: those that
// wait and those expected while the adapter version is resident. The age of the
// requests does not count: while more adapters are requested than the weight store
// can load, oldest first would serve each request just before or just after its
// deadline.
func requestsServed(d *Demand) float64 {
	return float64(d.Waiting) + d.Arrivals*arrivalWindowSeconds
}

// arrivalWindowSeconds is the period whose expected arrivals count as much as
// waiting requests.
const arrivalWindowSeconds = 10

// replicas returns the number of replicas that the demand needs.
func (p *Planner) replicas(r *refState) int {
	n := int(math.Ceil(r.demand.Arrivals / p.opts.ReplicaArrivals))
	if r.inFlight > p.opts.ReplicaInFlight*r.ready {
		n = max(n, r.ready+1)
	}
	return min(n, p.opts.MaxReplicas)
}

// compareLoads orders loads by descending score.
func (p *Planner) compareLoads(a, b loadCandidate) int {
	return cmp.Or(cmp.Compare(b.score, a.score), p.idx.refs[a.ref].ref.Compare(p.idx.refs[b.ref].ref))
}

// fairOrder interleaves teams: the next load goes to the team with the fewest
// recent loads. Each base model gets at most candidateLimit loads, so that one whose
// engines are full does not delay another.
func (p *Planner) fairOrder(byKey map[[2]string]*teamLoads) []loadCandidate {
	lists := make([]*teamLoads, 0, len(byKey))
	recent, taken := map[string]int{}, map[string]int{}
	for _, l := range byKey {
		lists = append(lists, l)
		recent[l.team] = p.idx.team(l.team).recentLoads
	}
	var out []loadCandidate
	for len(lists) > 0 {
		l := slices.MinFunc(lists, func(a, b *teamLoads) int {
			return cmp.Or(cmp.Compare(recent[a.team], recent[b.team]), p.compareLoads(a.items[0], b.items[0]))
		})
		out = append(out, l.items[0])
		recent[l.team]++
		taken[l.base]++
		l.items = l.items[1:]
		// A team at its limit gets a slot freed for one load at a time.
		lists = slices.DeleteFunc(lists, func(o *teamLoads) bool {
			return o == l && (len(l.items) == 0 || p.idx.team(l.team).atLimit()) || taken[o.base] >= p.candidateLimit()
		})
	}
	return out
}

// loads starts the loads that the weight store's limits and the free slots allow.
// It returns the loads without a slot.
func (p *Planner) loads(actions []Action, candidates []loadCandidate) ([]Action, []loadCandidate) {
	remaining := min(p.opts.MaxInFlight-p.idx.loading, p.opts.MaxStarts-p.idx.starts)
	var unplaced []loadCandidate
	for _, c := range candidates {
		i := p.slotFor(c)
		if i < 0 {
			unplaced = append(unplaced, c)
			continue
		}
		if remaining <= 0 {
			break
		}
		remaining--
		actions = append(actions, p.load(c, i))
	}
	return actions, unplaced
}

// slotFor returns the index of an engine with a slot for the load, or -1. Spare
// slots are reserved for loads for waiting requests.
func (p *Planner) slotFor(c loadCandidate) int {
	r := &p.idx.refs[c.ref]
	if p.idx.team(r.team).atLimit() {
		return -1
	}
	if c.reason != ReasonWaiting && p.idx.base(r.demand.BaseModel).free <= p.spareSlots(p.idx.base(r.demand.BaseModel)) {
		return -1
	}
	return p.engineFor(r)
}

// load updates the counts for the load and returns its action.
func (p *Planner) load(c loadCandidate, engine int) Action {
	r, e := &p.idx.refs[c.ref], &p.idx.engines[engine]
	e.free--
	p.idx.base(e.BaseModel).free--
	e.assigned++
	r.loading++
	p.idx.loading++
	p.idx.team(r.team).slots++
	return Action{Load, e.Name, r.ref, r.team, c.reason}
}

// engineFor returns the index of the engine for a new replica, or -1. It prefers
// failure domains without a replica, then the fewest running requests per slot.
func (p *Planner) engineFor(r *refState) int {
	best, bestScore := -1, math.Inf(1)
	for i := range p.idx.engines {
		e := &p.idx.engines[i]
		if e.free == 0 || !p.canLoad(r, i) {
			continue
		}
		score := float64(e.inFlight+e.assigned-e.free) / float64(e.Slots)
		if p.hasReplicaInDomain(r, e.FailureDomain) {
			score += 1000
		}
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// canLoad reports whether the adapter version may be loaded on the engine.
func (p *Planner) canLoad(r *refState, engine int) bool {
	e := &p.idx.engines[engine]
	return e.usable() && e.Slots > 0 && e.BaseModel == r.demand.BaseModel &&
		!r.residentOn(engine) && !p.idx.inBackoff(r, e.Name)
}

// hasReplicaInDomain reports whether the adapter version is resident on a usable
// engine in the failure domain.
func (p *Planner) hasReplicaInDomain(r *refState, domain string) bool {
	return slices.ContainsFunc(r.residents, func(pos slotPosition) bool {
		e := &p.idx.engines[pos.engine]
		return e.FailureDomain == domain && e.usable()
	})
}
