package capacity

import (
	"path/filepath"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/storage"
)

// Restart is the restart of a control host after a number of changes.
type Restart struct {
	Changes  uint64
	FileSize float64
	// Open is the time to check and read the data folder. Lead is the time until
	// the host leads alone: opening, restoring the snapshot, the election timeout
	// and the replay of the log.
	Open, Lead time.Duration
}

// measureRestart makes changes on one voter and restarts it on the way. Syncs
// are left out while the changes are made; a restart reads and syncs no less
// for it.
func (b *bench) measureRestart() error {
	steps, adapters := []uint64{500, 5000, 50_000}, 500
	if b.quick {
		steps, adapters = []uint64{5, 10, 20}, 30
	}
	dir := filepath.Join(b.dir, "restart")
	for i, step := range steps {
		if err := b.changesTo(dir, step, adapters, i == 0); err != nil {
			return err
		}
		got, err := b.restart(dir)
		if err != nil {
			return err
		}
		got.Changes = step
		b.report.Restart = append(b.report.Restart, got)
	}
	return nil
}

// changesTo brings the data folder to the revision.
func (b *bench) changesTo(dir string, revision uint64, adapters int, first bool) error {
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

func (b *bench) restart(dir string) (Restart, error) {
	var out Restart
	out.FileSize = fileSize(filepath.Join(dir, "control-0"))
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
	c, err := startVoters(b.ctx, dir, 1, storage.Options{}, b.tick())
	if err != nil {
		return out, err
	}
	out.Lead = time.Since(start)
	return out, c.stop()
}
