// Package exchange implements an entry host's side of the coordination RPCs. It keeps
// the host's view of the catalog, the fleet and its rates up to date, and requests
// adapters and tokens from the leader.
//
// Invariants:
//   - The catalog of a view never has a lower revision than that of an earlier view.
//   - A view is immutable and is replaced as a whole.
package exchange

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
	"github.com/jasminesaddle/jasminesaddle/internal/places"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
	"github.com/jasminesaddle/jasminesaddle/internal/serverlimit"
	"github.com/jasminesaddle/jasminesaddle/internal/warmup"
)

// View is an immutable snapshot of what an entry host knows.
type View struct {
	// Catalog is nil until the first one is received.
	Catalog *catalog.Catalog
	// Confirmed is the time at which the request was sent whose response last confirmed
	// the view.
	Confirmed time.Time
	// Servers holds the backend servers by instance, and ByService those of each
	// service sorted by instance.
	Servers   map[string]*Server
	ByService map[string][]*Server
	// Newest holds the newest version of each adapter that has had more than one.
	Newest map[residency.Ref]NewestVersion
	// Quarantined holds the time until which each fingerprint is quarantined, and
	// Suspects the fingerprints that were lately in flight at several crashes.
	Quarantined map[string]time.Time
	Suspects    [][]byte
	// SuspectParts are the fingerprints of parts of prompts on which responses are to be
	// reported. Quarantined holds those of the parts that crash engines too.
	SuspectParts [][]byte
	// Trials are the parts of prompts on trial, by fingerprint.
	Trials map[string]PartTrial
	// Evacuated are the failure domains whose backend servers get nothing new.
	Evacuated map[string]bool
	// Cold are this host's shares of cold backend servers, by instance.
	Cold map[string]warmup.Share
	// Paces are how long work takes at backend servers as multiples of usual, by instance, as far as they tell it.
	Paces map[string]float64
	// Limits are the limits of backend servers in force, with this host's shares, by instance.
	Limits map[string]serverlimit.Limit
	// Brittle holds the servers that are brittle, or were until lately, by instance.
	Brittle map[string]BrittleServer
	// Builds are the recorded builds of the services. BuildsKnown is false while the leader's
	// release does not record them.
	Builds      origin.Builds
	BuildsKnown bool
	// Origins are those of the servers that the leader last sent; servers that this host only found in the
	// platform's list add none.
	Origins map[origin.Origin]bool
	// WantsStreams is true when the leader needs the records of all streams.
	WantsStreams bool
	// Helpers are hosts that serve requests of a host that reaches no backend server, as of HelpersAt.
	Helpers   []Helper
	HelpersAt time.Time
	// BookedServices are the services whose prompts are booked.
	BookedServices []string
	// Hosts is the number of entry hosts.
	Hosts int
	// Term is the leader's term.
	Term uint64
}

// NewestVersion is the newest version of an adapter and the time since which this host
// knows it.
type NewestVersion struct {
	Version uint64
	Since   time.Time
}

// PartTrial is a part of prompts of which only the host whose turn it is may send requests.
type PartTrial struct {
	// SoundSince is the time from which on a response that progressed on the part shows that it is sound.
	SoundSince time.Time
	OurTurn    bool
}

// BrittleServer is what the leader knows of a brittle server, with this host's places.
type BrittleServer struct {
	Fact   places.Fact
	Places int
}

// Helper is an entry host that reaches backend servers.
type Helper struct {
	Host, Address, Domain string
	// Running is the number of requests that it served at its last exchange.
	Running int
}

// Server is one run of a backend server.
type Server struct {
	Instance, Service, Address, Domain string
	// Build is the version of the server's software. Builds have no order.
	Build    string
	Slots    int
	Draining bool
	// ColdUntil is how long the server stays cold by this host's own reading of the list; zero if the leader tells.
	ColdUntil time.Time
	// StartUnixMs is the start of this run in Unix milliseconds, 0 if unknown.
	StartUnixMs int64
	// Residents holds the models and adapters of an engine.
	Residents map[residency.Ref]Resident
	// OthersInFlight and OthersPendingTokens are the requests in flight and the pending tokens
	// of the other hosts.
	OthersInFlight, OthersPendingTokens int
}

