// Package residency decides which engine holds which model and adapter. It is
// pure: the coordinator tells it what engines and entry hosts say, asks it what
// to order next, and tells it what became of each order.
//
// Invariants:
//   - An engine never gets a load for which it may lack a place. Each order names
//     the engine's sequence, so that an order without an answer is void as soon
//     as a later one is accepted.
//   - One order at a time is on its way to an engine.
//   - An adapter that a host has in flight is not unloaded.
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

// Options holds the assumptions about engines. Zero values take defaults.
type Options struct {
	// ColdLoad is the time of an adapter load from the weight store (260 ms: the
	// published 250 ms and a round trip), WarmLoad that of a load from the
	// engine's own copy (a tenth of it).
	ColdLoad, WarmLoad time.Duration
	// Parallel is the number of cold loads that the store serves at full speed (16,
	// as published for the smallest deployments), or one for each engine where there
	// are more. More are not ordered at once, as each would take longer.
	Parallel int
	// Transit bounds the adapters on their way to one engine.
	Transit int
	// CachedAdapters is the number of adapters of which an engine is assumed to keep
	// copies. Refusals of requests that come too early correct a wrong guess.
	CachedAdapters int
	// TokensPerMS is the speed at which an engine is assumed to read prompts,
	// used to weigh its backlog against the time of a load.
	TokensPerMS float64
}

func (o Options) withDefaults() Options {
	if o.ColdLoad == 0 {
		o.ColdLoad = 260 * time.Millisecond
	}
	if o.WarmLoad == 0 {
		o.WarmLoad = 30 * time.Millisecond
	}
	if o.Parallel == 0 {
		o.Parallel = 16
	}
	if o.Transit == 0 {
		o.Transit = 4
	}
	if o.CachedAdapters == 0 {
		o.CachedAdapters = 96
	}
	if o.TokensPerMS == 0 {
		o.TokensPerMS = 30
	}
	return o
}

// ListedEngine is what the platform's list or an engine itself says of one engine.
type ListedEngine struct {
	Instance, Service, Address, Domain string
	// StartUnixMs identifies the run when an instance restarts under its name; 0 when
	// it is not told.
	StartUnixMs int64
	Slots       int
	Draining    bool
	Held        []Resident
}

// Resident is a model or an adapter with the version that an engine holds.
type Resident struct {
	Ref     Ref
	Version uint64
}

// held is what an engine holds or has been ordered to load.
type held struct {
	version   uint64
	readyAt   time.Time
	orderedAt time.Time
	lastUse   time.Time
	uses      int
	unloading bool
	// confirmed is true when the engine itself has named the copy. A load may take
	// longer than estimated, and an unload of what is not there yet does nothing.
	confirmed bool
	// retiredAt is since when hosts are told not to use the adapter, so that it can
	// be unloaded without a request on its way to it; zero while it is in use.
	retiredAt time.Time
	// cold tells how the load was counted.
	cold bool
}

// Engine is one run of an engine.
type Engine struct {
	Instance, Service, Address, Domain string
	Slots                              int
	Draining                           bool
	born                               int64

	sequence      uint64
	sequenceKnown bool
	lastOrder     time.Time
	ordering      bool
	// open is true when some host may give orders to the engine now.
	open bool
	// notBefore is when a busy engine may take the next order, and conflicts the
	// number of orders in a row that it did not take.
	notBefore time.Time
	conflicts int
	// unanswered counts the orders and reports in a row that got no answer.
	unanswered int
	held       map[Ref]*held
	recent     []Ref // unloaded adapters, the oldest first
	// dropped dates what was given up lately, which a lagging list still shows.
	dropped  map[Ref]time.Time
	inFlight int
	pending  int
	changed  uint64
}

// Table holds all engines. It is not safe for concurrent use.
type Table struct {
	opts     Options
	engines  map[string]*Engine
	services map[string]*catalog.Service
	newest   map[Ref]uint64
	arrivals map[Ref]*arrivals
	epoch    uint64
	removed  map[string]uint64 // epoch of the removal
	stores   map[string]*storeLoads
}

// storeLoads is the use of the weight store by model loads of one service.
type storeLoads struct{ starts []time.Time }

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{
		opts: opts.withDefaults(), engines: map[string]*Engine{}, services: map[string]*catalog.Service{},
		newest: map[Ref]uint64{}, arrivals: map[Ref]*arrivals{}, removed: map[string]uint64{},
		stores: map[string]*storeLoads{},
	}
}

// SetCatalog replaces the services.
func (t *Table) SetCatalog(c *catalog.Catalog) {
	t.services = map[string]*catalog.Service{}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
}

// SetNewest names the newest version of an adapter.
func (t *Table) SetNewest(ref Ref, version uint64) { t.newest[ref] = version }

