// Package residency decides which models and adapters are resident on which engine.
// It does no I/O: the coordinator passes in the reports of engines and entry hosts,
// asks for the next order and records the outcome of each order.
//
// Invariants:
//   - An engine never gets a load order for which it may lack a slot. Each order names
//     the engine's sequence number, so an order without a response becomes void as
//     soon as a later one is accepted.
//   - What the table counts in an engine's slots includes all that the engine held or was loading
//     at the known sequence number. Only the engine's own word frees a slot: its response to an
//     unload, its report, or its restart. Neither the time that a load is expected to take, nor a
//     list that lags, nor a request that found the adapter missing does.
//   - At most one order at a time is in transit to an engine.
//   - An adapter with requests in flight from any host is not unloaded.
package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
)

// Ref names an adapter of a model, or the model itself when Adapter is empty.
type Ref struct{ Model, Adapter string }

func (r Ref) String() string {
	if r.Adapter == "" {
		return r.Model
	}
	return r.Model + "/" + r.Adapter
}

// Options holds the assumptions about engines. Zero values mean the defaults.
type Options struct {
	// ColdLoad is the duration of an adapter load from the weight store (260 ms: the
	// published 250 ms and a round trip). WarmLoad is the duration of a load from the
	// engine's cached weights (a tenth of it).
	ColdLoad, WarmLoad time.Duration
	// MaxColdLoads is the number of concurrent cold loads that the weight store serves at
	// full speed (16, as published for the smallest deployments). The limit is one for
	// each engine where there are more engines. Beyond the limit each load would take
	// longer, so no more are ordered at once.
	MaxColdLoads int
	// MaxLoading limits the number of adapters that one engine loads at once.
	MaxLoading int
	// CachedAdapters is the assumed number of unloaded adapters whose weights an engine
	// keeps cached. If it is too high, requests arrive before their load is complete,
	// and the engine's rejections correct the ready time.
	CachedAdapters int
	// TokensPerMS is the assumed prefill rate of an engine in tokens per millisecond.
	// It converts the engine's backlog to a time that is compared with load times.
	TokensPerMS float64
}

func (o Options) withDefaults() Options {
	if o.ColdLoad == 0 {
		o.ColdLoad = 260 * time.Millisecond
	}
	if o.WarmLoad == 0 {
		o.WarmLoad = 30 * time.Millisecond
	}
	if o.MaxColdLoads == 0 {
		o.MaxColdLoads = 16
	}
	if o.MaxLoading == 0 {
		o.MaxLoading = 4
	}
	if o.CachedAdapters == 0 {
		o.CachedAdapters = 96
	}
	if o.TokensPerMS == 0 {
		o.TokensPerMS = 30
	}
	return o
}

// ListedEngine is the state of one engine as given by the platform's list or by the
// engine itself.
type ListedEngine struct {
	Instance, Service, Address, Domain string
	// Build is the version of the engine's software. Builds have no order.
	Build string
	// StartUnixMs identifies the run of an instance that restarts under the same name;
	// 0 when it is unknown.
	StartUnixMs int64
	Slots       int
	Draining    bool
	// ColdFor is how long the engine stays cold.
	ColdFor   time.Duration
	Residents []Resident
}

// Resident is a model or an adapter on an engine, with its version.
type Resident struct {
	Ref     Ref
	Version uint64
}

// resident is a model or adapter that an engine holds or was ordered to load.
type resident struct {
	version   uint64
	readyAt   time.Time
	orderedAt time.Time
	// since is when it came into the table.
	since     time.Time
	lastUse   time.Time
	inFlight  int
	unloading bool
	// confirmed is true once the engine's report or the platform's list has named it.
	// A load may take longer than estimated, and an unload before its end has no effect.
	confirmed   bool
	confirmedAt time.Time
	// doubted is true when something says that the engine does not hold it. It keeps its slot, and
	// hosts do not use it, until the engine's report decides.
	doubted   bool
	doubtedAt time.Time
	// retiredAt is the time since which hosts are told not to use the adapter, so that
	// no request is in transit to it when it is unloaded; zero while it is in use.
	retiredAt time.Time
	// cold is true when the load counts as one from the weight store, and loadsAtOrder is the
	// number of such loads at its order.
	cold         bool
	loadsAtOrder int
}

