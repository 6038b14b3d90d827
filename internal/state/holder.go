package state

import (
	"maps"
	"slices"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// holders maps each engine to its holder, the control host that orders it. It is
// replicated, so that holders keep ordering their engines when the leader changes.
type holders struct {
	byInstance map[string]*apiv1.EngineHolder
	// lastFence is the newest fencing number.
	lastFence uint64
}

func newHolders() holders { return holders{byInstance: map[string]*apiv1.EngineHolder{}} }

// put sets or removes holders. Each engine that gets a new holder also gets a new
// fencing number.
func (h *holders) put(p *apiv1.PutHolders) {
	for _, next := range p.GetHolders() {
		old := h.byInstance[next.GetInstance()]
		switch {
		case next.GetHolder() == "":
			delete(h.byInstance, next.GetInstance())
		case old.GetHolder() != next.GetHolder():
			h.lastFence++
			h.byInstance[next.GetInstance()] = &apiv1.EngineHolder{
				Instance: next.GetInstance(), Holder: next.GetHolder(), Fence: h.lastFence,
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

// Holders returns the holders of all engines, sorted by instance. The caller must
// not modify them.
func (m *Machine) Holders() []*apiv1.EngineHolder {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.holders.sorted()
}
