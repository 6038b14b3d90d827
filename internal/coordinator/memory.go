package coordinator

import (
	"maps"
	"slices"
	"sync"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// memory holds what the engines of this host have given up lately. An engine loads
// such an adapter from its own copy, and the next leader has to know it. It is
// safe for concurrent use.
type memory struct {
	mu     sync.Mutex
	copies map[string][]residency.Ref
}

const (
	// copiesKept bounds the adapters that are remembered for one engine.
	copiesKept = 96
	// enginesKept bounds the engines that are remembered. A holder has far fewer.
	enginesKept = 512
)

// note takes in an order that was carried out.
func (m *memory) note(o residency.Order, out residency.Outcome) {
	if out != residency.Done && out != residency.Accepted || o.Ref.Adapter == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	list := slices.DeleteFunc(m.copies[o.Instance], func(r residency.Ref) bool { return r == o.Ref })
	if o.Unload {
		list = append(list, o.Ref)
	}
	if n := len(list) - copiesKept; n > 0 {
		list = slices.Delete(list, 0, n)
	}
	if len(m.copies) >= enginesKept && m.copies[o.Instance] == nil {
		clear(m.copies)
	}
	m.copies[o.Instance] = list
}

func (m *memory) all() []*apiv1.EngineCopies {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*apiv1.EngineCopies, 0, len(m.copies))
	for _, instance := range slices.Sorted(maps.Keys(m.copies)) {
		c := &apiv1.EngineCopies{Instance: instance}
		for _, r := range m.copies[instance] {
			c.Adapters = append(c.Adapters, &apiv1.AdapterUse{Model: r.Model, Adapter: r.Adapter})
		}
		out = append(out, c)
	}
	return out
}

func decodeRefs(list []*apiv1.AdapterUse) []residency.Ref {
	out := make([]residency.Ref, 0, len(list))
	for _, a := range list {
		out = append(out, residency.Ref{Model: a.GetModel(), Adapter: a.GetAdapter()})
	}
	return out
}
