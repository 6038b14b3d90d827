package capacity

import (
	"fmt"
	"math"
	"time"
)

// hostsTable adds the work of all shards, lenders and the log up to a number of
// control hosts. Each shard, lender and log group has one leader at a time, so
// that a leader's work has to fit one host.
func (r *Report) hostsTable(t Target, all []Scenario) Table {
	out := Table{Name: "hosts", Header: []string{
		"scenario", "leader of", "number", "cores each", "memory each", "bytes/s each", "control hosts", "verdict",
	}}
	usable := float64(t.ControlCores) / 2
	for _, s := range all {
		parts := []struct {
			name   string
			number int
			cost   Cost
		}{
			{"placement shard", s.Shards, sum("", r.shardCosts(t, s))},
			{"lender", s.Lenders, sum("", r.lenderCosts(t, s))},
			{"log group", 1, sum("", r.logCosts(t, s))},
		}
		var cores float64
		onOneHost := true
		for _, p := range parts {
			cores += p.cost.Core.Y * float64(p.number)
			onOneHost = onOneHost && p.cost.Core.Y <= usable
			out.Rows = append(out.Rows, []string{
				s.Name, p.name, fmt.Sprint(p.number), number(p.cost.Core.Y) + " ± " + number(p.cost.Core.Err),
				p.cost.Memory.in("bytes"), p.cost.Bytes.in("bytes"), "", "",
			})
		}
		hosts := max(t.Voters, int(math.Ceil(cores/usable)))
		fits := hosts <= t.MaxControlHost && onOneHost
		out.Rows = append(out.Rows, []string{s.Name, "**all**", "", number(cores), "", "", fmt.Sprint(hosts), verdict(fits)})
	}
	return out
}

func (r *Report) inForceTable() Table {
	out := Table{Name: "inforce", Header: []string{
		"voters", "subscribers", "changes", "acknowledged (median, max)", "in force everywhere (median, max)",
		"Syncs/s of a subscriber", "message bytes/s of a subscriber",
	}}
	ms := func(d time.Duration) string { return scaled(d.Seconds(), "s") }
	for _, f := range r.InForce {
		calls, bytes := "not measured", "not measured"
		if f.Calls > 0 {
			calls, bytes = number(f.Calls), number(f.Bytes)
		}
		out.Rows = append(out.Rows, []string{
			fmt.Sprint(f.Voters), fmt.Sprint(f.Subscribers), fmt.Sprint(f.Changes),
			ms(f.AckMedian) + ", " + ms(f.AckMax), ms(f.AllMedian) + ", " + ms(f.AllMax), calls, bytes,
		})
	}
	return out
}

func (r *Report) restartTable() Table {
	out := Table{Name: "restart", Header: []string{"changes", "data folder", "open and check", "until it leads alone"}}
	for _, s := range r.Restart {
		out.Rows = append(out.Rows, []string{
			fmt.Sprint(s.Changes), scaled(s.FileSize, "bytes"), scaled(s.Open.Seconds(), "s"), scaled(s.Lead.Seconds(), "s"),
		})
	}
	return out
}

// failureTable works out what the failures of the target cost.
func (r *Report) failureTable(t Target, all []Scenario) Table {
	out := Table{Name: "failures", Header: []string{"failure", "scenario", "messages", "bytes", "processor time"}}
	full := r.byID["config.full.adapters"].At(float64(t.Adapters)).Plus(r.byID["config.full.engines"].Per(float64(t.Engines)))
	build := r.byID["config.build"].At(float64(t.Adapters))
	for _, s := range all {
		table := r.byID["report.slots"].At(s.hostEngines(t))
		start := full.Plus(table)
		row := func(what string, hosts float64) {
			out.Rows = append(out.Rows, []string{
				what, s.Name, number(hosts * (1 + float64(s.HostShards+s.Lenders))),
				start.Times(hosts).in("bytes"), build.Times(hosts).in("s"),
			})
		}
		row("an entry host starts", 1)
		row("3,400 starts in a day", 3400)
		row("a rack of 40 entry hosts starts", 40)
		row("a failure domain of entry hosts starts", float64(t.EntryHosts)/float64(t.Domains))
		out.Rows = append(out.Rows, []string{
			"a new leader: full fleet table to its hosts", s.Name, number(s.hostsPerShard(t)),
			table.Times(s.hostsPerShard(t) / float64(s.HostShards)).in("bytes"),
			r.byID["fleet.report.engines"].At(s.enginesPerShard(t)).Times(s.hostsPerShard(t)).in("s"),
		})
	}
	return out
}
