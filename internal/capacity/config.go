package capacity

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

const (
	benchTeams = 400
	benchKeys  = 4
)

// decodeSnapshot builds a snapshot from an encoded manifest as an entry host does.
// Its strings come from the decoded message and are shared with no other data,
// so that a heap measurement includes them.
func decodeSnapshot(encoded []byte) *config.Snapshot {
	m := &apiv1.Manifest{}
	if err := proto.Unmarshal(encoded, m); err != nil {
		panic(err)
	}
	return config.FromManifest(m, 1)
}

func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

func (b *bench) measureConfig() error {
	adapters, engines := b.sizes(28_000), b.sizes(10_000)
	b.sweep("config.full.adapters", "full Sync, encoded", "adapters", "bytes", adapters, func(n int) float64 {
		return float64(proto.Size(&apiv1.SyncResponse{Revision: 1, Full: manifest(n, 0, benchTeams, benchKeys)}))
	})
	b.sweep("config.full.engines", "engines' part of a full Sync", "engines", "bytes", engines, func(n int) float64 {
		return float64(proto.Size(manifest(0, n, 0, 0)))
	})
	b.sweep("config.delta", "delta Sync, encoded", "changes", "bytes", []int{1, 2, 4, 8, 16}, func(n int) float64 {
		resp := &apiv1.SyncResponse{Revision: 54_000, Digest: make([]byte, 32), HeldMs: 400}
		for i := range n {
			resp.Changes = append(resp.Changes, change(uint64(54_000+i), 28_000, benchTeams))
		}
		return float64(proto.Size(resp))
	})
	b.sweep("config.memory.adapters", "view of the configuration, live heap", "adapters", "bytes", adapters, func(n int) float64 {
		encoded := encode(manifest(n, 0, benchTeams, benchKeys))
		return heapBytes(func() any { return decodeSnapshot(encoded) })
	})
	b.sweep("config.memory.engines", "engines' part of the view, live heap", "engines", "bytes", engines, func(n int) float64 {
		encoded := encode(manifest(0, n, 0, 0))
		return heapBytes(func() any { return decodeSnapshot(encoded) })
	})
	b.sweep("config.build", "decode and build a full Sync", "adapters", "s", adapters, func(n int) float64 {
		encoded := encode(manifest(n, 0, benchTeams, benchKeys))
		return b.cpuPerOp(2, func(int) { decodeSnapshot(encoded) })
	})
	b.sweep("config.apply.adapter", "apply a delta of one adapter", "adapters", "s", adapters, func(n int) float64 {
		s := config.FromManifest(manifest(n, 0, benchTeams, benchKeys), 1)
		return b.cpuPerOp(20, func(i int) {
			s = s.Apply(uint64(i+2), []*apiv1.Op{putAdapter(i%n, benchTeams, "next")})
		})
	})
	b.sweep("config.apply.engine", "apply a delta of one engine", "engines", "s", engines, func(n int) float64 {
		s := config.FromManifest(manifest(0, n, 0, 0), 1)
		return b.cpuPerOp(20, func(i int) {
			s = s.Apply(uint64(i+2), []*apiv1.Op{{Op: &apiv1.Op_PutBackendServer{PutBackendServer: engineServer(i % n)}}})
		})
	})
	return nil
}
