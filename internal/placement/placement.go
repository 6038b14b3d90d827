// Package placement plans which adapter versions are resident on which engines.
// The planner is deterministic: the same snapshot always gives the same actions.
package placement

import (
	"cmp"
	"time"
)

// Ref names one version of an adapter.
type Ref struct{ Adapter, Version string }

// Compare orders refs by adapter and version.
func (r Ref) Compare(o Ref) int {
	return cmp.Or(cmp.Compare(r.Adapter, o.Adapter), cmp.Compare(r.Version, o.Version))
}

// State is the state of an adapter version on an engine.
type State int

// States of a resident.
const (
	Loading State = iota + 1
	Ready
	Draining
)

// Resident is an adapter version that occupies an adapter slot.
type Resident struct {
	Ref   Ref
	State State
	// InFlight is the number of running requests from all hosts.
	InFlight int
	LastUsed time.Time
	// Since is when the current state began.
	Since time.Time
}

// Engine is one engine and its adapter slots.
type Engine struct {
	Name, FailureDomain, BaseModel string
	Slots                          int
	Healthy, Leaving               bool
	Residents                      []Resident
}

// Demand is the fleet's demand for one adapter version. A snapshot has one for
// each version that is resident or was requested recently.
type Demand struct {
	Ref             Ref
	BaseModel, Team string
	// Waiting is the number of queued requests for which no engine is ready.
	Waiting    int
	OldestWait time.Duration
	// Arrivals is the exponentially decayed number of requests per second.
	// With a half-life of 10 s instead of 40 s, adapters requested once in 30 s
	// could not be told apart (docs/experiments.md).
	Arrivals float64
}

// Team limits the slots of one team's adapters; MaxSlots 0 means no limit.
type Team struct {
	Name     string
	MaxSlots int
}

// Failure is the last failed load of an adapter version on an engine. Count is
// the number of consecutive failures.
type Failure struct {
	Ref    Ref
	Engine string
	At     time.Time
	Count  int
}

// Snapshot is the input of the planner.
type Snapshot struct {
	Now      time.Time
	Engines  []Engine
	Demand   []Demand
	Teams    []Team
	Failures []Failure
	// LoadStarts are the times at which the latest loads were ordered.
	LoadStarts []time.Time
}

// Kind is the kind of an action.
type Kind int

// Kinds of actions.
const (
	Load Kind = iota + 1
	Drain
	Undrain
)

func (k Kind) String() string {
	return [...]string{"none", "load", "drain", "undrain"}[k]
}

// Action is one order of the planner.
type Action struct {
	Kind         Kind
	Engine       string
	Ref          Ref
	Team, Reason string
}

// Reasons of actions.
const (
	ReasonWaiting    = "requests wait"
	ReasonReplica    = "replica of a popular adapter"
	ReasonRefill     = "expected demand"
	ReasonSpare      = "least expected demand"
	ReasonSuperseded = "newer version is ready"
	ReasonTeamLimit  = "team is at its slot bound"
)

// minSlotsPerSpare is the least number of slots that a base model has per spare
// slot. Without it, 4 spare slots for a base model with 2 slots would leave no
// idle adapter resident.
const minSlotsPerSpare = 8

// Options configures a Planner. Zero fields take the default.
type Options struct {
	// MaxInFlight and MaxStarts are the weight store's limits: concurrent loads at
	// full speed and loads started per second.
	MaxInFlight, MaxStarts int
	// Spare is the number of slots kept free per base model, so that a load need not
	// wait for a drain, which every host has to confirm. Negative means none.
	Spare int
	// MinResidence is how long a ready adapter stays before it may be drained.
	MinResidence time.Duration
	// Hysteresis is the factor by which the demand for an adapter without waiting
	// requests must exceed that for the adapter it displaces.
	Hysteresis float64
	// ReplicaArrivals is the number of requests per second that one replica serves.
	ReplicaArrivals float64
	// ReplicaInFlight is the number of running requests per replica above which
	// another replica is loaded.
	ReplicaInFlight int
	// MaxReplicas limits the replicas of one adapter version.
	MaxReplicas int
	// RefillArrivals is the number of requests per second below which an adapter
	// is not loaded in advance.
	RefillArrivals float64
	// Backoff is the delay after a failed load; it doubles up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// BusyDrainWait is how long a request must have waited before an adapter with
	// running requests may be drained for it. The adapter is unloaded only when
	// they have finished.
	BusyDrainWait time.Duration
	// SupersededIdle is how long a version must be unused before it is drained
	// in favor of another version of the adapter.
	SupersededIdle time.Duration
	// FairnessWindow is how long a load counts as recent in the order of teams.
	FairnessWindow time.Duration
}

func (o Options) withDefaults() Options {
	o.MaxInFlight = cmp.Or(o.MaxInFlight, 2)
	o.MaxStarts = cmp.Or(o.MaxStarts, 3)
	o.Spare = max(cmp.Or(o.Spare, 4), 0)
	o.MinResidence = cmp.Or(o.MinResidence, 4*time.Second)
	o.Hysteresis = cmp.Or(o.Hysteresis, 2)
	o.ReplicaArrivals = cmp.Or(o.ReplicaArrivals, 3)
	o.ReplicaInFlight = cmp.Or(o.ReplicaInFlight, 8)
	o.MaxReplicas = cmp.Or(o.MaxReplicas, 64)
	o.RefillArrivals = cmp.Or(o.RefillArrivals, 0.05)
	o.Backoff = cmp.Or(o.Backoff, time.Second)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, time.Minute)
	o.BusyDrainWait = cmp.Or(o.BusyDrainWait, 2*time.Second)
	o.SupersededIdle = cmp.Or(o.SupersededIdle, 10*time.Second)
	o.FairnessWindow = cmp.Or(o.FairnessWindow, 20*time.Second)
	return o
}

// Planner plans loads and drains. It reuses memory between calls but carries no
// state over, and is not safe for concurrent use.
type Planner struct {
	opts Options
	idx  index
}

// NewPlanner returns a planner with the options.
func NewPlanner(opts Options) *Planner { return &Planner{opts: opts.withDefaults()} }

// Plan returns the actions for the snapshot. Engines must be sorted by name.
// The caller unloads the residents that are draining and idle.
func (p *Planner) Plan(s Snapshot) []Action {
	p.idx.build(&s, &p.opts)
	actions := p.undrains(nil)
	candidates := p.rankedLoads()
	actions, unplaced := p.loads(actions, candidates)
	return p.drains(actions, unplaced)
}

// undrains cancels one drain of each adapter version that has waiting requests
// and no other replica, since that is faster than a load.
func (p *Planner) undrains(actions []Action) []Action {
	for i := range p.idx.refs {
		r := &p.idx.refs[i]
		if r.waiting() == 0 || r.ready+r.loading > 0 || r.draining == 0 {
			continue
		}
		for _, pos := range r.residents {
			e := &p.idx.engines[pos.engine]
			if e.usable() && e.resident(pos.slot).State == Draining {
				r.ready++
				r.draining--
				p.idx.base(e.BaseModel).draining--
				p.idx.team(r.team).draining--
				actions = append(actions, Action{Undrain, e.Name, r.ref, r.team, ReasonWaiting})
				break
			}
		}
	}
	return actions
}