// Epoch grows with each change that entry hosts must learn of.
func (t *Table) Epoch() uint64 { return t.epoch }

func (t *Table) touch(e *Engine) {
	t.epoch++
	e.changed = t.epoch
}

// settleTime is how long the platform's list may lag behind an order. Until
// then, the table's own knowledge goes first.
const settleTime = 1500 * time.Millisecond

// ObserveList brings the table up to date with the whole list of the platform.
func (t *Table) ObserveList(list []ListedEngine, now time.Time) {
	seen := map[string]bool{}
	for _, l := range list {
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

func (t *Table) observe(l ListedEngine, now time.Time) {
	e := t.engines[l.Instance]
	if e == nil || e.born != l.StartUnixMs || e.Address != l.Address || e.Service != l.Service {
		e = &Engine{
			Instance: l.Instance, Service: l.Service, Address: l.Address, Domain: l.Domain, born: l.StartUnixMs,
			held: map[Ref]*held{}, dropped: map[Ref]time.Time{},
		}
		t.engines[l.Instance] = e
		delete(t.removed, l.Instance)
		t.touch(e)
	}
	if e.Draining != l.Draining || e.Slots != l.Slots {
		e.Draining, e.Slots = l.Draining, l.Slots
		t.touch(e)
	}
	t.reconcile(e, l.Held, now)
}

// reconcile takes over what the engine says it holds, except where a later
// order has changed it.
func (t *Table) reconcile(e *Engine, list []Resident, now time.Time) {
	seen := map[Ref]bool{}
	for _, c := range list {
		seen[c.Ref] = true
		t.reconcileCopy(e, c, now)
	}
	for ref, h := range e.held {
		if !seen[ref] && now.Sub(h.orderedAt) >= settleTime && !h.readyAt.After(now) {
			t.drop(e, ref, now)
		}
	}
	maps.DeleteFunc(e.dropped, func(_ Ref, at time.Time) bool { return now.Sub(at) >= settleTime })
}

func (t *Table) reconcileCopy(e *Engine, c Resident, now time.Time) {
	h := e.held[c.Ref]
	switch {
	case h == nil:
		if at, ok := e.dropped[c.Ref]; ok && now.Sub(at) < settleTime {
			return
		}
		e.held[c.Ref] = &held{version: c.Version, lastUse: now, readyAt: now, confirmed: true}
		t.touch(e)
	case c.Version > h.version, c.Version != h.version && now.Sub(h.orderedAt) >= settleTime,
		c.Version == h.version && h.readyAt.After(now):
		h.version, h.readyAt, h.confirmed = c.Version, minTime(h.readyAt, now), true
		t.touch(e)
	case c.Version == h.version:
		h.confirmed = true
	}
}

func (t *Table) drop(e *Engine, ref Ref, now time.Time) {
	if e.held[ref] == nil {
		return
	}
	delete(e.held, ref)
	e.dropped[ref] = now
	t.touch(e)
	if ref.Adapter == "" {
		return
	}
	e.recent = slices.DeleteFunc(e.recent, func(r Ref) bool { return r == ref })
	e.recent = append(e.recent, ref)
	if n := len(e.recent) - t.opts.CachedAdapters; n > 0 {
		e.recent = slices.Delete(e.recent, 0, n)
	}
}

// Report is what an engine says of itself.
type Report struct {
	StartUnixMs int64
	Sequence    uint64
	// Busy is true while an order is in progress.
	Busy bool
	Held []Resident
	// Loading are adapters on their way to the engine.
	Loading []Resident
}

// ObserveReport takes over an engine's own report. It must have been asked for
// reportAfter or later after the last order, as reports lag.
func (t *Table) ObserveReport(instance string, r Report, now time.Time) {
	e := t.engines[instance]
	if e == nil || e.ordering {
		return
	}
	if e.born != 0 && r.StartUnixMs != 0 && e.born != r.StartUnixMs {
		// The list has not shown the restart yet.
		e.born, e.recent = r.StartUnixMs, nil
		e.held, e.dropped = map[Ref]*held{}, map[Ref]time.Time{}
		t.touch(e)
	}
	e.sequence, e.sequenceKnown, e.unanswered = r.Sequence, true, 0
	if r.Busy {
		e.notBefore = now.Add(reportedBusyPause)
	}
	t.replaceHeld(e, r, now)
}

// replaceHeld takes over what a report names and nothing else: the report counts
// every order, also those whose answers were misunderstood.
func (t *Table) replaceHeld(e *Engine, r Report, now time.Time) {
	clear(e.dropped)
	before := e.held
	e.held = map[Ref]*held{}
	for _, c := range r.Held {
		h := &held{lastUse: now}
		if old := before[c.Ref]; old != nil {
			h = old
		}
		h.version, h.readyAt, h.confirmed, h.unloading = c.Version, now, true, false
		e.held[c.Ref] = h
	}
	for _, c := range r.Loading {
		h := &held{version: c.Version, lastUse: now, orderedAt: now, readyAt: now.Add(t.opts.ColdLoad), cold: true}
		if old := before[c.Ref]; old != nil && old.readyAt.After(now) {
			h.readyAt = old.readyAt
		}
		e.held[c.Ref] = h
	}
	t.touch(e)
}

// reportedBusyPause is how long an engine is left alone that reports an order in
// progress, most likely an unload that waits for a run.
const reportedBusyPause = 150 * time.Millisecond

// reportAfter is how long after an order an engine's report is sure to count it.
const reportAfter = 400 * time.Millisecond

// NeedsReport tells whether the engine's sequence must be read before it can get
// another order, and whether a report is recent enough now.
func (t *Table) NeedsReport(instance string, now time.Time) bool {
	e := t.engines[instance]
	return e != nil && !e.sequenceKnown && !e.ordering && now.Sub(e.lastOrder) >= reportAfter && t.isEngine(e)
}

func (t *Table) isEngine(e *Engine) bool {
	s := t.services[e.Service]
	return s != nil && s.Engine != nil
}

// Engines returns all rows sorted by instance.
func (t *Table) Engines() []*Engine {
	out := make([]*Engine, 0, len(t.engines))
	for _, e := range t.engines {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *Engine) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}

// ChangedSince returns the rows and removals after the epoch.
func (t *Table) ChangedSince(epoch uint64) (rows []*Engine, removed []string) {
	for _, e := range t.Engines() {
		if e.changed > epoch {
			rows = append(rows, e)
		}
	}
	for instance, at := range t.removed {
		if at > epoch {
			removed = append(removed, instance)
		}
	}
	slices.Sort(removed)
	return rows, removed
}

// ResidentStatus is a row's copy with the time until it is usable.
type ResidentStatus struct {
	Resident
	ReadyIn time.Duration
}

// Residents returns what the engine holds and is not about to give up, sorted by name.
func (e *Engine) Residents(now time.Time) []ResidentStatus {
	var out []ResidentStatus
	for ref, h := range e.held {
		if !h.unloading && h.retiredAt.IsZero() {
			out = append(out, ResidentStatus{Resident{ref, h.version}, max(0, h.readyAt.Sub(now))})
		}
	}
	slices.SortFunc(out, func(a, b ResidentStatus) int { return strings.Compare(a.Ref.String(), b.Ref.String()) })
	return out
}

// EngineUsage is what all hosts have in flight at one engine.
type EngineUsage struct {
	InFlight, PendingTokens int
	Adapters                map[Ref]int
}

// SetUsage replaces the use of an engine by all hosts.
func (t *Table) SetUsage(instance string, u EngineUsage, now time.Time) {
	e := t.engines[instance]
	if e == nil {
		return
	}
	e.inFlight, e.pending = u.InFlight, u.PendingTokens
	for ref, h := range e.held {
		h.uses = u.Adapters[ref]
		if h.uses > 0 {
			h.lastUse = now
		}
	}
}

// SetOrderable tells whether some host may give orders to the engine now.
func (t *Table) SetOrderable(instance string, open bool) {
	if e := t.engines[instance]; e != nil {
		e.open = open
	}
}

// SetCached tells which adapters an engine has given up lately, the oldest first,
// when a new leader learns of them. What the table has seen itself goes first.
func (t *Table) SetCached(instance string, refs []Ref) {
	e := t.engines[instance]
	if e == nil {
		return
	}
	own := e.recent
	e.recent = slices.DeleteFunc(slices.Clone(refs), func(r Ref) bool { return e.held[r] != nil || slices.Contains(own, r) })
	e.recent = append(e.recent, own...)
	if n := len(e.recent) - t.opts.CachedAdapters; n > 0 {
		e.recent = slices.Delete(e.recent, 0, n)
	}
}

// RecordReportFailure books that an engine did not answer a question for its report. The
// list names a dead engine for some seconds more, and it would look idle.
func (t *Table) RecordReportFailure(instance string, now time.Time) {
	if e := t.engines[instance]; e != nil {
		t.rest(e, now)
	}
}

const (
	// restAfter is the number of orders or reports without an answer after which
	// an engine is left alone, restFirst for how long at first and restMost at
	// most. One order without an answer is nothing unusual.
	restAfter = 2
	restFirst = 200 * time.Millisecond
	restMost  = 2 * time.Second
)

// rest leaves an engine alone that answers nothing.
func (t *Table) rest(e *Engine, now time.Time) {
	e.unanswered++
	if n := e.unanswered - restAfter; n >= 0 {
		e.notBefore = now.Add(min(restFirst<<min(n, 4), restMost))
	}
}
