package manifest

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

// DigestChange returns the SHA-256 of a change's content, without its number and
// author. The order of entities in a manifest does not affect the digest; the
// order of ops does.
func DigestChange(c *apiv1.ChangeCommand) []byte {
	h := sha256.New()
	options := proto.MarshalOptions{Deterministic: true}
	if m := c.GetManifest(); m != nil {
		encoded, err := options.Marshal(Canonical(m))
		if err != nil {
			// Marshal fails only on invalid UTF-8, which the decoders reject.
			panic(err)
		}
		h.Write([]byte("manifest\x00"))
		h.Write(encoded)
		return h.Sum(nil)
	}
	encoded, err := options.Marshal(&apiv1.ChangeCommand{Ops: c.GetOps()})
	if err != nil {
		panic(err)
	}
	h.Write([]byte("ops\x00"))
	h.Write(encoded)
	return h.Sum(nil)
}

// Canonical returns the manifest with its entities sorted by name. The
// result shares its entities with m; they must not be modified.
func Canonical(m *apiv1.Manifest) *apiv1.Manifest {
	return &apiv1.Manifest{
		Cluster:        m.GetCluster(),
		BaseModels:     sorted(m.GetBaseModels(), (*apiv1.BaseModel).GetName),
		Adapters:       sorted(m.GetAdapters(), (*apiv1.Adapter).GetName),
		Teams:          sorted(m.GetTeams(), (*apiv1.Team).GetName),
		Keys:           sorted(m.GetKeys(), (*apiv1.Key).GetId),
		Routes:         sorted(m.GetRoutes(), (*apiv1.Route).GetName),
		BackendServers: sorted(m.GetBackendServers(), (*apiv1.BackendServer).GetName),
	}
}

func sorted[T any](list []T, key func(T) string) []T {
	return slices.SortedStableFunc(slices.Values(list), func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}

// Diff returns the ops that change the snapshot's content to the manifest's.
func Diff(s *config.Snapshot, m *apiv1.Manifest) []*apiv1.Op {
	return s.Diff(config.FromManifest(m, s.Revision))
}
