package residency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
)

const (
	service = "llm"
	model   = "m"
)

// engineSim is an engine as its protocol describes it.
type engineSim struct {
	instance string
	places   int
	sequence uint64
	held     map[string]bool
	coming   map[string]time.Time
	running  map[string]int
	// waiting is an adapter whose unload waits for its runs.
	waiting string
	crashed string
}

// settle ends loads whose time has come.
func (s *engineSim) settle(now time.Time) {
	for a, at := range s.coming {
		if !at.After(now) {
			delete(s.coming, a)
			s.held[a] = true
		}
	}
	if s.waiting != "" && s.running[s.waiting] == 0 {
		delete(s.held, s.waiting)
		s.waiting = ""
	}
}

// order carries an order out as an engine does.
func (s *engineSim) order(o Order, takes time.Duration, now time.Time) Outcome {
	s.settle(now)
	switch {
	case s.waiting != "" || o.Expect != s.sequence:
		return Conflict
	case o.Unload && !s.held[o.Ref.Adapter]:
		return Done
	case o.Unload && s.running[o.Ref.Adapter] > 0:
		s.sequence++
		s.waiting = o.Ref.Adapter
		return Accepted
	case o.Unload:
		s.sequence++
		delete(s.held, o.Ref.Adapter)
		return Done
	case s.held[o.Ref.Adapter]:
		return Done
	case len(s.coming) >= 4:
		return Conflict
	case len(s.held)+len(s.coming) >= s.places:
		s.crashed = fmt.Sprintf("load of %s beside %d held and %d coming", o.Ref.Adapter, len(s.held), len(s.coming))
		return Unknown
	}
	s.sequence++
	s.coming[o.Ref.Adapter] = now.Add(takes)
	return Accepted
}

func (s *engineSim) report(now time.Time) Report {
	s.settle(now)
	r := Report{Sequence: s.sequence, Busy: s.waiting != "", Held: []Resident{{Ref: Ref{Model: model}, Version: 1}}}
	for a := range s.held {
		r.Held = append(r.Held, Resident{Ref{model, a}, 1})
	}
	for a := range s.coming {
		r.Loading = append(r.Loading, Resident{Ref{model, a}, 1})
	}
	return r
}

func (s *engineSim) listed(now time.Time) ListedEngine {
	return ListedEngine{Instance: s.instance, Service: service, Address: s.instance, Slots: 64, Held: s.report(now).Held}
}

// late is an order that is carried out after its time.
type late struct {
	order  Order
	engine *engineSim
	at     time.Time
}

