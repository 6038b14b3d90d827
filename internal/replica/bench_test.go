package replica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
)

// startForBench starts voters with real disks and clocks and returns the leader.
func startForBench(b *testing.B, voters int) (*testCluster, *host) {
	c := newTestCluster(b, nil)
	var names []string
	for i := range voters {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	for _, n := range names {
		c.start(n, names...)
	}
	b.Cleanup(c.stopAll)
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, h := range c.running {
			if h.Lease().Held {
				return c, h
			}
		}
	}
	b.Fatal("no leader within 30 s")
	return nil, nil
}

// BenchmarkPropose measures the time from a proposal to its result and the rate
// of proposals, with synced saves on all voters.
func BenchmarkPropose(b *testing.B) {
	for _, voters := range []int{1, 3, 5} {
		for _, proposers := range []int{1, 64, 512} {
			b.Run(fmt.Sprintf("voters=%d/proposers=%d", voters, proposers), func(b *testing.B) {
				c, l := startForBench(b, voters)
				cmd := &apiv1.Command{Command: &apiv1.Command_Change{Change: &apiv1.ChangeCommand{Author: string(make([]byte, 300))}}}
				var mu sync.Mutex
				times := hdrhistogram.New(1, 60_000_000, 3)
				work := make(chan struct{}, proposers)
				var wg sync.WaitGroup
				b.ResetTimer()
				for range proposers {
					wg.Go(func() {
						for range work {
							start := time.Now()
							if _, err := l.Propose(context.Background(), cmd); err != nil {
								b.Error(err)
							}
							mu.Lock()
							_ = times.RecordValue(time.Since(start).Microseconds())
							mu.Unlock()
						}
					})
				}
				for range b.N {
					work <- struct{}{}
				}
				close(work)
				wg.Wait()
				b.StopTimer()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
				b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-µs")
				b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-µs")
				info, err := os.Stat(filepath.Join(c.dirs["h0"], storage.FileName))
				must.NoError(b, err)
				b.ReportMetric(float64(info.Size())/float64(b.N), "file-B/op")
			})
		}
	}
}

// BenchmarkRestart measures opening a data folder that has entries of 300 bytes
// after the snapshot, and creating the node from it.
func BenchmarkRestart(b *testing.B) {
	for _, count := range []uint64{500, 50_000} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			dir := b.TempDir()
			s, err := storage.Open(dir, storage.Options{})
			must.NoError(b, err)
			u := storage.Update{HardState: &consensus.HardState{Term: 1}, Snapshot: &consensus.Snapshot{Index: 1, Term: 1, Members: &apiv1.MemberSet{}}}
			for i := range count {
				u.Entries = append(u.Entries, &apiv1.LogEntry{Index: i + 2, Term: 1, Type: apiv1.LogEntryType_LOG_ENTRY_TYPE_COMMAND, Data: make([]byte, 300)})
				if len(u.Entries) == 100 {
					must.NoError(b, s.Save(u))
					u = storage.Update{}
				}
			}
			must.NoError(b, s.Close())
			b.ResetTimer()
			for range b.N {
				s, err := storage.Open(dir, storage.Options{})
				must.NoError(b, err)
				saved, _, _ := s.Load()
				_, err = consensus.New(consensus.Config{ID: s.Identity().DiskID}, saved, time.Now())
				must.NoError(b, err)
				must.Len(b, int(count), saved.Entries)
				must.NoError(b, s.Close())
			}
			b.StopTimer()
			info, err := os.Stat(filepath.Join(dir, storage.FileName))
			must.NoError(b, err)
			b.ReportMetric(float64(info.Size())/float64(count), "file-B/entry")
		})
	}
}

// BenchmarkGrowth measures the size of the data folder after many saves with the
// default snapshot settings.
func BenchmarkGrowth(b *testing.B) {
	dir := b.TempDir()
	s, err := storage.Open(dir, storage.Options{})
	must.NoError(b, err)
	defer s.Close()
	const snapshotEvery, trailing = 10_000, 2_000
	for i := uint64(2); b.Loop(); i++ {
		u := storage.Update{Entries: []*apiv1.LogEntry{{Index: i, Term: 1, Data: make([]byte, 300)}}}
		if i%snapshotEvery == 0 {
			u.Snapshot, u.KeepFrom = &consensus.Snapshot{Index: i, Term: 1, Members: &apiv1.MemberSet{}, Data: make([]byte, 1<<20)}, i-trailing
		}
		must.NoError(b, s.Save(u))
	}
	info, err := os.Stat(filepath.Join(dir, storage.FileName))
	must.NoError(b, err)
	b.ReportMetric(float64(info.Size())/(1<<20), "file-MiB")
}