// Engine is one run of an engine.
type Engine struct {
	Instance, Service, Address, Domain string
	// Build is the version of the engine's software.
	Build       string
	Slots       int
	Draining    bool
	startUnixMs int64
	// startedAt is when the table learned of this start.
	startedAt time.Time
	// leaving is true once the engine has said in a response that it leaves. Draining is true then,
	// whatever the list says.
	leaving bool

	sequence       uint64
	sequenceKnown  bool
	lastOrder      time.Time
	orderInTransit bool
	// orderable is true when some host may send orders to the engine now.
	orderable bool
	// notBefore is the time from which a busy engine may take the next order, and
	// conflicts the number of consecutive orders that it refused as conflicts.
	notBefore time.Time
	conflicts int
	// quietUntil is the time until which the engine wants neither orders nor requests for its report.
	quietUntil time.Time
	// unanswered counts consecutive orders and report requests without a response.
	unanswered int
	// unresolved are the loads without a response, which the engine may still execute.
	unresolved []unresolvedLoad
	residents  map[Ref]*resident
	// checkWanted is true when the engine's report must decide on a resident, and checkedAt is
	// when its report was last read.
	checkWanted bool
	checkedAt   time.Time
	// cached lists the unloaded adapters whose weights the engine is assumed to have
	// cached, the oldest first.
	cached []Ref
	// droppedAt holds when residents were removed lately. A lagging list still shows
	// them.
	droppedAt     map[Ref]time.Time
	inFlight      int
	pendingTokens int
	// limit is the number of requests a second that the engine takes; 0 without a limit.
	limit float64
	// pace is how long work takes at the engine as a multiple of usual; 0 if unknown.
	pace float64
	// changedEpoch is the table's epoch at the engine's last change.
	changedEpoch uint64
}

// Table holds the state of all engines. It is not safe for concurrent use.
type Table struct {
	opts     Options
	engines  map[string]*Engine
	services map[string]*catalog.Service
	newest   map[Ref]uint64
	arrivals map[Ref]*arrivals
	epoch    uint64
	removed  map[string]uint64 // epoch of the removal
	stores   map[string]*storeLoads
	crowding crowding
	// evacuated holds the failure domains whose engines get no orders and no requests.
	evacuated map[string]bool
	// waitingModelLoads is the number of engines that the last plan of model loads left waiting for the store's rate.
	waitingModelLoads int
	// examined counts the engines and residents that decisions have looked at.
	examined uint64
	// departures are the residents that left since they were last taken.
	departures []Departure
}

// storeLoads records the orders to load a model from the weight store, for one service. Orders that engines did not accept
// are not counted.
type storeLoads struct{ loads []modelLoad }

// modelLoad is an order to load a model.
type modelLoad struct {
	instance string
	at       time.Time
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{
		opts: opts.withDefaults(), engines: map[string]*Engine{}, services: map[string]*catalog.Service{},
		newest: map[Ref]uint64{}, arrivals: map[Ref]*arrivals{}, removed: map[string]uint64{},
		stores: map[string]*storeLoads{},
	}
}

// SetCatalog replaces the services by those of the catalog.
func (t *Table) SetCatalog(c *catalog.Catalog) {
	t.services = map[string]*catalog.Service{}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
}

// SetNewest sets the newest version of an adapter.
func (t *Table) SetNewest(ref Ref, version uint64) { t.newest[ref] = version }

// Has reports whether the engine is in the table.
func (t *Table) Has(instance string) bool { return t.engines[instance] != nil }

// Slots returns the number of requests that an engine runs at once; 0 when it is not in the table.
func (t *Table) Slots(instance string) int {
	if e := t.engines[instance]; e != nil {
		return e.Slots
	}
	return 0
}

// SetEvacuated replaces the set of evacuated failure domains.
func (t *Table) SetEvacuated(domains map[string]bool) { t.evacuated = domains }

// isClosed reports whether the engine gets no new work, because it leaves or its failure domain is evacuated.
func (t *Table) isClosed(e *Engine) bool { return e.Draining || t.evacuated[e.Domain] }

// SetLimit sets the number of requests a second that an engine takes from all hosts, 0 for no
// limit.
func (t *Table) SetLimit(instance string, perSecond float64) {
	if e := t.engines[instance]; e != nil {
		e.limit = perSecond
	}
}

// SetPace sets how long work takes at an engine as a multiple of usual.
func (t *Table) SetPace(instance string, factor float64) {
	if e := t.engines[instance]; e != nil {
		e.pace = factor
	}
}

// SetLeaving records that a server has said in a response that it leaves; startUnixMs is the start of the one that
// said so, 0 if unknown. It reports whether that is new.
func (t *Table) SetLeaving(instance string, startUnixMs int64) bool {
	e := t.engines[instance]
	if e == nil || e.leaving || startUnixMs != 0 && startUnixMs < e.startUnixMs {
		return false
	}
	e.leaving, e.Draining = true, true
	t.markChanged(e)
	return true
}

// SetQuiet records how long an engine wants neither orders nor requests for its report; 0 changes nothing.
func (t *Table) SetQuiet(instance string, quiet time.Duration, now time.Time) {
	if e := t.engines[instance]; e != nil && quiet > 0 {
		e.quietUntil = maxTime(e.quietUntil, now.Add(quiet))
	}
}

