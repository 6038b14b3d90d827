package consensus

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// timeToLeader loses all hosts at once, starts all but the first few again, one
// after the other, and returns the time from the last start to a leader.
func timeToLeader(t *testing.T, endsWithProcess bool, missing int) time.Duration {
	w := newWorld(4, 5, t.Fatalf)
	w.leaseEndsWithProcess = endsWithProcess
	for _, h := range w.hosts {
		w.start(h)
	}
	w.run(5 * time.Second)
	must.NotNil(t, w.leader())
	for _, h := range w.hosts {
		h.node = nil
	}
	w.run(worldStep)
	for _, h := range w.hosts[missing:] {
		w.start(h)
		w.run(2 * worldStep)
	}
	began := w.now
	for w.leader() == nil && w.now-began < 10*time.Second {
		w.step()
	}
	return w.now - began
}

// After a loss of all hosts there was no leader for an election timeout and a
// half, although no lease was left to wait for. The wait must stay where a lease
// outlives its process, and where a host may still lead.
func TestRestartOfAllHosts(t *testing.T) {
	must.LessEq(t, electionTimeout/2, timeToLeader(t, true, 0))
	must.GreaterEq(t, electionTimeout/2, timeToLeader(t, false, 0))
	must.GreaterEq(t, electionTimeout/2, timeToLeader(t, true, 1))
}

// A hello that was sent before this run says nothing of leases, and neither does
// a part of the members.
func TestWaitAfterRestart(t *testing.T) {
	w := newWorld(1, 3, t.Fatalf)
	h := w.hosts[0]
	must.True(t, h.node.refusesVote(false))
	h.node.PeerRestarted(w.clock(h), w.hosts[1].disk.id)
	must.True(t, h.node.refusesVote(false), must.Sprint("a member may still lead"))
	h.node.PeerRestarted(w.clock(h), w.hosts[2].disk.id)
	must.False(t, h.node.refusesVote(false))
	h.node.heardLeader(w.clock(h))
	must.True(t, h.node.refusesVote(false), must.Sprint("the wait for a leader of this run must stay"))
}
