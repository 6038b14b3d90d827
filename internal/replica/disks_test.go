package replica

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
)

var abc = []string{"a", "b", "c"}

// within runs a test on a fake clock with hosts a, b and c, and stops all at
// the end.
func within(t *testing.T, edit func(*Options), run func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, edit)
		for _, n := range abc {
			f.start(n, abc...)
		}
		run(t, f)
		f.stopAll()
	})
}

// follower returns a host that runs and is not the given one.
func (f *fleet) follower(not ...*host) *host {
	for _, n := range append([]string{"d", "e"}, abc...) {
		h := f.up[n]
		if h != nil && h.self.GetHost() == n && (len(not) == 0 || h != not[0]) {
			return h
		}
	}
	return nil
}

func (f *fleet) copyFolder(name string) []byte {
	f.t.Helper()
	data, err := os.ReadFile(filepath.Join(f.dirs[name], storage.FileName))
	must.NoError(f.t, err)
	return data
}

func (f *fleet) replace(leader *host, old, name string, first []string) *host {
	f.t.Helper()
	h := f.start(name, first...)
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	must.NoError(f.t, leader.AddMember(ctx, &apiv1.Member{Host: name, Address: name}))
	f.await("the promotion of "+name, func() bool {
		return consensus.FindMember(&apiv1.MemberSet{Members: leader.Status().Members}, h.id.DiskID).GetVoter()
	})
	// The promotion is a change of its own, and only one may be under way.
	f.await("the removal of the old disk", func() bool { return leader.RemoveMember(ctx, old) == nil })
	return h
}

// A host with an emptied disk that votes as before could let a committed
// command be lost. It must wait, and serve again after it was replaced, also
// when a second host is lost right after.
func TestEmptiedDiskJoinsOnlyAsNewMember(t *testing.T) {
	within(t, func(o *Options) { o.SnapshotEntries, o.TrailingEntries, o.MaxMessageBytes = 50, 10, 64 }, func(t *testing.T, f *fleet) {
		l := f.leader()
		for range 130 {
			f.propose(l, "before")
		}
		lost := f.follower(l)
		name, oldDisk := lost.self.GetHost(), lost.id.DiskID
		f.stop(name)
		f.dirs[name] = ""
		empty := f.start(name, abc...)
		// A hello that was sent for the lost disk may still arrive.
		must.NoError(t, empty.Step(context.Background(), &apiv1.StepRequest{
			Cluster: "test", FromDiskId: l.id.DiskID, Boot: l.id.Boot, BootNonce: l.id.Nonce,
			Hello: &apiv1.Hello{Sender: l.self, SeenDiskId: oldDisk, Seen: &apiv1.EarlierRun{Boot: 1, BootNonce: 1, Saves: 9}},
		}))
		time.Sleep(20 * time.Second)
		must.Eq(t, "joining", empty.Status().Stage)
		must.StrContains(t, empty.Status().Detail, "add this host as a member")
		f.stop(name)

		again := f.replace(l, oldDisk, name, abc)
		must.Eq(t, 3, len(l.Status().Members))
		for _, n := range abc {
			if h := f.up[n]; h != l && h != again {
				f.stop(n)
			}
		}
		f.propose(f.leader(), "after")
		f.await("all commands on the new disk", func() bool { return again.machine.count() == 131 })
		must.NoError(t, again.Status().check())
	})
}

// check says what is wrong with a status that a running member should have.
func (s Status) check() error {
	if s.Stage != "running" || s.Leader == nil {
		return fault.Newf(fault.KindInternal, "", "stage %s, leader %v", s.Stage, s.Leader)
	}
	return nil
}

// A data folder that was restored from an earlier copy has forgotten promises.
// The copy is made while the process runs, which the boot counter alone would
// not show, or before a later run.
func TestRestoredFolderIsRefused(t *testing.T) {
	for _, laterRuns := range []int{0, 2} {
		within(t, nil, func(t *testing.T, f *fleet) {
			l := f.leader()
			name := f.follower(l).self.GetHost()
			old := f.copyFolder(name)
			for range 20 {
				f.propose(l, "after the copy")
			}
			for range laterRuns {
				f.stop(name)
				f.start(name, abc...)
				time.Sleep(2 * time.Second)
			}
			time.Sleep(2 * time.Second)
			f.stop(name)
			must.NoError(t, os.WriteFile(filepath.Join(f.dirs[name], storage.FileName), old, 0o600))
			for range 4 {
				// A supervisor starts the process again; that must not help.
				h := f.start(name, abc...)
				err := f.ended(h)
				must.True(t, fault.Is(err, fault.KindStorageRolledBack), must.Sprint(err))
				must.NoError(t, h.store.Close())
				must.EqOp(t, l.Lease().Held, true)
			}
			f.mu.Lock()
			delete(f.up, name)
			f.mu.Unlock()
		})
	}
}

