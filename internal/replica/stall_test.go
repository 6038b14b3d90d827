package replica

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stallSaves makes each save of a host take d.
func (c *testCluster) stallSaves(h *host, d time.Duration) {
	c.stalls[h.self.GetHost()].Store(int64(d))
}

// heldLeases returns the number of hosts that hold a lease.
func (c *testCluster) heldLeases() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, h := range c.running {
		if h.Lease().Held {
			n++
		}
	}
	return n
}

// A leader whose disk hangs must lose its lease, must not acknowledge an unsaved
// command, and must be replaced by another leader. Once its disk works again it must
// follow the new leader.
func TestLeaderWithHangingDisk(t *testing.T) {
	withThreeHosts(t, nil, func(t *testing.T, c *testCluster) {
		l := c.leader()
		c.propose(l, "before")
		c.stallSaves(l, 12*time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, err := l.Propose(ctx, command("hanging"))
		must.Error(t, err, must.Sprint("a change was acknowledged that two of three disks may lack"))
		var next *host
		c.await("another leader", func() bool {
			must.LessEq(t, 1, c.heldLeases())
			for _, h := range c.running {
				if h != l && h.Lease().Held {
					next = h
				}
			}
			return next != nil
		})
		must.False(t, l.Lease().Held)
		c.propose(next, "after")
		c.stallSaves(l, 0)
		c.await("all commands on the old leader", func() bool { return l.machine.count() == next.machine.count() })
		must.LessEq(t, 1, c.heldLeases())
	})
}

// A follower with a hanging disk must not delay the other hosts, and slow disks on
// all hosts must not change the leader.
func TestSlowDisks(t *testing.T) {
	withThreeHosts(t, nil, func(t *testing.T, c *testCluster) {
		l := c.leader()
		slow := c.follower(l)
		c.stallSaves(slow, 20*time.Second)
		began := time.Now()
		for range 20 {
			c.propose(l, "one of three hangs")
		}
		must.Less(t, 2*time.Second, time.Since(began))
		c.stallSaves(slow, 0)
		c.await("all commands on the slow host", func() bool { return slow.machine.count() == l.machine.count() })

		for _, h := range c.running {
			c.stallSaves(h, 150*time.Millisecond)
		}
		term := l.Lease().Term
		for range 20 {
			c.propose(l, "all slow")
		}
		must.Eq(t, term, l.Lease().Term, must.Sprint("slow disks changed the leader"))
		for _, h := range c.running {
			c.stallSaves(h, 0)
		}
	})
}
