package manifest

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

// Targets other than entities: values that must be unique, pools that routes
// need, and pools that backend servers are members of.
const (
	targetPath          = "path"
	targetAddress       = "address"
	targetHash          = "sha256"
	targetEnginePool    = "engine_pool"
	targetServicePool   = "service_pool"
	targetEngineMember  = "engine_pool_member"
	targetServiceMember = "service_pool_member"
)

// reference is a reference from the entities of table to the target with the
// name.
type reference struct {
	target, name, table string
}

// fieldReference is a reference with the name of the field that contains it.
type fieldReference struct {
	reference
	field string
}

// references returns the entities and pools that an entity refers to, and the
// values that it must not have in common with another entity.
func references(m proto.Message) []fieldReference {
	switch e := m.(type) {
	case *apiv1.Adapter:
		out := []fieldReference{{reference{tableBaseModels, e.GetBaseModel(), tableAdapters}, "base_model"}}
		for i, team := range e.GetTeams() {
			out = append(out, fieldReference{reference{tableTeams, team, tableAdapters}, indexed("teams", i)})
		}
		return out
	case *apiv1.Key:
		return []fieldReference{
			{reference{tableTeams, e.GetTeam(), tableKeys}, "team"},
			{reference{targetHash, e.GetSha256(), tableKeys}, "sha256"},
		}
	case *apiv1.Route:
		pool := targetEnginePool
		if e.GetKind() == apiv1.RouteKind_ROUTE_KIND_SERVICE {
			pool = targetServicePool
		}
		return []fieldReference{
			{reference{pool, e.GetPool(), tableRoutes}, "pool"},
			{reference{targetPath, e.GetPath(), tableRoutes}, "path"},
		}
	case *apiv1.BackendServer:
		return backendReferences(e)
	}
	return nil
}

func backendReferences(b *apiv1.BackendServer) []fieldReference {
	out := []fieldReference{{reference{targetAddress, b.GetAddress(), tableBackends}, "address"}}
	if b.GetKind() == apiv1.BackendKind_BACKEND_KIND_ENGINE {
		return append(out,
			fieldReference{reference{targetEngineMember, b.GetPool(), tableBackends}, "pool"},
			fieldReference{reference{tableBaseModels, b.GetBaseModel(), tableBackends}, "base_model"})
	}
	return append(out, fieldReference{reference{targetServiceMember, b.GetPool(), tableBackends}, "pool"})
}

// Index counts the references between the entities of one configuration, so
// that the cost of checking a deletion does not depend on the size of the
// configuration. It is not safe for concurrent use.
type Index struct {
	counts map[reference]int
}

// NewIndex returns the index of a snapshot. It reads the whole snapshot.
func NewIndex(s *config.Snapshot) *Index {
	x := &Index{counts: map[reference]int{}}
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
	for _, r := range references(m) {
		n := x.counts[r.reference] + by
		if n == 0 {
			delete(x.counts, r.reference)
			continue
		}
		x.counts[r.reference] = n
	}
}

// Update changes the index of the snapshot before to that of the snapshot with
// the ops applied. The ops must have passed Check, so that each entity occurs
// once.
func (x *Index) Update(before *config.Snapshot, ops []*apiv1.Op) {
	for _, op := range ops {
		it, ok := opItem(op)
		if !ok {
			continue
		}
		old, _ := lookup(before, it.id)
		x.count(old, -1)
		x.count(it.put, 1)
	}
}
