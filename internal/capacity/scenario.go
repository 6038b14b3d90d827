package capacity

// Scenario is a way to run the fleet: which messages a host sends and how often,
// and how the work is divided among the control hosts.
type Scenario struct {
	Name string
	// Rates per second: Reports to each shard, Borrows to each lender, Syncs without
	// a change, scrapes of each engine, and plans.
	Reports, Borrows, Syncs, Scrapes, Plans float64
	// Shards is the number of placement shards. Each has its own fleet table,
	// planner, scrapes and entry hosts.
	Shards int
	// ShardsPerHost is the number of shards that a host reports to.
	ShardsPerHost int
	// EnginesWithLoad is the number of engines whose load is sent to a host; 0 means
	// all engines of its shards. Their adapter slots are always sent for all of them.
	EnginesWithLoad int
	// ReportedPairs is the fraction of the engine and adapter pairs in flight that a
	// report contains. The current code reports all.
	ReportedPairs float64
	// ReportedArrivals is the fraction of the arrivals that a report counts. The
	// current code counts all.
	ReportedArrivals float64
	// UpdatedLoads is the fraction of the engines whose load is new enough to be
	// sent in the response to a report.
	UpdatedLoads float64
	// Lenders is the number of lenders, among which the teams are divided.
	Lenders int
	// BorrowTeams is the largest number of teams that a host borrows for.
	BorrowTeams float64
	// RelaySubscribers is the number of hosts that sync from one relay; 0 means that
	// all sync from the voters.
	RelaySubscribers int
}

// scenarios returns the current behavior and the two designs that
// docs/CAPACITY.md proposes.
func scenarios(t Target) []Scenario {
	today := Scenario{
		Name:    "today",
		Reports: 4, Borrows: 5, Syncs: 2, Scrapes: 2, Plans: 10,
		Shards: 1, ShardsPerHost: 1, ReportedPairs: 1, ReportedArrivals: 1, UpdatedLoads: 0.5, Lenders: 1,
		BorrowTeams: min(float64(t.Teams), 2*t.requestsPerHost()),
	}
	sharded := today
	sharded.Name = "sharded"
	sharded.Shards, sharded.ShardsPerHost = 2*t.FailureDomains, 2
	sharded.Lenders, sharded.RelaySubscribers = 4, 50
	lean := sharded
	lean.Name = "lean"
	lean.Reports, lean.Borrows, lean.Syncs, lean.Scrapes, lean.Plans = 1, 1, 1, 1, 4
	lean.EnginesWithLoad, lean.ReportedPairs, lean.ReportedArrivals, lean.UpdatedLoads = 16, 0.01, 0.25, 0.25
	lean.BorrowTeams, lean.RelaySubscribers = 8, 50
	return []Scenario{today, sharded, lean}
}

// requestsPerHost returns the requests per second of one entry host.
func (t Target) requestsPerHost() float64 { return t.RequestsPerSecond / float64(t.EntryHosts) }

// tokensPerRequest counts all tokens as streamed, which is an upper bound.
func (t Target) tokensPerRequest() float64 { return t.TokensPerSecond / t.RequestsPerSecond }

// pairsPerHost returns the number of engine and adapter pairs for which a host has
// requests in flight. It is an upper bound: the time to the first token and the
// gaps between tokens, in seconds, are taken at their p95, and no two requests
// share a pair.
func (t Target) pairsPerHost() float64 {
	const firstToken, gap = 0.34, 0.028
	return t.requestsPerHost() * (firstToken + gap*t.tokensPerRequest())
}

// callsPerSecond returns the rate of non-repeatable calls at which the call table
// is full, with records retained for a day.
func (t Target) callsPerSecond() float64 { return float64(t.CallRecords) / 86_400 }

func (t Target) changesPerSecond() float64 { return t.ChangesPerDay / 86_400 }

// slotChanges returns the number of engines per second whose adapter slots change.
// Each adapter causes two changes: an activated one is loading, then ready; an
// idle one is draining, then unloaded.
func (t Target) slotChanges() float64 {
	return 2 * t.ActiveFractionPerHour * float64(t.Adapters) / 3600
}

// drainingSlots returns the mean number of draining adapter slots. A drain waits for
// the next reports of the hosts and for the last request on the slot, which takes
// at most 10 s in this model.
func (t Target) drainingSlots() float64 { return 10 * t.slotChanges() / 4 }

// activeAdapters returns the number of adapters in demand, taken as those that
// become active or idle within an hour.
func (t Target) activeAdapters() float64 { return t.ActiveFractionPerHour * float64(t.Adapters) }

func (s Scenario) enginesPerShard(t Target) float64 { return float64(t.Engines) / float64(s.Shards) }

func (s Scenario) hostsPerShard(t Target) float64 {
	return float64(t.EntryHosts) * float64(s.ShardsPerHost) / float64(s.Shards)
}

// enginesPerHost returns the number of engines that a host knows.
func (s Scenario) enginesPerHost(t Target) float64 {
	return s.enginesPerShard(t) * float64(s.ShardsPerHost)
}

// loadsPerReport returns the number of engines whose load the response to one
// Report contains.
func (s Scenario) loadsPerReport(t Target) float64 {
	engines := s.enginesPerHost(t)
	if s.EnginesWithLoad > 0 {
		engines = float64(s.EnginesWithLoad)
	}
	return engines / float64(s.ShardsPerHost) * s.UpdatedLoads
}

// slotUpdatesPerReport returns the number of engines whose adapter slots the
// response to one Report contains.
func (s Scenario) slotUpdatesPerReport(t Target) float64 {
	return t.slotChanges() / s.Reports * s.enginesPerHost(t) / float64(t.Engines) / float64(s.ShardsPerHost)
}
