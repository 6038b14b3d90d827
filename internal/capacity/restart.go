package capacity

import (
	"path/filepath"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/storage"
)

// Restart holds the times of a control host's restart after a number of changes.
type Restart struct {
	Changes  uint64
	FileSize float64
	// Open is the time to check and read the data folder. Lead is the time until
	// the host is the leader of a group of one: opening the data folder, restoring
	// the snapshot, the election timeout and the replay of the log.
	Open, Lead time.Duration
}

// measureRestart applies changes on one voter and measures a restart after each
// step. File syncs are disabled while the changes are applied; the measured
// restart reads the same data and syncs as usual.
func (b *bench) measureRestart() error {
	steps, adapters := []uint64{500, 5000, 50_000}, 500
	if b.quick {
		steps, adapters = []uint64{5, 10, 20}, 30
	}
	dir := filepath.Join(b.dir, "restart")
	for i, step := range steps {
		if err := b.applyUntil(dir, step, adapters, i == 0); err != nil {
			return err
		}
		got, err := b.restart(dir)
		if err != nil {
			return err
		}
		got.Changes = step
		b.report.Restarts = append(b.report.Restarts, got)
	}
	return nil
}

// applyUntil applies changes in the data folder until it has the revision. If first
// is set, it initializes the cluster before.
func (b *bench) applyUntil(dir string, revision uint64, adapters int, first bool) error {
	c, err := startVoters(b.ctx, dir, 1, storage.Options{NoSync: true}, 5*time.Millisecond)
	if err != nil {
		return err
	}
	if first {
		err = c.initialize(b.ctx, manifest(adapters, 0, 4, 1))
	}
	v := c.list[0]
	for err == nil && v.machine.Config().Revision < revision {
		var got any
		got, err = v.Propose(b.ctx, changeCommand(v.machine.Config().Revision+1, adapters, 4))
		if err == nil {
			mustAccept(got)
		}
	}
	if stopErr := c.stop(); err == nil {
		err = stopErr
	}
	return err
}

// restart measures opening the data folder, and then a start until the voter
// leads.
func (b *bench) restart(dir string) (Restart, error) {
	var out Restart
	out.FileSize = storeFileSize(filepath.Join(dir, "control-0"))
	start := time.Now()
	s, err := storage.Open(filepath.Join(dir, "control-0"), storage.Options{})
	if err != nil {
		return out, err
	}
	out.Open = time.Since(start)
	if err := s.Close(); err != nil {
		return out, err
	}
	start = time.Now()
	c, err := startVoters(b.ctx, dir, 1, storage.Options{}, b.tickInterval())
	if err != nil {
		return out, err
	}
	out.Lead = time.Since(start)
	return out, c.stop()
}
