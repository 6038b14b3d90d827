package group

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
	"github.com/jasminesaddle/jasminesaddle/internal/state"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
)

// network is a set of control hosts that exchange messages in memory.
type network struct {
	t     *testing.T
	root  string
	seeds []string

	mu       sync.Mutex
	hosts    map[string]*controlHost
	isolated map[string]bool
}

type controlHost struct {
	*Group
	stop context.CancelFunc
	done chan struct{}
}

func (n *network) reachable(address string) *controlHost {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[address] {
		return nil
	}
	return n.hosts[address]
}

// transport connects one host to the others.
type transport struct {
	n    *network
	from string
}

func (l transport) Send(to *apiv1.Member, req *apiv1.StepRequest) {
	go func() {
		time.Sleep(time.Millisecond)
		if h := l.n.reachable(to.GetAddress()); h != nil && l.n.reachable(l.from) != nil {
			_ = h.Step(context.Background(), req)
		}
	}()
}

func (l transport) Join(_ context.Context, address string, req *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	time.Sleep(time.Millisecond)
	h := l.n.reachable(address)
	if h == nil || l.n.reachable(l.from) == nil {
		return nil, errors.New("unreachable")
	}
	return h.Group.Join(req), nil
}

func newNetwork(t *testing.T) *network {
	return &network{
		t: t, root: t.TempDir(), hosts: map[string]*controlHost{}, isolated: map[string]bool{}, seeds: []string{"a", "b", "c"},
	}
}

func (n *network) start(address string, first bool) {
	ctx, stop := context.WithCancel(context.Background())
	l := transport{n, address}
	h := &controlHost{stop: stop, done: make(chan struct{})}
	h.Group = New(Options{
		Cluster: "x", Self: &apiv1.Member{Host: address, Address: address}, Seeds: n.seeds, FirstStart: first,
		DataDir: filepath.Join(n.root, address), MaxLostHosts: 2, NewMachine: func() replica.Machine { return state.New() },
		Transport: l, Joiner: l, Logger: zerolog.Nop(), Now: time.Now,
	})
	n.mu.Lock()
	n.hosts[address] = h
	n.mu.Unlock()
	go func() {
		defer close(h.done)
		_ = h.Run(ctx)
	}()
}

func (n *network) kill(address string) {
	n.mu.Lock()
	h := n.hosts[address]
	delete(n.hosts, address)
	n.mu.Unlock()
	h.stop()
	<-h.done
}

func (n *network) wipe(address string) {
	must.NoError(n.t, os.RemoveAll(filepath.Join(n.root, address)))
}

