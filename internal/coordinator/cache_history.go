package coordinator

import (
	"maps"
	"slices"
	"sync"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// cacheHistory records which adapters the engines of this host have unloaded
// lately. An engine loads such an adapter from its own cache, so the next leader
// must know it. It is safe for concurrent use.
type cacheHistory struct {
	mu       sync.Mutex
	unloaded map[string][]residency.Ref
}

const (
	// maxCachedPerEngine limits the adapters recorded for one engine.
	maxCachedPerEngine = 96
	// maxCacheHistoryEngines limits the engines recorded. A holder has far fewer.
	maxCacheHistoryEngines = 512
)

// record applies an order that was carried out.
func (h *cacheHistory) record(o residency.Order, out residency.Outcome) {
	if out != residency.Done && out != residency.Accepted || o.Ref.Adapter == "" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	list := slices.DeleteFunc(h.unloaded[o.Instance], func(r residency.Ref) bool { return r == o.Ref })
	if o.Unload {
		list = append(list, o.Ref)
	}
	if n := len(list) - maxCachedPerEngine; n > 0 {
		list = slices.Delete(list, 0, n)
	}
	if len(h.unloaded) >= maxCacheHistoryEngines && h.unloaded[o.Instance] == nil {
		clear(h.unloaded)
	}
	h.unloaded[o.Instance] = list
}

// encode returns the recorded adapters of all engines, sorted by engine.
func (h *cacheHistory) encode() []*apiv1.EngineCopies {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*apiv1.EngineCopies, 0, len(h.unloaded))
	for _, instance := range slices.Sorted(maps.Keys(h.unloaded)) {
		c := &apiv1.EngineCopies{Instance: instance}
		for _, r := range h.unloaded[instance] {
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
