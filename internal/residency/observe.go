package residency

import (
	"maps"
	"slices"
	"time"
)

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

// observe applies one entry of the list.
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

// reconcileResident applies a listed resident.
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
	// An engine that answers has ended the backoff of one that does not.
	e.notBefore = time.Time{}
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