// leader waits for a leader whose members are exactly the given number of voters.
func (n *network) leader(voters int) *controlHost {
	n.t.Helper()
	for range 300 {
		n.mu.Lock()
		hosts := maps.Clone(n.hosts)
		n.mu.Unlock()
		for _, address := range slices.Sorted(maps.Keys(hosts)) {
			h := hosts[address]
			if n.reachable(address) == nil || !h.Lease().Held {
				continue
			}
			have := 0
			for _, m := range h.Status().Members {
				if m.GetVoter() {
					have++
				}
			}
			if have == voters && len(h.Status().Members) == voters {
				return h
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	n.t.Fatalf("no leader with %d voters", voters)
	return nil
}

func (n *network) put(h *controlHost, revision uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := h.Propose(ctx, &apiv1.Command{Command: &apiv1.Command_PutDocument{
		PutDocument: &apiv1.PutDocument{Revision: revision, Content: []byte(fmt.Sprint(revision))}}})
	return err
}

func (n *network) mustHaveRevision(h *controlHost, revision uint64) {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	must.NoError(n.t, h.Barrier(ctx))
	must.Eq(n.t, revision, h.Machine().(*state.Machine).Document().GetRevision())
}

// withFiveHosts runs a test on five control hosts, three of which are seeds.
func withFiveHosts(t *testing.T, test func(n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		for _, address := range []string{"d", "b", "e", "a", "c"} {
			n.start(address, true)
			time.Sleep(50 * time.Millisecond)
		}
		test(n)
		for address := range maps.Clone(n.hosts) {
			n.kill(address)
		}
		time.Sleep(time.Second) // lets messages in transit be delivered
	})
}

// Five hosts that are told of three seeds only must form one group of all five
// without an operator.
func TestForms(t *testing.T) {
	withFiveHosts(t, func(n *network) {
		h := n.leader(5)
		must.NoError(n.t, n.put(h, 1))
		n.mustHaveRevision(h, 1)
	})
}

// Hosts that lose their disks must not vote under their old identities and must
// rejoin under new ones, and acknowledged changes must be retained. The same holds
// for a second loss after the repair.
func TestTwoDisksLostTwice(t *testing.T) {
	withFiveHosts(t, func(n *network) {
		revision := uint64(1)
		for _, lost := range [][]string{{"a", "d"}, {"b", "c"}} {
			h := n.leader(5)
			must.NoError(n.t, n.put(h, revision))
			for _, address := range lost {
				n.kill(address)
				n.wipe(address)
			}
			for _, address := range lost {
				n.start(address, false)
			}
			n.mustHaveRevision(n.leader(5), revision)
			time.Sleep(4 * time.Second)
			revision++
		}
	})
}

// A host that never returns must be replaced by a host at another address.
func TestReplaced(t *testing.T) {
	withFiveHosts(t, func(n *network) {
		must.NoError(n.t, n.put(n.leader(5), 3))
		n.kill("b")
		time.Sleep(time.Second)
		n.start("f", false)
		time.Sleep(4 * time.Second)
		h := n.leader(5)
		n.mustHaveRevision(h, 3)
		for _, m := range h.Status().Members {
			must.NotEq(n.t, "b", m.GetAddress())
		}
		n.kill("c")
		n.kill("d")
		n.mustHaveRevision(n.leader(5), 3)
	})
}

// If all hosts stop and start again at once, no acknowledged change may be lost, and
// the group must not form a second time.
func TestAllRestart(t *testing.T) {
	withFiveHosts(t, func(n *network) {
		must.NoError(n.t, n.put(n.leader(5), 9))
		for _, address := range []string{"a", "b", "c", "d", "e"} {
			n.kill(address)
		}
		for _, address := range []string{"e", "c", "a", "d", "b"} {
			n.start(address, false)
		}
		n.mustHaveRevision(n.leader(5), 9)
	})
}

// Seeds that return with empty disks while the other hosts are unreachable must not
// form a new group.
func TestEmptySeedsDoNotForm(t *testing.T) {
	withFiveHosts(t, func(n *network) {
		must.NoError(n.t, n.put(n.leader(5), 2))
		for _, address := range []string{"a", "b", "c", "d", "e"} {
			n.kill(address)
		}
		for _, address := range []string{"a", "b", "c"} {
			n.wipe(address)
			n.start(address, false)
		}
		time.Sleep(10 * time.Second)
		var stages []string
		for _, address := range []string{"a", "b", "c"} {
			stages = append(stages, n.reachable(address).Status().Stage)
		}
		must.Eq(n.t, []string{"joining", "joining", "joining"}, stages)
	})
}

// A failed disk must not stop the host permanently: the host continues from the
// stored data once the disk can be written again, and empties a damaged data folder.
func TestDiskFails(t *testing.T) {
	withFiveHosts(t, func(n *network) {
		must.NoError(n.t, n.put(n.leader(5), 4))
		n.kill("d")
		dir := filepath.Join(n.root, "d")
		must.NoError(n.t, os.Rename(dir, dir+".away"))
		must.NoError(n.t, os.WriteFile(dir, nil, 0o600))
		n.start("d", false)
		time.Sleep(2 * time.Second)
		must.Eq(n.t, "disk_failed", n.reachable("d").Status().Stage)
		must.NoError(n.t, os.Remove(dir))
		must.NoError(n.t, os.Rename(dir+".away", dir))
		time.Sleep(2 * time.Second)
		must.Eq(n.t, "running", n.reachable("d").Status().Stage)

		n.kill("d")
		must.NoError(n.t, os.WriteFile(filepath.Join(dir, storage.FileName), []byte("damaged, and longer than a header"), 0o600))
		n.start("d", false)
		time.Sleep(4 * time.Second)
		n.mustHaveRevision(n.leader(5), 4)
		must.Eq(n.t, "running", n.reachable("d").Status().Stage)
	})
}
