package config

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

func sample() *apiv1.Manifest {
	return &apiv1.Manifest{
		Cluster: "c",
		Adapters: []*apiv1.Adapter{
			{Name: "a", Versions: []*apiv1.AdapterVersion{{Version: "1"}, {Version: "2"}}, DefaultVersion: "2"},
			{Name: "b", Versions: []*apiv1.AdapterVersion{{Version: "1"}}, DefaultVersion: "1", Teams: []string{"t"}},
		},
		Teams:  []*apiv1.Team{{Name: "t"}, {Name: "u"}},
		Keys:   []*apiv1.Key{{Id: "k", Team: "t", Sha256: "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}},
		Routes: []*apiv1.Route{{Name: "r", Path: "/v1"}, {Name: "s", Path: "/v1/batch"}},
	}
}

// A delta that leads to other content or another digest than the whole manifest
// would leave hosts with different configurations.
func TestDiffLeadsToSameContent(t *testing.T) {
	first := FromManifest(sample(), 1)
	m := proto.Clone(sample()).(*apiv1.Manifest)
	m.Adapters = m.Adapters[:1]
	m.Teams[1].Weight = 7
	m.Keys = nil
	want := FromManifest(m, 2)
	got := first.Apply(2, first.Diff(want))
	must.Eq(t, want.Digest(), got.Digest())
	must.True(t, proto.Equal(want.Manifest(), got.Manifest()))
	must.NotEq(t, first.Digest(), got.Digest())
	_, ok := got.KeyByHash(HashKey("secret"))
	must.False(t, ok)
	_, ok = first.KeyByHash(HashKey("secret"))
	must.True(t, ok, must.Sprint("an older snapshot changed"))
}

// A prefix that matches inside a path segment would send a request to the
// wrong route.
func TestRouteMatchesWholeSegments(t *testing.T) {
	s := FromManifest(sample(), 1)
	for path, want := range map[string]string{
		"/v1": "r", "/v1/x": "r", "/v1/batch": "s", "/v1/batch/x": "s", "/v1/batches": "r", "/v12": "", "/": "",
	} {
		r, _ := s.Route(path)
		must.Eq(t, want, r.GetName(), must.Sprint(path))
	}
}

// A change that swaps the hashes of two keys must leave both usable.
func TestSwappedKeyHashes(t *testing.T) {
	a, b := "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b", "5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8"
	keys := func(first, second string) *apiv1.Manifest {
		return &apiv1.Manifest{Keys: []*apiv1.Key{{Id: "1", Sha256: first}, {Id: "2", Sha256: second}}}
	}
	old, swapped := FromManifest(keys(a, b), 1), FromManifest(keys(b, a), 2)
	got := old.Apply(2, old.Diff(swapped))
	for presented, id := range map[string]string{"secret": "2", "password": "1"} {
		k, ok := got.KeyByHash(HashKey(presented))
		must.True(t, ok, must.Sprint(presented))
		must.Eq(t, id, k.GetId(), must.Sprint(presented))
	}
}
