package consensus

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

func (n *Node) resetElection() {
	e := n.cfg.ElectionTimeout
	n.electionAt = n.now.Add(e + time.Duration(n.rng.Int64N(int64(e))))
}

// refusesVote tells whether votes are refused now: a leader may still hold a
// lease that counts on this voter. A transfer is exempt, because the leader has
// given up its lease before it asked for one.
func (n *Node) refusesVote(transfer bool) bool {
	if n.now.Before(n.startedAt) {
		return true
	}
	if transfer {
		return false
	}
	if n.role == Leader && n.now.Before(n.quorumAt.Add(n.cfg.ElectionTimeout)) {
		return true
	}
	return n.now.Before(n.refuseUntil)
}

// heardLeader starts the time in which votes are refused.
func (n *Node) heardLeader(at time.Time) {
	if until := at.Add(n.cfg.ElectionTimeout); until.After(n.refuseUntil) {
		n.refuseUntil = until
	}
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if n.role == Leader {
		// The lease that this leader had counts on its own vote too.
		n.heardLeader(n.quorumAt)
		n.leaderState = leaderState{}
		n.resetElection()
	}
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader, n.votes = Follower, leader, nil
}

// mayCampaign tells whether the node is a voter in the committed member set or
// in a later one. A voter that holds its own uncommitted removal may have the
// only log that can win, and must then lead until the removal is committed.
func (n *Node) mayCampaign() bool {
	sets := n.log.members
	for i := len(sets) - 1; i >= 0; i-- {
		if isVoter(sets[i].set, n.id) {
			return true
		}
		if sets[i].index <= n.log.commit {
			break
		}
	}
	return false
}

// preCampaign asks whether an election could be won, without entering a new
// term, so that an isolated host does not disturb the others on its return.
func (n *Node) preCampaign() {
	n.role, n.leader = PreCandidate, ""
	n.votes = map[string]bool{n.id: true}
	if hasQuorum(n.Members(), n.hasVote) {
		n.campaign(false)
		return
	}
	n.askVotes(apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE, n.term+1, false)
}

func (n *Node) campaign(transfer bool) {
	n.role, n.leader = Candidate, ""
	n.term++
	n.vote = n.id
	n.votes = map[string]bool{n.id: true}
	n.resetElection()
	if hasQuorum(n.Members(), n.hasVote) {
		n.becomeLeader()
		return
	}
	n.askVotes(apiv1.LogMessageType_LOG_MESSAGE_TYPE_VOTE, n.term, transfer)
}

func (n *Node) hasVote(id string) bool { return n.votes[id] }

func (n *Node) askVotes(kind apiv1.LogMessageType, term uint64, transfer bool) {
	for _, id := range voters(n.Members()) {
		if id == n.id {
			continue
		}
		n.send(&apiv1.LogMessage{
			Type: kind, To: id, Term: term, Transfer: transfer,
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// upToDate tells whether the candidate's log has all that this log has that
// may be committed.
func (n *Node) upToDate(m *apiv1.LogMessage) bool {
	own := n.log.lastTerm()
	return m.GetLogTerm() > own || m.GetLogTerm() == own && m.GetLogIndex() >= n.log.last()
}

func (n *Node) handlePreVote(m *apiv1.LogMessage) {
	grant := m.GetTerm() > n.term && !n.refusesVote(false) && n.upToDate(m)
	resp := &apiv1.LogMessage{
		Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE_RESPONSE,
		To:   m.GetFrom(), Reject: !grant,
	}
	if grant {
		resp.Term = m.GetTerm()
	}
	n.send(resp)
}

func (n *Node) handlePreVoteResponse(m *apiv1.LogMessage) {
	if n.role != PreCandidate || m.GetReject() || m.GetTerm() != n.term+1 {
		return
	}
	n.votes[m.GetFrom()] = true
	if hasQuorum(n.Members(), n.hasVote) {
		n.campaign(false)
	}
}

func (n *Node) handleVote(m *apiv1.LogMessage) {
	free := n.vote == m.GetFrom() || n.vote == "" && n.leader == ""
	grant := free && n.role == Follower && !n.refusesVote(m.GetTransfer()) && n.upToDate(m)
	if grant {
		n.vote = m.GetFrom()
		n.resetElection()
	}
	n.send(&apiv1.LogMessage{
		Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_VOTE_RESPONSE, To: m.GetFrom(), Reject: !grant,
	})
}

func (n *Node) handleVoteResponse(m *apiv1.LogMessage) {
	if n.role != Candidate || m.GetReject() {
		return
	}
	n.votes[m.GetFrom()] = true
	if hasQuorum(n.Members(), n.hasVote) {
		n.becomeLeader()
	}
}

// handleTimeoutNow starts an election at the request of the leader, which has
// given up its lease.
func (n *Node) handleTimeoutNow(m *apiv1.LogMessage) {
	if n.role != Follower || n.leader != m.GetFrom() || n.now.Before(n.startedAt) || !isVoter(n.Members(), n.id) {
		return
	}
	n.campaign(true)
}
