package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// arrivals is the exponentially decayed arrival rate of requests for one adapter.
type arrivals struct {
	rate float64 // requests per second
	at   time.Time
}

// arrivalHalfLife is the half-life of an adapter's arrival rate. Demand moves to
// other adapters within seconds.
const arrivalHalfLife = 1500 * time.Millisecond

func (a *arrivals) decay(now time.Time) float64 {
	if age := now.Sub(a.at); age > 0 {
		a.rate *= math.Exp2(-float64(age) / float64(arrivalHalfLife))
		a.at = now
	}
	return a.rate
}

// RecordArrivals counts requests for an adapter.
func (t *Table) RecordArrivals(ref Ref, n int, now time.Time) {
	a := t.arrivals[ref]
	if a == nil {
		a = &arrivals{at: now}
		t.arrivals[ref] = a
	}
	a.decay(now)
	a.rate += float64(n) * math.Ln2 / arrivalHalfLife.Seconds()
}

// DesiredResident is a model or adapter that an engine should load.
type DesiredResident struct {
	Instance string
	Ref      Ref
	Reason   string
}

const (
	// replicasPerEngineLoad is the number of replicas for an adapter with one engine's share of
	// the load. More than one leaves capacity for uneven arrivals.
	replicasPerEngineLoad = 1.5
	// minReplicaRate is the lowest rate, in requests per second, at which an adapter gets
	// a second replica. Below it, one engine easily serves all of its requests.
	minReplicaRate = 3.0
	// maxReplicasPerPlan limits the replicas of one plan, so that they do not delay loads
	// for which requests wait.
	maxReplicasPerPlan = 2
	// minTrackedRate is the arrival rate below which an adapter's record is removed.
	minTrackedRate = 0.01
)

// Replicas returns additional replicas of popular adapters to load, so that no single
// engine has to serve all requests for one of them.
func (t *Table) Replicas(service string, now time.Time) []DesiredResident {
	var engines []*Engine
	for _, e := range t.Engines() {
		if e.Service == service && !t.isClosed(e) {
			engines = append(engines, e)
		}
	}
	type popular struct {
		ref  Ref
		rate float64
	}
	var list []popular
	total := 0.0
	for ref, a := range t.arrivals {
		rate := a.decay(now)
		total += rate
		if rate < minTrackedRate {
			delete(t.arrivals, ref)
		}
		if rate >= minReplicaRate {
			list = append(list, popular{ref, rate})
		}
	}
	slices.SortFunc(list, func(a, b popular) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), strings.Compare(a.ref.String(), b.ref.String()))
	})
	var out []DesiredResident
	for _, p := range list {
		target := int(math.Ceil(p.rate / total * float64(len(engines)) * replicasPerEngineLoad))
		if w, ok := t.planReplica(service, p.ref, target, now); ok {
			out = append(out, w)
		}
		if len(out) == maxReplicasPerPlan {
			break
		}
	}
	return out
}

const (
	// minMoveRate is the lowest rate, in requests per second, at which an adapter is loaded elsewhere before
	// its engine has left.
	minMoveRate = 0.3
	// maxMovesPerPlan limits the moves of one plan, so that they do not delay loads for which requests wait.
	maxMovesPerPlan = 4
)

// Moves returns the loads that bring adapters in demand to other engines, since all that hold them leave or are evacuated. It answers the
// load of days on which engines are replaced or a failure domain is emptied: their adapters would be loaded together when the first requests
// miss them.
func (t *Table) Moves(now time.Time) []DesiredResident {
	leaving := map[Ref]string{} // the service
	for _, e := range t.engines {
		if !t.isClosed(e) {
			continue
		}
		for ref := range e.residents {
			if a := t.arrivals[ref]; ref.Adapter != "" && a != nil && a.decay(now) >= minMoveRate {
				leaving[ref] = e.Service
			}
		}
	}
	refs := slices.SortedFunc(maps.Keys(leaving), func(a, b Ref) int {
		return cmp.Or(cmp.Compare(t.arrivals[b].rate, t.arrivals[a].rate), strings.Compare(a.String(), b.String()))
	})
	var out []DesiredResident
	for _, ref := range refs {
		engines := t.usable(Request{Service: leaving[ref], Ref: ref}, now)
		if t.holdsNewest(engines, ref) {
			continue
		}
		if best := t.bestForLoad(engines, ref, now); best != nil {
			out = append(out, DesiredResident{best.Instance, ref, "engine_leaves"})
		}
		if len(out) == maxMovesPerPlan {
			break
		}
	}
	return out
}

