package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An engine that has said that it leaves must get no adapter and no request, whatever the list says, until it has
// started anew. Its adapters in demand must be loaded elsewhere before requests miss them, and others must not.
func TestLeavingEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	table := fullFleet(3, now)
	now = now.Add(5 * time.Second)
	wanted, idle := Ref{model, "a0"}, Ref{model, "a1"}
	for range 10 {
		table.RecordArrivals(wanted, 1, now)
	}
	must.SliceEmpty(t, table.Moves(now))
	must.True(t, table.SetLeaving("e0", 0))
	must.False(t, table.SetLeaving("e0", 0), must.Sprint("it is said only once"))
	moves := table.Moves(now)
	must.Len(t, 1, moves)
	must.Eq(t, wanted, moves[0].Ref)
	must.NotEq(t, "e0", moves[0].Instance)

	listed := func(start int64) []ListedEngine {
		var list []ListedEngine
		for i := range 3 {
			e := ListedEngine{Instance: fmt.Sprint("e", i), Service: service, Address: fmt.Sprint(i)}
			if i == 0 {
				e.StartUnixMs = start
			}
			list = append(list, e)
		}
		return list
	}
	table.ObserveList(listed(0), now)
	must.True(t, table.engines["e0"].Draining)
	for range 20 {
		must.NotEq(t, "e0", table.Acquire(Request{Service: service, Ref: idle}, now).Instance)
	}
	table.ObserveList(listed(7), now)
	must.False(t, table.engines["e0"].Draining, must.Sprint("another start of the engine"))
	must.False(t, table.SetLeaving("e0", 6), must.Sprint("an earlier start said so"))
}

// An engine that wants nothing must get neither orders nor requests for its report, and both after its time.
func TestQuietEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	table := fullFleet(2, now)
	now = now.Add(5 * time.Second)
	table.engines["e0"].sequenceKnown = false
	must.True(t, table.NeedsReport("e0", now))
	for _, instance := range []string{"e0", "e1"} {
		table.SetQuiet(instance, 2*time.Second, now)
		table.SetQuiet(instance, 0, now)
	}
	for _, at := range []time.Duration{0, time.Second, 2*time.Second - 1} {
		must.False(t, table.NeedsReport("e0", now.Add(at)))
		must.Eq(t, "quiet", table.BlockedReason("e1", now.Add(at)))
		_, status := table.Next("e1", Ref{model, "new"}, now.Add(at))
		must.Eq(t, NextLater, status)
	}
	must.True(t, table.NeedsReport("e0", now.Add(2*time.Second)))
	_, status := table.Next("e1", Ref{model, "new"}, now.Add(2*time.Second))
	must.Eq(t, NextSend, status)
}
