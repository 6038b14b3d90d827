package replica

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stall makes each save of a host take the time.
func (f *fleet) stall(h *host, d time.Duration) { f.stalls[h.self.GetHost()].Store(int64(d)) }

// leases counts the hosts that hold a lease now.
func (f *fleet) leases() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, h := range f.up {
		if h.Lease().Held {
			n++
		}
	}
	return n
}

// A leader whose disk hangs must lose its lease, must not acknowledge what it has
// not saved, and must give way to another host; afterwards it must follow.
func TestLeaderWithHangingDisk(t *testing.T) {
	within(t, nil, func(t *testing.T, f *fleet) {
		l := f.leader()
		f.propose(l, "before")
		f.stall(l, 12*time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, err := l.Propose(ctx, command("hanging"))
		must.Error(t, err, must.Sprint("a change was acknowledged that two disks may lack"))
		var next *host
		f.await("another leader", func() bool {
			must.LessEq(t, 1, f.leases())
			for _, h := range f.up {
				if h != l && h.Lease().Held {
					next = h
				}
			}
			return next != nil
		})
		must.False(t, l.Lease().Held)
		f.propose(next, "after")
		f.stall(l, 0)
		f.await("all commands on the old leader", func() bool { return l.machine.count() == next.machine.count() })
		must.LessEq(t, 1, f.leases())
	})
}

// A follower with a hanging disk must not hold up the others, and disks that are
// all slow must not cost the leader its place.
func TestSlowDisks(t *testing.T) {
	within(t, nil, func(t *testing.T, f *fleet) {
		l := f.leader()
		slow := f.follower(l)
		f.stall(slow, 20*time.Second)
		began := time.Now()
		for range 20 {
			f.propose(l, "one of three hangs")
		}
		must.Less(t, 2*time.Second, time.Since(began))
		f.stall(slow, 0)
		f.await("all commands on the slow host", func() bool { return slow.machine.count() == l.machine.count() })

		for _, h := range f.up {
			f.stall(h, 150*time.Millisecond)
		}
		term := l.Lease().Term
		for range 20 {
			f.propose(l, "all slow")
		}
		must.Eq(t, term, l.Lease().Term, must.Sprint("slow disks changed the leader"))
		for _, h := range f.up {
			f.stall(h, 0)
		}
	})
}
