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

// leaderSource serves a state machine's configuration as a control leader does.
type leaderSource struct{ *state.Machine }

func (leaderSource) Age(time.Time) time.Duration { return 0 }

// newMachine returns a state machine that has applied the manifest as change 1.
func newMachine(m *apiv1.Manifest) *state.Machine {
	s := state.New()
	s.Apply(1, &apiv1.Command{Command: &apiv1.Command_Initialize{Initialize: &apiv1.Initialize{Cluster: cluster}}})
	resp := s.Apply(2, &apiv1.Command{Command: &apiv1.Command_Change{
		Change: &apiv1.ChangeCommand{Number: 1, Author: "a", Manifest: m},
	}})
	mustAccept(resp)
	return s
}

// mustAccept panics unless the state machine accepted the benchmark's change.
func mustAccept(result any) {
	resp, ok := result.(*apiv1.ApplyResponse)
	if !ok || resp.GetOutcome() != apiv1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED {
		panic(fmt.Sprintf("benchmark change was not accepted: %v", result))
	}
}

// measureSync measures the processor time of answering held Syncs (long polls).
// For a change, that is waking the subscribers' calls and building and encoding
// their responses.
func (b *bench) measureSync() error {
	const adapters = 1000
	m := newMachine(manifest(adapters, 0, 4, 1))
	server := view.NewServer(cluster, leaderSource{m})
	b.sweep("sync.subscribers", "answer one change to held Syncs", "subscribers", "s", b.sizes(800), func(n int) float64 {
		return b.cpuPerOp(10, func(int) { fanOutChange(m, server, n, adapters) })
	})
	b.sweep("sync.idle", "answer held Syncs without a change", "subscribers", "s", b.sizes(800), func(n int) float64 {
		return b.cpuPerOp(3, func(int) {
			var wg sync.WaitGroup
			for range n {
				wg.Go(func() { requestSync(server, m, 1) })
			}
			wg.Wait()
		})
	})
	return nil
}

// requestSync calls Sync, which is held for up to holdMs while there is no change,
// and encodes the response.
func requestSync(server *view.Server, m *state.Machine, holdMs uint32) {
	cfg := m.Config()
	resp, err := server.Sync(context.Background(), &apiv1.SyncRequest{
		Cluster: cluster, Revision: cfg.Revision, Digest: cfg.Digest().Bytes(), MaxHoldMs: holdMs,
	})
	if err == nil {
		_, _ = proto.Marshal(resp)
	}
}

// fanOutChange applies a change once n Syncs are held, and waits for their
// responses.
func fanOutChange(m *state.Machine, server *view.Server, n, adapters int) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { requestSync(server, m, math.MaxUint32) })
	}
	for server.HeldRequests() < n {
		time.Sleep(100 * time.Microsecond)
	}
	number := m.Config().Revision + 1
	mustAccept(m.Apply(number+1, changeCommand(number, adapters, 4)))
	wg.Wait()
}
