package capacity

// Cost is the cost of one item of a role's work.
type Cost struct {
	Item     string
	Messages float64 // per second
	Bytes    Value   // per second, both directions, on the connection
	Cores    Value   // number of cores in use
	Memory   Value   // bytes
}

func sumCosts(item string, costs []Cost) Cost {
	out := Cost{Item: item}
	for _, c := range costs {
		out.Messages += c.Messages
		out.Bytes = out.Bytes.Plus(c.Bytes)
		out.Cores = out.Cores.Plus(c.Cores)
		out.Memory = out.Memory.Plus(c.Memory)
	}
	return out
}

// compressionMinBytes is the smallest message that package peer compresses.
const compressionMinBytes = 4096

// rpcBytes returns the bytes on the connection of one RPC, where message is the
// size of its request and response together.
func (r *Report) rpcBytes(message float64) Value {
	if message >= compressionMinBytes {
		return r.byID["call.large.bytes"].At(message)
	}
	return r.byID["call.bytes"].At(message)
}

// rpcCPU returns the processor time of one RPC at one end, which is taken as half of
// the time of both ends.
func (r *Report) rpcCPU(message float64) Value {
	id := "call.cpu"
	if message >= compressionMinBytes {
		id = "call.large.cpu"
	}
	return r.byID[id].At(message).Times(0.5)
}

// reportBytes returns the size of one Report and its response.
func (r *Report) reportBytes(t Target, s Scenario) float64 {
	shards := float64(s.ShardsPerHost)
	request := r.byID["report.inflight"].At(t.pairsPerHost()*s.ReportedPairs/shards).Y +
		r.byID["report.demand"].Marginal(t.requestsPerHost()*s.ReportedArrivals/s.Reports/shards).Y
	response := r.byID["report.load"].At(s.loadsPerReport(t)).Y + r.byID["report.slots"].Marginal(s.slotUpdatesPerReport(t)).Y
	return request + response
}

// idleSyncBytes returns the size of a Sync and its response without a change.
func (r *Report) idleSyncBytes() float64 { return 2 * r.byID["config.delta"].Intercept }

// entryCosts returns the costs of the control work on an entry host.
func (r *Report) entryCosts(t Target, s Scenario) []Cost {
	changes := t.changesPerSecond()
	syncs := s.Syncs + changes
	delta := r.byID["config.delta"].Marginal(changes)
	reports := s.Reports * float64(s.ShardsPerHost)
	size := r.reportBytes(t, s)
	borrow := r.byID["borrow.bytes"].At(s.BorrowTeams / float64(s.Lenders)).Y
	borrows := s.Borrows * float64(s.Lenders)
	return []Cost{
		{
			Item: "view: Sync and apply", Messages: syncs,
			Bytes: r.rpcBytes(r.idleSyncBytes()).Times(syncs).Plus(delta),
			Cores: r.rpcCPU(r.idleSyncBytes()).Times(syncs).Plus(
				r.byID["config.apply.adapter"].At(float64(t.Adapters)).Times(changes),
				r.byID["config.apply.engine"].At(float64(t.Engines)).Times(3400.0/86_400)),
			Memory: r.byID["config.memory.adapters"].At(float64(t.Adapters)).Plus(r.byID["config.memory.engines"].Marginal(float64(t.Engines))),
		},
		{
			Item: "Report and fleet table", Messages: reports,
			Bytes: r.rpcBytes(size).Times(reports),
			Cores: r.rpcCPU(size).Times(reports).Plus(
				r.byID["entry.fleet.apply"].At(s.loadsPerReport(t)).Times(reports)),
			Memory: r.byID["entry.fleet.memory"].At(s.enginesPerHost(t)),
		},
		{
			Item: "Borrow", Messages: borrows,
			Bytes: r.rpcBytes(borrow).Times(borrows),
			Cores: r.rpcCPU(borrow).Times(borrows),
		},
	}
}

// relayCosts returns what each further subscriber costs a relay.
func (r *Report) relayCosts(t Target, s Scenario) Cost {
	changes := t.changesPerSecond()
	syncs := s.Syncs + changes
	return Cost{
		Item: "per subscriber", Messages: syncs,
		Bytes: r.rpcBytes(r.idleSyncBytes()).Times(syncs).Plus(r.byID["config.delta"].Marginal(changes)),
		Cores: r.rpcCPU(r.idleSyncBytes()).Times(syncs).Plus(
			r.byID["sync.subscribers"].Marginal(1).Times(changes), r.byID["sync.idle"].Marginal(1).Times(s.Syncs)),
	}
}

