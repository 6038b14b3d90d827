package storage

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

func open(t testing.TB, dir string, opts Options) *Store {
	t.Helper()
	s, err := Open(dir, opts)
	must.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func entries(from, to, term uint64) []*apiv1.LogEntry {
	var out []*apiv1.LogEntry
	for i := from; i <= to; i++ {
		out = append(out, &apiv1.LogEntry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return out
}

// describe lists the saved entries by index and term, followed by the term and
// the snapshot, for example "3:1 4:1 5:2 term 2 snapshot 1".
func describe(saved consensus.Saved) string {
	text := ""
	for _, e := range saved.Entries {
		text += fmt.Sprintf("%d:%d ", e.GetIndex(), e.GetTerm())
		if want := fmt.Sprintf("entry %d of term %d", e.GetIndex(), e.GetTerm()); string(e.GetData()) != want {
			return "wrong data at " + text
		}
	}
	return fmt.Sprintf("%sterm %d snapshot %d", text, saved.HardState.Term, saved.Snapshot.Index)
}

var testMembers = &apiv1.MemberSet{Members: []*apiv1.Member{{Host: "a", DiskId: "1", Voter: true}}}

func snapshotAt(index uint64) *consensus.Snapshot {
	return &consensus.Snapshot{Index: index, Term: 1, Members: testMembers, Data: []byte("state")}
}

// Saved state that changes over a restart would break commitments to the other
// members, such as votes and acknowledged entries.
func TestSavedStateSurvivesReopen(t *testing.T) {
	for name, c := range map[string]struct {
		update Update
		want   string
	}{
		"hard state": {Update{HardState: &consensus.HardState{Term: 7, Vote: "x"}}, "1:1 2:1 3:1 4:1 term 7 snapshot 1"},
		"append":     {Update{Entries: entries(5, 6, 2)}, "1:1 2:1 3:1 4:1 5:2 6:2 term 1 snapshot 1"},
		"overwrite":  {Update{Entries: entries(3, 3, 2)}, "1:1 2:1 3:2 term 1 snapshot 1"},
		"compact":    {Update{Snapshot: snapshotAt(4), KeepFrom: 3}, "3:1 4:1 term 1 snapshot 4"},
		"install":    {Update{Snapshot: snapshotAt(9), Reset: true, Entries: entries(10, 10, 3)}, "10:3 term 1 snapshot 9"},
	} {
		dir := t.TempDir()
		s := open(t, dir, Options{})
		must.NoError(t, s.Save(Update{HardState: &consensus.HardState{Term: 1}, Snapshot: snapshotAt(1), Entries: entries(1, 4, 1),
			FirstMembers: testMembers, Peers: map[string]consensus.Run{"p": {Boot: 3, Nonce: 4, Saves: 5}}}))
		must.NoError(t, s.Save(c.update))
		id, saves := s.Identity(), s.Saves()
		must.NoError(t, s.Close())

		s = open(t, dir, Options{})
		saved, first, peers := s.Load()
		must.Eq(t, c.want, describe(saved), must.Sprint(name))
		must.True(t, proto.Equal(testMembers, first) && proto.Equal(testMembers, saved.Snapshot.Members))
		must.Eq(t, "state", string(saved.Snapshot.Data))
		must.Eq(t, map[string]consensus.Run{"p": {Boot: 3, Nonce: 4, Saves: 5}}, peers)
		must.Eq(t, id.DiskID, s.Identity().DiskID)
		must.Eq(t, []consensus.Run{{Boot: 1, Nonce: id.Nonce, Saves: saves}}, s.Identity().EarlierRuns)
		must.Eq(t, 2, s.Identity().Boot)
	}
}

// A damaged file must result in a typed error or a complete earlier state, never
// in other data or a crash. An earlier state misses a save, which peers detect.
func TestDamagedFile(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, Options{})
	must.NoError(t, s.Save(Update{HardState: &consensus.HardState{Term: 1}, Snapshot: snapshotAt(1)}))
	valid := map[string]bool{}
	var seen consensus.Run
	for i := uint64(2); i <= 300; i++ {
		must.NoError(t, s.Save(Update{Entries: entries(i, i, 1)}))
		valid[describe(consensus.Saved{HardState: consensus.HardState{Term: 1}, Snapshot: snapshotAt(1), Entries: entries(2, i, 1)})] = true
		seen = consensus.Run{Boot: 1, Nonce: s.Identity().Nonce, Saves: s.Saves()}
	}
	must.NoError(t, s.Close())
	intact, err := os.ReadFile(filepath.Join(dir, FileName))
	must.NoError(t, err)

	const seed = 1
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	refused, earlier := 0, 0
	for i := range 400 {
		data := append([]byte(nil), intact...)
		page := rng.IntN(len(data)/4096) * 4096
		switch {
		case i < 4:
			// A torn write of a header page.
			page = i / 2 * 4096
			data = append(data[:page+16+i%2*40], append(make([]byte, 64), data[page+80+i%2*40:]...)...)
		case i%3 == 0:
			data = data[:page+rng.IntN(4096)]
		case i%3 == 1:
			clear(data[page+rng.IntN(4096) : page+4096])
		default:
			data[rng.IntN(len(data))] ^= byte(1 + rng.IntN(255))
		}
		damagedDir := t.TempDir()
		must.NoError(t, os.WriteFile(filepath.Join(damagedDir, FileName), data, 0o600))
		s, err := Open(damagedDir, Options{NoSync: true})
		if err != nil {
			must.True(t, fault.Is(err, fault.KindStorageDamaged) || fault.Is(err, fault.KindStorageVersion), must.Sprintf("case %d: %v", i, err))
			refused++
			continue
		}
		id := s.Identity()
		saved, _, _ := s.Load()
		must.NoError(t, s.Close())
		if len(id.EarlierRuns) == 0 {
			// A file truncated to nothing counts as new and gets another identity.
			must.NotEq(t, seen.Boot+1, id.Boot)
			continue
		}
		must.True(t, valid[describe(saved)], must.Sprintf("case %d: %s", i, describe(saved)))
		if describe(saved) != describe(consensus.Saved{HardState: consensus.HardState{Term: 1}, Snapshot: snapshotAt(1), Entries: entries(2, 300, 1)}) {
			earlier++
			must.False(t, consensus.Continues(consensus.Run{Boot: id.Boot, Nonce: id.Nonce}, id.EarlierRuns, seen), must.Sprintf("case %d", i))
		}
	}
	t.Logf("%d refused, %d with an earlier state", refused, earlier)
	must.Positive(t, refused)
	must.Positive(t, earlier)
}

// A full disk must lose no acknowledged save, and no later save may succeed on a
// file whose state is unknown.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, Options{MaxSize: 1 << 18})
	must.NoError(t, s.Save(Update{HardState: &consensus.HardState{Term: 1}, Snapshot: snapshotAt(1)}))
	last := uint64(1)
	var err error
	for i := uint64(2); i < 100_000 && err == nil; i += 50 {
		if err = s.Save(Update{Entries: entries(i, i+49, 1)}); err == nil {
			last = i + 49
		}
	}
	must.True(t, fault.Is(err, fault.KindUnavailable))
	must.StrContains(t, err.Error(), "the disk is full")
	must.Error(t, s.Save(Update{HardState: &consensus.HardState{Term: 2}}))
	must.NoError(t, s.Close())
	saved, _, _ := open(t, dir, Options{}).Load()
	must.Len(t, int(last-1), saved.Entries)
	must.Eq(t, 1, saved.HardState.Term)
}

// A release that reads a newer format could misread votes and entries.
func TestNewerFormatIsRefused(t *testing.T) {
	dir := t.TempDir()
	must.NoError(t, open(t, dir, Options{}).Close())
	db, err := bbolt.Open(filepath.Join(dir, FileName), 0o600, nil)
	must.NoError(t, err)
	must.NoError(t, db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(keyVersion, encodeUint64(FormatVersion+1)) }))
	must.NoError(t, db.Close())
	_, err = Open(dir, Options{})
	must.True(t, fault.Is(err, fault.KindStorageVersion))
}

