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

// horizon is how many loads the planner looks at. The rest waits for a later
// tick; a few more than can start are needed to make room in advance.
func (p *Planner) horizon() int { return 2 * (p.opts.MaxStarts + p.opts.Spare) }

// list is the wanted loads of one team on the engines of one base model.
type list struct {
	base, team string
	top[want]
}

// wanted returns the loads in the order of service: first what waits and the
// replicas of overloaded adapters, by fairness between teams, then refills by
// demand. The requests of an overloaded adapter wait as well, at its engine.
func (p *Planner) wanted() []want {
	waiting, ahead := map[[2]string]*list{}, map[[2]string]*list{}
	for i := range p.x.refs {
		r := &p.x.refs[i]
		w, ok := p.want(i, r)
		if !ok {
			continue
		}
		lists, key := waiting, [2]string{r.demand.BaseModel, r.team}
		if w.reason == ReasonRefill {
			lists, key[1] = ahead, ""
		}
		l := lists[key]
		if l == nil {
			l = &list{key[0], key[1], top[want]{k: p.horizon(), compare: p.compareWants}}
			lists[key] = l
		}
		l.add(w)
	}
	var refills []want
	for _, l := range ahead {
		refills = append(refills, l.items...)
	}
	slices.SortFunc(refills, p.compareWants)
	return append(p.fairOrder(waiting), refills...)
}

// want returns the load that an adapter version needs, if any.
func (p *Planner) want(i int, r *refState) (want, bool) {
	if r.demand == nil || p.x.now.Before(r.retryAt) || p.x.base(r.demand.BaseModel).slots == 0 {
		return want{}, false
	}
	replicas := r.ready + r.loading
	value := r.demand.Arrivals / float64(replicas+1)
	switch {
	case replicas == 0 && r.demand.Waiting > 0:
		return want{i, urgency(r.demand), value, ReasonWaiting}, true
	case replicas == 0 && r.draining == 0 && r.demand.Arrivals >= p.opts.RefillArrivals:
		return want{i, value, value, ReasonRefill}, true
	case replicas > 0 && r.loading == 0 && replicas < p.replicas(r):
		return want{i, value * expectedSeconds, value, ReasonReplica}, true
	}
	return want{}, false
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

func (p *Planner) compareWants(a, b want) int {
	return cmp.Or(cmp.Compare(b.score, a.score), p.x.refs[a.ref].ref.Compare(p.x.refs[b.ref].ref))
}

// fairOrder interleaves teams: the next load goes to the team with the fewest
// recent loads. Each base model gets no more than the horizon, so that one with
// full engines does not hold up another.
func (p *Planner) fairOrder(byKey map[[2]string]*list) []want {
	lists := make([]*list, 0, len(byKey))
	recent, taken := map[string]int{}, map[string]int{}
	for _, l := range byKey {
		lists = append(lists, l)
		recent[l.team] = p.x.team(l.team).recent
	}
	var out []want
	for len(lists) > 0 {
		l := slices.MinFunc(lists, func(a, b *list) int {
			return cmp.Or(cmp.Compare(recent[a.team], recent[b.team]), p.compareWants(a.items[0], b.items[0]))
		})
		out = append(out, l.items[0])
		recent[l.team]++
		taken[l.base]++
		l.items = l.items[1:]
		// A team at its bound gets room for one load at a time.
		lists = slices.DeleteFunc(lists, func(o *list) bool {
			return o == l && (len(l.items) == 0 || p.x.team(l.team).full()) || taken[o.base] >= p.horizon()
		})
	}
	return out
}

// loads starts what fits into the store's limits and the free slots. It returns
// the loads that lack a slot.
func (p *Planner) loads(actions []Action, wanted []want) ([]Action, []want) {
	budget := min(p.opts.MaxInFlight-p.x.loading, p.opts.MaxStarts-p.x.starts)
	var missing []want
	for _, w := range wanted {
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
	if w.reason != ReasonWaiting && p.x.base(r.demand.BaseModel).free <= p.spare(p.x.base(r.demand.BaseModel)) {
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