// play asks for adapters at random for a while and returns the engines. Orders
// lose their answers, are carried out late, and loads take their time.
func play(t *testing.T, seed uint64, lost, lateShare float64, slow int) ([]*engineSim, *Table, int) {
	t.Helper()
	t.Log("seed ", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(1000, 0)
	table := New(Options{})
	cat, err := catalog.New(catalog.Catalog{Services: []catalog.Service{{Name: service, Engine: &catalog.Engine{
		AdapterSlots: 6, MemoryMB: 1000, LoadsPerSecond: 3,
		Models: []catalog.Model{{Name: model, MB: 500, AdapterMB: 10, Load: time.Second}},
	}}}})
	must.NoError(t, err)
	table.SetCatalog(cat)
	var engines []*engineSim
	var list []ListedEngine
	for i := range 3 {
		e := &engineSim{instance: fmt.Sprint("e", i), places: 6, held: map[string]bool{}, coming: map[string]time.Time{}, running: map[string]int{}}
		engines = append(engines, e)
		list = append(list, e.listed(now))
	}
	table.ObserveList(list, now)
	var delayed []late
	served := 0
	for step := range 6000 {
		now = now.Add(5 * time.Millisecond)
		for _, e := range engines {
			table.SetOrderable(e.instance, true)
			if table.NeedsReport(e.instance, now) {
				table.ObserveReport(e.instance, e.report(now), now)
			}
			if step%20 == 0 {
				for a := range e.running {
					e.running[a] = 0
				}
			}
		}
		if step%100 == 0 {
			list = nil
			for _, e := range engines {
				list = append(list, e.listed(now))
			}
			table.ObserveList(list, now)
		}
		table.Retire(now)
		delayed = slices.DeleteFunc(delayed, func(l late) bool {
			if l.at.After(now) {
				return false
			}
			l.engine.order(l.order, 50*time.Millisecond, now)
			return true
		})
		ref := Ref{model, fmt.Sprint("a", int(30*rng.Float64()*rng.Float64()))}
		choice := table.Acquire(Request{Service: service, Ref: ref}, now)
		if choice.Instance == "" {
			continue
		}
		e := engines[choice.Instance[1]-'0']
		for range 3 {
			o, verdict := table.Next(choice.Instance, ref, now)
			if verdict != Send {
				break
			}
			takes := 30 * time.Millisecond * time.Duration(1+rng.IntN(slow))
			switch {
			case rng.Float64() < lateShare:
				delayed = append(delayed, late{o, e, now.Add(time.Duration(2+rng.IntN(8)) * time.Second)})
				table.RecordOutcome(o, Unknown, now)
			case rng.Float64() < lost:
				e.order(o, takes, now)
				table.RecordOutcome(o, Unknown, now)
			default:
				table.RecordOutcome(o, e.order(o, takes, now), now)
			}
		}
		e.settle(now)
		if e.held[ref.Adapter] {
			served++
			e.running[ref.Adapter] = 1
		}
		for _, e := range engines {
			must.Eq(t, "", e.crashed, must.Sprint("step ", step))
		}
	}
	return engines, table, served
}

// An engine that is ordered to load more than it has places for crashes.
func TestNoLoadBeyondPlaces(t *testing.T) {
	for seed := range uint64(8) {
		_, _, served := play(t, seed, 0, 0, 1)
		must.Greater(t, 1500, served)
		play(t, seed, 0.1, 0.2, 1)
		// Loads that take much longer than estimated.
		play(t, seed, 0.05, 0.05, 40)
	}
}

// An adapter of which a newer version is named must be loaded at another engine
// first, so that requests for it go on.
func TestNewerVersionBesideOldOne(t *testing.T) {
	_, table, _ := play(t, 1, 0, 0, 1)
	now := time.Unix(2000, 0)
	var ref Ref
	for _, e := range table.Engines() {
		for r, h := range e.held {
			h.lastUse, h.retiredAt, h.readyAt = now.Add(-time.Hour), time.Time{}, now.Add(-time.Hour)
			if r.Adapter != "" && ref == (Ref{}) && !slices.ContainsFunc(table.Engines(), func(o *Engine) bool { return o != e && o.held[r] != nil }) {
				ref = r
			}
		}
	}
	must.NotEq(t, Ref{}, ref)
	table.SetNewest(ref, 2)
	wanted := slices.DeleteFunc(table.Outdated(now), func(w DesiredResident) bool { return w.Ref != ref })
	must.Len(t, 1, wanted)
	must.Nil(t, table.engines[wanted[0].Instance].held[ref])
}

// Retired adapters that are asked for again must be used at once, and hosts must
// not be told of them before.
func TestRetiredAdapterIsRevived(t *testing.T) {
	_, table, _ := play(t, 2, 0, 0, 1)
	now := time.Unix(3000, 0)
	table.Retire(now)
	var ref Ref
	for _, e := range table.Engines() {
		for r, h := range e.held {
			if !h.retiredAt.IsZero() {
				ref = r
			}
		}
		for _, c := range e.Residents(now) {
			must.True(t, e.held[c.Ref].retiredAt.IsZero())
		}
	}
	must.NotEq(t, Ref{}, ref)
	choice := table.Acquire(Request{Service: service, Ref: ref}, now)
	must.False(t, choice.Load)
	must.True(t, table.engines[choice.Instance].held[ref].retiredAt.IsZero())
}

// A popular adapter on one engine must get further copies, an unpopular one none.
func TestReplicas(t *testing.T) {
	_, table, _ := play(t, 3, 0, 0, 1)
	now := time.Unix(4000, 0)
	hot, cold := Ref{model, "a0"}, Ref{model, "a1"}
	for _, e := range table.Engines() {
		delete(e.held, hot)
		for _, h := range e.held {
			h.lastUse, h.orderedAt = now.Add(-time.Hour), now.Add(-time.Hour)
		}
	}
	table.engines["e0"].held[hot] = &held{version: 1, lastUse: now}
	for range 40 {
		table.RecordArrivals(hot, 5, now)
		table.RecordArrivals(cold, 1, now)
	}
	got := table.Replicas(service, now)
	must.SliceContainsFunc(t, got, hot, func(w DesiredResident, r Ref) bool { return w.Ref == r })
}

// An engine that answers nothing must not be chosen for load after load, although
// it looks idle.
func TestSilentEngineIsLeftAlone(t *testing.T) {
	_, table, _ := play(t, 4, 0, 0, 1)
	now := time.Unix(5000, 0)
	chosen := 0
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		ref := Ref{model, fmt.Sprint("b", i)}
		choice := table.Acquire(Request{Service: service, Ref: ref}, now)
		if choice.Instance == "" {
			continue
		}
		o, verdict := table.Next(choice.Instance, ref, now)
		if verdict != Send {
			continue
		}
		if choice.Instance == "e0" {
			chosen++
			table.RecordOutcome(o, Unknown, now.Add(80*time.Millisecond))
			continue
		}
		table.RecordOutcome(o, Conflict, now)
	}
	must.Positive(t, chosen)
	must.Less(t, 12, chosen)
}

