package consensus

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// timeToLeader stops all hosts at once, restarts all but the given number of
// them one after the other, and returns the time from the last start to the
// election of a leader.
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

// After a loss of all hosts there was no leader for one and a half election
// timeouts, although no lease could still be valid. The wait is still required
// where a lease outlives its process, and where a missing host may still lead.
func TestRestartOfAllHosts(t *testing.T) {
	must.LessEq(t, electionTimeout/2, timeToLeader(t, true, 0))
	must.GreaterEq(t, electionTimeout/2, timeToLeader(t, false, 0))
	must.GreaterEq(t, electionTimeout/2, timeToLeader(t, true, 1))
}

// The wait after a restart must last until all other members have restarted, and
// a message from a leader of this run must start a new one.
func TestWaitAfterRestart(t *testing.T) {
	w := newWorld(1, 3, t.Fatalf)
	h := w.hosts[0]
	must.True(t, h.node.refusesVote(false))
	h.node.PeerRestarted(w.clock(h), w.hosts[1].disk.id)
	must.True(t, h.node.refusesVote(false), must.Sprint("a member may still lead"))
	h.node.PeerRestarted(w.clock(h), w.hosts[2].disk.id)
	must.False(t, h.node.refusesVote(false))
	h.node.recordLeaderContact(w.clock(h))
	must.True(t, h.node.refusesVote(false), must.Sprint("the wait for a leader of this run must stay"))
}