// shardCosts returns the costs of the leader of one placement shard.
func (r *Report) shardCosts(t Target, s Scenario) []Cost {
	engines, hosts := s.enginesPerShard(t), s.hostsPerShard(t)
	reports, scrapes := hosts*s.Reports, engines*s.Scrapes
	size := r.reportBytes(t, s)
	pairs := t.pairsPerHost() / float64(s.ShardsPerHost)
	active := t.activeAdapters() / float64(s.Shards)
	// The measured slope of Report includes scrapes that changed half of the engines.
	table := r.byID["fleet.report.engines"].At(engines).Plus(r.byID["fleet.scraped"].At(engines).Times(-0.5))
	if s.EnginesWithLoad > 0 {
		// This requires an index of the engines that changed since a version. The
		// current table visits all engines.
		table = r.byID["fleet.report.engines"].At(float64(s.EnginesWithLoad) / float64(s.ShardsPerHost))
	}
	return []Cost{
		{
			Item: "Report", Messages: reports, Bytes: r.rpcBytes(size).Times(reports),
			Cores: r.rpcCPU(size).Plus(table, r.byID["fleet.report.inflight"].At(pairs*s.ReportedPairs),
				r.byID["fleet.report.demand"].Marginal(active)).Times(reports),
			Memory: r.byID["fleet.memory.hosts"].Marginal(hosts * pairs / 150),
		},
		{
			Item: "scrapes", Messages: 2 * scrapes, Bytes: r.byID["scrape.bytes"].At(float64(t.AdapterSlots)).Times(scrapes),
			Cores:  r.byID["scrape.cpu"].At(float64(t.AdapterSlots)).Times(scrapes).Plus(r.byID["fleet.scraped"].At(engines).Times(s.Scrapes)),
			Memory: r.byID["fleet.memory"].At(engines),
		},
		{
			Item: "fleet snapshot",
			Cores: r.byID["snapshot.engines"].At(engines).Plus(
				r.byID["snapshot.pairs"].Marginal(engines * float64(t.AdapterSlots) * hosts)).Times(s.Plans),
		},
		{
			Item: "plan and unloads",
			Cores: r.byID["plan.engines"].At(engines).Plus(r.byID["plan.demand"].Marginal(active-4000),
				r.byID["unloads"].Marginal(t.drainingSlots()/float64(s.Shards)*hosts)).Times(s.Plans),
		},
	}
}

// logCosts returns the costs of a log group on its leader: changes, call records,
// state snapshots, and Sync for the hosts or the first level of relays.
func (r *Report) logCosts(t Target, s Scenario) []Cost {
	changes, calls := t.changesPerSecond(), 2*t.callsPerSecond()
	subscribers := float64(t.EntryHosts)
	if s.RelaySubscribers > 0 {
		subscribers /= float64(s.RelaySubscribers)
	}
	perVoter := subscribers / float64(t.Voters)
	relay := r.relayCosts(t, s)
	const entryBytes = 400
	return []Cost{
		{
			Item: "log and state machine", Messages: changes * float64(t.Voters-1),
			Bytes: r.rpcBytes(entryBytes).Times(changes * float64(t.Voters-1)),
			Cores: r.byID["commit.cpu"].At(1).Plus(r.byID["state.apply"].At(float64(t.Adapters)),
				r.byID["fleet.config"].At(s.enginesPerShard(t))).Times(changes),
			Memory: r.byID["state.memory"].At(float64(t.Adapters)).Plus(r.byID["config.memory.engines"].Marginal(float64(t.Engines))),
		},
		{
			Item: "call records", Messages: calls * float64(t.Voters),
			Bytes: r.rpcBytes(entryBytes).Times(calls * float64(t.Voters)),
			Cores: r.byID["commit.cpu"].At(1).Plus(r.rpcCPU(entryBytes).Times(float64(t.Voters)),
				r.byID["calls.apply"].Marginal(0.5)).Times(calls),
			Memory: r.byID["calls.memory"].Marginal(float64(t.CallRecords)),
		},
		r.snapshotCost(t, changes+calls),
		{
			Item: "Sync for others", Messages: relay.Messages * perVoter,
			Bytes: relay.Bytes.Times(perVoter), Cores: relay.Cores.Times(perVoter),
		},
	}
}

// snapshotCost returns the cost of state snapshots. Memory holds the last one, and
// a second one during encoding.
func (r *Report) snapshotCost(t Target, entries float64) Cost {
	const entriesPerSnapshot = 10_000
	size := r.byID["state.snapshot.bytes"].At(float64(t.Adapters)).Plus(
		r.byID["config.full.engines"].Marginal(float64(t.Engines)), r.byID["calls.snapshot.bytes"].Marginal(float64(t.CallRecords)))
	cpu := r.byID["state.snapshot"].At(float64(t.Adapters)).Plus(r.byID["calls.snapshot"].Marginal(float64(t.CallRecords)))
	return Cost{Item: "state snapshots", Cores: cpu.Times(entries / entriesPerSnapshot), Memory: size.Times(2)}
}

// lenderCosts returns the costs of one lender.
func (r *Report) lenderCosts(t Target, s Scenario) []Cost {
	borrows := s.Borrows * float64(t.EntryHosts)
	teams := s.BorrowTeams / float64(s.Lenders)
	size := r.byID["borrow.bytes"].At(teams).Y
	leases := teams * float64(t.EntryHosts)
	const ticks = 20
	return []Cost{{
		Item: "lender", Messages: borrows, Bytes: r.rpcBytes(size).Times(borrows),
		Cores: r.rpcCPU(size).Plus(r.byID["borrow.hosts"].At(float64(t.EntryHosts)).Times(max(1, teams/10))).Times(borrows).Plus(
			r.byID["lender.tick"].At(leases).Times(ticks)),
		Memory: r.byID["lender.memory"].At(leases),
	}}
}
