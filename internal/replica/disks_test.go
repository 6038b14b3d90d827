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

var threeHosts = []string{"a", "b", "c"}

// withThreeHosts runs a test on a fake clock with hosts a, b and c, and stops all
// hosts at the end.
func withThreeHosts(t *testing.T, edit func(*Options), run func(t *testing.T, c *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, edit)
		for _, n := range threeHosts {
			c.start(n, threeHosts...)
		}
		run(t, c)
		c.stopAll()
	})
}

// follower returns a running host other than the given one.
func (c *testCluster) follower(not ...*host) *host {
	for _, n := range append([]string{"d", "e"}, threeHosts...) {
		h := c.running[n]
		if h != nil && h.self.GetHost() == n && (len(not) == 0 || h != not[0]) {
			return h
		}
	}
	return nil
}

func (c *testCluster) readDataFile(name string) []byte {
	c.t.Helper()
	data, err := os.ReadFile(filepath.Join(c.dirs[name], storage.FileName))
	must.NoError(c.t, err)
	return data
}

func (c *testCluster) replace(leader *host, old, name string, first []string) *host {
	c.t.Helper()
	h := c.start(name, first...)
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	must.NoError(c.t, leader.AddMember(ctx, &apiv1.Member{Host: name, Address: name}))
	c.await("the promotion of "+name, func() bool {
		return consensus.FindMember(&apiv1.MemberSet{Members: leader.Status().Members}, h.id.DiskID).GetVoter()
	})
	// The promotion is a separate member change, and only one may be pending.
	c.await("the removal of the old disk", func() bool { return leader.RemoveMember(ctx, old) == nil })
	return h
}

// A host with an emptied disk that votes under its former identity could lose a
// committed command. It must wait until it is replaced under a new identity, and
// must then keep the commands even if a second host is lost right after.
func TestEmptiedDiskJoinsOnlyAsNewMember(t *testing.T) {
	withThreeHosts(t, func(o *Options) { o.SnapshotEntries, o.TrailingEntries, o.MaxMessageBytes = 50, 10, 64 }, func(t *testing.T, c *testCluster) {
		l := c.leader()
		for range 130 {
			c.propose(l, "before")
		}
		lost := c.follower(l)
		name, oldDisk := lost.self.GetHost(), lost.id.DiskID
		c.stop(name)
		c.dirs[name] = ""
		empty := c.start(name, threeHosts...)
		// A hello that was addressed to the lost disk may still arrive.
		must.NoError(t, empty.Step(context.Background(), &apiv1.StepRequest{
			Cluster: "test", FromDiskId: l.id.DiskID, Boot: l.id.Boot, BootNonce: l.id.Nonce,
			Hello: &apiv1.Hello{Sender: l.self, SeenDiskId: oldDisk, Seen: &apiv1.EarlierRun{Boot: 1, BootNonce: 1, Saves: 9}},
		}))
		time.Sleep(20 * time.Second)
		must.Eq(t, "joining", empty.Status().Stage)
		must.StrContains(t, empty.Status().Detail, "add this host as a member")
		c.stop(name)

		again := c.replace(l, oldDisk, name, threeHosts)
		must.Eq(t, 3, len(l.Status().Members))
		for _, n := range threeHosts {
			if h := c.running[n]; h != l && h != again {
				c.stop(n)
			}
		}
		c.propose(c.leader(), "after")
		c.await("all commands on the new disk", func() bool { return again.machine.count() == 131 })
		must.NoError(t, again.Status().check())
	})
}

// check returns an error unless the status is that of a running member with a
// known leader.
func (s Status) check() error {
	if s.Stage != "running" || s.Leader == nil {
		return fault.Newf(fault.KindInternal, "", "stage %s, leader %v", s.Stage, s.Leader)
	}
	return nil
}

// A data folder restored from an earlier copy lacks votes and entries that the host
// has acknowledged, so the host must be refused. The copy is made during the last
// run, which the boot counter alone would not show, or during an earlier run.
func TestRestoredFolderIsRefused(t *testing.T) {
	for _, laterRuns := range []int{0, 2} {
		withThreeHosts(t, nil, func(t *testing.T, c *testCluster) {
			l := c.leader()
			name := c.follower(l).self.GetHost()
			old := c.readDataFile(name)
			for range 20 {
				c.propose(l, "after the copy")
			}
			for range laterRuns {
				c.stop(name)
				c.start(name, threeHosts...)
				time.Sleep(2 * time.Second)
			}
			time.Sleep(2 * time.Second)
			c.stop(name)
			must.NoError(t, os.WriteFile(filepath.Join(c.dirs[name], storage.FileName), old, 0o600))
			for range 4 {
				// A restart by a supervisor must not make the host accepted.
				h := c.start(name, threeHosts...)
				err := c.awaitStopped(h)
				must.True(t, fault.Is(err, fault.KindStorageRolledBack), must.Sprint(err))
				must.NoError(t, h.store.Close())
				must.EqOp(t, l.Lease().Held, true)
			}
			c.mu.Lock()
			delete(c.running, name)
			c.mu.Unlock()
		})
	}
}

