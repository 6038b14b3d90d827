package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/placement"
)

// Snapshot returns the input of the placement planner. Its order does not depend
// on map iteration.
func (t *Table) Snapshot(now time.Time) placement.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := placement.Snapshot{
		Now:        now,
		LoadStarts: slices.Clone(t.loadStarts),
		Demand:     t.demandSnapshot(now),
		Failures:   t.failureSnapshot(),
	}
	for _, name := range slices.Sorted(maps.Keys(t.engines)) {
		s.Engines = append(s.Engines, t.engineSnapshot(name))
	}
	for _, team := range t.conf.Teams() {
		s.Teams = append(s.Teams, placement.Team{Name: team.GetName(), MaxSlots: int(team.GetMaxSlots())})
	}
	return s
}

func (t *Table) engineSnapshot(name string) placement.Engine {
	e := t.engines[name]
	out := placement.Engine{
		Name:          name,
		FailureDomain: e.backend.GetFailureDomain(),
		BaseModel:     e.backend.GetBaseModel(),
		Slots:         int(e.backend.GetSlots()),
		Healthy:       e.known && e.healthy,
		Leaving:       e.leaving,
	}
	for _, ref := range e.sortedRefs() {
		sl := e.slots[ref]
		out.Residents = append(out.Residents, placement.Resident{
			Ref:      placement.Ref(ref),
			State:    placementState(sl.state),
			InFlight: int(t.inFlight[slotKey{engine: name, ref: ref}]),
			LastUsed: sl.lastUsed,
			Since:    sl.since,
		})
	}
	return out
}

func placementState(s apiv1.SlotState) placement.State {
	switch s {
	case apiv1.SlotState_SLOT_STATE_LOADING:
		return placement.Loading
	case apiv1.SlotState_SLOT_STATE_DRAINING:
		return placement.Draining
	default:
		return placement.Ready
	}
}

func (t *Table) demandSnapshot(now time.Time) []placement.Demand {
	refs := slices.SortedFunc(maps.Keys(t.demand), compareRefs)
	out := make([]placement.Demand, 0, len(refs))
	for _, ref := range refs {
		d := t.demand[ref]
		a, ok := t.conf.Adapter(ref.Adapter)
		if !ok || !t.published(ref) {
			continue
		}
		waiting, oldest := t.sumWaiting(d, now)
		out = append(out, placement.Demand{
			Ref:        placement.Ref(ref),
			BaseModel:  a.GetBaseModel(),
			Team:       d.team,
			Waiting:    waiting,
			OldestWait: oldest,
			Arrivals:   d.rateAt(now),
		})
	}
	return out
}

func (t *Table) failureSnapshot() []placement.Failure {
	keys := slices.SortedFunc(maps.Keys(t.failures), func(a, b failureKey) int {
		return cmp.Or(compareRefs(a.ref, b.ref), cmp.Compare(a.engine, b.engine))
	})
	out := make([]placement.Failure, 0, len(keys))
	for _, k := range keys {
		f := t.failures[k]
		out = append(out, placement.Failure{Ref: placement.Ref(k.ref), Engine: k.engine, At: f.at, Count: f.count})
	}
	return out
}
