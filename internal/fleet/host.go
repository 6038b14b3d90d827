package fleet

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// slotKey names an adapter version on an engine.
type slotKey struct {
	engine string
	ref    Ref
}

// host is the state of one entry host as of its last report.
type host struct {
	name          string
	incarnation   uint64
	address       string
	failureDomain string
	leaving       bool
	// drain is true once an operator has asked this process to leave.
	drain          bool
	lastSeen       time.Time
	configRevision uint64
	fleetTerm      uint64
	fleetVersion   uint64
	inFlight       map[slotKey]uint32
	// waitingRefs holds the adapter versions for which the host has waiting requests.
	waitingRefs     map[Ref]bool
	waitingFor      []string
	sentLoadVersion uint64
}

func (h *host) status(now time.Time) *apiv1.HostStatus {
	silence := now.Sub(h.lastSeen)
	return &apiv1.HostStatus{
		Host:           h.name,
		Address:        h.address,
		FailureDomain:  h.failureDomain,
		Incarnation:    h.incarnation,
		ConfigRevision: h.configRevision,
		LastHeardMs:    uint32(silence.Milliseconds()),
		Live:           silence <= LivenessTimeout,
		Leaving:        h.leaving,
		WaitingFor:     h.waitingFor,
	}
}

// Report applies a host's heartbeat and returns what changed since its last one.
// The caller adds what comes from other tables: suspects and quarantined
// fingerprints.
func (t *Table) Report(req *apiv1.ReportRequest, now time.Time) *apiv1.ReportResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.updateHost(req, now)
	t.updateInFlight(h, req, now)
	t.updateDemand(h, req, now)
	return t.buildResponse(h, req, now)
}

func (t *Table) updateHost(req *apiv1.ReportRequest, now time.Time) *host {
	h, ok := t.hosts[req.GetHost()]
	if ok && h.incarnation != req.GetIncarnation() {
		t.removeHost(h)
		ok = false
	}
	if !ok {
		h = &host{name: req.GetHost(), incarnation: req.GetIncarnation()}
		t.hosts[h.name] = h
	}
	h.address = req.GetAddress()
	h.failureDomain = req.GetFailureDomain()
	h.leaving = req.GetLeaving()
	h.lastSeen = now
	h.configRevision = req.GetConfigRevision()
	h.fleetTerm = req.GetFleetTerm()
	h.fleetVersion = req.GetFleetVersion()
	h.waitingFor = req.GetWaitingFor()
	return h
}

// removeHost drops a host together with its part of the sums.
func (t *Table) removeHost(h *host) {
	t.dropInFlight(h)
	for ref := range h.waitingRefs {
		t.dropWaiting(h.name, ref)
	}
	delete(t.hosts, h.name)
}

func (t *Table) dropInFlight(h *host) {
	for key, n := range h.inFlight {
		if t.inFlight[key] -= n; t.inFlight[key] == 0 {
			delete(t.inFlight, key)
		}
	}
	h.inFlight = nil
}

func (t *Table) updateInFlight(h *host, req *apiv1.ReportRequest, now time.Time) {
	t.dropInFlight(h)
	h.inFlight = make(map[slotKey]uint32, len(req.GetInFlight()))
	for _, f := range req.GetInFlight() {
		key := slotKey{engine: f.GetEngine(), ref: refOf(f.GetRef())}
		h.inFlight[key] += f.GetCount()
		t.inFlight[key] += f.GetCount()
		if e, ok := t.engines[key.engine]; ok {
			e.markUsed(key.ref, now)
		}
	}
}

// buildResponse returns the engines that changed since the host's fleet version,
// or all of them when that version is of another term.
func (t *Table) buildResponse(h *host, req *apiv1.ReportRequest, now time.Time) *apiv1.ReportResponse {
	known := req.GetFleetVersion()
	full := req.GetFleetTerm() != t.term || known > t.version || known == 0
	resp := &apiv1.ReportResponse{
		Term:         t.term,
		FleetVersion: t.version,
		Full:         full,
		Drain:        h.drain,

		EvacuatedDomains: slices.Sorted(maps.Keys(t.evacuated)),
	}
	for _, name := range slices.Sorted(maps.Keys(t.engines)) {
		e := t.engines[name]
		switch {
		case full || e.slotVersion > known:
			resp.Engines = append(resp.Engines, e.status(now, true))
		case e.loadVersion > h.sentLoadVersion:
			resp.Engines = append(resp.Engines, e.status(now, false))
		}
	}
	h.sentLoadVersion = t.loadVersion
	return resp
}

// slotIdle reports whether no host can have a request running on the slot, where
// hosts that have confirmed the fleet version since start none there.
func (t *Table) slotIdle(key slotKey, since uint64, now time.Time) bool {
	return t.blockingHost(key, since, now) == ""
}

// blockingHost returns the name of a host that may still run a request on the
// slot, or "" if there is none.
func (t *Table) blockingHost(key slotKey, since uint64, now time.Time) string {
	for _, name := range slices.Sorted(maps.Keys(t.hosts)) {
		h := t.hosts[name]
		if now.Sub(h.lastSeen) > MaxSilence {
			continue
		}
		confirmed := h.fleetTerm == t.term && h.fleetVersion >= since
		if !confirmed || h.inFlight[key] > 0 {
			return name
		}
	}
	return ""
}
