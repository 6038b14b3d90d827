package entry

import (
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/cowmap"
)

// maxLoadAge is the age of an engine's last scrape from which the engine is
// stale: the control leader has lost sight of it while it sees others.
const maxLoadAge = 5 * time.Second

// engineRow is the control leader's last word on an engine. It is immutable.
type engineRow struct {
	status   *apiv1.EngineStatus
	received time.Time
}

// loadAge is the age of the engine's own counts.
func (r *engineRow) loadAge(now time.Time) time.Duration {
	return time.Duration(r.status.GetLoadAgeMs())*time.Millisecond + now.Sub(r.received)
}

func (r *engineRow) usable() bool {
	st := r.status
	return st.GetHealthy() && !st.GetLeaving() && time.Duration(st.GetLoadAgeMs())*time.Millisecond <= maxLoadAge
}

// fleetTable is one immutable version of the fleet as dispatch acts on it.
type fleetTable struct {
	term, version uint64
	received      time.Time
	engines       cowmap.Map[*engineRow]
	// ready lists the engines on which a model name is ready, sorted.
	ready cowmap.Map[[]string]
}

// modelName is the name under which engines know an adapter version.
func modelName(ref *apiv1.AdapterRef) string { return ref.GetAdapter() + ":" + ref.GetVersion() }

// apply returns the table after a report's answer, and the models of the
// engines that changed. The cost follows the engines that the answer names.
func (t *fleetTable) apply(resp *apiv1.ReportResponse, received time.Time) (*fleetTable, []string) {
	if resp.GetTerm() < t.term {
		return t, nil // an answer of an earlier leader that arrived late
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
		edit.put(&engineRow{status: st, received: received})
	}
	next.engines, next.ready = edit.engines.Map(), edit.ready.Map()
	return next, edit.touched
}

type tableEdit struct {
	engines *cowmap.Editor[*engineRow]
	ready   *cowmap.Editor[[]string]
	touched []string
}

func (e *tableEdit) dropOthers(t *fleetTable, keep []*apiv1.EngineStatus) {
	names := make(map[string]bool, len(keep))
	for _, st := range keep {
		names[st.GetName()] = true
	}
	for name, row := range t.engines.All {
		if !names[name] {
			e.unindex(row)
			e.engines.Delete(name)
		}
	}
}

func (e *tableEdit) put(row *engineRow) {
	name := row.status.GetName()
	old, known := e.engines.Get(name)
	if known && row.status.GetSlotsUnchanged() {
		row.status.Slots = old.status.GetSlots()
	}
	e.engines.Put(name, row)
	if known && sameSlots(old.status.GetSlots(), row.status.GetSlots()) {
		// Most answers change an engine's load only.
		e.touch(row)
		return
	}
	if known {
		e.unindex(old)
	}
	for _, slot := range row.status.GetSlots() {
		if slot.GetState() != apiv1.SlotState_SLOT_STATE_READY {
			continue
		}
		model := modelName(slot.GetRef())
		list, _ := e.ready.Get(model)
		if at, found := slices.BinarySearch(list, name); !found {
			// A published list is never changed in place.
			e.ready.Put(model, slices.Insert(slices.Clone(list), at, name))
		}
	}
	e.touch(row)
}

// touch records the models whose waiting requests may now find an engine.
func (e *tableEdit) touch(row *engineRow) {
	for _, slot := range row.status.GetSlots() {
		if slot.GetState() == apiv1.SlotState_SLOT_STATE_READY {
			e.touched = append(e.touched, modelName(slot.GetRef()))
		}
	}
}

func sameSlots(a, b []*apiv1.Slot) bool {
	return slices.EqualFunc(a, b, func(a, b *apiv1.Slot) bool {
		return a.GetState() == b.GetState() && a.GetRef().GetAdapter() == b.GetRef().GetAdapter() &&
			a.GetRef().GetVersion() == b.GetRef().GetVersion()
	})
}

func (e *tableEdit) unindex(row *engineRow) {
	name := row.status.GetName()
	for _, slot := range row.status.GetSlots() {
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
