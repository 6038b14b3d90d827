package manifest

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

// MaxOps is the largest number of ops in one change. A larger change is sent as a
// manifest.
const MaxOps = 10_000

// Check reports all problems of a manifest as a Problems error.
func Check(m *apiv1.Manifest) error {
	var problems Problems
	checkName(&problems, "cluster", m.GetCluster())
	c := newChecker(config.Empty(m.GetCluster()), &Index{}, problems)
	c.run(manifestItems(m))
	return c.problems.err()
}

// CheckOps reports all problems of a change to the snapshot. It reads the whole
// snapshot; a caller with many changes keeps an Index and uses its Check.
func CheckOps(s *config.Snapshot, ops []*apiv1.Op) error {
	return NewIndex(s).Check(s, ops)
}

// Check reports all problems of a change to the snapshot that the index belongs
// to. Its cost depends on the ops alone, not on the size of the snapshot.
func (x *Index) Check(s *config.Snapshot, ops []*apiv1.Op) error {
	c := newChecker(s, x, nil)
	if len(ops) == 0 {
		c.problems.add("ops", "name at least one put or delete", "the change is empty")
	}
	if len(ops) > MaxOps {
		c.problems.add("ops", "send a manifest or several changes", "%d ops are more than the limit of %d", len(ops), MaxOps)
		return c.problems
	}
	c.run(opItems(ops, &c.problems))
	c.checkKeyMoves()
	return c.problems.err()
}

// CheckManifest reports the problems of replacing the snapshot's content with the
// manifest. The manifest must have passed Check.
func CheckManifest(s *config.Snapshot, m *apiv1.Manifest) error {
	c := newChecker(s, &Index{}, nil)
	c.items = manifestItems(m)
	c.checkKeyMoves()
	return c.problems.err()
}

// checker checks one set of puts and deletes against a snapshot.
type checker struct {
	snapshot *config.Snapshot
	index    *Index
	items    []item
	byID     map[entityID]item
	delta    map[reference]int
	problems Problems
}

func newChecker(s *config.Snapshot, x *Index, problems Problems) *checker {
	return &checker{snapshot: s, index: x, byID: map[entityID]item{}, delta: map[reference]int{}, problems: problems}
}

func (c *checker) run(items []item) {
	for _, it := range items {
		c.register(it)
	}
	for _, it := range c.items {
		if it.put != nil {
			checkEntity(&c.problems, it.path, it.put)
			c.checkReferences(it)
			continue
		}
		c.checkDelete(it)
	}
	c.checkPools()
}

// register adds the item and its effect on the reference counts to the change. It
// reports an entity that occurs twice and a deletion of one that does not exist.
func (c *checker) register(it item) {
	if first, ok := c.byID[it.id]; ok {
		c.problems.add(it.path+nameField(it), "keep one of the two", "%s already occurs at %s", it.id, first.path)
		return
	}
	c.byID[it.id] = it
	c.items = append(c.items, it)
	if old, ok := lookup(c.snapshot, it.id); ok {
		c.addReferences(old, -1)
	} else if it.put == nil {
		c.problems.add(it.path, "leave the deletion out", "%s does not exist", it.id)
	}
	if it.put != nil {
		c.addReferences(it.put, 1)
	}
}

func (c *checker) addReferences(m proto.Message, by int) {
	for _, r := range references(m) {
		c.delta[r.reference] += by
	}
}

func nameField(it item) string {
	switch {
	case it.put == nil:
		return ""
	case it.id.table == tableKeys:
		return ".id"
	}
	return ".name"
}

// referenceCount returns the number of references after the change.
func (c *checker) referenceCount(r reference) int { return c.index.counts[r] + c.delta[r] }

// exists reports whether the entity exists after the change.
func (c *checker) exists(id entityID) bool {
	if it, ok := c.byID[id]; ok {
		return it.put != nil
	}
	_, ok := lookup(c.snapshot, id)
	return ok
}

func (c *checker) checkReferences(it item) {
	for _, r := range references(it.put) {
		field := it.path + "." + r.field
		switch r.target {
		case tableBaseModels, tableTeams:
			if r.name != "" && !c.exists(entityID{r.target, r.name}) {
				c.problems.add(field, "add it to "+r.target+" or name one that exists", "%q is not in %s", r.name, r.target)
			}
		case targetPath, targetAddress, targetHash:
			if r.name != "" && c.referenceCount(r.reference) > 1 {
				c.problems.add(field, "give each entry its own "+r.field, "%s is used by another entry of %s", r.name, r.table)
			}
		}
	}
	c.checkModelNames(it)
}

