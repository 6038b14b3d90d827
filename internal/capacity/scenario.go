package capacity

// Scenario is a way to run the fleet: what a host asks for and how often, and
// how the control hosts share the work.
type Scenario struct {
	Name string
	// Reports, Borrows, Syncs, Scrapes and Plans are per second.
	Reports, Borrows, Syncs, Scrapes, Plans float64
	// Shards is the number of placement shards; each has its own fleet table,
	// planner and scrapes, and hosts of its own.
	Shards int
	// HostShards is the number of shards that a host reports to.
	HostShards int
	// Followed is the number of engines whose load a host is told; 0 means all
	// engines of its shards. It learns the slots of all of them in any case.
	Followed int
	// NamedPairs is the share of the pairs in flight that a report names. Today
	// it names all.
	NamedPairs float64
	// NamedDemand is the share of the arrivals that a report counts. Today it
	// counts all.
	NamedDemand float64
	// NamedLoad is the share of the engines whose load is new enough to be sent
	// with a report.
	NamedLoad float64
	// Lenders is the number of lenders; teams are split among them.
	Lenders int
	// BorrowTeams is the largest number of teams in a Borrow.
	BorrowTeams float64
	// Children is the number of hosts that sync from one relay; 0 means that all
	// sync from the voters.
	Children int
}

// scenarios returns what the code does today, and what the page proposes.
func scenarios(t Target) []Scenario {
	today := Scenario{
		Name:    "today",
		Reports: 4, Borrows: 5, Syncs: 2, Scrapes: 2, Plans: 10,
		Shards: 1, HostShards: 1, NamedPairs: 1, NamedDemand: 1, NamedLoad: 0.5, Lenders: 1,
		BorrowTeams: min(float64(t.Teams), 2*t.hostRequests()),
	}
	sharded := today
	sharded.Name = "sharded"
	sharded.Shards, sharded.HostShards = 2*t.Domains, 2
	sharded.Lenders, sharded.Children = 4, 50
	lean := sharded
	lean.Name = "lean"
	lean.Reports, lean.Borrows, lean.Syncs, lean.Scrapes, lean.Plans = 1, 1, 1, 1, 4
	lean.Followed, lean.NamedPairs, lean.NamedDemand, lean.NamedLoad = 16, 0.01, 0.25, 0.25
	lean.BorrowTeams, lean.Children = 8, 50
	return []Scenario{today, sharded, lean}
}

// hostRequests is the number of requests per second of one entry host.
func (t Target) hostRequests() float64 { return t.Requests / float64(t.EntryHosts) }

// tokensPerRequest takes all tokens as streamed ones, which is an upper bound.
func (t Target) tokensPerRequest() float64 { return t.Tokens / t.Requests }

// hostPairs is the number of engine and adapter pairs with requests in flight
// of a host. A request lasts for its first token and the gaps between tokens,
// each at its p95, and no two are on the same pair: an upper bound.
func (t Target) hostPairs() float64 {
	const firstToken, gap = 0.34, 0.028
	return t.hostRequests() * (firstToken + gap*t.tokensPerRequest())
}

// callsPerSecond is the rate of non-repeatable calls that fills the table.
func (t Target) callsPerSecond() float64 { return float64(t.CallRecords) / 86_400 }

func (t Target) changesPerSecond() float64 { return t.Changes / 86_400 }

// slotChanges is the number of engines per second whose slots change. An
// adapter that becomes active is loading and then ready; one that becomes idle
// is draining and then gone.
func (t Target) slotChanges() float64 {
	return 2 * t.ActivePerHour * float64(t.Adapters) / 3600
}

// drainingSlots is the mean number of slots that drain. A drain waits for the
// hosts' next reports and for the last request on the slot, 10 s at most here.
func (t Target) drainingSlots() float64 { return 10 * t.slotChanges() / 4 }

// activeAdapters takes the adapters that change within an hour as those that
// are in demand.
func (t Target) activeAdapters() float64 { return t.ActivePerHour * float64(t.Adapters) }

func (s Scenario) enginesPerShard(t Target) float64 { return float64(t.Engines) / float64(s.Shards) }

func (s Scenario) hostsPerShard(t Target) float64 {
	return float64(t.EntryHosts) * float64(s.HostShards) / float64(s.Shards)
}

// hostEngines is the number of engines that a host knows.
func (s Scenario) hostEngines(t Target) float64 {
	return s.enginesPerShard(t) * float64(s.HostShards)
}

// namedLoads and namedSlots are the engines in one Report's answer.
func (s Scenario) namedLoads(t Target) float64 {
	followed := s.hostEngines(t)
	if s.Followed > 0 {
		followed = float64(s.Followed)
	}
	return followed / float64(s.HostShards) * s.NamedLoad
}

func (s Scenario) namedSlots(t Target) float64 {
	return t.slotChanges() / s.Reports * s.hostEngines(t) / float64(t.Engines) / float64(s.HostShards)
}
