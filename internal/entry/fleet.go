package entry

import (
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/cowmap"
)

// maxLoadAge is the maximum age of an engine's last scrape by the control leader
// for the engine to be usable. An older scrape means that the leader cannot reach
// this engine.
const maxLoadAge = 5 * time.Second

// engineEntry is the last status of an engine from the control leader. It is
// immutable.
type engineEntry struct {
	status   *apiv1.EngineStatus
	received time.Time
}

// loadAge returns the age of the engine's own counts.
func (r *engineEntry) loadAge(now time.Time) time.Duration {
	return time.Duration(r.status.GetLoadAgeMs())*time.Millisecond + now.Sub(r.received)
}

func (r *engineEntry) usable() bool {
	st := r.status
	return st.GetHealthy() && !st.GetLeaving() && time.Duration(st.GetLoadAgeMs())*time.Millisecond <= maxLoadAge
}

// fleetTable is one immutable version of the fleet, on which dispatch decides.
type fleetTable struct {
	term, version uint64
	received      time.Time
	engines       cowmap.Map[*engineEntry]
	// ready holds the sorted names of the engines on which a model is ready, by
	// model name.
	ready cowmap.Map[[]string]
}

// modelName returns the name of an adapter version at the engines.
func modelName(ref *apiv1.AdapterRef) string { return ref.GetAdapter() + ":" + ref.GetVersion() }

// apply returns the table after the response to a report, and the ready models
// of the engines in the response. Its cost grows with the number of these
// engines, not with the table.
func (t *fleetTable) apply(resp *apiv1.ReportResponse, received time.Time) (*fleetTable, []string) {
	if resp.GetTerm() < t.term {
		return t, nil // a late response of an earlier leader
	}
	if resp.GetTerm() == t.term && resp.GetFleetVersion() < t.version {
		return t, nil
	}
	next := &fleetTable{term: resp.GetTerm(), version: resp.GetFleetVersion(), received: received}
	edit := tableEdit{engines: t.engines.Edit(), ready: t.ready.Edit()}
	if resp.GetFull() {
		edit.dropOthers(t, resp.GetEngines())
	}
	for _, st := range resp.GetEngines() {
		edit.put(&engineEntry{status: st, received: received})
	}
	next.engines, next.ready = edit.engines.Map(), edit.ready.Map()
	return next, edit.changedModels
}

type tableEdit struct {
	engines       *cowmap.Editor[*engineEntry]
	ready         *cowmap.Editor[[]string]
	changedModels []string
}

func (e *tableEdit) dropOthers(t *fleetTable, keep []*apiv1.EngineStatus) {
	names := make(map[string]bool, len(keep))
	for _, st := range keep {
		names[st.GetName()] = true
	}
	for name, entry := range t.engines.All {
		if !names[name] {
			e.unindex(entry)
			e.engines.Delete(name)
		}
	}
}

func (e *tableEdit) put(entry *engineEntry) {
	name := entry.status.GetName()
	old, known := e.engines.Get(name)
	if known && entry.status.GetSlotsUnchanged() {
		entry.status.Slots = old.status.GetSlots()
	}
	e.engines.Put(name, entry)
	if known && sameSlots(old.status.GetSlots(), entry.status.GetSlots()) {
		// Most responses change only an engine's load.
		e.markChanged(entry)
		return
	}
	if known {
		e.unindex(old)
	}
	for _, slot := range entry.status.GetSlots() {
		if slot.GetState() != apiv1.SlotState_SLOT_STATE_READY {
			continue
		}
		model := modelName(slot.GetRef())
		list, _ := e.ready.Get(model)
		if at, found := slices.BinarySearch(list, name); !found {
			// Lists are shared between table versions and never changed in place.
			e.ready.Put(model, slices.Insert(slices.Clone(list), at, name))
		}
	}
	e.markChanged(entry)
}

// markChanged records the models whose waiting requests may now find an engine.
func (e *tableEdit) markChanged(entry *engineEntry) {
	for _, slot := range entry.status.GetSlots() {
		if slot.GetState() == apiv1.SlotState_SLOT_STATE_READY {
			e.changedModels = append(e.changedModels, modelName(slot.GetRef()))
		}
	}
}

func sameSlots(a, b []*apiv1.Slot) bool {
	return slices.EqualFunc(a, b, func(a, b *apiv1.Slot) bool {
		return a.GetState() == b.GetState() && a.GetRef().GetAdapter() == b.GetRef().GetAdapter() &&
			a.GetRef().GetVersion() == b.GetRef().GetVersion()
	})
}

func (e *tableEdit) unindex(entry *engineEntry) {
	name := entry.status.GetName()
	for _, slot := range entry.status.GetSlots() {
		model := modelName(slot.GetRef())
		list, _ := e.ready.Get(model)
		at, found := slices.BinarySearch(list, name)
		if !found {
			continue
		}
		if len(list) == 1 {
			e.ready.Delete(model)
		} else {
			e.ready.Put(model, slices.Delete(slices.Clone(list), at, at+1))
		}
	}
}
