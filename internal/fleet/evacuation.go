package fleet

import (
	"maps"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// SetEvacuated replaces the set of failure domains whose engines get nothing new. Such an engine counts as leaving: what runs there
// finishes, and adapters in demand are loaded at others. It reports whether the set changed.
func (t *Table) SetEvacuated(domains map[string]bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if maps.Equal(domains, t.evacuated) {
		return false
	}
	t.evacuated = domains
	for _, e := range t.engines {
		t.refreshLeaving(e)
	}
	return true
}

// Evacuation returns how far the evacuation of a failure domain is.
func (t *Table) Evacuation(state *apiv1.Evacuation) *apiv1.EvacuationStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &apiv1.EvacuationStatus{FailureDomain: state.GetFailureDomain(), Evacuated: state.GetEvacuated(), SinceUnixMs: state.GetSinceUnixMs()}
	for name, e := range t.engines {
		if e.backend.GetFailureDomain() == state.GetFailureDomain() {
			out.Engines++
			// Hosts report requests sooner than scrapes show them; scrapes also show those without an adapter.
			out.InFlight += uint32(max(t.runningOn(name), e.running+e.queued))
		}
	}
	return out
}
