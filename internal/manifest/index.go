package manifest

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

// Targets that are not entities but must be unique or must be provided.
const (
	targetPath         = "path"
	targetAddress      = "address"
	targetHash         = "sha256"
	targetEnginePool   = "engine_pool"
	targetServicePool  = "service_pool"
	targetEngineMember = "engine_pool_member"
	targetSvcMember    = "service_pool_member"
)

// use tells that entities of the table by refer to the target with the name.
type use struct {
	target, name, by string
}

// ref is a use with the field that makes it.
type ref struct {
	use
	field string
}

// refs returns what an entity refers to or claims.
func refs(m proto.Message) []ref {
	switch e := m.(type) {
	case *apiv1.Adapter:
		out := []ref{{use{tableBaseModels, e.GetBaseModel(), tableAdapters}, "base_model"}}
		for i, team := range e.GetTeams() {
			out = append(out, ref{use{tableTeams, team, tableAdapters}, indexed("teams", i)})
		}
		return out
	case *apiv1.Key:
		return []ref{
			{use{tableTeams, e.GetTeam(), tableKeys}, "team"},
			{use{targetHash, e.GetSha256(), tableKeys}, "sha256"},
		}
	case *apiv1.Route:
		pool := targetEnginePool
		if e.GetKind() == apiv1.RouteKind_ROUTE_KIND_SERVICE {
			pool = targetServicePool
		}
		return []ref{
			{use{pool, e.GetPool(), tableRoutes}, "pool"},
			{use{targetPath, e.GetPath(), tableRoutes}, "path"},
		}
	case *apiv1.BackendServer:
		return backendRefs(e)
	}
	return nil
}

func backendRefs(b *apiv1.BackendServer) []ref {
	out := []ref{{use{targetAddress, b.GetAddress(), tableBackends}, "address"}}
	if b.GetKind() == apiv1.BackendKind_BACKEND_KIND_ENGINE {
		return append(out,
			ref{use{targetEngineMember, b.GetPool(), tableBackends}, "pool"},
			ref{use{tableBaseModels, b.GetBaseModel(), tableBackends}, "base_model"})
	}
	return append(out, ref{use{targetSvcMember, b.GetPool(), tableBackends}, "pool"})
}

// Index counts the references between the entities of one configuration, so
// that a check of a deletion costs the same whatever the size of the
// configuration. It is not safe for concurrent use.
type Index struct {
	counts map[use]int
}

// NewIndex returns the index of a snapshot. It costs the whole snapshot.
func NewIndex(s *config.Snapshot) *Index {
	x := &Index{counts: map[use]int{}}
	for _, op := range config.Ops(s.Manifest()) {
		it, _ := opItem(op)
		x.count(it.put, 1)
	}
	return x
}

func (x *Index) count(m proto.Message, by int) {
	if m == nil {
		return
	}
	for _, r := range refs(m) {
		n := x.counts[r.use] + by
		if n == 0 {
			delete(x.counts, r.use)
			continue
		}
		x.counts[r.use] = n
	}
}

// Update brings the index from the snapshot to the one that results from the
// ops. The ops must have passed Check, so that each entity occurs once.
func (x *Index) Update(before *config.Snapshot, ops []*apiv1.Op) {
	for _, op := range ops {
		it, ok := opItem(op)
		if !ok {
			continue
		}
		old, _ := inForce(before, it.id)
		x.count(old, -1)
		x.count(it.put, 1)
	}
}
