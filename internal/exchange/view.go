// Package exchange is an entry host's side of the coordination RPCs: it keeps
// the host's view of the catalog, the fleet and its rates up to date, and asks
// for adapters.
//
// Invariants:
//   - The catalog of a view never has a lower revision than that of an earlier view.
//   - A view is immutable; the next one replaces it as a whole.
package exchange

import (
	"maps"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// View is what an entry host knows at one moment.
type View struct {
	// Catalog is nil before the first one.
	Catalog *catalog.Catalog
	// Confirmed is when the answer was asked for that last confirmed the view.
	Confirmed time.Time
	// Servers holds the backend servers by instance, and ByService those of each
	// service sorted by instance.
	Servers   map[string]*Server
	ByService map[string][]*Server
	// Newest holds the newest version of adapters that have had more than one.
	Newest map[residency.Ref]NewestVersion
	// Quarantined holds until when fingerprints are quarantined, and Suspects
	// those that were in flight at a crash.
	Quarantined map[string]time.Time
	Suspects    map[string]bool
	// Hosts is the number of entry hosts.
	Hosts int
	// Term is the leader's term.
	Term uint64
}

// NewestVersion is the newest version of an adapter and since when this host knows it.
type NewestVersion struct {
	Version uint64
	Since   time.Time
}

// Server is one run of a backend server.
type Server struct {
	Instance, Service, Address, Domain string
	Slots                              int
	Draining                           bool
	// Residents holds the models and adapters of an engine.
	Residents map[residency.Ref]Resident
	// OthersInFlight and OthersPending are what other hosts have in flight.
	OthersInFlight, OthersPending int
}

// Resident is a copy at an engine.
type Resident struct {
	Version uint64
	ReadyAt time.Time
}

// Age returns for how long the view has not been confirmed.
func (v *View) Age(now time.Time) time.Duration {
	if v == nil || v.Confirmed.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(v.Confirmed)
}

func (v *View) clone() *View {
	next := *v
	return &next
}

// setServers replaces the servers and their index.
func (v *View) setServers(servers map[string]*Server) {
	v.Servers = servers
	v.ByService = map[string][]*Server{}
	for _, s := range servers {
		v.ByService[s.Service] = append(v.ByService[s.Service], s)
	}
	for _, list := range v.ByService {
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.Instance, b.Instance) })
	}
}

// applyFleet takes in the rows, removals and loads of an answer.
func (v *View) applyFleet(resp *apiv1.ExchangeResponse, now time.Time) {
	servers := map[string]*Server{}
	if !resp.GetFleetFull() {
		maps.Copy(servers, v.Servers)
	}
	for _, row := range resp.GetServers() {
		servers[row.GetInstance()] = decodeServer(row, now)
	}
	for _, instance := range resp.GetRemoved() {
		delete(servers, instance)
	}
	loads := map[string]*apiv1.HostLoad{}
	for _, l := range resp.GetLoads() {
		loads[l.GetInstance()] = l
	}
	for instance, s := range servers {
		l := loads[instance]
		if s.OthersInFlight == int(l.GetInFlight()) && s.OthersPending == int(l.GetPendingTokens()) {
			continue
		}
		next := *s
		next.OthersInFlight, next.OthersPending = int(l.GetInFlight()), int(l.GetPendingTokens())
		servers[instance] = &next
	}
	v.setServers(servers)
}

func decodeServer(row *apiv1.FleetServer, now time.Time) *Server {
	s := &Server{
		Instance: row.GetInstance(), Service: row.GetService(), Address: row.GetAddress(),
		Domain: row.GetFailureDomain(), Slots: int(row.GetSlots()), Draining: row.GetDraining(),
		Residents: map[residency.Ref]Resident{},
	}
	for _, h := range row.GetHeld() {
		ref := residency.Ref{Model: h.GetModel(), Adapter: h.GetAdapter()}
		s.Residents[ref] = Resident{h.GetVersion(), now.Add(time.Duration(h.GetReadyInMs()) * time.Millisecond)}
	}
	return s
}

// applyList takes in the platform's list while there is no leader. It shows what
// is leaving, gone or new; what engines hold stays as it was known.
func (v *View) applyList(list []residency.ListedEngine, now time.Time) {
	servers := map[string]*Server{}
	for _, l := range list {
		old := v.Servers[l.Instance]
		if old != nil && old.Address == l.Address && old.Service == l.Service {
			next := *old
			next.Draining = l.Draining
			servers[l.Instance] = &next
			continue
		}
		s := &Server{
			Instance: l.Instance, Service: l.Service, Address: l.Address, Domain: l.Domain,
			Slots: l.Slots, Draining: l.Draining, Residents: map[residency.Ref]Resident{},
		}
		for _, c := range l.Held {
			s.Residents[c.Ref] = Resident{c.Version, now}
		}
		servers[l.Instance] = s
	}
	v.setServers(servers)
}

// hold returns a view in which an engine holds a copy.
func (v *View) hold(instance string, ref residency.Ref, h Resident) *View {
	old := v.Servers[instance]
	if old == nil {
		return v
	}
	next, s := v.clone(), *old
	s.Residents = maps.Clone(old.Residents)
	s.Residents[ref] = h
	servers := maps.Clone(v.Servers)
	servers[instance] = &s
	next.setServers(servers)
	return next
}