// Resident is the version of a model or adapter on an engine and the time from which it
// is usable.
type Resident struct {
	Version uint64
	ReadyAt time.Time
	// untoldUntil is how long a resident is used of which only an Acquire response is known; zero once a change of the
	// fleet has named it.
	untoldUntil time.Time
}

// Age returns the time since the view was confirmed, or the longest duration if it never
// was.
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

// applyFleet applies the changed servers, the removals and the loads of a response. It returns an error, and changes
// nothing, if the view lacks what a change refers to.
func (v *View) applyFleet(resp *apiv1.ExchangeResponse, now time.Time) error {
	servers := map[string]*Server{}
	if !resp.GetFleetFull() {
		maps.Copy(servers, v.Servers)
	}
	changes, err := decodeChanges(resp)
	if err != nil {
		return err
	}
	changed := resp.GetFleetFull()
	for _, c := range changes {
		changed = true
		if err := c.apply(servers, now); err != nil {
			return err
		}
	}
	expireUntold(servers, now)
	loads := map[string]*apiv1.HostLoad{}
	for _, l := range resp.GetLoads() {
		loads[l.GetInstance()] = l
	}
	for instance, s := range servers {
		l := loads[instance]
		if s.OthersInFlight == int(l.GetInFlight()) && s.OthersPendingTokens == int(l.GetPendingTokens()) {
			continue
		}
		next := *s
		next.OthersInFlight, next.OthersPendingTokens = int(l.GetInFlight()), int(l.GetPendingTokens())
		servers[instance] = &next
	}
	v.setServers(servers)
	if changed {
		v.Origins = map[origin.Origin]bool{}
		for _, s := range servers {
			v.Origins[origin.Origin{Service: s.Service, Build: s.Build}] = true
		}
	}
	return nil
}

// fleetChange is a change of the fleet that was told some time ago.
type fleetChange struct {
	*apiv1.FleetChange
	age time.Duration
}

// decodeChanges returns the changes of a response in their order. Leaders of earlier releases send one.
func decodeChanges(resp *apiv1.ExchangeResponse) ([]fleetChange, error) {
	var out []fleetChange
	if len(resp.GetServers())+len(resp.GetRemoved()) > 0 {
		out = append(out, fleetChange{FleetChange: &apiv1.FleetChange{Servers: resp.GetServers(), Removed: resp.GetRemoved()}})
	}
	for _, m := range resp.GetFleetChanges() {
		c := fleetChange{&apiv1.FleetChange{}, time.Duration(m.GetAgeMs()) * time.Millisecond}
		if err := proto.Unmarshal(m.GetChange(), c.FleetChange); err != nil {
			return nil, fault.Wrap(err, fault.KindInvalidMessage, "a change of the fleet cannot be read", "ask for the whole fleet")
		}
		out = append(out, c)
	}
	return out, nil
}

// apply applies the change to the servers.
func (c fleetChange) apply(servers map[string]*Server, now time.Time) error {
	for _, m := range c.GetServers() {
		if !m.GetPartial() {
			servers[m.GetInstance()] = decodeServer(m, now.Add(-c.age))
			continue
		}
		old := servers[m.GetInstance()]
		if old == nil {
			return fault.Newf(fault.KindInvalidMessage, "ask for the whole fleet", "a change of unknown server %s", m.GetInstance())
		}
		servers[m.GetInstance()] = old.withChange(m, now.Add(-c.age))
	}
	for _, instance := range c.GetRemoved() {
		delete(servers, instance)
	}
	return nil
}

// withChange returns the server with the residents that changed.
func (s *Server) withChange(m *apiv1.FleetServer, at time.Time) *Server {
	next := *s
	next.Residents = maps.Clone(s.Residents)
	for _, r := range m.GetHeld() {
		next.Residents[decodeRef(r)] = decodeResident(r, at)
	}
	for _, r := range m.GetGone() {
		delete(next.Residents, decodeRef(r))
	}
	return &next
}

