package state

import (
	"cmp"
	"slices"
	"strings"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// documents holds the catalog in force and the newest versions of adapters. Only a
// higher revision replaces the current one: a duplicated command, or one applied
// after a command with a higher revision, changes nothing and is no error.
type documents struct {
	current  *apiv1.PutDocument
	versions map[adapterKey]*apiv1.PutAdapterVersion
	// epoch increases with each new version, and versionEpochs holds the epoch of
	// each version.
	epoch         uint64
	versionEpochs map[adapterKey]uint64
}

type adapterKey struct{ model, adapter string }

func newDocuments() documents {
	return documents{versions: map[adapterKey]*apiv1.PutAdapterVersion{}, versionEpochs: map[adapterKey]uint64{}}
}

func (d *documents) put(p *apiv1.PutDocument) *apiv1.PutResult {
	if d.current != nil && p.GetRevision() <= d.current.GetRevision() {
		return &apiv1.PutResult{Revision: d.current.GetRevision()}
	}
	d.current = p
	return &apiv1.PutResult{Applied: true, Revision: p.GetRevision()}
}

func (d *documents) putVersion(p *apiv1.PutAdapterVersion) *apiv1.PutResult {
	key := adapterKey{p.GetModel(), p.GetAdapter()}
	if old := d.versions[key]; old != nil && p.GetVersion() <= old.GetVersion() {
		return &apiv1.PutResult{Revision: old.GetVersion()}
	}
	d.versions[key] = p
	d.epoch++
	d.versionEpochs[key] = d.epoch
	return &apiv1.PutResult{Applied: true, Revision: p.GetVersion()}
}

func (d *documents) sortedVersions(since uint64) []*apiv1.PutAdapterVersion {
	var out []*apiv1.PutAdapterVersion
	for key, v := range d.versions {
		if d.versionEpochs[key] > since {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b *apiv1.PutAdapterVersion) int {
		return cmp.Or(strings.Compare(a.GetModel(), b.GetModel()), strings.Compare(a.GetAdapter(), b.GetAdapter()))
	})
	return out
}

// Document returns the catalog in force, or nil before the first one. The caller
// must not modify it.
func (m *Machine) Document() *apiv1.PutDocument {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.documents.current
}

// VersionsSince returns the adapter versions put after the epoch, sorted by name,
// and the current epoch. Epochs are valid for one run of the machine only; for an
// epoch beyond the current one it returns all versions.
func (m *Machine) VersionsSince(epoch uint64) ([]*apiv1.PutAdapterVersion, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if epoch > m.documents.epoch {
		epoch = 0
	}
	return m.documents.sortedVersions(epoch), m.documents.epoch
}
