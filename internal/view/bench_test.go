package view

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

// BenchmarkSyncBytes reports the sizes of Sync requests and responses at 28,000
// adapters: no change, 1 and 500 changed adapters, and the whole configuration.
func BenchmarkSyncBytes(b *testing.B) {
	c := &control{}
	m := &apiv1.Manifest{Cluster: "c", BaseModels: []*apiv1.BaseModel{{Name: "base"}}}
	for i := range 28_000 {
		m.Adapters = append(m.Adapters, smallAdapter(i))
	}
	first := config.FromManifest(m, 1)
	for _, behind := range []int{0, 1, 500, -1} {
		b.Run(fmt.Sprintf("behind=%d", behind), func(b *testing.B) {
			p := fixed{control: c, config: first}
			for i := range max(behind, 0) {
				ops := []*apiv1.Op{{Op: &apiv1.Op_PutAdapter{PutAdapter: smallAdapter(i)}}}
				p.changes = append(p.changes, &apiv1.Change{Number: uint64(i) + 2, Digest: make([]byte, 32), Ops: ops, AcceptedUnixMs: 1 << 40, Author: "ann"})
			}
			p.config = first.Apply(uint64(len(p.changes))+1, nil)
			req := &apiv1.SyncRequest{Cluster: "c", Host: "entry-0001", Revision: 1, Digest: first.Digest().Bytes()}
			if behind < 0 {
				req.Revision = 0
			}
			s := NewServer("c", p)
			var resp *apiv1.SyncResponse
			for b.Loop() {
				var err error
				resp, err = s.Sync(b.Context(), req)
				must.NoError(b, err)
			}
			b.ReportMetric(float64(proto.Size(resp)), "answer-bytes")
			b.ReportMetric(float64(proto.Size(req)), "request-bytes")
		})
	}
}

func smallAdapter(i int) *apiv1.Adapter {
	name := fmt.Sprintf("adapter-%05d", i)
	return &apiv1.Adapter{Name: name, BaseModel: "base", Teams: []string{"blue"}, DefaultVersion: "1",
		Versions: []*apiv1.AdapterVersion{{Version: "1", Weights: name + "/1"}}}
}

// fixed is a Provider whose configuration never changes.
type fixed struct {
	*control
	config  *config.Snapshot
	changes []*apiv1.Change
}

func (f fixed) Config() *config.Snapshot { return f.config }
func (f fixed) Changed() <-chan struct{} { return nil }
func (f fixed) ChangesSince(uint64) ([]*apiv1.Change, bool) {
	return f.changes, true
}
