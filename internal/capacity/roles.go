package capacity

// Cost is what one item costs a role.
type Cost struct {
	What     string
	Messages float64 // per second
	Bytes    Value   // per second, both directions, as on the connection
	Core     Value   // share of one core
	Memory   Value   // bytes
}

func sum(what string, costs []Cost) Cost {
	out := Cost{What: what}
	for _, c := range costs {
		out.Messages += c.Messages
		out.Bytes = out.Bytes.Plus(c.Bytes)
		out.Core = out.Core.Plus(c.Core)
		out.Memory = out.Memory.Plus(c.Memory)
	}
	return out
}

// compressed is the message size from which package peer compresses.
const compressed = 4096

// callBytes and callCPU are of one call with the message sizes together; the
// processor time is of one end, taken as half.
func (r *Report) callBytes(message float64) Value {
	if message >= compressed {
		return r.byID["call.large.bytes"].At(message)
	}
	return r.byID["call.bytes"].At(message)
}

func (r *Report) callCPU(message float64) Value {
	id := "call.cpu"
	if message >= compressed {
		id = "call.large.cpu"
	}
	return r.byID[id].At(message).Times(0.5)
}

// reportSize is the size of one Report and its answer.
func (r *Report) reportSize(t Target, s Scenario) float64 {
	shards := float64(s.HostShards)
	request := r.byID["report.inflight"].At(t.hostPairs()*s.NamedPairs/shards).Y +
		r.byID["report.demand"].Per(t.hostRequests()*s.NamedDemand/s.Reports/shards).Y
	answer := r.byID["report.load"].At(s.namedLoads(t)).Y + r.byID["report.slots"].Per(s.namedSlots(t)).Y
	return request + answer
}

// syncIdle is the size of a Sync and its answer without a change.
func (r *Report) syncIdle() float64 { return 2 * r.byID["config.delta"].Intercept }

// entryCosts are the costs of control on an entry host.
func (r *Report) entryCosts(t Target, s Scenario) []Cost {
	change := t.changesPerSecond()
	syncs := s.Syncs + change
	delta := r.byID["config.delta"].Per(change)
	reports := s.Reports * float64(s.HostShards)
	size := r.reportSize(t, s)
	borrow := r.byID["borrow.bytes"].At(s.BorrowTeams / float64(s.Lenders)).Y
	borrows := s.Borrows * float64(s.Lenders)
	return []Cost{
		{
			What: "view: Sync and apply", Messages: syncs,
			Bytes: r.callBytes(r.syncIdle()).Times(syncs).Plus(delta),
			Core: r.callCPU(r.syncIdle()).Times(syncs).Plus(
				r.byID["config.apply.adapter"].At(float64(t.Adapters)).Times(change),
				r.byID["config.apply.engine"].At(float64(t.Engines)).Times(3400.0/86_400)),
			Memory: r.byID["config.memory.adapters"].At(float64(t.Adapters)).Plus(r.byID["config.memory.engines"].Per(float64(t.Engines))),
		},
		{
			What: "Report and fleet table", Messages: reports,
			Bytes: r.callBytes(size).Times(reports),
			Core: r.callCPU(size).Times(reports).Plus(
				r.byID["entry.fleet.apply"].At(s.namedLoads(t)).Times(reports)),
			Memory: r.byID["entry.fleet.memory"].At(s.hostEngines(t)),
		},
		{
			What: "Borrow", Messages: borrows,
			Bytes: r.callBytes(borrow).Times(borrows),
			Core:  r.callCPU(borrow).Times(borrows),
		},
	}
}

// relayCosts are what one more subscriber costs a relay.
func (r *Report) relayCosts(t Target, s Scenario) Cost {
	change := t.changesPerSecond()
	syncs := s.Syncs + change
	return Cost{
		What: "per subscriber", Messages: syncs,
		Bytes: r.callBytes(r.syncIdle()).Times(syncs).Plus(r.byID["config.delta"].Per(change)),
		Core: r.callCPU(r.syncIdle()).Times(syncs).Plus(
			r.byID["sync.subscribers"].Per(1).Times(change), r.byID["sync.idle"].Per(1).Times(s.Syncs)),
	}
}

