package state

import (
	"testing"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// Guards against builds that lose their order, or are lost by a restored replica.
func TestBuildsSurviveSnapshot(t *testing.T) {
	put := func(m *Machine, added, removed []string) {
		m.Apply(1, &apiv1.Command{Command: &apiv1.Command_PutBuilds{PutBuilds: &apiv1.PutBuilds{
			Added: []*apiv1.ServiceBuilds{{Service: "s", Builds: added}}, Removed: []*apiv1.ServiceBuilds{{Service: "s", Builds: removed}},
		}}})
	}
	m := New()
	put(m, []string{"v2"}, nil)
	put(m, []string{"v1", "v2"}, nil)
	put(m, []string{"v3"}, []string{"v9"})
	data, err := m.Snapshot()
	must.NoError(t, err)
	restored := New()
	must.NoError(t, restored.Restore(data))
	for _, replica := range []*Machine{m, restored} {
		must.Eq(t, []string{"v2", "v1", "v3"}, replica.Builds()[0].GetBuilds())
		put(replica, nil, []string{"v2"})
		must.Eq(t, []string{"v1", "v3"}, replica.Builds()[0].GetBuilds())
		put(replica, nil, []string{"v1", "v3"})
		must.SliceEmpty(t, replica.Builds())
	}
}
