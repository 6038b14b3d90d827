package consensus

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// A restarted voter refuses votes for one election timeout, because a lease may
// rely on a response sent by an earlier run of the voter. Such a lease belongs to
// the process that received the response. That process is gone once every other
// member runs a process that no earlier run of this voter has seen. Where leases
// end with their process, the wait can end then, which avoids most of the time
// without a leader after all hosts fail at once.

// PeerRestarted records that a member runs a process that has seen this run,
// and that no earlier run on this disk had seen. A hello sent before this run
// must not be reported: it does not show that earlier leases have ended.
func (n *Node) PeerRestarted(now time.Time, disk string) {
	n.setNow(now)
	n.restartedPeers[disk] = true
	if !n.cfg.LeaseEndsWithProcess || !n.now.Before(n.restartWaitEnd) || !n.allRestarted() {
		return
	}
	n.restartWaitEnd = n.now
	if n.role == Follower && n.leader == "" {
		n.scheduleEarlyElection()
	}
}

// allRestarted reports whether all other members of every member set in the log
// have restarted. The newest set alone does not suffice: a leader may have been
// removed from it while its lease is still valid.
func (n *Node) allRestarted() bool {
	for _, m := range n.log.members {
		if !n.membersRestarted(m.set) {
			return false
		}
	}
	return len(n.log.members) > 0
}

func (n *Node) membersRestarted(set *apiv1.MemberSet) bool {
	for _, m := range set.GetMembers() {
		if m.GetDiskId() != n.id && !n.restartedPeers[m.GetDiskId()] {
			return false
		}
	}
	return true
}

// scheduleEarlyElection draws a start time within a third of the election
// timeout, so that the members usually campaign one after the other and the
// first one is elected.
func (n *Node) scheduleEarlyElection() {
	e := n.cfg.ElectionTimeout
	n.electionDeadline = n.now.Add(e/12 + time.Duration(n.rng.Int64N(int64(e/4))))
}
