package state

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

func adapterOp(i, version int) *apiv1.Op {
	name := fmt.Sprintf("adapter-%05d", i)
	return &apiv1.Op{Op: &apiv1.Op_PutAdapter{PutAdapter: &apiv1.Adapter{
		Name: name, BaseModel: "base", Teams: []string{"blue"}, DefaultVersion: fmt.Sprint(version),
		Versions: []*apiv1.AdapterVersion{{Version: fmt.Sprint(version), Weights: fmt.Sprintf("%s/%d", name, version)}},
	}}}
}

// machineWithAdapters returns a machine with a number of adapters, to which it then
// applies a number of single-adapter changes.
func machineWithAdapters(tb testing.TB, adapters, changes int) *Machine {
	tb.Helper()
	m := initialized()
	next := &apiv1.Manifest{Cluster: "c", BaseModels: []*apiv1.BaseModel{{Name: "base"}},
		Teams: []*apiv1.Team{{Name: "blue", Rate: &apiv1.Rate{TokensPerSecond: 1, BurstTokens: 1}}}}
	for i := range adapters {
		next.Adapters = append(next.Adapters, adapterOp(i, 1).GetPutAdapter())
	}
	resp := m.Apply(2, &apiv1.Command{Command: &apiv1.Command_Change{Change: &apiv1.ChangeCommand{Number: 1, Manifest: next}}}).(*apiv1.ApplyResponse)
	must.Eq(tb, accepted, resp.GetOutcome(), must.Sprint(resp.GetMessage()))
	for i := range changes {
		mustApplyOp(tb, m, adapterOp(i%adapters, 2+i))
	}
	return m
}

func mustApplyOp(tb testing.TB, m *Machine, op *apiv1.Op) {
	n := m.Config().Revision + 1
	if m.Apply(n, changeOf(n, "ann", op)).(*apiv1.ApplyResponse).GetOutcome() != accepted {
		tb.Fatalf("change %d was refused", n)
	}
}

func BenchmarkApplyOneOp(b *testing.B) {
	for _, n := range []int{3_000, 28_000} {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			m := machineWithAdapters(b, n, 0)
			i := 0
			for b.Loop() {
				mustApplyOp(b, m, adapterOp(i%n, 2+i))
				i++
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	m := machineWithAdapters(b, 28_000, 50_000)
	encoded, err := m.Snapshot()
	must.NoError(b, err)
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			_, _ = m.Snapshot()
		}
		b.ReportMetric(float64(len(encoded)), "bytes")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			must.NoError(b, New().Restore(encoded))
		}
	})
}