// If a first member loses its disk before all have saved the first member set, a
// second set must not be formed beside the first.
func TestDiskLostDuringBootstrap(t *testing.T) {
	for _, emptied := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newTestCluster(t, nil)
			c.blockInbound("b", true)
			for _, n := range threeHosts {
				c.start(n, threeHosts...)
			}
			time.Sleep(20 * time.Second)
			for n, stage := range map[string]string{"a": "confirming", "b": "gathering", "c": "confirming"} {
				must.Eq(t, stage, c.running[n].Status().Stage)
			}
			if emptied {
				c.stop("c")
				c.dirs["c"] = ""
				c.start("c", threeHosts...)
			}
			c.blockInbound("b", false)
			time.Sleep(20 * time.Second)
			// The disk that c lost had saved the set, so a and b may start.
			c.propose(c.leader(), "x")
			must.Eq(t, emptied, c.running["c"].Status().Stage == "joining")
			c.stopAll()
		})
	}
}

// If all other first members were replaced over time, none of them knows the first
// member set. A host with an emptied disk that treats them as new members would save
// another set and could never join.
func TestEmptiedDiskAmongReplacedMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, nil)
		h := c.start("c", threeHosts...)
		for _, n := range []string{"a", "b"} {
			must.NoError(t, h.Step(context.Background(), &apiv1.StepRequest{
				Cluster: "test", FromDiskId: n, Boot: 1, BootNonce: 1,
				Hello: &apiv1.Hello{Sender: &apiv1.Member{Host: n, Address: n, DiskId: n}, Started: true},
			}))
		}
		time.Sleep(5 * time.Second)
		must.Eq(t, "joining", h.Status().Stage)
		c.stopAll()
	})
}

// If an isolated leader still claims its lease or reports a wrong outcome of a
// proposal, the orders of two leaders overlap.
func TestIsolatedLeader(t *testing.T) {
	withThreeHosts(t, nil, func(t *testing.T, c *testCluster) {
		l := c.leader()
		c.isolate(l.self.GetAddress(), true)
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := l.Propose(ctx, command("lost"))
		must.True(t, fault.Is(err, fault.KindOutcomeUnknown))
		must.Less(t, 3*time.Second, time.Since(start))
		must.False(t, l.Lease().Held)
		next := c.leader()
		must.Greater(t, l.Lease().Term, next.Lease().Term)
		c.propose(next, "kept")
		time.Sleep(time.Minute)
		c.isolate(l.self.GetAddress(), false)
		c.await("the same commands everywhere", func() bool {
			return l.machine.count() == 1 && l.machine.names[0] == "kept" && l.Leader().GetHost() == next.self.GetHost()
		})
		must.True(t, next.Lease().Held)
	})
}

// A planned stop of the leader without a transfer would leave the cluster without a
// leader for an election timeout.
func TestTransferLeadership(t *testing.T) {
	withThreeHosts(t, nil, func(t *testing.T, c *testCluster) {
		l := c.leader()
		c.propose(l, "x")
		start := time.Now()
		must.NoError(t, l.TransferLeadership(context.Background()))
		must.NotEq(t, l, c.leader())
		must.Less(t, time.Second+200*time.Millisecond, time.Since(start))
		_, err := l.Propose(context.Background(), command("y"))
		must.True(t, fault.Is(err, fault.KindNotLeader))
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = c.leader().Propose(canceled, command("z"))
		e, ok := fault.As(err)
		must.True(t, ok && e.Run == fault.NotRun)
	})
}

// A replica that continues after a failed save would acknowledge entries that it
// has not stored.
func TestFailedSaveStopsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, nil)
		c.maxSize = 1 << 18
		h := c.start("a", "a")
		c.leader()
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
		must.StrContains(t, c.awaitStopped(h).Error(), "the disk is full")
		must.False(t, h.Lease().Held)
		must.NoError(t, h.store.Close())
		c.maxSize = 0
		h = c.start("a", "a")
		c.propose(c.leader(), "last")
		must.GreaterEq(t, acknowledged+1, h.machine.count())
		c.stopAll()
	})
}
