package consensus

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// A voter that restarts refuses votes for one election timeout, because a lease
// may count on an answer that an earlier run of it gave. Such a lease belongs to
// the process that got the answer. Once every other member runs a process that no
// earlier run of this voter has heard of, that process is gone. Where leases end
// with their process, the wait ends then. After a loss of all hosts this saves
// most of the time without a leader.

// PeerRestarted notes that a member runs a process that has heard of this run,
// and of which no earlier run on this disk had heard.
func (n *Node) PeerRestarted(now time.Time, disk string) {
	n.setNow(now)
	n.restarted[disk] = true
	if !n.cfg.LeaseEndsWithProcess || !n.now.Before(n.startedAt) || !n.allRestarted() {
		return
	}
	n.startedAt = n.now
	if n.role == Follower && n.leader == "" {
		n.electSoon()
	}
}

// allRestarted looks at each member set of the log: a leader may have lost its
// place in the newest one while its lease lasts.
func (n *Node) allRestarted() bool {
	for _, m := range n.log.members {
		if !n.haveRestarted(m.set) {
			return false
		}
	}
	return len(n.log.members) > 0
}

func (n *Node) haveRestarted(set *apiv1.MemberSet) bool {
	for _, m := range set.GetMembers() {
		if m.GetDiskId() != n.id && !n.restarted[m.GetDiskId()] {
			return false
		}
	}
	return true
}

// electSoon lets the members stand one after the other within a third of the
// election timeout, so that most often the first one is elected.
func (n *Node) electSoon() {
	e := n.cfg.ElectionTimeout
	n.electionAt = n.now.Add(e/12 + time.Duration(n.rng.Int64N(int64(e/4))))
}