// StartUnixMs returns the start of the engine in Unix milliseconds, 0 if unknown.
func (e *Engine) StartUnixMs() int64 { return e.startUnixMs }

// Examined returns how many engines and residents decisions have looked at since the
// table was made. It measures their cost independently of the machine.
func (t *Table) Examined() uint64 { return t.examined }

// Epoch returns the number of the last change. Each change that entry hosts must learn
// of increments it.
func (t *Table) Epoch() uint64 { return t.epoch }

// markChanged increments the epoch and records it as the engine's last change.
func (t *Table) markChanged(e *Engine) {
	t.epoch++
	e.changedEpoch = t.epoch
}

func (t *Table) isEngine(e *Engine) bool {
	s := t.services[e.Service]
	return s != nil && s.Engine != nil
}

// Engines returns all engines sorted by instance.
func (t *Table) Engines() []*Engine {
	out := make([]*Engine, 0, len(t.engines))
	for _, e := range t.engines {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *Engine) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}

// ChangedSince returns the engines that changed or were removed after the epoch.
func (t *Table) ChangedSince(epoch uint64) (changed []*Engine, removed []string) {
	for _, e := range t.Engines() {
		if e.changedEpoch > epoch {
			changed = append(changed, e)
		}
	}
	for instance, at := range t.removed {
		if at > epoch {
			removed = append(removed, instance)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

// ResidentStatus is a resident with the time until it is usable.
type ResidentStatus struct {
	Resident
	ReadyIn time.Duration
}

// Residents returns the engine's residents that hosts may use, sorted by name: those that are neither
// retired nor unloading nor doubted.
func (e *Engine) Residents(now time.Time) []ResidentStatus {
	var out []ResidentStatus
	for ref, res := range e.residents {
		if !res.unloading && !res.doubted && res.retiredAt.IsZero() {
			out = append(out, ResidentStatus{Resident{ref, res.version}, max(0, res.readyAt.Sub(now))})
		}
	}
	slices.SortFunc(out, func(a, b ResidentStatus) int {
		return cmp.Or(strings.Compare(a.Ref.Model, b.Ref.Model), strings.Compare(a.Ref.Adapter, b.Ref.Adapter))
	})
	return out
}

// EngineUsage is what all hosts together have in flight at one engine.
type EngineUsage struct {
	InFlight, PendingTokens int
	Adapters                map[Ref]int
}

// SetUsage replaces the usage of an engine by all hosts.
func (t *Table) SetUsage(instance string, u EngineUsage, now time.Time) {
	e := t.engines[instance]
	if e == nil {
		return
	}
	e.inFlight, e.pendingTokens = u.InFlight, u.PendingTokens
	for ref, res := range e.residents {
		res.inFlight = u.Adapters[ref]
		if res.inFlight > 0 {
			res.lastUse = now
		}
	}
}

// SetOrderable records whether some host may send orders to the engine now.
func (t *Table) SetOrderable(instance string, orderable bool) {
	if e := t.engines[instance]; e != nil {
		e.orderable = orderable
	}
}

// SetCached tells a new leader's table which adapters the engine unloaded lately, the
// oldest first. Unloads that the table has recorded itself take precedence.
func (t *Table) SetCached(instance string, refs []Ref) {
	e := t.engines[instance]
	if e == nil {
		return
	}
	recorded := e.cached
	e.cached = slices.DeleteFunc(slices.Clone(refs), func(r Ref) bool { return e.residents[r] != nil || slices.Contains(recorded, r) })
	e.cached = append(e.cached, recorded...)
	if n := len(e.cached) - t.opts.CachedAdapters; n > 0 {
		e.cached = slices.Delete(e.cached, 0, n)
	}
}

// RecordReportFailure records that an engine did not answer a request for its report.
// The platform's list still shows a failed engine for some seconds, during which it
// would look idle.
func (t *Table) RecordReportFailure(instance string, now time.Time) {
	if e := t.engines[instance]; e != nil {
		e.checkedAt = now
		t.backOff(e, now)
	}
}

const (
	// backoffAfter is the number of consecutive orders or reports without a response at
	// which the backoff begins: one order without a response is not unusual. The
	// backoff grows from minBackoff to maxBackoff.
	backoffAfter = 2
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// backOff delays the next order to an engine that does not respond, with exponential
// backoff.
func (t *Table) backOff(e *Engine, now time.Time) {
	e.unanswered++
	if n := e.unanswered - backoffAfter; n >= 0 {
		e.notBefore = now.Add(min(minBackoff<<min(n, 4), maxBackoff))
	}
}
