package state

import (
	"maps"
	"slices"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// holders names the control host that gives orders to each engine. It survives a
// change of the leader, so that orders go on under the next one.
type holders struct {
	byInstance map[string]*apiv1.EngineHolder
	fence      uint64
}

func newHolders() holders { return holders{byInstance: map[string]*apiv1.EngineHolder{}} }

// put changes holders. Each change gets a fencing number of its own.
func (h *holders) put(p *apiv1.PutHolders) {
	for _, next := range p.GetHolders() {
		old := h.byInstance[next.GetInstance()]
		switch {
		case next.GetHolder() == "":
			delete(h.byInstance, next.GetInstance())
		case old.GetHolder() != next.GetHolder():
			h.fence++
			h.byInstance[next.GetInstance()] = &apiv1.EngineHolder{
				Instance: next.GetInstance(), Holder: next.GetHolder(), Fence: h.fence,
			}
		}
	}
}

func (h *holders) sorted() []*apiv1.EngineHolder {
	out := make([]*apiv1.EngineHolder, 0, len(h.byInstance))
	for _, instance := range slices.Sorted(maps.Keys(h.byInstance)) {
		out = append(out, h.byInstance[instance])
	}
	return out
}

// Holders returns the holders of all engines, sorted by instance. They must not
// be changed.
func (m *Machine) Holders() []*apiv1.EngineHolder {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.holders.sorted()
}
