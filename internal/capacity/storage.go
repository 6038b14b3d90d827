package capacity

import (
	"fmt"
	"os"
	"path/filepath"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
)

func logEntry(index uint64, command *apiv1.Command) *apiv1.LogEntry {
	return &apiv1.LogEntry{Index: index, Term: 1, Data: encode(command)}
}

// newStore opens a new data folder and saves the snapshot that every member starts
// from.
func (b *bench) newStore(name string, opts storage.Options) (*storage.Store, error) {
	s, err := storage.Open(filepath.Join(b.dir, name), opts)
	if err != nil {
		return nil, err
	}
	return s, s.Save(storage.Update{
		HardState: &consensus.HardState{Term: 1},
		Snapshot:  &consensus.Snapshot{Index: 1, Term: 1, Members: &apiv1.MemberSet{Members: []*apiv1.Member{{Host: "c", DiskId: s.Identity().DiskID, Voter: true}}}},
	})
}

func storeFileSize(dir string) float64 {
	info, err := os.Stat(filepath.Join(dir, storage.FileName))
	if err != nil {
		return 0
	}
	return float64(info.Size())
}

// measureStorage measures synced saves by the number of changes in one save, and
// the growth of the data folder.
func (b *bench) measureStorage() error {
	s, err := b.newStore("commits", storage.Options{})
	if err != nil {
		return err
	}
	defer s.Close()
	next := uint64(2)
	var saveErr error
	save := func(n int) {
		var u storage.Update
		for range n {
			u.Entries = append(u.Entries, logEntry(next, changeCommand(next, 28_000, 4)))
			next++
		}
		if err := s.Save(u); err != nil {
			saveErr = err
		}
	}
	sizes := []int{1, 8, 32, 128}
	b.sweep("commit.cpu", "synced save, processor time", "changes in it", "s", sizes, func(n int) float64 {
		return b.cpuPerOp(20, func(int) { save(n) })
	})
	b.sweep("commit.time", "synced save, elapsed time", "changes in it", "s", sizes, func(n int) float64 {
		return b.elapsedPerOp(20, func(int) { save(n) })
	})
	if saveErr != nil {
		return saveErr
	}
	return b.measureGrowth()
}

// measureGrowth saves changes one by one and reads the size of the file. File syncs
// are disabled, since the content does not depend on them.
func (b *bench) measureGrowth() error {
	var saveErr error
	b.sweep("data.bytes", "data folder before compaction", "changes", "bytes", b.sizes(8000), func(n int) float64 {
		name := fmt.Sprint("growth-", n)
		s, err := b.newStore(name, storage.Options{NoSync: true})
		if err != nil {
			saveErr = err
			return 0
		}
		defer s.Close()
		for i := range n {
			if err := s.Save(storage.Update{Entries: []*apiv1.LogEntry{logEntry(uint64(i+2), changeCommand(uint64(i+2), 28_000, 4))}}); err != nil {
				saveErr = err
			}
		}
		return storeFileSize(filepath.Join(b.dir, name))
	})
	return saveErr
}
