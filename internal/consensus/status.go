package consensus

import "time"

// Status describes a node.
type Status struct {
	Role                                 Role
	Term                                 uint64
	Leader                               string
	Last, Commit, Applied, SnapshotIndex uint64
	// FirstIndex is the first entry of the own term on a leader.
	FirstIndex uint64
	// Match holds the position up to which each member's log is known to match,
	// on a leader.
	Match map[string]uint64
	// Silent holds for how long each other member has not answered, on a leader.
	// A member that never answered is silent since the leader's term began.
	Silent map[string]time.Duration
}

// Status returns the node's state.
func (n *Node) Status() Status {
	s := Status{
		Role: n.role, Term: n.term, Leader: n.leader, Last: n.log.last(), Commit: n.log.commit,
		Applied: n.log.applied, SnapshotIndex: n.log.snapshot.Index, FirstIndex: n.firstIndex,
	}
	if n.role == Leader {
		s.Match, s.Silent = map[string]uint64{}, map[string]time.Duration{}
		for id, pr := range n.progress {
			s.Match[id] = pr.match
			if id != n.id {
				s.Silent[id] = n.now.Sub(n.lastAnswer(pr))
			}
		}
	}
	return s
}

// LeaderState returns the parts of Status that cost nothing.
func (n *Node) LeaderState() (role Role, term uint64, leader string) { return n.role, n.term, n.leader }

// lastAnswer dates the last answer of a member, or the start of the term.
func (n *Node) lastAnswer(pr *progress) time.Time {
	if pr.answered {
		return pr.lastAnswer
	}
	return n.leaderSince
}
