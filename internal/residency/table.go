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
	"maps"
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
	Residents   []Resident
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

// unresolvedLoad is a load order of which it is not known whether the engine executed it. It names a
// sequence number, which a restarted engine counts anew.
type unresolvedLoad struct {
	expect uint64
	at     time.Time
	// earlierStart is true when the engine has restarted under its name since.
	earlierStart bool
}

// maxOrderAge is the time after which an order without a response is no longer executed (2 to 12 s are
// published).
const maxOrderAge = 15 * time.Second

// carryUnresolved returns the unresolved loads of an engine for its next start.
func (e *Engine) carryUnresolved(now time.Time) []unresolvedLoad {
	var out []unresolvedLoad
	for _, u := range e.unresolved {
		if now.Sub(u.at) < maxOrderAge {
			u.earlierStart = true
			out = append(out, u)
		}
	}
	return out
}

// reservedSlots returns the number of slots that unresolved loads may still take although the engine has
// accepted others since: those ordered before its restart, and those that named a sequence number which it
// had not reached, as after an unload that was not counted. All others are void by the next order that the
// engine accepts.
func (e *Engine) reservedSlots(now time.Time) int {
	n := 0
	for _, u := range e.unresolved {
		pending := u.expect > e.sequence || u.earlierStart && u.expect == e.sequence
		if pending && now.Sub(u.at) < maxOrderAge {
			n++
		}
	}
	return n
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
	// examined counts the engines and residents that decisions have looked at.
	examined uint64
	// departures are the residents that left since they were last taken.
	departures []Departure
}

// Departure tells why a resident left the table.
type Departure struct {
	Instance string
	Ref      Ref
	Reason   string
	// Age is the time since it was ordered or first seen.
	Age time.Duration
}

// Reasons of departures.
const (
	departUnloaded  = "unloaded"
	departReport    = "not_in_report"
	departRestarted = "engine_restarted"
)

// maxDepartures limits the departures that are kept for the log.
const maxDepartures = 1000

// TakeDepartures returns the residents that left the table since the last call.
func (t *Table) TakeDepartures() []Departure {
	out := t.departures
	t.departures = nil
	return out
}

func (t *Table) recordDeparture(e *Engine, ref Ref, res *resident, reason string, now time.Time) {
	if len(t.departures) < maxDepartures {
		t.departures = append(t.departures, Departure{e.Instance, ref, reason, now.Sub(res.since)})
	}
}

// storeLoads records the model loads of one service from the weight store.
type storeLoads struct{ starts []time.Time }

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

