package entry

import (
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/routing"
)

// maxCandidates bounds the candidates that are shown to the planner. The
// planner compares two of them, so that a random run of 64 serves as well as
// the whole of a large pool.
const maxCandidates = 64

// candidates returns up to limit backend servers that may take the request now.
// The result is valid until the next call.
func (d *dispatch) candidates(w *work, now time.Time, limit int) []routing.Candidate {
	d.buffer = d.buffer[:0]
	if w.ref != nil && now.Sub(d.table.received) > maxViewAge {
		return d.buffer // the adapter may be evicted from under the request
	}
	var names []string
	var servers []*apiv1.BackendServer
	if w.ref != nil {
		names, _ = d.table.ready.Get(w.model)
	} else {
		servers = d.cfg.Pool(w.pool)
	}
	n := len(names) + len(servers)
	if n == 0 {
		return d.buffer
	}
	offset := 0
	if n > limit {
		offset = d.rng.IntN(n)
	}
	for i := range n {
		var b *apiv1.BackendServer
		at := (i + offset) % n
		if names != nil {
			b, _ = d.cfg.BackendServer(names[at])
		} else {
			b = servers[at]
		}
		if c, ok := d.candidate(w, b, now); ok {
			if d.buffer = append(d.buffer, c); len(d.buffer) == limit {
				break
			}
		}
	}
	return d.buffer
}

func (d *dispatch) candidate(w *work, b *apiv1.BackendServer, now time.Time) (routing.Candidate, bool) {
	var none routing.Candidate
	if b == nil || b.GetLeaving() || b.GetPool() != w.pool || !d.serves(w, b) {
		return none, false
	}
	name := b.GetName()
	if slices.Contains(w.excluded, name) || d.outliers.Ejected(name, now) {
		return none, false
	}
	if until, ok := d.cooling[name]; ok && now.Before(until) {
		return none, false
	}
	c := routing.Candidate{Engine: name, FailureDomain: b.GetFailureDomain(), MaxBatch: int(b.GetMaxBatch())}
	if load := d.inFlight[name]; load != nil {
		c.Own, c.Suspects = load.total, load.suspects
	}
	if row, ok := d.table.engines.Get(name); ok {
		if !row.usable() {
			return none, false
		}
		c.Running, c.Queued = int(row.status.GetRunning()), int(row.status.GetQueued())
		c.ReportAge = row.loadAge(now)
		c.Others = max(0, c.Running+c.Queued-d.ownAtReport[name])
	}
	if w.ref != nil && len(d.missing) > 0 {
		if until, ok := d.missing[missingKey{name, w.model}]; ok && now.Before(until) {
			return none, false
		}
	}
	if w.prefix != nil {
		c.PrefixTokens = d.prefixes.Tokens(name, w.prefix, now)
	}
	return c, true
}

// hasOther reports whether a backend server that the request was not tried on
// could serve it. Without one, a retry would only wait for its deadline.
func (s *Server) hasOther(w *work) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.ref != nil {
		names, _ := s.d.table.ready.Get(w.model)
		return slices.ContainsFunc(names, func(name string) bool { return !slices.Contains(w.excluded, name) })
	}
	return slices.ContainsFunc(s.d.cfg.Pool(w.pool), func(b *apiv1.BackendServer) bool {
		return !b.GetLeaving() && s.d.serves(w, b) && !slices.Contains(w.excluded, b.GetName())
	})
}

func (d *dispatch) serves(w *work, b *apiv1.BackendServer) bool {
	if w.model == "" {
		return b.GetKind() == apiv1.BackendKind_BACKEND_KIND_SERVICE
	}
	return b.GetKind() == apiv1.BackendKind_BACKEND_KIND_ENGINE && b.GetBaseModel() == w.baseModel
}

// blockedGroups remembers which groups of waiting requests found no candidate,
// so that they are asked again only after a change that concerns them.
type blockedGroups struct {
	groups     map[string]struct{}
	byResource map[string][]string
	// changed is true when a group may have become ready since the last pump.
	changed bool
}

func (b *blockedGroups) init() {
	b.groups = map[string]struct{}{}
	b.byResource = map[string][]string{}
}

func (b *blockedGroups) empty() bool { return len(b.groups) == 0 }

func (b *blockedGroups) has(group string) bool {
	_, ok := b.groups[group]
	return ok
}

func (b *blockedGroups) add(group, resource string) {
	b.groups[group] = struct{}{}
	b.byResource[resource] = append(b.byResource[resource], group)
}

func (b *blockedGroups) unblock(resource string) {
	if len(b.groups) == 0 {
		return
	}
	for _, group := range b.byResource[resource] {
		delete(b.groups, group)
		b.changed = true
	}
	delete(b.byResource, resource)
}

func (b *blockedGroups) clear() {
	clear(b.groups)
	clear(b.byResource)
	b.changed = true
}
