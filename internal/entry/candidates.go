package entry

import (
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/routing"
)

// maxCandidates limits the candidates that are passed to the planner. The
// planner compares two of them, so that 64 neighbors from a random offset give
// as good a choice as all servers of a large pool.
const maxCandidates = 64

// candidates returns up to limit backend servers on which the request may start
// now. The result is valid until the next call.
func (d *dispatch) candidates(ar *admittedRequest, now time.Time, limit int) []routing.Candidate {
	d.buffer = d.buffer[:0]
	if ar.ref != nil && now.Sub(d.table.received) > maxViewAge {
		return d.buffer // the adapter may be evicted while the request runs
	}
	var names []string
	var servers []*apiv1.BackendServer
	if ar.ref != nil {
		names, _ = d.table.ready.Get(ar.model)
	} else {
		servers = d.cfg.Pool(ar.pool)
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
		if c, ok := d.candidate(ar, b, now); ok {
			if d.buffer = append(d.buffer, c); len(d.buffer) == limit {
				break
			}
		}
	}
	return d.buffer
}

func (d *dispatch) candidate(ar *admittedRequest, b *apiv1.BackendServer, now time.Time) (routing.Candidate, bool) {
	var none routing.Candidate
	if b == nil || d.isClosed(b) || b.GetPool() != ar.pool || !d.serves(ar, b) {
		return none, false
	}
	name := b.GetName()
	if slices.Contains(ar.excluded, name) || d.outliers.Ejected(name, now) {
		return none, false
	}
	if until, ok := d.cooldowns[name]; ok && now.Before(until) {
		return none, false
	}
	c := routing.Candidate{Engine: name, FailureDomain: b.GetFailureDomain(), MaxBatch: int(b.GetMaxBatch())}
	if load := d.inFlight[name]; load != nil {
		c.OwnInFlight, c.Suspects = load.total, load.suspects
	}
	if entry, ok := d.table.engines.Get(name); ok {
		if !entry.usable() {
			return none, false
		}
		c.Running, c.Queued = int(entry.status.GetRunning()), int(entry.status.GetQueued())
		c.ReportAge = entry.loadAge(now)
		c.OthersInFlight = max(0, c.Running+c.Queued-d.ownAtReport[name])
	}
	if ar.ref != nil && len(d.missing) > 0 {
		if until, ok := d.missing[missingKey{name, ar.model}]; ok && now.Before(until) {
			return none, false
		}
	}
	if ar.prefix != nil {
		c.PrefixTokens = d.prefixes.CachedTokens(name, ar.prefix, now)
	}
	return c, true
}

// hasOther reports whether a backend server that is not excluded could serve the
// request. Without one, a retry would only wait for its deadline.
func (s *Server) hasOther(ar *admittedRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ar.ref != nil {
		names, _ := s.d.table.ready.Get(ar.model)
		return slices.ContainsFunc(names, func(name string) bool {
			b, _ := s.d.cfg.BackendServer(name)
			return !s.d.evacuated[b.GetFailureDomain()] && !slices.Contains(ar.excluded, name)
		})
	}
	return slices.ContainsFunc(s.d.cfg.Pool(ar.pool), func(b *apiv1.BackendServer) bool {
		return !s.d.isClosed(b) && s.d.serves(ar, b) && !slices.Contains(ar.excluded, b.GetName())
	})
}

func (d *dispatch) serves(ar *admittedRequest, b *apiv1.BackendServer) bool {
	if ar.model == "" {
		return b.GetKind() == apiv1.BackendKind_BACKEND_KIND_SERVICE
	}
	return b.GetKind() == apiv1.BackendKind_BACKEND_KIND_ENGINE && b.GetBaseModel() == ar.baseModel
}

// blockedGroups records which groups of waiting requests found no candidate, so
// that they are checked again only after a change that affects them.
type blockedGroups struct {
	groups     map[string]struct{}
	byResource map[string][]string
	// changed is true when a group may have become ready since the last call of
	// startReady.
	changed bool
}

func (b *blockedGroups) init() {
	b.groups = map[string]struct{}{}
	b.byResource = map[string][]string{}
}

func (b *blockedGroups) empty() bool { return len(b.groups) == 0 }

func (b *blockedGroups) contains(group string) bool {
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
