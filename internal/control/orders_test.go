package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fleet"
)

// putEngine commits a configuration with one engine of the name e.
func (f *fixture) putEngine(t *testing.T, address string) {
	f.put(t, &apiv1.Manifest{
		Cluster:    "c",
		BaseModels: []*apiv1.BaseModel{{Name: "m"}},
		BackendServers: []*apiv1.BackendServer{{
			Name: "e", Address: address, Kind: apiv1.BackendKind_BACKEND_KIND_ENGINE, BaseModel: "m", Slots: 2,
			FailureDomain: "d", Pool: "p", MaxBatch: 8,
		}},
	})
}

func (f *fixture) put(t *testing.T, m *apiv1.Manifest) {
	n := f.machine.Config().Revision + 1
	resp := f.machine.Apply(n+1, &apiv1.Command{Command: &apiv1.Command_Change{Change: &apiv1.ChangeCommand{Number: n, Manifest: m}}})
	must.EqOp(t, apiv1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, resp.(*apiv1.ApplyResponse).GetOutcome(), must.Sprint(resp))
}

// leadWithDrain returns a leader that has waited out fleet.MaxSilence and has
// one adapter slot that waits for its unload.
func (f *fixture) leadWithDrain(t *testing.T) *leader {
	f.engine.resident = []*apiv1.AdapterRef{{Adapter: "gone", Version: "1"}}
	f.putEngine(t, "http://127.0.0.1:1")
	l := f.lead(t, 3)
	synctest.Wait()
	time.Sleep(fleet.MaxSilence + time.Second)
	return l
}

// An unload must end before another leader can exist: an engine that does not
// check fencing numbers could otherwise unload an adapter that the new leader
// has just loaded.
func TestUnloadEndsWithinTheLease(t *testing.T) {
	for name, tc := range map[string]struct {
		remaining time.Duration
		sent      bool
	}{
		"enough of the lease": {800 * time.Millisecond, true},
		"only the margins":    {2 * unloadMargin, false},
		"the lease is over":   {-time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, "a")
				l := f.leadWithDrain(t)
				f.engine.delay = time.Minute
				lease := f.log.Lease()
				lease.Until = time.Now().Add(tc.remaining)
				l.dispatcher.sendUnloads(lease, time.Now())
				time.Sleep(time.Second)
				synctest.Wait()
				must.EqOp(t, tc.sent, len(f.engine.orders) == 1)
				if tc.sent {
					must.True(t, f.engine.deadline.Equal(lease.Until.Add(-unloadMargin)))
				}
				f.dropLeader()
			})
		})
	}
}

// An unload that was decided for one engine must not be sent to another engine
// that has replaced it under the same name: the adapter may be in use there.
func TestUnloadGoesToTheEngineItWasDecidedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, "a")
		l := f.leadWithDrain(t)
		orders := l.fleet.TakeUnloads(time.Now())
		must.Len(t, 1, orders)
		f.putEngine(t, "http://127.0.0.1:2")
		l.dispatcher.run(t.Context(), orders[0])
		must.Eq(t, []string{"unload http://127.0.0.1:1"}, f.engine.orders)
		f.dropLeader()
	})
}

// The clients of removed engines must be dropped; otherwise the leader's memory
// grows without limit.
func TestClientsOfRemovedEnginesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, "a")
		f.putEngine(t, "http://127.0.0.1:1")
		l := f.lead(t, 3)
		synctest.Wait()
		must.MapLen(t, 1, l.dispatcher.clients)
		f.put(t, &apiv1.Manifest{Cluster: "c"})
		f.tick(t.Context())
		synctest.Wait()
		must.MapEmpty(t, l.dispatcher.clients)
		f.dropLeader()
	})
}
