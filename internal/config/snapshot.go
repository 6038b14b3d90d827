// Package config holds the configuration in force as immutable snapshots of
// typed tables, with indexes for the request path, changes as deltas, and a
// digest by which hosts compare their configurations.
package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/cowmap"
)

// KeyHash is the SHA-256 of a key as a caller presents it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a presented key is looked up. Lookup by
// hash makes the timing independent of the stored keys.
func HashKey(presented string) KeyHash {
	return sha256.Sum256([]byte(presented))
}

// Snapshot is one revision of the configuration. It is immutable and safe for
// concurrent use. The entities that it returns must not be modified.
type Snapshot struct {
	// Cluster is the name of the fleet.
	Cluster string
	// Revision is the number of the last change that the snapshot contains.
	Revision uint64

	baseModels table[*apiv1.BaseModel]
	adapters   table[*apiv1.Adapter]
	teams      table[*apiv1.Team]
	keys       table[*apiv1.Key]
	routes     table[*apiv1.Route]
	backends   table[*apiv1.BackendServer]

	keysByHash  cowmap.Map[*apiv1.Key] // by the hash's bytes
	routeOrder  []*apiv1.Route
	backendList []*apiv1.BackendServer
	pools       map[string][]*apiv1.BackendServer
	teamList    []*apiv1.Team
}

// Empty returns the configuration of a cluster before its first change.
func Empty(cluster string) *Snapshot {
	s := &Snapshot{Cluster: cluster}
	s.baseModels.name = "base_models"
	s.adapters.name = "adapters"
	s.teams.name = "teams"
	s.keys.name = "keys"
	s.routes.name = "routes"
	s.backends.name = "backend_servers"
	s.index()
	return s
}

// FromManifest returns the configuration of a manifest that has passed the
// manifest package's checks.
func FromManifest(m *apiv1.Manifest, revision uint64) *Snapshot {
	return Empty(m.GetCluster()).Apply(revision, Ops(m))
}

// Ops returns the puts that create a manifest's content from an empty
// configuration.
func Ops(m *apiv1.Manifest) []*apiv1.Op {
	var ops []*apiv1.Op
	for _, v := range m.GetBaseModels() {
		ops = append(ops, &apiv1.Op{Op: &apiv1.Op_PutBaseModel{PutBaseModel: v}})
	}
	for _, v := range m.GetAdapters() {
		ops = append(ops, &apiv1.Op{Op: &apiv1.Op_PutAdapter{PutAdapter: v}})
	}
	for _, v := range m.GetTeams() {
		ops = append(ops, &apiv1.Op{Op: &apiv1.Op_PutTeam{PutTeam: v}})
	}
	for _, v := range m.GetKeys() {
		ops = append(ops, &apiv1.Op{Op: &apiv1.Op_PutKey{PutKey: v}})
	}
	for _, v := range m.GetRoutes() {
		ops = append(ops, &apiv1.Op{Op: &apiv1.Op_PutRoute{PutRoute: v}})
	}
	for _, v := range m.GetBackendServers() {
		ops = append(ops, &apiv1.Op{Op: &apiv1.Op_PutBackendServer{PutBackendServer: v}})
	}
	return ops
}

// Apply returns the snapshot with the ops applied in order, at the revision.
// Only the parts of the tables that the ops touch are copied.
func (s *Snapshot) Apply(revision uint64, ops []*apiv1.Op) *Snapshot {
	next := *s
	next.Revision = revision
	w := newWriter(&next)
	for _, op := range ops {
		w.apply(op)
	}
	w.close()
	return &next
}

// writer applies ops to a snapshot that is being built.
type writer struct {
	s          *Snapshot
	baseModels tableEditor[*apiv1.BaseModel]
	adapters   tableEditor[*apiv1.Adapter]
	teams      tableEditor[*apiv1.Team]
	keys       tableEditor[*apiv1.Key]
	routes     tableEditor[*apiv1.Route]
	backends   tableEditor[*apiv1.BackendServer]
	byHash     *cowmap.Editor[*apiv1.Key]
	// derived is true once a table with derived lists has been written.
	derived bool
}

func newWriter(s *Snapshot) *writer {
	w := &writer{s: s}
	w.baseModels.table = &s.baseModels
	w.adapters.table = &s.adapters
	w.teams.table = &s.teams
	w.keys.table = &s.keys
	w.routes.table = &s.routes
	w.backends.table = &s.backends
	return w
}

func (w *writer) close() {
	w.baseModels.close()
	w.adapters.close()
	w.teams.close()
	w.keys.close()
	w.routes.close()
	w.backends.close()
	if w.byHash != nil {
		w.s.keysByHash = w.byHash.Map()
	}
	if w.derived {
		w.s.index()
	}
}