// planReplica returns the engine for another replica of an adapter that is resident on
// fewer engines than target.
func (t *Table) planReplica(service string, ref Ref, target int, now time.Time) (DesiredResident, bool) {
	engines := t.usable(Request{Service: service, Ref: ref}, now)
	// An engine with a limit does not carry an engine's part of the load.
	resident, carrying := 0, 0
	var free []*Engine
	for _, e := range engines {
		res := e.residents[ref]
		switch {
		case res == nil || res.version < t.newest[ref]:
			free = append(free, e)
		case e.limit == 0:
			carrying++
			fallthrough
		default:
			resident++
		}
	}
	if resident == 0 || carrying >= target {
		return DesiredResident{}, false
	}
	best := t.bestForLoad(free, ref, now)
	if best == nil {
		return DesiredResident{}, false
	}
	return DesiredResident{best.Instance, ref, "replica"}, true
}

// Outdated returns the loads that put newer versions into use. An adapter cannot be
// used while its version is replaced, so the newer version is loaded on another engine
// if one has a slot, and the old versions are unloaded once they are no longer used.
// An old version is replaced in its slot only if no other engine has one.
func (t *Table) Outdated(now time.Time) []DesiredResident {
	old := map[Ref][]*Engine{}
	for _, e := range t.Engines() {
		for ref, res := range e.residents {
			if res.version < t.newest[ref] && !res.unloading && !t.isClosed(e) {
				old[ref] = append(old[ref], e)
			}
		}
	}
	var out []DesiredResident
	for ref, outdated := range old {
		engines := t.usable(Request{Service: outdated[0].Service, Ref: ref}, now)
		if t.holdsNewest(engines, ref) {
			continue
		}
		free := slices.DeleteFunc(slices.Clone(engines), func(e *Engine) bool { return e.residents[ref] != nil })
		best := t.bestForLoad(free, ref, now)
		if best == nil {
			best = outdated[0]
		}
		out = append(out, DesiredResident{best.Instance, ref, "newer_version"})
	}
	slices.SortFunc(out, func(a, b DesiredResident) int { return strings.Compare(a.Ref.String(), b.Ref.String()) })
	return out
}

// holdsNewest reports whether the newest version is resident or loading on any of the
// engines.
func (t *Table) holdsNewest(engines []*Engine, ref Ref) bool {
	return slices.ContainsFunc(engines, func(e *Engine) bool {
		res := e.residents[ref]
		return res != nil && res.version >= t.newest[ref]
	})
}

// Models returns the model to load on each engine that holds none, as far as the rate limit of the weight store allows
// orders now.
func (t *Table) Models(now time.Time) []DesiredResident {
	var out []DesiredResident
	t.waitingModelLoads = 0
	planned := map[string]int{}
	for _, e := range t.Engines() {
		if t.isClosed(e) || !e.orderable || !t.isEngine(e) || !e.sequenceKnown || t.hasModel(e) {
			continue
		}
		ref := t.desiredModel(e, now)
		if ref == (Ref{}) {
			continue
		}
		if planned[e.Service] >= t.modelLoadsLeft(e.Service, now) {
			t.waitingModelLoads++
			continue
		}
		planned[e.Service]++
		out = append(out, DesiredResident{e.Instance, ref, "engine_without_model"})
	}
	return out
}

// WaitingModelLoads returns the number of engines that the last plan of model loads left waiting for the weight store's
// rate.
func (t *Table) WaitingModelLoads() int { return t.waitingModelLoads }

// hasModel reports whether the engine holds a model.
func (t *Table) hasModel(e *Engine) bool {
	for ref := range e.residents {
		if ref.Adapter == "" {
			return true
		}
	}
	return false
}

