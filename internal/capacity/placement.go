package capacity

import (
	"fmt"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fleet"
	"github.com/jasminesaddle/jasminesaddle/internal/placement"
)

// measurePlacement measures what the leader does every 100 ms: the snapshot of
// the fleet tables and the plan. The snapshot sums the requests in flight of
// each slot over all hosts, so that its cost follows slots times hosts.
func (b *bench) measurePlacement() error {
	now := time.Unix(1_800_000_000, 0)
	engines, hosts := 500, 200
	if b.quick {
		engines, hosts = 8, 8
	}
	snapshot := func(engines, hosts int) float64 {
		t := table(engines, engines*slots, now)
		for h := range hosts {
			t.Report(report(h, 50, 0, engines, engines*slots), now)
		}
		return b.perOp(4, func(int) { t.Snapshot(now) })
	}
	b.sweep("snapshot.engines", "fleet snapshot without hosts", "engines", "s", b.sizes(4000), func(n int) float64 {
		return snapshot(n, 0)
	})
	b.sweep("snapshot.pairs", fmt.Sprintf("fleet snapshot with %d engines, by hosts", engines), "slots x hosts", "s",
		pairSizes(engines, hosts), func(pairs int) float64 { return snapshot(engines, pairs/(engines*slots)) })
	b.sweep("plan.engines", "placement plan, 4,000 adapters in demand", "engines", "s", b.sizes(4000), func(n int) float64 {
		s := planInput(n, b.largest(4000), now)
		p := placement.NewPlanner(placement.Options{})
		return b.perOp(4, func(int) { p.Plan(s) })
	})
	b.sweep("plan.demand", "placement plan, 1,000 engines", "adapters in demand", "s", b.sizes(4000), func(n int) float64 {
		s := planInput(b.largest(1000), n, now)
		p := placement.NewPlanner(placement.Options{})
		return b.perOp(4, func(int) { p.Plan(s) })
	})
	b.sweep("unloads", "search for safe unloads, by draining slots", "slots x hosts", "s", b.sizes(48_000), func(n int) float64 {
		t := draining(max(1, n/unloadHosts), now)
		return b.perOp(4, func(int) { t.TakeUnloads(now) })
	})
	b.sweep("fleet.config", "take over a change of the configuration", "engines", "s", b.sizes(4000), func(n int) float64 {
		conf := machine(manifest(1000, n, 4, 1)).Config()
		t := fleet.New(1, now, conf)
		return b.perOp(5, func(int) { t.SetConfig(conf) })
	})
	return nil
}

const unloadHosts = 1200

// draining returns a table with draining slots that only the last of the hosts
// still uses.
func draining(n int, now time.Time) *fleet.Table {
	start := now.Add(-time.Minute) // unloads wait at the beginning of a term
	t := table(n, n*slots, start)
	for h := range unloadHosts {
		inFlight := 0
		if h == unloadHosts-1 {
			inFlight = n
		}
		t.Report(report(h, inFlight, 0, n, n*slots), now)
	}
	for i := range n {
		t.StartDrain(engineName(i), fleet.Ref{Adapter: adapterName(i * slots), Version: "v1"}, now)
	}
	return t
}

func pairSizes(engines, hosts int) []int {
	var out []int
	for i := 1; i <= 4; i++ {
		out = append(out, engines*slots*hosts*i/4)
	}
	return out
}

// planInput is a busy fleet: all slots taken, and a twentieth of the adapters in
// demand wait without a ready engine.
func planInput(engines, demand int, now time.Time) placement.Snapshot {
	s := placement.Snapshot{Now: now}
	for i := range engines {
		e := placement.Engine{Name: engineName(i), FailureDomain: domainName(i), BaseModel: baseModel, Slots: slots, Healthy: true}
		for k := range slots {
			e.Residents = append(e.Residents, placement.Resident{
				Ref:   placement.Ref{Adapter: adapterName((i*slots + k) % demand), Version: "v1"},
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
