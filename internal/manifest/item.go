package manifest

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

// Names of the manifest's tables, as in the file.
const (
	tableBaseModels = "base_models"
	tableAdapters   = "adapters"
	tableTeams      = "teams"
	tableKeys       = "keys"
	tableRoutes     = "routes"
	tableBackends   = "backend_servers"
)

// entityID names one entity of the configuration.
type entityID struct {
	table, key string
}

func (id entityID) String() string { return id.table + " " + id.key }

// item is one put or delete with the field path under which its problems are
// reported.
type item struct {
	path string
	id   entityID
	// put is nil when the entity is deleted.
	put proto.Message
}

// manifestItems returns the puts of a manifest with paths such as routes[3].
func manifestItems(m *apiv1.Manifest) []item {
	ops := config.Ops(m)
	items := make([]item, 0, len(ops))
	next := map[string]int{}
	for _, op := range ops {
		it, _ := opItem(op)
		it.path = fmt.Sprintf("%s[%d]", it.id.table, next[it.id.table])
		next[it.id.table]++
		items = append(items, it)
	}
	return items
}

// opItems returns the items of ops with paths such as ops[2].put_route.
func opItems(ops []*apiv1.Op, problems *Problems) []item {
	items := make([]item, 0, len(ops))
	for i, op := range ops {
		it, ok := opItem(op)
		if !ok {
			problems.add(fmt.Sprintf("ops[%d]", i), "set exactly one put or delete", "the op is empty or of an unknown kind")
			continue
		}
		it.path = fmt.Sprintf("ops[%d].%s", i, it.path)
		items = append(items, it)
	}
	return items
}

// opItem returns the item of one op. Its path is the op's field name.
func opItem(op *apiv1.Op) (item, bool) {
	switch o := op.GetOp().(type) {
	case *apiv1.Op_PutBaseModel:
		return putItem("put_base_model", tableBaseModels, o.PutBaseModel.GetName(), o.PutBaseModel)
	case *apiv1.Op_PutAdapter:
		return putItem("put_adapter", tableAdapters, o.PutAdapter.GetName(), o.PutAdapter)
	case *apiv1.Op_PutTeam:
		return putItem("put_team", tableTeams, o.PutTeam.GetName(), o.PutTeam)
	case *apiv1.Op_PutKey:
		return putItem("put_key", tableKeys, o.PutKey.GetId(), o.PutKey)
	case *apiv1.Op_PutRoute:
		return putItem("put_route", tableRoutes, o.PutRoute.GetName(), o.PutRoute)
	case *apiv1.Op_PutBackendServer:
		return putItem("put_backend_server", tableBackends, o.PutBackendServer.GetName(), o.PutBackendServer)
	case *apiv1.Op_DeleteBaseModel:
		return deleteItem("delete_base_model", tableBaseModels, o.DeleteBaseModel)
	case *apiv1.Op_DeleteAdapter:
		return deleteItem("delete_adapter", tableAdapters, o.DeleteAdapter)
	case *apiv1.Op_DeleteTeam:
		return deleteItem("delete_team", tableTeams, o.DeleteTeam)
	case *apiv1.Op_DeleteKey:
		return deleteItem("delete_key", tableKeys, o.DeleteKey)
	case *apiv1.Op_DeleteRoute:
		return deleteItem("delete_route", tableRoutes, o.DeleteRoute)
	case *apiv1.Op_DeleteBackendServer:
		return deleteItem("delete_backend_server", tableBackends, o.DeleteBackendServer)
	}
	return item{}, false
}

// putItem rejects a nil message, which a decoder can produce for an empty oneof.
func putItem[T interface {
	comparable
	proto.Message
}](path, table, key string, m T) (item, bool) {
	var zero T
	if m == zero {
		return item{}, false
	}
	return item{path: path, id: entityID{table, key}, put: m}, true
}

func deleteItem(path, table, key string) (item, bool) {
	return item{path: path, id: entityID{table, key}}, true
}

// lookup returns the snapshot's entity with the identifier.
func lookup(s *config.Snapshot, id entityID) (proto.Message, bool) {
	switch id.table {
	case tableBaseModels:
		return asMessage(s.BaseModel(id.key))
	case tableAdapters:
		return asMessage(s.Adapter(id.key))
	case tableTeams:
		return asMessage(s.Team(id.key))
	case tableKeys:
		return asMessage(s.Key(id.key))
	case tableRoutes:
		return asMessage(routeByName(s, id.key))
	case tableBackends:
		return asMessage(s.BackendServer(id.key))
	}
	return nil, false
}

func asMessage[T proto.Message](m T, ok bool) (proto.Message, bool) {
	if !ok {
		return nil, false
	}
	return m, true
}

// routeByName searches the routes one by one, since there are only few.
func routeByName(s *config.Snapshot, name string) (*apiv1.Route, bool) {
	for _, r := range s.Routes() {
		if r.GetName() == name {
			return r, true
		}
	}
	return nil, false
}
