package state

import (
	"maps"
	"slices"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// evacuations holds, by failure domain, those that are or were evacuated. The last command decides: orders to begin and to end
// carry no number and may be sent again.
type evacuations map[string]*apiv1.Evacuation

// put begins or ends an evacuation. A command that changes nothing keeps the time of the one that did.
func (e evacuations) put(p *apiv1.PutEvacuation, unixMs int64) *apiv1.PutResult {
	if e[p.GetFailureDomain()].GetEvacuated() == p.GetEvacuated() {
		return &apiv1.PutResult{}
	}
	e[p.GetFailureDomain()] = &apiv1.Evacuation{FailureDomain: p.GetFailureDomain(), Evacuated: p.GetEvacuated(), SinceUnixMs: unixMs}
	return &apiv1.PutResult{Applied: true}
}

func (e evacuations) sorted() []*apiv1.Evacuation {
	out := make([]*apiv1.Evacuation, 0, len(e))
	for _, domain := range slices.Sorted(maps.Keys(e)) {
		out = append(out, e[domain])
	}
	return out
}

// Evacuations returns the failure domains that are or were evacuated, sorted by name. The caller must not modify them.
func (m *Machine) Evacuations() []*apiv1.Evacuation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.evacuations.sorted()
}
