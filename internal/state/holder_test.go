package state

import (
	"testing"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

func putHolder(instance, holder string) *apiv1.Command {
	return &apiv1.Command{Command: &apiv1.Command_PutHolders{PutHolders: &apiv1.PutHolders{
		Holders: []*apiv1.EngineHolder{{Instance: instance, Holder: holder}}}}}
}

// An engine could not fence off its former holder if a new holder had the same
// fencing number or a lower one.
func TestHolderFences(t *testing.T) {
	m := New()
	m.Apply(1, putHolder("e", "a"))
	m.Apply(2, putHolder("f", "a"))
	first := m.Holders()[0]
	m.Apply(3, putHolder("e", "a"))
	must.Eq(t, first.GetFence(), m.Holders()[0].GetFence(), must.Sprint("the same holder got another fencing number"))
	m.Apply(4, putHolder("e", "b"))
	moved := m.Holders()[0]
	must.Greater(t, m.Holders()[1].GetFence(), moved.GetFence())

	data, err := m.Snapshot()
	must.NoError(t, err)
	restored := New()
	must.NoError(t, restored.Restore(data))
	restored.Apply(5, putHolder("e", "c"))
	must.Greater(t, moved.GetFence(), restored.Holders()[0].GetFence())
	restored.Apply(6, putHolder("e", ""))
	must.Len(t, 1, restored.Holders())
}
