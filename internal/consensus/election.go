package consensus

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// resetElectionTimer draws the next election timeout, between the minimum and
// twice its value.
func (n *Node) resetElectionTimer() {
	e := n.cfg.ElectionTimeout
	n.electionDeadline = n.now.Add(e + time.Duration(n.rng.Int64N(int64(e))))
}

// refusesVote reports whether vote requests are rejected now, because a leader
// may still hold a lease that relies on this voter. A leadership transfer is
// exempt after the wait that follows a restart: the leader's lease has ended
// before it asks for the transfer.
func (n *Node) refusesVote(transfer bool) bool {
	if n.now.Before(n.restartWaitEnd) {
		return true
	}
	if transfer {
		return false
	}
	if n.role == Leader && n.now.Before(n.leaseStart.Add(n.cfg.ElectionTimeout)) {
		return true
	}
	return n.now.Before(n.refuseUntil)
}

// recordLeaderContact refuses votes for one election timeout from the time of
// the last message from a leader.
func (n *Node) recordLeaderContact(at time.Time) {
	if until := at.Add(n.cfg.ElectionTimeout); until.After(n.refuseUntil) {
		n.refuseUntil = until
	}
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if n.role == Leader {
		// The lease of this leader relies on its own vote too.
		n.recordLeaderContact(n.leaseStart)
		n.leaderState = leaderState{}
		n.resetElectionTimer()
	}
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader, n.votes = Follower, leader, nil
}

// canCampaign reports whether the node is a voter in the committed member set or
// in a later one. A voter whose log contains its own uncommitted removal may be
// the only node that can win an election, and must then lead until the removal
// is committed.
func (n *Node) canCampaign() bool {
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

// preCampaign asks the voters whether they would grant a vote, without entering
// a new term, so that an isolated host does not depose the leader when it
// reconnects.
func (n *Node) preCampaign() {
	n.role, n.leader = PreCandidate, ""
	n.votes = map[string]bool{n.id: true}
	if hasQuorum(n.Members(), n.hasVote) {
		n.campaign(false)
		return
	}
	n.requestVotes(apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE, n.term+1, false)
}

func (n *Node) campaign(transfer bool) {
	n.role, n.leader = Candidate, ""
	n.term++
	n.vote = n.id
	n.votes = map[string]bool{n.id: true}
	n.resetElectionTimer()
	if hasQuorum(n.Members(), n.hasVote) {
		n.becomeLeader()
		return
	}
	n.requestVotes(apiv1.LogMessageType_LOG_MESSAGE_TYPE_VOTE, n.term, transfer)
}

func (n *Node) hasVote(id string) bool { return n.votes[id] }

func (n *Node) requestVotes(kind apiv1.LogMessageType, term uint64, transfer bool) {
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

// isUpToDate reports whether the candidate's log contains every entry of this
// log that may be committed.
func (n *Node) isUpToDate(m *apiv1.LogMessage) bool {
	lastTerm := n.log.lastTerm()
	return m.GetLogTerm() > lastTerm || m.GetLogTerm() == lastTerm && m.GetLogIndex() >= n.log.last()
}

func (n *Node) handlePreVote(m *apiv1.LogMessage) {
	grant := m.GetTerm() > n.term && !n.refusesVote(false) && n.isUpToDate(m)
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
	canVote := n.vote == m.GetFrom() || n.vote == "" && n.leader == ""
	grant := canVote && n.role == Follower && !n.refusesVote(m.GetTransfer()) && n.isUpToDate(m)
	if grant {
		n.vote = m.GetFrom()
		n.resetElectionTimer()
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

// handleTimeoutNow starts an election at the request of the leader, whose lease
// has ended.
func (n *Node) handleTimeoutNow(m *apiv1.LogMessage) {
	if n.role != Follower || n.leader != m.GetFrom() || n.now.Before(n.restartWaitEnd) || !isVoter(n.Members(), n.id) {
		return
	}
	n.campaign(true)
}