// expireUntold removes the residents that an Acquire response named and of which the leader has told no host since. It
// may have dropped them before it told anybody.
func expireUntold(servers map[string]*Server, now time.Time) {
	expired := func(_ residency.Ref, r Resident) bool { return !r.untoldUntil.IsZero() && now.After(r.untoldUntil) }
	for instance, s := range servers {
		for ref, r := range s.Residents {
			if !expired(ref, r) {
				continue
			}
			next := *s
			next.Residents = maps.Clone(s.Residents)
			maps.DeleteFunc(next.Residents, expired)
			servers[instance] = &next
			break
		}
	}
}

func decodeRef(m *apiv1.HeldAdapter) residency.Ref {
	return residency.Ref{Model: m.GetModel(), Adapter: m.GetAdapter()}
}

// decodeResident decodes a resident that was told at a time.
func decodeResident(m *apiv1.HeldAdapter, at time.Time) Resident {
	return Resident{Version: m.GetVersion(), ReadyAt: at.Add(time.Duration(m.GetReadyInMs()) * time.Millisecond)}
}

// decodeServer decodes a server that was told at a time.
func decodeServer(server *apiv1.FleetServer, at time.Time) *Server {
	s := &Server{
		Instance: server.GetInstance(), Service: server.GetService(), Address: server.GetAddress(),
		Domain: server.GetFailureDomain(), Slots: int(server.GetSlots()), Draining: server.GetDraining(), Build: server.GetBuild(),
		StartUnixMs: server.GetStartUnixMs(), Residents: map[residency.Ref]Resident{},
	}
	for _, r := range server.GetHeld() {
		s.Residents[decodeRef(r)] = decodeResident(r, at)
	}
	return s
}

// applyList applies the platform's list while there is no leader. It adds, removes and
// drains servers; the residents of known engines stay as they are.
func (v *View) applyList(list []residency.ListedEngine, now time.Time) {
	servers := map[string]*Server{}
	known := func(l residency.ListedEngine) bool {
		s := v.Servers[l.Instance]
		return s != nil && s.Address == l.Address && s.Service == l.Service
	}
	for _, l := range residency.DistinctInstances(list, known) {
		old := v.Servers[l.Instance]
		if old != nil && old.Address == l.Address && old.Service == l.Service {
			next := *old
			// Within one start, a server does not stop leaving; hosts may know of it before the list does.
			next.Draining = l.Draining || old.Draining && !startedSince(l, old)
			next.Build, next.StartUnixMs = l.Build, max(old.StartUnixMs, l.StartUnixMs)
			next.ColdUntil = coldUntil(l, now)
			servers[l.Instance] = &next
			continue
		}
		s := &Server{
			Instance: l.Instance, Service: l.Service, Address: l.Address, Domain: l.Domain,
			Build: l.Build, Slots: l.Slots, Draining: l.Draining, StartUnixMs: l.StartUnixMs, Residents: map[residency.Ref]Resident{},
			ColdUntil: coldUntil(l, now),
		}
		for _, c := range l.Residents {
			s.Residents[c.Ref] = Resident{Version: c.Version, ReadyAt: now}
		}
		servers[l.Instance] = s
	}
	v.setServers(servers)
}

// coldUntil returns when a listed server is warm, or the zero time if it is.
func coldUntil(l residency.ListedEngine, now time.Time) time.Time {
	if l.ColdFor <= 0 {
		return time.Time{}
	}
	return now.Add(l.ColdFor)
}

// startedSince reports whether the listed server is a later start than the known one.
func startedSince(l residency.ListedEngine, old *Server) bool {
	return old.StartUnixMs != 0 && l.StartUnixMs > old.StartUnixMs
}

// withResident returns a view in which the engine has the resident of an Acquire response.
func (v *View) withResident(instance string, ref residency.Ref, r Resident) *View {
	old := v.Servers[instance]
	if old == nil {
		return v
	}
	next, s := v.clone(), *old
	if told, ok := old.Residents[ref]; ok && told.untoldUntil.IsZero() {
		r.untoldUntil = time.Time{}
	}
	s.Residents = maps.Clone(old.Residents)
	s.Residents[ref] = r
	servers := maps.Clone(v.Servers)
	servers[instance] = &s
	next.setServers(servers)
	return next
}