// checkModelNames rejects an adapter and a base model of the same name, because a
// request names either in the same field.
func (c *checker) checkModelNames(it item) {
	var other entityID
	switch it.id.table {
	case tableAdapters:
		other = entityID{tableBaseModels, it.id.key}
	case tableBaseModels:
		other = entityID{tableAdapters, it.id.key}
	default:
		return
	}
	if it.id.key != "" && c.exists(other) {
		c.problems.add(it.path+".name", "rename one of the two", "%q is also a name in %s", it.id.key, other.table)
	}
}

// checkDelete rejects a deletion that leaves a reference without its target.
func (c *checker) checkDelete(it item) {
	if it.id.table != tableBaseModels && it.id.table != tableTeams {
		return
	}
	for _, table := range []string{tableAdapters, tableKeys, tableBackends} {
		if n := c.referenceCount(reference{it.id.table, it.id.key, table}); n > 0 {
			c.problems.add(it.path, "delete or change those entries in the same change", "%s is still used by %d entries of %s", it.id, n, table)
		}
	}
}

// poolMembers returns the number of engines and of plain services in a pool after
// the change.
func (c *checker) poolMembers(pool string) (engines, services int) {
	return c.referenceCount(reference{targetEngineMember, pool, tableBackends}), c.referenceCount(reference{targetServiceMember, pool, tableBackends})
}

// checkPools checks the pool of each put route, and the pools that put or deleted
// backend servers join or leave.
func (c *checker) checkPools() {
	reported := map[string]bool{}
	for _, it := range c.items {
		if r, ok := it.put.(*apiv1.Route); ok && r.GetPool() != "" {
			c.checkRoutePool(it.path+".pool", r, reported)
		}
	}
	for _, it := range c.items {
		if it.id.table != tableBackends {
			continue
		}
		if b, ok := it.put.(*apiv1.BackendServer); ok && b.GetPool() != "" {
			if engines, services := c.poolMembers(b.GetPool()); engines > 0 && services > 0 {
				c.problems.add(it.path+".pool", "use one pool for each kind", "pool %q holds engines and plain services", b.GetPool())
			}
		}
		if old, ok := c.snapshot.BackendServer(it.id.key); ok {
			c.checkLeftPool(it.path, old.GetPool(), reported)
		}
	}
}

func (c *checker) checkRoutePool(field string, r *apiv1.Route, reported map[string]bool) {
	engines, services := c.poolMembers(r.GetPool())
	switch {
	case r.GetKind() == apiv1.RouteKind_ROUTE_KIND_MODEL && engines == 0:
		c.problems.add(field, "name a pool of engines", "pool %q has no engines", r.GetPool())
	case r.GetKind() == apiv1.RouteKind_ROUTE_KIND_SERVICE && services == 0:
		c.problems.add(field, "name a pool of plain services", "pool %q has no plain services", r.GetPool())
	default:
		return
	}
	reported[r.GetPool()] = true
}

// checkLeftPool rejects a change that removes the last backend server from a pool
// that a route uses.
func (c *checker) checkLeftPool(field, pool string, reported map[string]bool) {
	engines, services := c.poolMembers(pool)
	empty := c.referenceCount(reference{targetEnginePool, pool, tableRoutes}) > 0 && engines == 0 ||
		c.referenceCount(reference{targetServicePool, pool, tableRoutes}) > 0 && services == 0
	if !empty || reported[pool] {
		return
	}
	reported[pool] = true
	c.problems.add(field, "add another backend server to the pool, or delete the route",
		"pool %q of a route would have no backend server", pool)
}

// checkKeyMoves rejects a change that moves a hash from one key to another. Hosts
// look keys up by hash, and the result of such a move would depend on the order
// of the ops.
func (c *checker) checkKeyMoves() {
	for _, it := range c.items {
		k, ok := it.put.(*apiv1.Key)
		if !ok {
			continue
		}
		h, ok := parseKeyHash(k.GetSha256())
		if !ok {
			continue
		}
		if owner, held := c.snapshot.KeyByHash(h); held && owner.GetId() != k.GetId() {
			if c.referenceCount(reference{targetHash, k.GetSha256(), tableKeys}) > 1 {
				continue // reported as a duplicate
			}
			c.problems.add(it.path+".sha256", "withdraw that key in an earlier change", "the hash belongs to key %q, which is in force", owner.GetId())
		}
	}
}