// A first member that loses its disk before all have saved the first member set
// must not let a second set come into being beside the first.
func TestDiskLostDuringBootstrap(t *testing.T) {
	for _, emptied := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, nil)
			f.setDeaf("b", true)
			for _, n := range abc {
				f.start(n, abc...)
			}
			time.Sleep(20 * time.Second)
			for n, stage := range map[string]string{"a": "confirming", "b": "gathering", "c": "confirming"} {
				must.Eq(t, stage, f.up[n].Status().Stage)
			}
			if emptied {
				f.stop("c")
				f.dirs["c"] = ""
				f.start("c", abc...)
			}
			f.setDeaf("b", false)
			time.Sleep(20 * time.Second)
			// The disk that c lost had saved the set, so that a and b may start.
			f.propose(f.leader(), "x")
			must.Eq(t, emptied, f.up["c"].Status().Stage == "joining")
			f.stopAll()
		})
	}
}

// When all other first members were replaced over time, none of them knows the
// first member set. A host with an emptied disk that took them for new ones
// would save a set of its own and could not join any more.
func TestEmptiedDiskAmongReplacedMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, nil)
		h := f.start("c", abc...)
		for _, n := range []string{"a", "b"} {
			must.NoError(t, h.Step(context.Background(), &apiv1.StepRequest{
				Cluster: "test", FromDiskId: n, Boot: 1, BootNonce: 1,
				Hello: &apiv1.Hello{Sender: &apiv1.Member{Host: n, Address: n, DiskId: n}, Started: true},
			}))
		}
		time.Sleep(5 * time.Second)
		must.Eq(t, "joining", h.Status().Stage)
		f.stopAll()
	})
}

// An isolated leader that still claims its lease, or that reports a wrong
// outcome of a proposal, would let orders of two leaders overlap.
func TestIsolatedLeader(t *testing.T) {
	within(t, nil, func(t *testing.T, f *fleet) {
		l := f.leader()
		f.cut(l.self.GetAddress(), true)
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := l.Propose(ctx, command("lost"))
		must.True(t, fault.Is(err, fault.KindOutcomeUnknown))
		must.Less(t, 3*time.Second, time.Since(start))
		must.False(t, l.Lease().Held)
		next := f.leader()
		must.Greater(t, l.Lease().Term, next.Lease().Term)
		f.propose(next, "kept")
		time.Sleep(time.Minute)
		f.cut(l.self.GetAddress(), false)
		f.await("the same commands everywhere", func() bool {
			return l.machine.count() == 1 && l.machine.names[0] == "kept" && l.Leader().GetHost() == next.self.GetHost()
		})
		must.True(t, next.Lease().Held)
	})
}

// A planned stop of the leader without a handover would leave the fleet without
// orders for an election timeout.
func TestTransferLeadership(t *testing.T) {
	within(t, nil, func(t *testing.T, f *fleet) {
		l := f.leader()
		f.propose(l, "x")
		start := time.Now()
		must.NoError(t, l.TransferLeadership(context.Background()))
		must.NotEq(t, l, f.leader())
		must.Less(t, time.Second+200*time.Millisecond, time.Since(start))
		_, err := l.Propose(context.Background(), command("y"))
		must.True(t, fault.Is(err, fault.KindNotLeader))
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = f.leader().Propose(gone, command("z"))
		e, ok := fault.As(err)
		must.True(t, ok && e.Run == fault.NotRun)
	})
}

// A replica that goes on after a failed save would acknowledge what it does not
// hold.
func TestFailedSaveStopsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, nil)
		f.maxSize = 1 << 18
		h := f.start("a", "a")
		f.leader()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var err error
		acknowledged := 0
		for i := 0; err == nil && i < 100_000; i++ {
			if _, err = h.Propose(ctx, command(string(make([]byte, 1000)))); err == nil {
				acknowledged++
			}
		}
		must.True(t, fault.Is(err, fault.KindOutcomeUnknown))
		must.StrContains(t, f.ended(h).Error(), "the disk is full")
		must.False(t, h.Lease().Held)
		must.NoError(t, h.store.Close())
		f.maxSize = 0
		h = f.start("a", "a")
		f.propose(f.leader(), "last")
		must.GreaterEq(t, acknowledged+1, h.machine.count())
		f.stopAll()
	})
}
