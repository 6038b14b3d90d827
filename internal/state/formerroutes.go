package state

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	// formerRouteRetention is how long a former route is kept: a host that is out of touch uses an old catalog for
	// up to the lifetime of a stream, and the streams that it begins last as long again.
	formerRouteRetention = 20 * time.Minute
	// maxFormerRoutes limits the former routes, to about 1 MB.
	maxFormerRoutes = 10_000
)

// formerRoutes holds the routes that catalogs changed lately. They are replicated, so that a new leader knows which
// services may have begun a stream before its term.
type formerRoutes struct {
	// revision is that of the catalog up to which the changes are known, except those before gapUnixMs.
	revision  uint64
	gapUnixMs int64
	list      []*apiv1.FormerRoute
}

func (f *formerRoutes) put(p *apiv1.PutFormerRoutes, nowUnixMs int64) {
	f.revision = max(f.revision, p.GetRevision())
	if p.GetGap() {
		f.gapUnixMs = max(f.gapUnixMs, nowUnixMs)
	}
	next := make([]*apiv1.FormerRoute, 0, len(f.list)+len(p.GetRoutes()))
	for _, r := range f.list {
		if r.GetUntilUnixMs() >= nowUnixMs-formerRouteRetention.Milliseconds() {
			next = append(next, r)
		}
	}
	next = append(next, p.GetRoutes()...)
	if drop := len(next) - maxFormerRoutes; drop > 0 {
		f.gapUnixMs = max(f.gapUnixMs, next[drop-1].GetUntilUnixMs())
		next = next[drop:]
	}
	f.list = next
}

// FormerRoutes returns the routes that catalogs changed lately, the revision up to which they are known, and the time
// before which changes are not known, 0 for none. The caller must not modify them.
func (m *Machine) FormerRoutes() (routes []*apiv1.FormerRoute, revision uint64, gapUnixMs int64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.former.list, m.former.revision, m.former.gapUnixMs
}