// SetLimit sets the number of requests a second that an engine takes from all hosts, 0 for no
// limit.
func (t *Table) SetLimit(instance string, perSecond float64) {
	if e := t.engines[instance]; e != nil {
		e.limit = perSecond
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

// maxListLag is how long the platform's list may lag behind an order. Within that time
// the table's own state takes precedence.
const maxListLag = 1500 * time.Millisecond

// ObserveList updates the table from the platform's complete list.
func (t *Table) ObserveList(list []ListedEngine, now time.Time) {
	seen := map[string]bool{}
	for _, l := range DistinctInstances(list, t.holds) {
		seen[l.Instance] = true
		t.observe(l, now)
	}
	for instance := range t.engines {
		if !seen[instance] {
			delete(t.engines, instance)
			t.epoch++
			t.removed[instance] = t.epoch
		}
	}
}

// DistinctInstances returns one entry for each instance: of several with one name, which another writer may have left, the
// one that is known already, and else the first.
func DistinctInstances(list []ListedEngine, known func(ListedEngine) bool) []ListedEngine {
	index := make(map[string]int, len(list))
	out := make([]ListedEngine, 0, len(list))
	for _, l := range list {
		i, duplicate := index[l.Instance]
		switch {
		case !duplicate:
			index[l.Instance] = len(out)
			out = append(out, l)
		case !known(out[i]) && known(l):
			out[i] = l
		}
	}
	return out
}

// holds reports whether the table has the start of the engine that the entry describes.
func (t *Table) holds(l ListedEngine) bool {
	e := t.engines[l.Instance]
	return e != nil && e.Address == l.Address && e.Service == l.Service && e.startUnixMs == l.StartUnixMs
}

func (t *Table) observe(l ListedEngine, now time.Time) {
	e := t.engines[l.Instance]
	if e != nil && l.StartUnixMs != 0 && l.StartUnixMs < e.startUnixMs && now.Sub(e.startedAt) < maxListLag {
		return // the list does not show yet that the engine has restarted
	}
	if e == nil || e.startUnixMs != l.StartUnixMs || e.Address != l.Address || e.Service != l.Service {
		var unresolved []unresolvedLoad
		if e != nil {
			unresolved = e.carryUnresolved(now)
		}
		e = &Engine{
			Instance: l.Instance, Service: l.Service, Address: l.Address, Domain: l.Domain, startUnixMs: l.StartUnixMs, startedAt: now,
			residents: map[Ref]*resident{}, droppedAt: map[Ref]time.Time{}, unresolved: unresolved,
		}
		t.engines[l.Instance] = e
		delete(t.removed, l.Instance)
		t.markChanged(e)
	}
	if draining := l.Draining || e.leaving; e.Draining != draining || e.Slots != l.Slots || e.Build != l.Build {
		e.Draining, e.Slots, e.Build = draining, l.Slots, l.Build
		t.markChanged(e)
	}
	t.reconcile(e, l.Residents, now)
}

// reconcile applies the listed residents of the engine, except those that a later
// order has changed.
func (t *Table) reconcile(e *Engine, list []Resident, now time.Time) {
	seen := map[Ref]bool{}
	for _, c := range list {
		seen[c.Ref] = true
		t.reconcileResident(e, c, now)
	}
	for ref, res := range e.residents {
		if !seen[ref] {
			t.doubtUnlisted(e, res, now)
		}
	}
	maps.DeleteFunc(e.droppedAt, func(_ Ref, at time.Time) bool { return now.Sub(at) >= maxListLag })
}

// doubtUnlisted wants the engine's report when a list that must name the resident by now does not.
func (t *Table) doubtUnlisted(e *Engine, res *resident, now time.Time) {
	latest := maxTime(maxTime(res.orderedAt, res.confirmedAt), res.readyAt)
	if now.Sub(latest) < maxListLag {
		return
	}
	e.checkWanted = true
	if res.confirmed {
		t.doubt(e, res, now)
	}
}

// doubt keeps hosts from using the resident until the engine's report has been read.
func (t *Table) doubt(e *Engine, res *resident, now time.Time) {
	e.checkWanted = true
	if !res.doubted {
		res.doubted, res.doubtedAt = true, now
		t.markChanged(e)
	}
}

func (t *Table) reconcileResident(e *Engine, c Resident, now time.Time) {
	res := e.residents[c.Ref]
	switch {
	case res == nil:
		if at, ok := e.droppedAt[c.Ref]; ok && now.Sub(at) < maxListLag {
			return
		}
		e.residents[c.Ref] = &resident{version: c.Version, since: now, lastUse: now, readyAt: now, confirmed: true, confirmedAt: now}
		t.markChanged(e)
	case c.Version > res.version, c.Version == res.version && res.readyAt.After(now):
		res.version, res.readyAt = c.Version, minTime(res.readyAt, now)
		t.confirm(e, res, now)
		t.markChanged(e)
	case c.Version == res.version:
		t.confirm(e, res, now)
	case now.Sub(maxTime(res.orderedAt, res.readyAt)) >= maxListLag:
		e.checkWanted = true // the replacement of an older version is late
	}
}

// confirm records that the engine holds the resident.
func (t *Table) confirm(e *Engine, res *resident, now time.Time) {
	if res.doubted && now.Sub(res.doubtedAt) < maxListLag {
		return // the list lags behind what raised the doubt
	}
	res.confirmed, res.confirmedAt = true, now
	if res.doubted {
		res.doubted = false
		t.markChanged(e)
	}
}

// drop removes a resident that the engine has said to be gone.
func (t *Table) drop(e *Engine, ref Ref, reason string, now time.Time) {
	res := e.residents[ref]
	if res == nil {
		return
	}
	t.recordDeparture(e, ref, res, reason, now)
	delete(e.residents, ref)
	e.droppedAt[ref] = now
	t.markChanged(e)
	if ref.Adapter == "" {
		return
	}
	e.cached = slices.DeleteFunc(e.cached, func(r Ref) bool { return r == ref })
	e.cached = append(e.cached, ref)
	if n := len(e.cached) - t.opts.CachedAdapters; n > 0 {
		e.cached = slices.Delete(e.cached, 0, n)
	}
}

// Report is an engine's report of its own state.
type Report struct {
	StartUnixMs int64
	Sequence    uint64
	// Busy is true while an order is in progress.
	Busy      bool
	Residents []Resident
	// Loading lists the adapters that the engine is loading.
	Loading []Resident
}

// ObserveReport applies an engine's own report. Reports lag, so one that does not reflect the last
// order is not used.
func (t *Table) ObserveReport(instance string, r Report, now time.Time) {
	e := t.engines[instance]
	if e == nil || e.orderInTransit {
		return
	}
	e.checkedAt, e.unanswered = now, 0
	restarted := e.startUnixMs != 0 && r.StartUnixMs != 0 && e.startUnixMs != r.StartUnixMs
	if restarted && r.StartUnixMs < e.startUnixMs && now.Sub(e.startedAt) < maxListLag {
		return // from before the restart that the list has shown
	}
	if e.sequenceKnown && !restarted && r.Sequence < e.sequence && now.Sub(e.lastOrder) < reportDelay {
		return
	}
	if restarted {
		// The engine has restarted, and the list does not show it yet.
		for ref, res := range e.residents {
			t.recordDeparture(e, ref, res, departRestarted, now)
		}
		e.leaving = false
		e.cached, e.residents, e.droppedAt, e.startedAt = nil, map[Ref]*resident{}, map[Ref]time.Time{}, now
		e.unresolved = e.carryUnresolved(now)
	}
	if r.StartUnixMs != 0 {
		e.startUnixMs = r.StartUnixMs
	}
	e.sequence, e.sequenceKnown, e.checkWanted = r.Sequence, true, false
	if r.Busy {
		e.notBefore = now.Add(reportedBusyPause)
	}
	t.replaceResidents(e, r, now)
}

// replaceResidents replaces the residents by those that the report names. The report
// reflects every order, including those whose responses were misinterpreted.
func (t *Table) replaceResidents(e *Engine, r Report, now time.Time) {
	named := map[Ref]bool{}
	for _, c := range r.Residents {
		named[c.Ref] = true
		res := e.resident(c.Ref, now)
		// An unload that waits for running requests goes on.
		res.unloading = res.unloading && (r.Busy || res.inFlight > 0)
		res.version, res.readyAt, res.confirmed, res.confirmedAt, res.doubted = c.Version, now, true, now, false
	}
	for _, c := range r.Loading {
		named[c.Ref] = true
		res := e.resident(c.Ref, now)
		if !res.readyAt.After(now) {
			// It came by an order that the table does not know of, or takes longer than estimated.
			res.readyAt = now.Add(t.opts.ColdLoad / lateLoadDivisor)
		}
		if res.orderedAt.IsZero() {
			res.orderedAt, res.readyAt, res.cold = now, now.Add(t.coldLoadTime(now)), true
		}
		res.version, res.confirmed, res.doubted, res.unloading = c.Version, false, false, false
	}
	for ref := range e.residents {
		if !named[ref] {
			t.drop(e, ref, departReport, now)
		}
	}
	t.markChanged(e)
}

// resident returns the entry of a resident, which is added if it is missing.
func (e *Engine) resident(ref Ref, now time.Time) *resident {
	res := e.residents[ref]
	if res == nil {
		res = &resident{since: now, lastUse: now}
		e.residents[ref] = res
	}
	return res
}

// lateLoadDivisor divides the time of a load to give the time after which one that is late is
// tried again.
const lateLoadDivisor = 4

// reportedBusyPause is how long no order is sent to an engine that reports one in
// progress, which most likely is an unload that waits for a running request.
const reportedBusyPause = 150 * time.Millisecond

// reportDelay is the time after which an engine's report is sure to reflect an order.
const reportDelay = 400 * time.Millisecond

// checkInterval is the minimum time between two reports of an engine that are read to decide on
// its residents. A report costs the engine a request.
const checkInterval = time.Second

// NeedsReport reports whether the engine's report must be read: because its sequence number is unknown, so
// that it gets no order, or to decide on residents. A report requested now reflects the last order.
func (t *Table) NeedsReport(instance string, now time.Time) bool {
	e := t.engines[instance]
	if e == nil || e.orderInTransit || !t.isEngine(e) || now.Before(e.quietUntil) {
		return false
	}
	sinceOrder := now.Sub(e.lastOrder)
	if !e.sequenceKnown {
		return sinceOrder >= reportDelay
	}
	return e.checkWanted && sinceOrder >= checkDelay && now.Sub(e.checkedAt) >= checkInterval && !now.Before(e.notBefore)
}

// checkDelay is the time after which an engine's report most likely reflects an order. One that does
// not is known by its sequence number.
const checkDelay = 200 * time.Millisecond

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
	slices.SortFunc(out, func(a, b ResidentStatus) int { return strings.Compare(a.Ref.String(), b.Ref.String()) })
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
