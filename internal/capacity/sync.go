package capacity

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/state"
	"github.com/jasminesaddle/jasminesaddle/internal/view"
)

// provider serves a state machine as a control leader does.
type provider struct{ *state.Machine }

func (provider) Age(time.Time) time.Duration { return 0 }

// machine returns a state machine with a configuration as its change 1.
func machine(m *apiv1.Manifest) *state.Machine {
	s := state.New()
	s.Apply(1, &apiv1.Command{Command: &apiv1.Command_Initialize{Initialize: &apiv1.Initialize{Cluster: cluster}}})
	got := s.Apply(2, &apiv1.Command{Command: &apiv1.Command_Change{
		Change: &apiv1.ChangeCommand{Number: 1, Author: "a", Manifest: m},
	}})
	mustAccept(got)
	return s
}

// mustAccept panics when a change of the benchmark's own making is refused.
func mustAccept(got any) {
	resp, ok := got.(*apiv1.ApplyResponse)
	if !ok || resp.GetOutcome() != apiv1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED {
		panic(fmt.Sprintf("the benchmark's change was not accepted: %v", got))
	}
}

// measureSync lets subscribers hold Sync and counts the processor time of one
// change: waking them, their answers and the encoding of these.
func (b *bench) measureSync() error {
	const adapters = 1000
	m := machine(manifest(adapters, 0, 4, 1))
	server := view.NewServer(cluster, provider{m})
	b.sweep("sync.subscribers", "answer one change to held Syncs", "subscribers", "s", b.sizes(800), func(n int) float64 {
		return b.perOp(10, func(int) { fanOut(m, server, n, adapters) })
	})
	b.sweep("sync.idle", "answer held Syncs without a change", "subscribers", "s", b.sizes(800), func(n int) float64 {
		return b.perOp(3, func(int) {
			var wg sync.WaitGroup
			for range n {
				wg.Go(func() { ask(server, m, 1) })
			}
			wg.Wait()
		})
	})
	return nil
}

func ask(server *view.Server, m *state.Machine, holdMs uint32) {
	cfg := m.Config()
	resp, err := server.Sync(context.Background(), &apiv1.SyncRequest{
		Cluster: cluster, Revision: cfg.Revision, Digest: cfg.Digest().Bytes(), MaxHoldMs: holdMs,
	})
	if err == nil {
		_, _ = proto.Marshal(resp)
	}
}

// fanOut lets n Syncs wait and then makes a change.
func fanOut(m *state.Machine, server *view.Server, n, adapters int) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { ask(server, m, math.MaxUint32) })
	}
	for server.Held() < n {
		time.Sleep(100 * time.Microsecond)
	}
	number := m.Config().Revision + 1
	mustAccept(m.Apply(number+1, changeCommand(number, adapters, 4)))
	wg.Wait()
}
