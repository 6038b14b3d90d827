package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// arrivals is the decayed rate of requests for one adapter.
type arrivals struct {
	rate float64 // requests per second
	at   time.Time
}

// arrivalHalfLife is how fast the rate of an adapter follows its arrivals.
// Demand moves to other adapters within seconds.
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

// DesiredResident is a copy that an engine should hold.
type DesiredResident struct {
	Instance string
	Ref      Ref
	Reason   string
}

const (
	// replicaShare is how many copies an adapter with the load of one engine
	// gets. More than one leaves room for uneven arrivals.
	replicaShare = 1.5
	// replicaRate is the rate in requests per second from which an adapter gets
	// a second copy. Below, an engine serves all of its requests with ease.
	replicaRate = 3.0
	// replicasPerPlan bounds the copies ordered by one plan, so that requests
	// that wait for a load are not held back.
	replicasPerPlan = 2
	// forgetRate is the rate below which an adapter is forgotten.
	forgetRate = 0.01
)

// Replicas returns further copies of popular adapters, so that no engine has to
// carry a popular one alone.
func (t *Table) Replicas(service string, now time.Time) []DesiredResident {
	var engines []*Engine
	for _, e := range t.Engines() {
		if e.Service == service && !e.Draining {
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
		if rate < forgetRate {
			delete(t.arrivals, ref)
		}
		if rate >= replicaRate {
			list = append(list, popular{ref, rate})
		}
	}
	slices.SortFunc(list, func(a, b popular) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), strings.Compare(a.ref.String(), b.ref.String()))
	})
	var out []DesiredResident
	for _, p := range list {
		want := int(math.Ceil(p.rate / total * float64(len(engines)) * replicaShare))
		if w, ok := t.replica(service, p.ref, want, now); ok {
			out = append(out, w)
		}
		if len(out) == replicasPerPlan {
			break
		}
	}
	return out
}

func (t *Table) replica(service string, ref Ref, want int, now time.Time) (DesiredResident, bool) {
	engines := t.usable(Request{Service: service, Ref: ref}, now)
	have := 0
	var free []*Engine
	for _, e := range engines {
		if h := e.held[ref]; h != nil && h.version >= t.newest[ref] {
			have++
		} else {
			free = append(free, e)
		}
	}
	if have == 0 || have >= want {
		return DesiredResident{}, false
	}
	best := t.bestPlace(free, ref, now)
	if best == nil {
		return DesiredResident{}, false
	}
	return DesiredResident{best.Instance, ref, "replica"}, true
}

// Outdated returns the loads that bring a newer version into use. A copy cannot be
// used while it is replaced, so that the newer version goes to another engine
// where there is a place, and old copies give way as they fall out of use. An old
// copy is replaced when no other engine has a place.
func (t *Table) Outdated(now time.Time) []DesiredResident {
	old := map[Ref][]*Engine{}
	for _, e := range t.Engines() {
		for ref, h := range e.held {
			if h.version < t.newest[ref] && !h.unloading && !e.Draining {
				old[ref] = append(old[ref], e)
			}
		}
	}
	var out []DesiredResident
	for ref, holders := range old {
		engines := t.usable(Request{Service: holders[0].Service, Ref: ref}, now)
		if t.holdsNewest(engines, ref) {
			continue
		}
		free := slices.DeleteFunc(slices.Clone(engines), func(e *Engine) bool { return e.held[ref] != nil })
		best := t.bestPlace(free, ref, now)
		if best == nil {
			best = holders[0]
		}
		out = append(out, DesiredResident{best.Instance, ref, "newer_version"})
	}
	slices.SortFunc(out, func(a, b DesiredResident) int { return strings.Compare(a.Ref.String(), b.Ref.String()) })
	return out
}

func (t *Table) holdsNewest(engines []*Engine, ref Ref) bool {
	return slices.ContainsFunc(engines, func(e *Engine) bool {
		h := e.held[ref]
		return h != nil && h.version >= t.newest[ref]
	})
}

