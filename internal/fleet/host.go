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

// host is one entry host as its last report described it.
type host struct {
	name        string
	incarnation uint64
	address     string
	domain      string
	leaving     bool
	// drain is true once an operator has asked this process to leave.
	drain        bool
	lastHeard    time.Time
	configRev    uint64
	fleetTerm    uint64
	fleetVersion uint64
	inFlight     map[slotKey]uint32
	// waits holds the adapter versions for which the host has waiting requests.
	waits         map[Ref]bool
	waitingFor    []string
	loadsSentUpTo uint64
}

func (h *host) status(now time.Time) *apiv1.HostStatus {
	silent := now.Sub(h.lastHeard)
	return &apiv1.HostStatus{
		Host:           h.name,
		Address:        h.address,
		FailureDomain:  h.domain,
		Incarnation:    h.incarnation,
		ConfigRevision: h.configRev,
		LastHeardMs:    uint32(silent.Milliseconds()),
		Live:           silent <= LiveBound,
		Leaving:        h.leaving,
		WaitingFor:     h.waitingFor,
	}
}

// Report takes in a host's heartbeat and returns what changed for it. The
// caller fills in what other tables own: suspects and quarantined fingerprints.
func (t *Table) Report(req *apiv1.ReportRequest, now time.Time) *apiv1.ReportResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.touchHost(req, now)
	t.updateInFlight(h, req, now)
	t.updateDemand(h, req, now)
	return t.answer(h, req, now)
}

func (t *Table) touchHost(req *apiv1.ReportRequest, now time.Time) *host {
	h, ok := t.hosts[req.GetHost()]
	if ok && h.incarnation != req.GetIncarnation() {
		t.forgetHost(h)
		ok = false
	}
	if !ok {
		h = &host{name: req.GetHost(), incarnation: req.GetIncarnation()}
		t.hosts[h.name] = h
	}
	h.address = req.GetAddress()
	h.domain = req.GetFailureDomain()
	h.leaving = req.GetLeaving()
	h.lastHeard = now
	h.configRev = req.GetConfigRevision()
	h.fleetTerm = req.GetFleetTerm()
	h.fleetVersion = req.GetFleetVersion()
	h.waitingFor = req.GetWaitingFor()
	return h
}

// forgetHost drops a host together with its part of the sums.
func (t *Table) forgetHost(h *host) {
	t.dropInFlight(h)
	for ref := range h.waits {
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
			e.used(key.ref, now)
		}
	}
}

// answer returns the engines that changed since the host's version, or all of
// them when the host's version is of another term.
func (t *Table) answer(h *host, req *apiv1.ReportRequest, now time.Time) *apiv1.ReportResponse {
	known := req.GetFleetVersion()
	full := req.GetFleetTerm() != t.term || known > t.version || known == 0
	resp := &apiv1.ReportResponse{
		Term:         t.term,
		FleetVersion: t.version,
		Full:         full,
		Drain:        h.drain,
	}
	for _, name := range slices.Sorted(maps.Keys(t.engines)) {
		e := t.engines[name]
		switch {
		case full || e.slotVersion > known:
			resp.Engines = append(resp.Engines, e.status(now, true))
		case e.loadVersion > h.loadsSentUpTo:
			resp.Engines = append(resp.Engines, e.status(now, false))
		}
	}
	h.loadsSentUpTo = t.loadVersion
	return resp
}

// quiet tells whether no live host may have a request running on the slot,
// given the fleet version from which on hosts start none there.
func (t *Table) quiet(key slotKey, since uint64, now time.Time) bool {
	return t.blocker(key, since, now) == ""
}

// blocker names a host that may still run a request on the slot.
func (t *Table) blocker(key slotKey, since uint64, now time.Time) string {
	for _, name := range slices.Sorted(maps.Keys(t.hosts)) {
		h := t.hosts[name]
		if now.Sub(h.lastHeard) > SilenceBound {
			continue
		}
		confirmed := h.fleetTerm == t.term && h.fleetVersion >= since
		if !confirmed || h.inFlight[key] > 0 {
			return name
		}
	}
	return ""
}