// desiredModel returns the model that fits the engine and has the highest arrival rate
// per engine that would then hold it.
func (t *Table) desiredModel(e *Engine, now time.Time) Ref {
	var best Ref
	most := -1.0
	for _, m := range t.services[e.Service].Engine.Models {
		ref := Ref{Model: m.Name}
		if !t.modelFits(e, ref) {
			continue
		}
		rate, engines := 0.0, 1.0
		for r, a := range t.arrivals {
			if r.Model == m.Name {
				rate += a.decay(now)
			}
		}
		for _, other := range t.engines {
			if other.residents[ref] != nil {
				engines++
			}
		}
		if rate/engines > most {
			best, most = ref, rate/engines
		}
	}
	return best
}

// modelFits reports whether the model fits in the engine's memory beside its residents.
func (t *Table) modelFits(e *Engine, ref Ref) bool {
	s := t.services[e.Service]
	if s == nil {
		return false
	}
	m, ok := s.Model(ref.Model)
	if !ok {
		return false
	}
	used := m.MB
	for r := range e.residents {
		if other, ok := s.Model(r.Model); ok && r != ref {
			if r.Adapter == "" {
				used += other.MB
			} else {
				used += other.AdapterMB
			}
		}
	}
	return used <= s.Engine.MemoryMB
}

const (
	// storeWindow is the window over which model loads are counted, and storeFraction the
	// fraction of the weight store's rate that is used. Loads may start later than
	// ordered, so a fully used window could exceed the rate.
	storeWindow   = 5 * time.Second
	storeFraction = 0.8
)

// modelLoadsLeft returns the number of model loads that the weight store's rate allows to order now.
func (t *Table) modelLoadsLeft(service string, now time.Time) int {
	s := t.services[service]
	if s == nil || s.Engine == nil {
		return 0
	}
	most := int(max(1, s.Engine.LoadsPerSecond*storeWindow.Seconds()*storeFraction))
	return most - len(t.storeLoads(service).within(now))
}

// storeLoads returns the model loads of a service.
func (t *Table) storeLoads(service string) *storeLoads {
	s := t.stores[service]
	if s == nil {
		s = &storeLoads{}
		t.stores[service] = s
	}
	return s
}

// within returns the loads in the current window.
func (s *storeLoads) within(now time.Time) []modelLoad {
	s.loads = slices.DeleteFunc(s.loads, func(l modelLoad) bool { return now.Sub(l.at) >= storeWindow })
	return s.loads
}

// add counts an order that is about to be sent, and remove one that its engine has not accepted.
func (s *storeLoads) add(instance string, now time.Time) {
	s.loads = append(s.within(now), modelLoad{instance, now})
}

func (s *storeLoads) remove(instance string) {
	for i, l := range slices.Backward(s.loads) {
		if l.instance == instance {
			s.loads = slices.Delete(s.loads, i, i+1)
			return
		}
	}
}

const (
	// minRetirement is how long an adapter is retired before it is unloaded. After two
	// exchanges no host sends requests to it any more, and the last ones have been
	// reported. An unload that waits for a request blocks all other orders to its
	// engine.
	minRetirement = 600 * time.Millisecond
	// spareSlotDivisor divides the number of an engine's slots to give the number that should
	// be free or retired. One engine gets up to ten loads per second.
	spareSlotDivisor = 5
)

// Retire marks the adapters to unload for the next loads. A retired adapter is used
// again as soon as a request asks for it.
func (t *Table) Retire(now time.Time) {
	for _, e := range t.engines {
		s := t.services[e.Service]
		if s == nil || s.Engine == nil || t.isClosed(e) {
			continue
		}
		spare := t.freeSlots(e, now)
		for _, res := range e.residents {
			if !res.retiredAt.IsZero() || res.unloading {
				spare++
			}
		}
		for target := max(1, s.Engine.AdapterSlots/spareSlotDivisor); spare < target; spare++ {
			ref := t.leastRecentlyUsed(e, func(res *resident) bool { return res.retiredAt.IsZero() && t.idle(res, now) })
			if ref == (Ref{}) {
				break
			}
			e.residents[ref].retiredAt = now
			t.markChanged(e)
		}
	}
}

// unretire puts a retired adapter into use again.
func (t *Table) unretire(e *Engine, res *resident) {
	if !res.retiredAt.IsZero() {
		res.retiredAt = time.Time{}
		t.markChanged(e)
	}
}