// A host that is far behind replaces its whole log by the leader's snapshot. With
// entries on several pages of the file the save never returned: in a bucket
// whose pages have all been emptied, bbolt's Cursor.Last loops forever.
func TestResetOfLongLog(t *testing.T) {
	for name, update := range map[string]Update{
		"reset":   {Snapshot: snapshotAt(1_000), Reset: true},
		"compact": {Snapshot: snapshotAt(1_000), KeepFrom: 2_000},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s := open(t, dir, Options{NoSync: true})
			must.NoError(t, s.Save(Update{HardState: &consensus.HardState{Term: 1}, Snapshot: snapshotAt(1)}))
			must.NoError(t, s.Save(Update{Entries: entries(2, 900, 1)}))
			saved := make(chan error, 1)
			go func() { saved <- s.Save(update) }()
			select {
			case err := <-saved:
				must.NoError(t, err)
			case <-time.After(10 * time.Second):
				t.Fatal("the save does not return")
			}
			must.NoError(t, s.Save(Update{Entries: entries(1_001, 1_005, 1)}))
			must.NoError(t, s.Close())
			got, _, _ := open(t, dir, Options{}).Load()
			must.Eq(t, 1_000, got.Snapshot.Index)
			must.Len(t, 5, got.Entries)
		})
	}
}
