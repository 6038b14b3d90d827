package state

import (
	"testing"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

func putDocument(revision uint64, content string) *apiv1.Command {
	return &apiv1.Command{Command: &apiv1.Command_PutDocument{
		PutDocument: &apiv1.PutDocument{Revision: revision, Content: []byte(content)}}}
}

func putVersion(adapter string, version uint64) *apiv1.Command {
	return &apiv1.Command{Command: &apiv1.Command_PutAdapterVersion{
		PutAdapterVersion: &apiv1.PutAdapterVersion{Model: "m", Adapter: adapter, Version: version}}}
}

// An older document that arrives late, or other content under the revision in force,
// must not replace the acknowledged document.
func TestHighestDocumentStays(t *testing.T) {
	m := New()
	must.Nil(t, m.Document())
	for i, step := range []struct {
		revision uint64
		content  string
		applied  bool
		inForce  string
	}{
		{5, "five", true, "five"}, {5, "other", false, "five"}, {3, "three", false, "five"},
		{9, "nine", true, "nine"}, {9, "nine", false, "nine"},
	} {
		got := m.Apply(uint64(i+1), putDocument(step.revision, step.content)).(*apiv1.PutResult)
		must.Eq(t, step.applied, got.GetApplied())
		must.Eq(t, step.inForce, string(m.Document().GetContent()))
		must.Eq(t, m.Document().GetRevision(), got.GetRevision())
	}
}

// A reader that passes an epoch must get each later version, and one that passes the
// epoch of another run must get all versions.
func TestVersionsSince(t *testing.T) {
	m := New()
	m.Apply(1, putVersion("b", 2))
	_, first := m.VersionsSince(0)
	m.Apply(2, putVersion("a", 4))
	m.Apply(3, putVersion("b", 1))
	changed, epoch := m.VersionsSince(first)
	must.Len(t, 1, changed)
	must.Eq(t, "a", changed[0].GetAdapter())
	all, _ := m.VersionsSince(epoch + 7)
	must.Len(t, 2, all)
}

// A restart from a snapshot must not lose the catalog or a version.
func TestDocumentInSnapshot(t *testing.T) {
	m := New()
	m.Apply(1, putDocument(5, "five"))
	m.Apply(2, putVersion("a", 4))
	data, err := m.Snapshot()
	must.NoError(t, err)
	restored := New()
	must.NoError(t, restored.Restore(data))
	must.Eq(t, "five", string(restored.Document().GetContent()))
	versions, _ := restored.VersionsSince(0)
	must.Len(t, 1, versions)
	must.Eq(t, 4, versions[0].GetVersion())
	must.False(t, restored.Apply(3, putDocument(5, "x")).(*apiv1.PutResult).GetApplied())
}
