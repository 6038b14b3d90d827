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
		var cores Value
		for _, p := range parts {
			cores = cores.Plus(p.cost.Core.Times(float64(p.number)))
			out.Rows = append(out.Rows, []string{
				s.Name, p.name, fmt.Sprint(p.number), number(p.cost.Core.Y) + " ± " + number(p.cost.Core.Err),
				p.cost.Memory.in("bytes"), p.cost.Bytes.in("bytes"), "", "one host: " + verdict(p.cost.Core, usable),
			})
		}
		hosts := max(t.Voters, int(math.Ceil(cores.Y/usable)))
		out.Rows = append(out.Rows, []string{s.Name, "**all**", "", number(cores.Y) + " ± " + number(cores.Err), "", "", fmt.Sprint(hosts), verdict(cores, usable*float64(t.MaxControlHost))})
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

// failureTable works out what starts and elections cost. The servers' side of a
// full Sync is half of a call of that size, compressed.
func (r *Report) failureTable(t Target, all []Scenario) Table {
	out := Table{Name: "failures", Header: []string{
		"event", "scenario", "messages", "bytes", "processor time of the servers", "processor time of a host",
	}}
	full := r.byID["config.full.adapters"].At(float64(t.Adapters)).Plus(r.byID["config.full.engines"].Per(float64(t.Engines))).Y
	build := r.byID["config.build"].At(float64(t.Adapters)).Plus(r.callCPU(full))
	for _, s := range all {
		shards := float64(s.HostShards)
		table := r.byID["report.slots"].At(s.hostEngines(t) / shards).Y
		bytes := r.callBytes(full).Plus(r.callBytes(table).Times(shards))
		server := r.callCPU(full).Plus(r.callCPU(table).Times(shards))
		row := func(what string, hosts float64) {
			out.Rows = append(out.Rows, []string{
				what, s.Name, number(hosts * (1 + shards + float64(s.Lenders))),
				bytes.Times(hosts).in("bytes"), server.Times(hosts).in("s"), build.in("s"),
			})
		}
		row("an entry host starts", 1)
		row("a day with 3,400 starts", 3400)
		row("a rack of 40 entry hosts starts", 40)
		row("a failure domain of entry hosts starts", float64(t.EntryHosts)/float64(t.Domains))
		hosts := s.hostsPerShard(t)
		out.Rows = append(out.Rows, []string{
			"a new leader sends its fleet table to all its hosts", s.Name, number(hosts),
			r.callBytes(table).Times(hosts).in("bytes"),
			r.callCPU(table).Plus(r.byID["fleet.report.engines"].At(s.enginesPerShard(t))).Times(hosts).in("s"),
			r.callCPU(table).Times(shards).in("s"),
		})
	}
	return out
}
