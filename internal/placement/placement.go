// Package placement plans which adapter versions are resident on which engines.
// The planner is pure: the same snapshot always gives the same actions.
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

// Resident is an adapter version that occupies a slot.
type Resident struct {
	Ref   Ref
	State State
	// InFlight is the number of running requests over all hosts.
	InFlight int
	LastUsed time.Time
	// Since is when the state began.
	Since time.Time
}

// Engine is one engine and its slots.
type Engine struct {
	Name, FailureDomain, BaseModel string
	Slots                          int
	Healthy, Leaving               bool
	Residents                      []Resident
}

// Demand is the fleet's demand for one adapter version. There is one for each
// version that is resident or was asked for lately.
type Demand struct {
	Ref             Ref
	BaseModel, Team string
	// Waiting is the number of queued requests without a ready engine.
	Waiting    int
	OldestWait time.Duration
	// Arrivals is the decayed number of requests per second. A half-life of 40 s
	// was best in docs/experiments.md.
	Arrivals float64
}

// Team bounds the slots of one team's adapters; MaxSlots 0 means no bound.
type Team struct {
	Name     string
	MaxSlots int
}

// Failure is the last failed load of an adapter version on an engine. Count is
// the number of failures in a row.
type Failure struct {
	Ref    Ref
	Engine string
	At     time.Time
	Count  int
}

// Snapshot is everything that the planner knows.
type Snapshot struct {
	Now      time.Time
	Engines  []Engine
	Demand   []Demand
	Teams    []Team
	Failures []Failure
	// LoadStarts are the times of the latest loads ordered.
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
	ReasonTeamBound  = "team is at its slot bound"
)

// minSlotsPerSpare is the number of slots of a base model that one spare slot
// takes at least. With 4 spare slots, a base model of 2 slots held nothing idle.
const minSlotsPerSpare = 8

// Options sets the planner's constants. Zero fields take the default.
type Options struct {
	// MaxInFlight and MaxStarts are the weight store's limits: loads at once at
	// full speed and loads started per second.
	MaxInFlight, MaxStarts int
	// Spare is the number of slots kept free per base model, so that a load does not
	// wait for a drain, which takes the hosts' confirmation. Negative means none.
	Spare int
	// MinResidence is how long a ready adapter stays before it may be drained.
	MinResidence time.Duration
	// Hysteresis is how many times more demand an adapter without waiting
	// requests needs than the one that it displaces.
	Hysteresis float64
	// ReplicaArrivals is the number of requests per second that one replica takes.
	ReplicaArrivals float64
	// ReplicaInFlight is the number of running requests per replica beyond which
	// another one is loaded.
	ReplicaInFlight int
	// MaxReplicas bounds the replicas of one adapter version.
	MaxReplicas int
	// RefillArrivals is the demand below which nothing is loaded in advance.
	RefillArrivals float64
	// Backoff is the wait after a failed load; it doubles up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// BusyWait is the wait after which an adapter with running requests may be
	// drained. It is unloaded only when they have finished.
	BusyWait time.Duration
	// SupersededIdle is how long a version must be unused before it is drained
	// in favour of another version of the adapter.
	SupersededIdle time.Duration
	// FairnessWindow is how long a load counts against its team.
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
	o.BusyWait = cmp.Or(o.BusyWait, 2*time.Second)
	o.SupersededIdle = cmp.Or(o.SupersededIdle, 10*time.Second)
	o.FairnessWindow = cmp.Or(o.FairnessWindow, 20*time.Second)
	return o
}

// Planner plans loads and drains. It keeps memory between calls but no state,
// and is not safe for concurrent use.
type Planner struct {
	opts Options
	x    index
}

// NewPlanner returns a planner.
func NewPlanner(opts Options) *Planner { return &Planner{opts: opts.withDefaults()} }

// Plan returns the actions for the snapshot. Engines must be sorted by name.
// The caller unloads what is draining and idle.
func (p *Planner) Plan(s Snapshot) []Action {
	p.x.build(&s, &p.opts)
	actions := p.undrains(nil)
	wanted := p.wanted()
	actions, missing := p.loads(actions, wanted)
	return p.drains(actions, missing)
}

// undrains takes back drains of what is asked for again, since that is faster
// than a load.
func (p *Planner) undrains(actions []Action) []Action {
	for i := range p.x.refs {
		r := &p.x.refs[i]
		if r.waiting() == 0 || r.ready+r.loading > 0 || r.draining == 0 {
			continue
		}
		for _, at := range r.residents {
			e := &p.x.engines[at.engine]
			if e.usable() && e.resident(at.slot).State == Draining {
				r.ready++
				r.draining--
				p.x.base(e.BaseModel).draining--
				p.x.team(r.team).draining--
				actions = append(actions, Action{Undrain, e.Name, r.ref, r.team, ReasonWaiting})
				break
			}
		}
	}
	return actions
}
