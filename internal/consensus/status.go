package consensus

import "time"

// Status describes the state of a node.
type Status struct {
	Role                                 Role
	Term                                 uint64
	Leader                               string
	Last, Commit, Applied, SnapshotIndex uint64
	// FirstIndex is the index of the first entry of the leader's term, on a leader.
	FirstIndex uint64
	// Match is the index up to which each member's log is known to match, on a
	// leader.
	Match map[string]uint64
	// SinceResponse is the time since the last response of each other member, on a
	// leader; for a member that never responded, since the leader's term began.
	SinceResponse map[string]time.Duration
}

// Status returns the node's state.
func (n *Node) Status() Status {
	s := Status{
		Role: n.role, Term: n.term, Leader: n.leader, Last: n.log.last(), Commit: n.log.commit,
		Applied: n.log.applied, SnapshotIndex: n.log.snapshot.Index, FirstIndex: n.firstIndex,
	}
	if n.role == Leader {
		s.Match, s.SinceResponse = map[string]uint64{}, map[string]time.Duration{}
		for id, pr := range n.progress {
			s.Match[id] = pr.match
			if id != n.id {
				s.SinceResponse[id] = n.now.Sub(n.lastContact(pr))
			}
		}
	}
	return s
}

// RoleTermLeader returns the parts of Status that are available without allocation.
func (n *Node) RoleTermLeader() (role Role, term uint64, leader string) {
	return n.role, n.term, n.leader
}

// lastContact returns the time of the last response of a member, or the start of
// the leader's term when there was none.
func (n *Node) lastContact(pr *progress) time.Time {
	if pr.responded {
		return pr.lastResponse
	}
	return n.leaderSince
}
