package state

import (
	"maps"
	"slices"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// builds maps each service to the builds that its backend servers have or recently had, in the order
// in which they were first seen. It is replicated, so that a new leader knows which builds may have
// begun streams before its term.
type builds struct {
	byService map[string][]string
}

func newBuilds() builds { return builds{byService: map[string][]string{}} }

func (b *builds) put(p *apiv1.PutBuilds) {
	for _, s := range p.GetAdded() {
		for _, build := range s.GetBuilds() {
			if list := b.byService[s.GetService()]; !slices.Contains(list, build) {
				b.byService[s.GetService()] = append(slices.Clone(list), build)
			}
		}
	}
	for _, s := range p.GetRemoved() {
		list := slices.DeleteFunc(slices.Clone(b.byService[s.GetService()]), func(build string) bool {
			return slices.Contains(s.GetBuilds(), build)
		})
		if b.byService[s.GetService()] = list; len(list) == 0 {
			delete(b.byService, s.GetService())
		}
	}
}

func (b *builds) sorted() []*apiv1.ServiceBuilds {
	out := make([]*apiv1.ServiceBuilds, 0, len(b.byService))
	for _, service := range slices.Sorted(maps.Keys(b.byService)) {
		out = append(out, &apiv1.ServiceBuilds{Service: service, Builds: b.byService[service]})
	}
	return out
}

// Builds returns the builds of all services, sorted by service. The caller must not modify them.
func (m *Machine) Builds() []*apiv1.ServiceBuilds {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.builds.sorted()
}
