package coordinator

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

const (
	// changeInterval is the minimum time between two changes of the fleet, so that each comprises what happened
	// meanwhile.
	changeInterval = 20 * time.Millisecond
	// changeRetention is how long a change is kept. Hosts that have heard nothing for longer get the whole fleet.
	changeRetention = 3 * time.Second
)

// fleetChanges tells entry hosts of the fleet. Each change is compared and encoded once, whatever the number of hosts.
//
// Invariant: a host that has applied all changes up to an epoch, and then those after it in their order, has what
// was told of each server.
type fleetChanges struct {
	// epoch is the epoch of the table up to which hosts are told.
	epoch   uint64
	told    map[string]*toldServer
	changes []fleetChange
	// oldest is the epoch before the first of the changes.
	oldest uint64
	// whole is the whole fleet as of wholeEpoch.
	whole      fleetChange
	wholeEpoch uint64
	at         time.Time
	// encoded counts the servers that were encoded, a measure of the cost that does not depend on the machine.
	encoded uint64
}

// fleetChange is one change as all hosts get it.
type fleetChange struct {
	epoch uint64
	at    time.Time
	data  []byte
}

// toldServer is what hosts have been told of a server.
type toldServer struct {
	facts     serverFacts
	residents map[residency.Ref]toldResident
}

// serverFacts is what hosts are told of a server besides its residents.
type serverFacts struct {
	service, address, domain, build string
	slots                           int
	draining                        bool
	startUnixMs                     int64
}

// toldResident is what hosts have been told of a resident. The time is zero for one that was usable.
type toldResident struct {
	version uint64
	readyAt time.Time
}

func newFleetChanges() *fleetChanges { return &fleetChanges{told: map[string]*toldServer{}} }

// since returns the changes after a host's epoch; all is true if they are the whole fleet. Epoch 0 stands for a host
// that knows nothing.
func (c *fleetChanges) since(epoch uint64, table *residency.Table, now time.Time) (changes []fleetChange, all bool) {
	c.advance(table, now)
	if epoch == 0 || epoch < c.oldest || epoch > c.epoch {
		return []fleetChange{c.wholeFleet(now)}, true
	}
	first := len(c.changes)
	for first > 0 && c.changes[first-1].epoch > epoch {
		first--
	}
	return c.changes[first:], false
}

// advance adds a change with what the table has changed since the last one.
func (c *fleetChanges) advance(table *residency.Table, now time.Time) {
	if c.epoch == table.Epoch() || !c.at.IsZero() && now.Sub(c.at) < changeInterval {
		return
	}
	m := &apiv1.FleetChange{}
	changed, removed := table.ChangedSince(c.epoch)
	for _, e := range changed {
		if server := c.compare(e, now); server != nil {
			m.Servers = append(m.Servers, server)
		}
	}
	for _, instance := range removed {
		if c.told[instance] != nil {
			delete(c.told, instance)
			m.Removed = append(m.Removed, instance)
		}
	}
	c.epoch, c.at = table.Epoch(), now
	if len(m.GetServers())+len(m.GetRemoved()) > 0 {
		c.changes = append(c.changes, c.encode(m, now))
	}
	c.expire(now)
}

// expire drops the changes that are older than changeRetention.
func (c *fleetChanges) expire(now time.Time) {
	n := 0
	for ; n < len(c.changes) && now.Sub(c.changes[n].at) > changeRetention; n++ {
		c.oldest = c.changes[n].epoch
	}
	c.changes = c.changes[n:]
}

// compare returns what hosts have to be told of a server that changed, nil if there is nothing.
func (c *fleetChanges) compare(e *residency.Engine, now time.Time) *apiv1.FleetServer {
	facts := serverFacts{
		service: e.Service, address: e.Address, domain: e.Domain, build: e.Build, slots: e.Slots, draining: e.Draining, startUnixMs: e.StartUnixMs(),
	}
	residents := map[residency.Ref]toldResident{}
	for _, r := range e.Residents(now) {
		told := toldResident{version: r.Version}
		if r.ReadyIn > 0 {
			told.readyAt = now.Add(r.ReadyIn)
		}
		residents[r.Ref] = told
	}
	old := c.told[e.Instance]
	c.told[e.Instance] = &toldServer{facts, residents}
	if old == nil || old.facts != facts {
		return encodeServer(e, now)
	}
	out := &apiv1.FleetServer{Instance: e.Instance, Partial: true}
	for _, r := range e.Residents(now) {
		if before, ok := old.residents[r.Ref]; !ok || !before.same(residents[r.Ref], now) {
			out.Held = append(out.Held, encodeResident(r))
		}
	}
	for ref := range old.residents {
		if _, ok := residents[ref]; !ok {
			out.Gone = append(out.Gone, &apiv1.HeldAdapter{Model: ref.Model, Adapter: ref.Adapter})
		}
	}
	if len(out.GetHeld())+len(out.GetGone()) == 0 {
		return nil
	}
	return out
}

// same reports whether hosts would learn nothing from the later one.
func (r toldResident) same(later toldResident, now time.Time) bool {
	if !r.readyAt.After(now) {
		r.readyAt = time.Time{}
	}
	return r.version == later.version && r.readyAt.Equal(later.readyAt)
}

// wholeFleet returns all that hosts have been told.
func (c *fleetChanges) wholeFleet(now time.Time) fleetChange {
	if c.wholeEpoch == c.epoch && c.whole.data != nil {
		return c.whole
	}
	m := &apiv1.FleetChange{}
	for instance, s := range c.told {
		m.Servers = append(m.Servers, s.proto(instance, now))
	}
	c.whole, c.wholeEpoch = c.encode(m, now), c.epoch
	return c.whole
}

func (s *toldServer) proto(instance string, now time.Time) *apiv1.FleetServer {
	f := s.facts
	out := &apiv1.FleetServer{
		Instance: instance, Service: f.service, Address: f.address, FailureDomain: f.domain, Slots: uint32(f.slots),
		Draining: f.draining, Build: f.build, StartUnixMs: f.startUnixMs,
	}
	for ref, r := range s.residents {
		readyIn := max(0, r.readyAt.Sub(now))
		out.Held = append(out.Held, encodeResident(residency.ResidentStatus{Resident: residency.Resident{Ref: ref, Version: r.version}, ReadyIn: readyIn}))
	}
	return out
}

// encode encodes a change up to the current epoch.
func (c *fleetChanges) encode(m *apiv1.FleetChange, now time.Time) fleetChange {
	c.encoded += uint64(len(m.GetServers()))
	// Messages of these types always encode: their strings come from decoded ones.
	data, _ := proto.Marshal(m)
	return fleetChange{epoch: c.epoch, at: now, data: data}
}

// addTo adds the changes that a host lacks to a response.
func (c *fleetChanges) addTo(resp *apiv1.ExchangeResponse, epoch uint64, table *residency.Table, now time.Time) {
	changes, all := c.since(epoch, table, now)
	resp.FleetFull, resp.FleetEpoch = all, c.epoch
	for _, change := range changes {
		resp.FleetChanges = append(resp.FleetChanges, &apiv1.EncodedFleetChange{
			AgeMs: uint32(now.Sub(change.at).Milliseconds()), Change: change.data,
		})
	}
}
