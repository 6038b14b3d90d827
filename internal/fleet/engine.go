package fleet

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

// engine is one engine with its slots and the load of its last scrape.
type engine struct {
	backend *apiv1.BackendServer
	// known is true once a scrape of this term has shown the residency.
	known         bool
	healthy       bool
	leaving       bool
	failedScrapes int
	startID       string
	running       int
	queued        int
	kvUsage       float64
	scrapedAt     time.Time
	slots         map[Ref]*slot
	slotVersion   uint64
	// loadVersion is the table's load version in which the load last changed.
	loadVersion uint64
}

// slot is an adapter slot of an engine with the version that is resident or
// loading there.
type slot struct {
	state apiv1.SlotState
	// since is the time at which the slot entered its state.
	since time.Time
	// version is the fleet version in which the slot entered its state.
	version  uint64
	lastUsed time.Time
	// unloading is true while the outcome of an unload order is pending.
	unloading bool
	// unloadSent is true once an unload order may have been sent. The slot must
	// not become ready again, since a late order would evict it while it serves.
	unloadSent bool
}

// Scrape is the state that an engine reported.
type Scrape struct {
	// Address is the address that the scrape was sent to.
	Address string
	StartID string
	Running int
	Queued  int
	// KVUsage is the used fraction of the KV cache, 0 to 1.
	KVUsage float64
	// Resident lists the adapter versions that are resident on the engine.
	Resident []Ref
	// SentAt is the time at which the scrape was sent.
	SentAt time.Time
}

func (t *Table) putEngine(b *apiv1.BackendServer) {
	e, ok := t.engines[b.GetName()]
	if !ok || e.backend.GetAddress() != b.GetAddress() {
		e = &engine{slots: map[Ref]*slot{}}
		t.engines[b.GetName()] = e
		e.slotVersion = t.nextVersion()
	}
	e.backend = b
	t.refreshLeaving(e)
}

func (t *Table) removeEngine(name string) {
	delete(t.engines, name)
	t.nextVersion()
}

func (t *Table) refreshLeaving(e *engine) {
	leaving := e.backend.GetLeaving() || t.leaving[e.backend.GetName()] || t.evacuated[e.backend.GetFailureDomain()]
	if e.leaving == leaving {
		return
	}
	e.leaving = leaving
	e.slotVersion = t.nextVersion()
}

// RecordScrape applies a successful scrape. It ignores a scrape that was sent to
// the address of an earlier engine of the same name.
func (t *Table) RecordScrape(name string, s Scrape, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[name]
	if !ok || e.backend.GetAddress() != s.Address {
		return
	}
	restarted := e.known && e.startID != s.StartID
	if !e.healthy || restarted {
		e.slotVersion = t.nextVersion()
	}
	if restarted {
		e.slots = map[Ref]*slot{}
	}
	e.known, e.healthy, e.failedScrapes = true, true, 0
	e.startID = s.StartID
	t.setLoad(e, s, now)
	t.mergeResidency(e, s, now)
}

func (t *Table) setLoad(e *engine, s Scrape, now time.Time) {
	changed := e.running != s.Running || e.queued != s.Queued
	e.running, e.queued, e.kvUsage = s.Running, s.Queued, s.KVUsage
	e.scrapedAt = now
	if changed {
		t.loadVersion++
		e.loadVersion = t.loadVersion
	}
}

// mergeResidency updates the slots to the residency in the scrape. A slot whose
// state changed after the scrape was sent is not removed, since the scrape may
// not show the change.
func (t *Table) mergeResidency(e *engine, s Scrape, now time.Time) {
	resident := map[Ref]bool{}
	changed := false
	for _, ref := range s.Resident {
		resident[ref] = true
		if _, ok := e.slots[ref]; ok {
			continue
		}
		e.slots[ref] = &slot{state: t.residentState(ref), since: now, lastUsed: now, version: t.version + 1}
		changed = true
	}
	for ref, sl := range e.slots {
		gone := !resident[ref] && sl.state != apiv1.SlotState_SLOT_STATE_LOADING && !sl.since.After(s.SentAt)
		if gone && !sl.unloading {
			delete(e.slots, ref)
			changed = true
		}
	}
	if changed {
		e.slotVersion = t.nextVersion()
	}
}

// residentState returns the state of a version that has become resident:
// ready if the configuration contains it, draining otherwise.
func (t *Table) residentState(ref Ref) apiv1.SlotState {
	if t.published(ref) {
		return apiv1.SlotState_SLOT_STATE_READY
	}
	return apiv1.SlotState_SLOT_STATE_DRAINING
}

// published reports whether the configuration contains the version.
func (t *Table) published(ref Ref) bool {
	a, ok := t.conf.Adapter(ref.Adapter)
	if !ok {
		return false
	}
	_, ok = config.Version(a, ref.Version)
	return ok && ref.Version != ""
}

// drainUnknownVersions starts draining the versions that the configuration no
// longer contains.
func (t *Table) drainUnknownVersions() {
	for _, e := range t.engines {
		for ref, sl := range e.slots {
			if sl.state == apiv1.SlotState_SLOT_STATE_READY && !t.published(ref) {
				t.setState(e, sl, apiv1.SlotState_SLOT_STATE_DRAINING, sl.since)
			}
		}
	}
}

// RecordScrapeFailure counts a failed scrape; the second consecutive one makes
// the engine unhealthy.
func (t *Table) RecordScrapeFailure(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[name]
	if !ok {
		return
	}
	e.failedScrapes++
	if e.healthy && e.failedScrapes >= unhealthyAfter {
		e.healthy = false
		e.slotVersion = t.nextVersion()
	}
}

func (t *Table) setState(e *engine, sl *slot, state apiv1.SlotState, now time.Time) {
	sl.state = state
	sl.since = now
	e.slotVersion = t.nextVersion()
	sl.version = e.slotVersion
}

func (e *engine) markUsed(ref Ref, now time.Time) {
	if sl, ok := e.slots[ref]; ok {
		sl.lastUsed = now
	}
}

// sortedRefs returns the references of the slots in sorted order.
func (e *engine) sortedRefs() []Ref {
	refs := make([]Ref, 0, len(e.slots))
	for ref := range e.slots {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

func (e *engine) status(now time.Time, withSlots bool) *apiv1.EngineStatus {
	out := &apiv1.EngineStatus{
		Name:            e.backend.GetName(),
		Healthy:         e.healthy,
		StartId:         e.startID,
		Running:         uint32(e.running),
		Queued:          uint32(e.queued),
		LoadAgeMs:       uint32(max(0, now.Sub(e.scrapedAt).Milliseconds())),
		Leaving:         e.leaving,
		KvUsagePermille: uint32(min(max(e.kvUsage, 0), 1) * 1000),
		SlotsUnchanged:  !withSlots,
		FailureDomain:   e.backend.GetFailureDomain(),
	}
	if !e.known {
		out.LoadAgeMs = 0
	}
	if !withSlots {
		return out
	}
	for _, ref := range e.sortedRefs() {
		out.Slots = append(out.Slots, &apiv1.Slot{Ref: ref.Proto(), State: e.slots[ref].state})
	}
	return out
}

// compareSlotKeys orders slot keys by engine and reference.
func compareSlotKeys(a, b slotKey) int {
	return cmp.Or(cmp.Compare(a.engine, b.engine), compareRefs(a.ref, b.ref))
}
