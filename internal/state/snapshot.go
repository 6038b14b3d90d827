package state

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/calls"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/manifest"
)

// snapshotFormat is the version of the encoding. It is increased when an older
// release could not read the state correctly.
const snapshotFormat = 2

// Snapshot returns the encoded state. Entities, changes and records are never
// modified in place, so only the lists are copied under the lock.
func (m *Machine) Snapshot() ([]byte, error) {
	s, cfg := m.capture()
	s.Config, s.ConfigDigest = cfg.Manifest(), cfg.Digest().Bytes()
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInternal, "the state cannot be encoded", "report this as a defect")
	}
	return encoded, nil
}

func (m *Machine) capture() (*apiv1.StateSnapshot, *config.Snapshot) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return &apiv1.StateSnapshot{
		Format:       snapshotFormat,
		AppliedIndex: m.applied,
		Revision:     m.config.Revision,
		Changes:      slices.Clone(m.history.changes),
		Receipts:     slices.Clone(m.history.receipts),
		Calls:        m.calls.Snapshot(),
		Quarantines:  m.quarantines.sorted(),
		ClockUnixMs:  m.clockUnixMs,

		Document:        m.documents.current,
		AdapterVersions: m.documents.sortedVersions(0),
		EngineHolders:   m.holders.sorted(),
		LastFence:       m.holders.lastFence,
		Builds:          m.builds.sorted(),
		FormerRoutes:    m.former.list,
		RoutesRevision:  m.former.revision,
		RoutesGapUnixMs: m.former.gapUnixMs,
		Evacuations:     m.evacuations.sorted(),
	}, m.config
}

// Restore replaces the state with an encoded one. On an error the state is not
// changed.
func (m *Machine) Restore(data []byte) error {
	s := &apiv1.StateSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return fault.Wrap(err, fault.KindStorageDamaged, "the snapshot cannot be decoded", damagedRemedy)
	}
	if s.GetFormat() > snapshotFormat {
		return fault.Newf(fault.KindStorageVersion, "run a newer release",
			"the snapshot has format %d; this release reads up to %d", s.GetFormat(), snapshotFormat)
	}
	if s.GetFormat() == 0 {
		return damaged("format", "the snapshot has no format")
	}
	next, err := decode(s)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied, m.clockUnixMs = s.GetAppliedIndex(), s.GetClockUnixMs()
	m.config, m.index, m.history = next.config, next.index, next.history
	m.calls, m.quarantines = next.calls, next.quarantines
	m.documents, m.holders, m.builds, m.former = next.documents, next.holders, next.builds, next.former
	m.evacuations = next.evacuations
	m.notify()
	return nil
}

const damagedRemedy = "fetch the snapshot from another control host"

func damaged(field, message string) error {
	return fault.New(fault.KindStorageDamaged, message, damagedRemedy).At(field)
}

// decode creates a machine from a snapshot. It does not repeat the checks of the
// manifest, because a release with stricter checks must still accept the
// configuration in force.
func decode(s *apiv1.StateSnapshot) (*Machine, error) {
	cfg := config.FromManifest(s.GetConfig(), s.GetRevision())
	if !bytes.Equal(cfg.Digest().Bytes(), s.GetConfigDigest()) {
		return nil, damaged("config", "the configuration does not match its digest")
	}
	h, err := decodeHistory(s)
	if err != nil {
		return nil, err
	}
	table, err := calls.Restore(s.GetCalls())
	if err != nil {
		return nil, err
	}
	quarantined := quarantines{}
	for _, p := range s.GetQuarantines() {
		if len(p.GetFingerprint()) != sha256.Size {
			return nil, damaged("quarantines", "a fingerprint has the wrong length")
		}
		quarantined[string(p.GetFingerprint())] = p
	}
	docs := newDocuments()
	if s.GetDocument() != nil {
		docs.put(s.GetDocument())
	}
	for _, v := range s.GetAdapterVersions() {
		docs.putVersion(v)
	}
	engineHolders := newHolders()
	engineHolders.lastFence = s.GetLastFence()
	for _, h := range s.GetEngineHolders() {
		engineHolders.byInstance[h.GetInstance()] = h
	}
	serviceBuilds := newBuilds()
	serviceBuilds.put(&apiv1.PutBuilds{Added: s.GetBuilds()})
	evacuated := evacuations{}
	for _, e := range s.GetEvacuations() {
		evacuated[e.GetFailureDomain()] = e
	}
	return &Machine{
		evacuations: evacuated,
		holders:     engineHolders, builds: serviceBuilds,
		former: formerRoutes{revision: s.GetRoutesRevision(), gapUnixMs: s.GetRoutesGapUnixMs(), list: s.GetFormerRoutes()},
		config: cfg, index: manifest.NewIndex(cfg), history: h, calls: table, quarantines: quarantined, documents: docs,
	}, nil
}

// decodeHistory returns the history of a snapshot and an error unless the numbers
// are contiguous up to the revision.
func decodeHistory(s *apiv1.StateSnapshot) (history, error) {
	h := history{receipts: s.GetReceipts(), changes: s.GetChanges()}
	expected := h.oldest()
	for _, r := range h.receipts {
		if r.GetNumber() != expected {
			return h, damaged("receipts", "the numbers of the changes are not contiguous")
		}
		expected++
	}
	for _, c := range h.changes {
		if c.GetNumber() != expected {
			return h, damaged("changes", "the numbers of the changes are not contiguous")
		}
		expected++
		h.bytes += proto.Size(c)
	}
	if h.last() != s.GetRevision() {
		return h, damaged("revision", "the history does not end at the revision")
	}
	return h, nil
}