// shardCosts are the costs of one placement shard's leader.
func (r *Report) shardCosts(t Target, s Scenario) []Cost {
	engines, hosts := s.enginesPerShard(t), s.hostsPerShard(t)
	reports, scrapes := hosts*s.Reports, engines*s.Scrapes
	size := r.reportSize(t, s)
	pairs := t.hostPairs() / float64(s.HostShards)
	active := t.activeAdapters() / float64(s.Shards)
	// The slope of Report contains the scrapes that changed half of the engines.
	table := r.byID["fleet.report.engines"].At(engines).Plus(r.byID["fleet.scraped"].At(engines).Times(-0.5))
	if s.Followed > 0 {
		// Only an index of what changed since a version makes this possible; today's
		// table visits all engines.
		table = r.byID["fleet.report.engines"].At(float64(s.Followed) / float64(s.HostShards))
	}
	return []Cost{
		{
			What: "Report", Messages: reports, Bytes: r.callBytes(size).Times(reports),
			Core: r.callCPU(size).Plus(table, r.byID["fleet.report.inflight"].At(pairs*s.NamedPairs),
				r.byID["fleet.report.demand"].Per(active)).Times(reports),
			Memory: r.byID["fleet.memory.hosts"].Per(hosts * pairs / 150),
		},
		{
			What: "scrapes", Messages: 2 * scrapes, Bytes: r.byID["scrape.bytes"].At(float64(t.Slots)).Times(scrapes),
			Core:   r.byID["scrape.cpu"].At(float64(t.Slots)).Times(scrapes).Plus(r.byID["fleet.scraped"].At(engines).Times(s.Scrapes)),
			Memory: r.byID["fleet.memory"].At(engines),
		},
		{
			What: "fleet snapshot",
			Core: r.byID["snapshot.engines"].At(engines).Plus(
				r.byID["snapshot.pairs"].Per(engines * float64(t.Slots) * hosts)).Times(s.Plans),
		},
		{
			What: "plan and unloads",
			Core: r.byID["plan.engines"].At(engines).Plus(r.byID["plan.demand"].Per(active-4000),
				r.byID["unloads"].Per(t.drainingSlots()/float64(s.Shards)*hosts)).Times(s.Plans),
		},
	}
}

// logCosts are the costs of the group's log on its leader: changes, call
// records and Sync for the hosts or the first relays.
func (r *Report) logCosts(t Target, s Scenario) []Cost {
	change, calls := t.changesPerSecond(), 2*t.callsPerSecond()
	subscribers := float64(t.EntryHosts)
	if s.Children > 0 {
		subscribers /= float64(s.Children)
	}
	perVoter := subscribers / float64(t.Voters)
	relay := r.relayCosts(t, s)
	const entryBytes = 400
	return []Cost{
		{
			What: "log and state machine", Messages: change * float64(t.Voters-1),
			Bytes: r.callBytes(entryBytes).Times(change * float64(t.Voters-1)),
			Core: r.byID["commit.cpu"].At(1).Plus(r.byID["state.apply"].At(float64(t.Adapters)),
				r.byID["fleet.config"].At(s.enginesPerShard(t))).Times(change),
			Memory: r.byID["state.memory"].At(float64(t.Adapters)).Plus(r.byID["config.memory.engines"].Per(float64(t.Engines))),
		},
		{
			What: "call records", Messages: calls * float64(t.Voters),
			Bytes: r.callBytes(entryBytes).Times(calls * float64(t.Voters)),
			Core: r.byID["commit.cpu"].At(1).Plus(r.callCPU(entryBytes).Times(float64(t.Voters)),
				r.byID["calls.apply"].Per(0.5)).Times(calls),
			Memory: r.byID["calls.memory"].Per(float64(t.CallRecords)),
		},
		r.snapshotCost(t, change+calls),
		{
			What: "Sync for others", Messages: relay.Messages * perVoter,
			Bytes: relay.Bytes.Times(perVoter), Core: relay.Core.Times(perVoter),
		},
	}
}

// snapshotCost is what snapshots of the state cost. One is kept in memory, and
// another is there while it is encoded.
func (r *Report) snapshotCost(t Target, entries float64) Cost {
	const entriesPerSnapshot = 10_000
	size := r.byID["state.snapshot.bytes"].At(float64(t.Adapters)).Plus(
		r.byID["config.full.engines"].Per(float64(t.Engines)), r.byID["calls.snapshot.bytes"].Per(float64(t.CallRecords)))
	cpu := r.byID["state.snapshot"].At(float64(t.Adapters)).Plus(r.byID["calls.snapshot"].Per(float64(t.CallRecords)))
	return Cost{What: "state snapshots", Core: cpu.Times(entries / entriesPerSnapshot), Memory: size.Times(2)}
}

// lenderCosts are the costs of one lender.
func (r *Report) lenderCosts(t Target, s Scenario) []Cost {
	borrows := s.Borrows * float64(t.EntryHosts)
	teams := s.BorrowTeams / float64(s.Lenders)
	size := r.byID["borrow.bytes"].At(teams).Y
	leases := teams * float64(t.EntryHosts)
	const ticks = 20
	return []Cost{{
		What: "lender", Messages: borrows, Bytes: r.callBytes(size).Times(borrows),
		Core: r.callCPU(size).Plus(r.byID["borrow.hosts"].At(float64(t.EntryHosts)).Times(max(1, teams/10))).Times(borrows).Plus(
			r.byID["lender.tick"].At(leases).Times(ticks)),
		Memory: r.byID["lender.memory"].At(leases),
	}}
}
