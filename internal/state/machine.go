// Package state implements the replicated state machine: the configuration with its
// numbered changes, the records of non-repeatable calls, the quarantined
// fingerprints, the catalog, the holders of engines, the builds of services, the routes
// that were changed lately and the evacuated failure domains. It is deterministic: time
// comes only from the commands, and no result depends on the order of a map.
package state

import (
	"sync"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/calls"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/manifest"
)

// Machine applies the commands of the replicated log. One goroutine calls Apply,
// Snapshot and Restore; the other methods are safe for concurrent use.
type Machine struct {
	mu      sync.RWMutex
	applied uint64
	// clockUnixMs is the latest time of a command. It never decreases, so that the
	// call records stay in the order of their times when the leader changes.
	clockUnixMs int64
	config      *config.Snapshot
	index       *manifest.Index
	history     history
	calls       *calls.Table
	quarantines quarantines
	documents   documents
	holders     holders
	builds      builds
	former      formerRoutes
	evacuations evacuations
	changed     chan struct{}
}

// New returns a machine with the state before the first command.
func New() *Machine {
	empty := config.Empty("")
	return &Machine{
		config:      empty,
		index:       manifest.NewIndex(empty),
		calls:       calls.New(),
		quarantines: quarantines{},
		documents:   newDocuments(),
		holders:     newHolders(),
		builds:      newBuilds(),
		evacuations: evacuations{},
		changed:     make(chan struct{}),
	}
}

// Apply applies the command at a log index and returns its result: an
// *apiv1.ApplyResponse, *apiv1.BeginCallResponse, *apiv1.FinishCallResponse,
// *apiv1.PutResult or nil. The machine retains parts of the command, which the
// caller must not modify.
func (m *Machine) Apply(index uint64, cmd *apiv1.Command) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	m.clockUnixMs = max(m.clockUnixMs, cmd.GetUnixMs())
	switch c := cmd.GetCommand().(type) {
	case *apiv1.Command_Initialize:
		m.initialize(c.Initialize)
	case *apiv1.Command_Change:
		return m.applyChange(c.Change)
	case *apiv1.Command_BeginCall:
		return m.calls.Begin(c.BeginCall, m.clockUnixMs)
	case *apiv1.Command_FinishCall:
		return m.calls.Finish(c.FinishCall)
	case *apiv1.Command_ExpireCalls:
		// The time of this command applies, not the latest one: a leader whose
		// clock was ahead must not shorten the retention of later records.
		m.calls.Expire(c.ExpireCalls.GetBeforeUnixMs(), cmd.GetUnixMs())
		m.quarantines.expire(cmd.GetUnixMs())
	case *apiv1.Command_PutQuarantine:
		m.quarantines.put(c.PutQuarantine, cmd.GetUnixMs())
	case *apiv1.Command_PutDocument:
		if m.documents.current == nil {
			m.former.revision = c.PutDocument.GetRevision() // the first catalog changes no route
		}
		return m.documents.put(c.PutDocument)
	case *apiv1.Command_PutAdapterVersion:
		return m.documents.putVersion(c.PutAdapterVersion)
	case *apiv1.Command_PutHolders:
		m.holders.put(c.PutHolders)
	case *apiv1.Command_PutBuilds:
		m.builds.put(c.PutBuilds)
	case *apiv1.Command_PutFormerRoutes:
		m.former.put(c.PutFormerRoutes, cmd.GetUnixMs())
	case *apiv1.Command_PutEvacuation:
		return m.evacuations.put(c.PutEvacuation, cmd.GetUnixMs())
	}
	return nil
}

// initialize sets the name of the cluster once. Later commands have no effect.
func (m *Machine) initialize(i *apiv1.Initialize) {
	if m.config.Cluster != "" || m.config.Revision != 0 {
		return
	}
	m.config = config.Empty(i.GetCluster())
	m.notify()
}

// notify wakes all readers that wait for a change of the configuration.
func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Config returns the configuration in force.
func (m *Machine) Config() *config.Snapshot {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.config
}

// Changed returns a channel that is closed at the next change of the configuration.
// A reader must get the channel before it reads the configuration.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// ChangesSince returns the changes after the revision, the oldest first, or false
// if some of them are not retained or the revision is not reached yet.
func (m *Machine) ChangesSince(revision uint64) ([]*apiv1.Change, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.since(revision)
}

// History returns at most limit changes, starting at the number, the oldest first.
// Changes whose ops are no longer retained have only their number, digest, time and
// author.
func (m *Machine) History(from uint64, limit int) []*apiv1.Change {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.list(from, limit)
}

// CallCount returns the number of call records.
func (m *Machine) CallCount() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.calls.Len()
}

// Quarantined returns the quarantines that are active at the time, sorted by
// fingerprint.
func (m *Machine) Quarantined(nowUnixMs int64) []*apiv1.PutQuarantine {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.quarantines.active(nowUnixMs)
}