// Models returns the engines that hold no model and the model that each should
// load, within the rate of the weight store.
func (t *Table) Models(now time.Time) []DesiredResident {
	var out []DesiredResident
	for _, e := range t.Engines() {
		if e.Draining || !e.open || !t.isEngine(e) || !e.sequenceKnown || t.modelOf(e) {
			continue
		}
		ref := t.wantedModel(e, now)
		if ref == (Ref{}) || !t.storeAllows(e.Service, now) {
			continue
		}
		out = append(out, DesiredResident{e.Instance, ref, "engine_without_model"})
	}
	return out
}

func (t *Table) modelOf(e *Engine) bool {
	for ref := range e.held {
		if ref.Adapter == "" {
			return true
		}
	}
	return false
}

// wantedModel returns the model with the most arrivals for each engine that
// holds it.
func (t *Table) wantedModel(e *Engine, now time.Time) Ref {
	var best Ref
	most := -1.0
	for _, m := range t.services[e.Service].Engine.Models {
		ref := Ref{Model: m.Name}
		if !t.modelFits(e, ref) {
			continue
		}
		rate, holders := 0.0, 1.0
		for r, a := range t.arrivals {
			if r.Model == m.Name {
				rate += a.decay(now)
			}
		}
		for _, other := range t.engines {
			if other.held[ref] != nil {
				holders++
			}
		}
		if rate/holders > most {
			best, most = ref, rate/holders
		}
	}
	return best
}

// modelFits tells whether a model fits beside what the engine holds.
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
	for r := range e.held {
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
	// storeWindow is the window over which model loads are counted, and storePart
	// the part of the store's rate that is used. Loads may begin later than
	// ordered, so that a full window would pass the rate.
	storeWindow = 5 * time.Second
	storePart   = 0.8
)

// storeAllows counts a model load against the rate of the store.
func (t *Table) storeAllows(service string, now time.Time) bool {
	s := t.stores[service]
	if s == nil {
		s = &storeLoads{}
		t.stores[service] = s
	}
	s.starts = slices.DeleteFunc(s.starts, func(at time.Time) bool { return now.Sub(at) >= storeWindow })
	most := t.services[service].Engine.LoadsPerSecond * storeWindow.Seconds() * storePart
	if float64(len(s.starts)+1) > max(1, most) {
		return false
	}
	s.starts = append(s.starts, now)
	return true
}

const (
	// retireTime is how long an adapter is retired before it is unloaded: two
	// exchanges, after which no host sends requests to it, and its last ones are
	// reported. An unload that waits for a request keeps its engine from all other
	// orders.
	retireTime = 600 * time.Millisecond
	// retiredPart is the part of an engine's places that are free or retired, as a
	// divisor. Loads come at up to ten a second at one engine.
	retiredPart = 5
)

// Retire picks the adapters that make room for the next loads. A retired adapter
// that is asked for again is used again at once.
func (t *Table) Retire(now time.Time) {
	for _, e := range t.engines {
		s := t.services[e.Service]
		if s == nil || s.Engine == nil || e.Draining {
			continue
		}
		spare := t.free(e)
		for _, h := range e.held {
			if !h.retiredAt.IsZero() || h.unloading {
				spare++
			}
		}
		for want := max(1, s.Engine.AdapterSlots/retiredPart); spare < want; spare++ {
			ref := oldest(e, func(h *held) bool { return h.retiredAt.IsZero() && t.idle(h, now) })
			if ref == (Ref{}) {
				break
			}
			e.held[ref].retiredAt = now
			t.touch(e)
		}
	}
}

// revive takes a retired copy into use again.
func (t *Table) revive(e *Engine, h *held) {
	if !h.retiredAt.IsZero() {
		h.retiredAt = time.Time{}
		t.touch(e)
	}
}
