package capacity

import (
	"fmt"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fleet"
	"github.com/jasminesaddle/jasminesaddle/internal/placement"
)

// measurePlacement measures what the leader does every 100 ms: the snapshot of
// the fleet tables and the placement plan. The snapshot sums the requests in
// flight of each adapter slot over all hosts, so that its cost is proportional to
// adapter slots times hosts.
func (b *bench) measurePlacement() error {
	now := time.Unix(1_800_000_000, 0)
	engines, hosts := 500, 200
	if b.quick {
		engines, hosts = 8, 8
	}
	snapshot := func(engines, hosts int) float64 {
		t := fleetTable(engines, engines*adapterSlots, now)
		for h := range hosts {
			t.Report(reportRequest(h, 50, 0, engines, engines*adapterSlots), now)
		}
		return b.cpuPerOp(4, func(int) { t.Snapshot(now) })
	}
	b.sweep("snapshot.engines", "fleet snapshot without hosts", "engines", "s", b.sizes(4000), func(n int) float64 {
		return snapshot(n, 0)
	})
	b.sweep("snapshot.pairs", fmt.Sprintf("fleet snapshot with %d engines, by hosts", engines), "slots x hosts", "s",
		pairSizes(engines, hosts), func(pairs int) float64 { return snapshot(engines, pairs/(engines*adapterSlots)) })
	b.sweep("plan.engines", "placement plan, 4,000 adapters in demand", "engines", "s", b.sizes(4000), func(n int) float64 {
		s := planSnapshot(n, b.largestSize(4000), now)
		p := placement.NewPlanner(placement.Options{})
		return b.cpuPerOp(4, func(int) { p.Plan(s) })
	})
	b.sweep("plan.demand", "placement plan, 1,000 engines", "adapters in demand", "s", b.sizes(4000), func(n int) float64 {
		s := planSnapshot(b.largestSize(1000), n, now)
		p := placement.NewPlanner(placement.Options{})
		return b.cpuPerOp(4, func(int) { p.Plan(s) })
	})
	b.sweep("unloads", "search for safe unloads, by draining slots", "slots x hosts", "s", b.sizes(48_000), func(n int) float64 {
		t := tableWithDrains(max(1, n/unloadHosts), now)
		return b.cpuPerOp(4, func(int) { t.TakeUnloads(now) })
	})
	b.sweep("fleet.config", "take over a change of the configuration", "engines", "s", b.sizes(4000), func(n int) float64 {
		conf := newMachine(manifest(1000, n, 4, 1)).Config()
		t := fleet.New(1, now, conf)
		return b.cpuPerOp(5, func(int) { t.SetConfig(conf) })
	})
	return nil
}

// unloadHosts is the number of hosts whose reports the search for unloads checks.
const unloadHosts = 1200

// tableWithDrains returns a fleet table of n engines with one draining adapter slot
// each, on which only the last host still has requests in flight.
func tableWithDrains(n int, now time.Time) *fleet.Table {
	start := now.Add(-time.Minute) // a new leader delays unloads at the start of its term
	t := fleetTable(n, n*adapterSlots, start)
	for h := range unloadHosts {
		inFlight := 0
		if h == unloadHosts-1 {
			inFlight = n
		}
		t.Report(reportRequest(h, inFlight, 0, n, n*adapterSlots), now)
	}
	for i := range n {
		t.StartDrain(engineName(i), fleet.Ref{Adapter: adapterName(i * adapterSlots), Version: "v1"}, now)
	}
	return t
}

// pairSizes returns four numbers of adapter slots times hosts, up to the given
// number of hosts.
func pairSizes(engines, hosts int) []int {
	var out []int
	for i := 1; i <= 4; i++ {
		out = append(out, engines*adapterSlots*hosts*i/4)
	}
	return out
}

// planSnapshot returns a busy fleet: all adapter slots are occupied, and a
// twentieth of the adapters in demand have waiting requests but no ready engine.
func planSnapshot(engines, demand int, now time.Time) placement.Snapshot {
	s := placement.Snapshot{Now: now}
	for i := range engines {
		e := placement.Engine{Name: engineName(i), FailureDomain: domainName(i), BaseModel: baseModel, Slots: adapterSlots, Healthy: true}
		for k := range adapterSlots {
			e.Residents = append(e.Residents, placement.Resident{
				Ref:   placement.Ref{Adapter: adapterName((i*adapterSlots + k) % demand), Version: "v1"},
				State: placement.Ready, InFlight: (i + k) % 3, LastUsed: now, Since: now.Add(-time.Minute),
			})
		}
		s.Engines = append(s.Engines, e)
	}
	for i := range demand {
		d := placement.Demand{
			Ref:       placement.Ref{Adapter: adapterName(i), Version: "v1"},
			BaseModel: baseModel, Team: teamName(i % benchTeams), Arrivals: 56_000 / float64(demand) / float64(1+i%20),
		}
		if i%20 == 0 {
			d.Ref.Version = "v2"
			d.Waiting, d.OldestWait = 2, 300*time.Millisecond
		}
		s.Demand = append(s.Demand, d)
	}
	return s
}
