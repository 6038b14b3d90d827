package placement

import (
	"slices"
	"time"
)

// slotPosition identifies an adapter slot by the index of the engine in the
// snapshot and of the resident on the engine.
type slotPosition struct{ engine, slot int }

// refState is the planner's state of one adapter version.
type refState struct {
	ref                      Ref
	team                     string
	demand                   *Demand
	residents                []slotPosition
	ready, loading, draining int // on usable engines
	inFlight                 int
	superseded               bool
	failures                 []*Failure
	retryAt                  time.Time // end of the fleet-wide backoff
}

func (r *refState) waiting() int {
	if r.demand == nil {
		return 0
	}
	return r.demand.Waiting
}

func (r *refState) arrivals() float64 {
	if r.demand == nil {
		return 0
	}
	return r.demand.Arrivals
}

// engineState is an engine with the planner's counters.
type engineState struct {
	*Engine
	free, draining, inFlight int
	// assigned is the number of loads planned in this call.
	assigned int
}

func (e *engineState) usable() bool             { return e.Healthy && !e.Leaving }
func (e *engineState) resident(i int) *Resident { return &e.Residents[i] }

// teamState counts a team's slots and recent loads. The draining slots are
// included in slots.
type teamState struct {
	name            string
	maxSlots        int
	slots, draining int
	recentLoads     int
}

// atLimit reports whether the team may not load another adapter.
func (t *teamState) atLimit() bool { return t.maxSlots > 0 && t.slots >= t.maxSlots }

// atLimitAfterDrains reports whether the team may not load another adapter even
// after the running drains.
func (t *teamState) atLimitAfterDrains() bool { return t.atLimit() && t.slots-t.draining >= t.maxSlots }

// baseState counts the usable slots of the engines of one base model.
type baseState struct{ slots, free, draining int }

// index holds the lookup tables of one Plan call. Its memory is reused.
type index struct {
	now     time.Time
	opts    *Options
	engines []engineState
	refs    []refState
	byRef   map[Ref]int
	best    map[string]int // adapter to its ready version with the most demand
	teams   map[string]*teamState
	bases   map[string]*baseState
	starts  int // loads started within the last second
	loading int // loads in flight
}

func (x *index) build(s *Snapshot, opts *Options) {
	x.now, x.opts, x.loading, x.starts = s.Now, opts, 0, 0
	if x.byRef == nil {
		x.byRef = map[Ref]int{}
	}
	clear(x.byRef)
	x.refs = x.refs[:0]
	x.teams = map[string]*teamState{}
	for _, t := range s.Teams {
		x.teams[t.Name] = &teamState{name: t.Name, maxSlots: t.MaxSlots}
	}
	for i := range s.Demand {
		d := &s.Demand[i]
		r := x.ref(d.Ref)
		r.demand, r.team = d, d.Team
	}
	x.buildEngines(s)
	for i := range s.Failures {
		x.addFailure(&s.Failures[i])
	}
	x.markSuperseded()
	for _, start := range s.LoadStarts {
		if s.Now.Sub(start) < time.Second {
			x.starts++
		}
	}
}

// ref returns the state of an adapter version and adds it if necessary. The
// pointer is valid until another version is added.
func (x *index) ref(ref Ref) *refState {
	i, ok := x.byRef[ref]
	if !ok {
		i = len(x.refs)
		x.byRef[ref] = i
		if i < cap(x.refs) {
			x.refs = x.refs[:i+1]
			old := &x.refs[i]
			*old = refState{residents: old.residents[:0], failures: old.failures[:0]}
		} else {
			x.refs = append(x.refs, refState{})
		}
		x.refs[i].ref = ref
	}
	return &x.refs[i]
}

func (x *index) team(name string) *teamState {
	t := x.teams[name]
	if t == nil {
		t = &teamState{name: name}
		x.teams[name] = t
	}
	return t
}

func (x *index) buildEngines(s *Snapshot) {
	x.engines = x.engines[:0]
	x.bases = map[string]*baseState{}
	for i := range s.Engines {
		e := engineState{Engine: &s.Engines[i]}
		e.free = max(0, e.Slots-len(e.Residents))
		for j := range e.Residents {
			x.addResident(&e, slotPosition{i, j})
		}
		x.engines = append(x.engines, e)
		b := x.base(e.BaseModel)
		if e.usable() {
			b.slots += e.Slots
			b.free += e.free
			b.draining += e.draining
		}
	}
}

func (x *index) base(name string) *baseState {
	b := x.bases[name]
	if b == nil {
		b = &baseState{}
		x.bases[name] = b
	}
	return b
}

func (x *index) addResident(e *engineState, pos slotPosition) {
	res := e.resident(pos.slot)
	r := x.ref(res.Ref)
	r.residents = append(r.residents, pos)
	e.inFlight += res.InFlight
	r.inFlight += res.InFlight
	t := x.team(r.team)
	if res.State == Loading {
		x.loading++
	}
	t.slots++
	if res.State != Draining {
		if res.State == Loading || x.now.Sub(res.Since) < x.opts.FairnessWindow {
			t.recentLoads++
		}
	} else {
		e.draining++
		t.draining++
	}
	if !e.usable() {
		return
	}
	switch res.State {
	case Loading:
		r.loading++
	case Ready:
		r.ready++
	case Draining:
		r.draining++
	}
}

// addFailure records a failed load. When loads have failed on a second engine, it
// also sets a backoff for the whole fleet, so that retries of damaged weights do
// not use up the weight store's capacity.
func (x *index) addFailure(f *Failure) {
	i, ok := x.byRef[f.Ref]
	if !ok {
		return
	}
	r := &x.refs[i]
	r.failures = append(r.failures, f)
	if len(r.failures) < 2 {
		return
	}
	total, last := 0, time.Time{}
	for _, o := range r.failures {
		total += o.Count
		if o.At.After(last) {
			last = o.At
		}
	}
	r.retryAt = last.Add(x.backoff(total - 1))
}

// backoff returns the delay after the given number of consecutive failures.
func (x *index) backoff(count int) time.Duration {
	d := x.opts.Backoff
	for ; count > 1 && d < x.opts.MaxBackoff; count-- {
		d *= 2
	}
	return min(d, x.opts.MaxBackoff)
}

// inBackoff reports whether a load of r on the engine must wait after a failure.
func (x *index) inBackoff(r *refState, engine string) bool {
	for _, f := range r.failures {
		if f.Engine == engine && x.now.Before(f.At.Add(x.backoff(f.Count))) {
			return true
		}
	}
	return false
}

// markSuperseded marks versions without waiting requests for which another
// version of the adapter is ready and has more demand.
func (x *index) markSuperseded() {
	if x.best == nil {
		x.best = map[string]int{}
	}
	best := x.best
	clear(best)
	for i := range x.refs {
		r := &x.refs[i]
		if r.ready == 0 {
			continue
		}
		if j, ok := best[r.ref.Adapter]; !ok || r.arrivals() > x.refs[j].arrivals() {
			best[r.ref.Adapter] = i
		}
	}
	for i := range x.refs {
		r := &x.refs[i]
		j, ok := best[r.ref.Adapter]
		r.superseded = ok && j != i && r.waiting() == 0 && r.arrivals() < x.refs[j].arrivals()
	}
}

func (r *refState) residentOn(engine int) bool {
	return slices.ContainsFunc(r.residents, func(pos slotPosition) bool { return pos.engine == engine })
}