// Engines that come back empty together must not be given more model loads than the
// weight store allows, and each must get its model in the end.
func TestModelLoadsWithinRate(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(Options{})
	cat, err := catalog.New(catalog.Catalog{Services: []catalog.Service{{Name: service, Engine: &catalog.Engine{
		AdapterSlots: 4, MemoryMB: 1000, LoadsPerSecond: 1,
		Models: []catalog.Model{{Name: model, MB: 500, Load: 2 * time.Second}, {Name: "huge", MB: 5000, Load: time.Second}},
	}}}})
	must.NoError(t, err)
	table.SetCatalog(cat)
	var list []ListedEngine
	for i := range 12 {
		list = append(list, ListedEngine{Instance: fmt.Sprint("e", i), Service: service, Address: "x"})
	}
	table.ObserveList(list, now)
	for _, l := range list {
		table.SetOrderable(l.Instance, true)
		table.ObserveReport(l.Instance, Report{}, now)
	}
	var starts []time.Time
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		for _, w := range table.Models(now) {
			must.Eq(t, Ref{Model: model}, w.Ref)
			o, verdict := table.Next(w.Instance, w.Ref, now)
			must.Eq(t, Send, verdict)
			table.RecordOutcome(o, Accepted, now)
			starts = append(starts, now)
		}
	}
	must.Len(t, len(list), starts)
	for i, at := range starts {
		inWindow := 0
		for _, other := range starts[i:] {
			if other.Sub(at) < 5*time.Second {
				inWindow++
			}
		}
		// The contract: rate x window x 1.1 + 3.
		must.LessEq(t, 8, inWindow)
	}
}

// The bound on loads from the store must hold, and must grow with the fleet: a
// store for a hundred engines serves more at once than one for ten.
func TestColdLoadsAtOnce(t *testing.T) {
	for _, engines := range []int{9, 90} {
		now := time.Unix(1000, 0)
		table := New(Options{})
		cat, err := catalog.New(catalog.Catalog{Services: []catalog.Service{{Name: service, Engine: &catalog.Engine{
			AdapterSlots: 20, MemoryMB: 1e6, Models: []catalog.Model{{Name: model, MB: 500, AdapterMB: 1}},
		}}}})
		must.NoError(t, err)
		table.SetCatalog(cat)
		var list []ListedEngine
		for i := range engines {
			list = append(list, ListedEngine{Instance: fmt.Sprint("e", i), Service: service, Address: "x", Held: []Resident{{Ref: Ref{Model: model}, Version: 1}}})
		}
		table.ObserveList(list, now)
		for _, l := range list {
			table.SetOrderable(l.Instance, true)
			table.ObserveReport(l.Instance, Report{Held: l.Held}, now)
		}
		accepted := 0
		for i := range 400 {
			ref := Ref{model, fmt.Sprint("a", i)}
			choice := table.Acquire(Request{Service: service, Ref: ref}, now)
			if choice.Instance == "" {
				must.Eq(t, "no_place_store_loads", choice.Reason)
				continue
			}
			o, verdict := table.Next(choice.Instance, ref, now)
			must.Eq(t, Send, verdict)
			table.RecordOutcome(o, Accepted, now)
			accepted++
		}
		must.Eq(t, max(16, engines), accepted)
	}
}
