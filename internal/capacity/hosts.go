package capacity

import (
	"fmt"
	"math"
	"time"
)

// hostsTable works out the number of control hosts from the work of all placement
// shards, lenders and the log. Each shard, lender and log group has one leader at
// a time, so that a leader's work has to fit on one host. Half of a host's cores
// are usable.
func (r *Report) hostsTable(t Target, all []Scenario) Table {
	out := Table{Name: "hosts", Header: []string{
		"scenario", "leader of", "number", "cores each", "memory each", "bytes/s each", "control hosts", "verdict",
	}}
	usableCores := float64(t.ControlCores) / 2
	for _, s := range all {
		roles := []struct {
			name   string
			number int
			cost   Cost
		}{
			{"placement shard", s.Shards, sumCosts("", r.shardCosts(t, s))},
			{"lender", s.Lenders, sumCosts("", r.lenderCosts(t, s))},
			{"log group", 1, sumCosts("", r.logCosts(t, s))},
		}
		var cores Value
		for _, role := range roles {
			cores = cores.Plus(role.cost.Cores.Times(float64(role.number)))
			out.Rows = append(out.Rows, []string{
				s.Name, role.name, fmt.Sprint(role.number), formatNumber(role.cost.Cores.Y) + " ± " + formatNumber(role.cost.Cores.Err),
				role.cost.Memory.format("bytes"), role.cost.Bytes.format("bytes"), "", "one host: " + verdict(role.cost.Cores, usableCores),
			})
		}
		hosts := max(t.Voters, int(math.Ceil(cores.Y/usableCores)))
		out.Rows = append(out.Rows, []string{s.Name, "**all**", "", formatNumber(cores.Y) + " ± " + formatNumber(cores.Err), "", "", fmt.Sprint(hosts), verdict(cores, usableCores*float64(t.MaxControlHosts))})
	}
	return out
}

func (r *Report) changeLatencyTable() Table {
	out := Table{Name: "inforce", Header: []string{
		"voters", "subscribers", "changes", "acknowledged (median, max)", "in force everywhere (median, max)",
		"Syncs/s of a subscriber", "message bytes/s of a subscriber",
	}}
	ms := func(d time.Duration) string { return formatScaled(d.Seconds(), "s") }
	for _, l := range r.ChangeLatencies {
		syncs, bytes := "not measured", "not measured"
		if l.SyncsPerSecond > 0 {
			syncs, bytes = formatNumber(l.SyncsPerSecond), formatNumber(l.BytesPerSecond)
		}
		out.Rows = append(out.Rows, []string{
			fmt.Sprint(l.Voters), fmt.Sprint(l.Subscribers), fmt.Sprint(l.Changes),
			ms(l.AckMedian) + ", " + ms(l.AckMax), ms(l.EverywhereMedian) + ", " + ms(l.EverywhereMax), syncs, bytes,
		})
	}
	return out
}

func (r *Report) restartTable() Table {
	out := Table{Name: "restart", Header: []string{"changes", "data folder", "open and check", "until it leads alone"}}
	for _, s := range r.Restarts {
		out.Rows = append(out.Rows, []string{
			fmt.Sprint(s.Changes), formatScaled(s.FileSize, "bytes"), formatScaled(s.Open.Seconds(), "s"), formatScaled(s.Lead.Seconds(), "s"),
		})
	}
	return out
}

// failureTable works out the cost of host starts and elections. The servers'
// processor time for a full Sync is half of that of a compressed RPC of its size.
func (r *Report) failureTable(t Target, all []Scenario) Table {
	out := Table{Name: "failures", Header: []string{
		"event", "scenario", "messages", "bytes", "processor time of the servers", "processor time of a host",
	}}
	fullSync := r.byID["config.full.adapters"].At(float64(t.Adapters)).Plus(r.byID["config.full.engines"].Marginal(float64(t.Engines))).Y
	hostCPU := r.byID["config.build"].At(float64(t.Adapters)).Plus(r.rpcCPU(fullSync))
	for _, s := range all {
		shards := float64(s.ShardsPerHost)
		tableBytes := r.byID["report.slots"].At(s.enginesPerHost(t) / shards).Y
		bytes := r.rpcBytes(fullSync).Plus(r.rpcBytes(tableBytes).Times(shards))
		serverCPU := r.rpcCPU(fullSync).Plus(r.rpcCPU(tableBytes).Times(shards))
		addRow := func(event string, hosts float64) {
			out.Rows = append(out.Rows, []string{
				event, s.Name, formatNumber(hosts * (1 + shards + float64(s.Lenders))),
				bytes.Times(hosts).format("bytes"), serverCPU.Times(hosts).format("s"), hostCPU.format("s"),
			})
		}
		addRow("an entry host starts", 1)
		addRow("a day with 3,400 starts", 3400)
		addRow("a rack of 40 entry hosts starts", 40)
		addRow("a failure domain of entry hosts starts", float64(t.EntryHosts)/float64(t.FailureDomains))
		hosts := s.hostsPerShard(t)
		out.Rows = append(out.Rows, []string{
			"a new leader sends its fleet table to all its hosts", s.Name, formatNumber(hosts),
			r.rpcBytes(tableBytes).Times(hosts).format("bytes"),
			r.rpcCPU(tableBytes).Plus(r.byID["fleet.report.engines"].At(s.enginesPerShard(t))).Times(hosts).format("s"),
			r.rpcCPU(tableBytes).Times(shards).format("s"),
		})
	}
	return out
}