func (w *writer) apply(op *apiv1.Op) {
	switch o := op.GetOp().(type) {
	case *apiv1.Op_PutBaseModel:
		w.baseModels.put(o.PutBaseModel.GetName(), o.PutBaseModel)
	case *apiv1.Op_DeleteBaseModel:
		w.baseModels.remove(o.DeleteBaseModel)
	case *apiv1.Op_PutAdapter:
		w.adapters.put(o.PutAdapter.GetName(), o.PutAdapter)
	case *apiv1.Op_DeleteAdapter:
		w.adapters.remove(o.DeleteAdapter)
	case *apiv1.Op_PutKey:
		w.putKey(o.PutKey)
	case *apiv1.Op_DeleteKey:
		w.deleteKey(o.DeleteKey)
	default:
		w.applyDerived(op)
	}
}

// applyDerived applies an op to a table with derived lists.
func (w *writer) applyDerived(op *apiv1.Op) {
	w.derived = true
	switch o := op.GetOp().(type) {
	case *apiv1.Op_PutTeam:
		w.teams.put(o.PutTeam.GetName(), o.PutTeam)
	case *apiv1.Op_DeleteTeam:
		w.teams.remove(o.DeleteTeam)
	case *apiv1.Op_PutRoute:
		w.routes.put(o.PutRoute.GetName(), o.PutRoute)
	case *apiv1.Op_DeleteRoute:
		w.routes.remove(o.DeleteRoute)
	case *apiv1.Op_PutBackendServer:
		w.backends.put(o.PutBackendServer.GetName(), o.PutBackendServer)
	case *apiv1.Op_DeleteBackendServer:
		w.backends.remove(o.DeleteBackendServer)
	}
}

// hashEditor returns the editor of the index of keys by hash.
func (w *writer) hashEditor() *cowmap.Editor[*apiv1.Key] {
	if w.byHash == nil {
		w.byHash = w.s.keysByHash.Edit()
	}
	return w.byHash
}

func (w *writer) putKey(k *apiv1.Key) {
	w.deleteKey(k.GetId())
	w.keys.put(k.GetId(), k)
	if h, ok := decodeHash(k.GetSha256()); ok {
		w.hashEditor().Put(string(h[:]), k)
	}
}

func (w *writer) deleteKey(id string) {
	old, ok := w.keys.get(id)
	if !ok {
		return
	}
	w.keys.remove(id)
	h, ok := decodeHash(old.GetSha256())
	if !ok {
		return
	}
	// When one change swaps the hashes of two keys, the hash may already belong to
	// the other key.
	if owner, _ := w.hashEditor().Get(string(h[:])); owner.GetId() == id {
		w.hashEditor().Delete(string(h[:]))
	}
}

func decodeHash(text string) (KeyHash, bool) {
	var h KeyHash
	if hex.DecodedLen(len(text)) != len(h) {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(text))
	return h, err == nil
}

// index rebuilds the lists derived from the small tables.
func (s *Snapshot) index() {
	s.teamList = s.teams.sorted()
	s.backendList = s.backends.sorted()
	s.pools = map[string][]*apiv1.BackendServer{}
	for _, b := range s.backendList {
		s.pools[b.GetPool()] = append(s.pools[b.GetPool()], b)
	}
	s.routeOrder = s.routes.sorted()
	slices.SortStableFunc(s.routeOrder, func(a, b *apiv1.Route) int {
		return cmp.Compare(len(b.GetPath()), len(a.GetPath()))
	})
}

// Digest returns the digest of the content, without the revision.
func (s *Snapshot) Digest() Digest {
	sum := s.baseModels.sum.plus(s.adapters.sum).plus(s.teams.sum)
	return sum.plus(s.keys.sum).plus(s.routes.sum).plus(s.backends.sum)
}

// Manifest returns the configuration as a manifest with sorted entities.
func (s *Snapshot) Manifest() *apiv1.Manifest {
	return &apiv1.Manifest{
		Cluster:        s.Cluster,
		BaseModels:     s.baseModels.sorted(),
		Adapters:       s.adapters.sorted(),
		Teams:          s.teams.sorted(),
		Keys:           s.keys.sorted(),
		Routes:         s.routes.sorted(),
		BackendServers: s.backends.sorted(),
	}
}

