package capacity

import (
	"fmt"
	"os"
	"path/filepath"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
)

func entryOf(index uint64, command *apiv1.Command) *apiv1.LogEntry {
	return &apiv1.LogEntry{Index: index, Term: 1, Data: encode(command)}
}

// store opens a new data folder with the snapshot that every member starts from.
func (b *bench) store(name string, opts storage.Options) (*storage.Store, error) {
	s, err := storage.Open(filepath.Join(b.dir, name), opts)
	if err != nil {
		return nil, err
	}
	return s, s.Save(storage.Update{
		HardState: &consensus.HardState{Term: 1},
		Snapshot:  &consensus.Snapshot{Index: 1, Term: 1, Members: &apiv1.MemberSet{Members: []*apiv1.Member{{Host: "c", DiskId: s.Identity().DiskID, Voter: true}}}},
	})
}

func fileSize(dir string) float64 {
	info, err := os.Stat(filepath.Join(dir, storage.FileName))
	if err != nil {
		return 0
	}
	return float64(info.Size())
}

// measureStorage measures synced saves by the changes that share one, and the
// growth of the data folder.
func (b *bench) measureStorage() error {
	s, err := b.store("commits", storage.Options{})
	if err != nil {
		return err
	}
	defer s.Close()
	next := uint64(2)
	var failed error
	save := func(n int) {
		var u storage.Update
		for range n {
			u.Entries = append(u.Entries, entryOf(next, changeCommand(next, 28_000, 4)))
			next++
		}
		if err := s.Save(u); err != nil {
			failed = err
		}
	}
	sizes := []int{1, 8, 32, 128}
	b.sweep("commit.cpu", "synced save, processor time", "changes in it", "s", sizes, func(n int) float64 {
		return b.perOp(20, func(int) { save(n) })
	})
	b.sweep("commit.time", "synced save, elapsed time", "changes in it", "s", sizes, func(n int) float64 {
		return b.elapsed(20, func(int) { save(n) })
	})
	if failed != nil {
		return failed
	}
	return b.measureGrowth()
}

// measureGrowth saves changes in batches and reads the size of the file. The
// content does not depend on syncs, so that they are left out.
func (b *bench) measureGrowth() error {
	var failed error
	b.sweep("data.bytes", "data folder before compaction", "changes", "bytes", b.sizes(8000), func(n int) float64 {
		name := fmt.Sprint("growth-", n)
		s, err := b.store(name, storage.Options{NoSync: true})
		if err != nil {
			failed = err
			return 0
		}
		defer s.Close()
		for i := range n {
			if err := s.Save(storage.Update{Entries: []*apiv1.LogEntry{entryOf(uint64(i+2), changeCommand(uint64(i+2), 28_000, 4))}}); err != nil {
				failed = err
			}
		}
		return fileSize(filepath.Join(b.dir, name))
	})
	return failed
}