// Diff returns the ops that lead from s to the content of next.
func (s *Snapshot) Diff(next *Snapshot) []*apiv1.Op {
	var ops []*apiv1.Op
	s.baseModels.diff(&next.baseModels,
		func(v *apiv1.BaseModel) { ops = append(ops, &apiv1.Op{Op: &apiv1.Op_PutBaseModel{PutBaseModel: v}}) },
		func(k string) { ops = append(ops, &apiv1.Op{Op: &apiv1.Op_DeleteBaseModel{DeleteBaseModel: k}}) })
	s.adapters.diff(&next.adapters,
		func(v *apiv1.Adapter) { ops = append(ops, &apiv1.Op{Op: &apiv1.Op_PutAdapter{PutAdapter: v}}) },
		func(k string) { ops = append(ops, &apiv1.Op{Op: &apiv1.Op_DeleteAdapter{DeleteAdapter: k}}) })
	s.teams.diff(&next.teams,
		func(v *apiv1.Team) { ops = append(ops, &apiv1.Op{Op: &apiv1.Op_PutTeam{PutTeam: v}}) },
		func(k string) { ops = append(ops, &apiv1.Op{Op: &apiv1.Op_DeleteTeam{DeleteTeam: k}}) })
	s.keys.diff(&next.keys,
		func(v *apiv1.Key) { ops = append(ops, &apiv1.Op{Op: &apiv1.Op_PutKey{PutKey: v}}) },
		func(k string) { ops = append(ops, &apiv1.Op{Op: &apiv1.Op_DeleteKey{DeleteKey: k}}) })
	s.routes.diff(&next.routes,
		func(v *apiv1.Route) { ops = append(ops, &apiv1.Op{Op: &apiv1.Op_PutRoute{PutRoute: v}}) },
		func(k string) { ops = append(ops, &apiv1.Op{Op: &apiv1.Op_DeleteRoute{DeleteRoute: k}}) })
	s.backends.diff(&next.backends,
		func(v *apiv1.BackendServer) {
			ops = append(ops, &apiv1.Op{Op: &apiv1.Op_PutBackendServer{PutBackendServer: v}})
		},
		func(k string) {
			ops = append(ops, &apiv1.Op{Op: &apiv1.Op_DeleteBackendServer{DeleteBackendServer: k}})
		})
	return ops
}

// KeyByHash returns the key with the hash.
func (s *Snapshot) KeyByHash(h KeyHash) (*apiv1.Key, bool) {
	return s.keysByHash.Get(string(h[:]))
}

// Key returns the key with the id.
func (s *Snapshot) Key(id string) (*apiv1.Key, bool) { return s.keys.get(id) }

// BaseModel returns the base model with the name.
func (s *Snapshot) BaseModel(name string) (*apiv1.BaseModel, bool) { return s.baseModels.get(name) }

// Adapter returns the adapter with the name.
func (s *Snapshot) Adapter(name string) (*apiv1.Adapter, bool) { return s.adapters.get(name) }

// Adapters returns all adapters sorted by name. Each call sorts them.
func (s *Snapshot) Adapters() []*apiv1.Adapter { return s.adapters.sorted() }

// Keys returns all keys sorted by id. Each call sorts them.
func (s *Snapshot) Keys() []*apiv1.Key { return s.keys.sorted() }

// Team returns the team with the name.
func (s *Snapshot) Team(name string) (*apiv1.Team, bool) { return s.teams.get(name) }

// Teams returns all teams sorted by name.
func (s *Snapshot) Teams() []*apiv1.Team { return s.teamList }

// Routes returns all routes, the longest path first.
func (s *Snapshot) Routes() []*apiv1.Route { return s.routeOrder }

// BackendServer returns the backend server with the name.
func (s *Snapshot) BackendServer(name string) (*apiv1.BackendServer, bool) {
	return s.backends.get(name)
}

// BackendServers returns all backend servers sorted by name.
func (s *Snapshot) BackendServers() []*apiv1.BackendServer { return s.backendList }

// Pool returns the backend servers of a pool sorted by name.
func (s *Snapshot) Pool(name string) []*apiv1.BackendServer { return s.pools[name] }

// Route returns the route whose path is the longest prefix of the URL path, on
// a boundary between path segments.
func (s *Snapshot) Route(urlPath string) (*apiv1.Route, bool) {
	for _, r := range s.routeOrder {
		if pathHasPrefix(urlPath, r.GetPath()) {
			return r, true
		}
	}
	return nil, false
}

func pathHasPrefix(urlPath, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(urlPath, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// Version returns the version of the adapter that a request names; an empty
// name selects the adapter's default version.
func Version(a *apiv1.Adapter, name string) (*apiv1.AdapterVersion, bool) {
	if name == "" {
		name = a.GetDefaultVersion()
	}
	for _, v := range a.GetVersions() {
		if v.GetVersion() == name {
			return v, true
		}
	}
	return nil, false
}

// MayUse reports whether a team may call the adapter.
func MayUse(a *apiv1.Adapter, team string) bool {
	return len(a.GetTeams()) == 0 || slices.Contains(a.GetTeams(), team)
}
