package consensus

import (
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// progress is what the leader knows of a member's log.
type progress struct {
	match, next uint64
	// probing limits appends to one at a time until the logs are known to match.
	probing, waiting bool
	// matchAtBeat is match at the last heartbeat answer; no growth since then
	// means that an append was lost.
	matchAtBeat uint64
	round       uint64
	answered    bool
	lastAnswer  time.Time

	snapshot *Snapshot
	offset   uint64
	// moved is true when a chunk was answered since the last heartbeat answer.
	moved bool
}

// sentRound dates a heartbeat round at its sending.
type sentRound struct {
	round uint64
	at    time.Time
}

// leaderState exists while the node leads.
type leaderState struct {
	progress map[string]*progress
	// firstIndex is the first entry of the own term.
	firstIndex uint64
	round      uint64
	rounds     []sentRound
	heartbeat  time.Time
	// quorumAt is the date of the last round that a quorum answered, and before
	// the first one the time of the election.
	quorumAt  time.Time
	confirmed bool
	transfer  *transfer
	// leaderSince is when the term of this leader began.
	leaderSince time.Time
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.id
	n.leaderState = leaderState{progress: map[string]*progress{}, quorumAt: n.now, firstIndex: n.log.last() + 1,
		leaderSince: n.now}
	n.syncProgress()
	// The own term's first entry commits what earlier terms left.
	if _, err := n.appendOwn(apiv1.LogEntryType_LOG_ENTRY_TYPE_EMPTY, nil); err != nil {
		panic(err)
	}
	n.beat()
	n.broadcastAppend()
}

func (n *Node) tickLeader() {
	if !n.now.Before(n.quorumAt.Add(n.cfg.ElectionTimeout)) {
		n.becomeFollower(n.term, "")
		return
	}
	if !n.now.Before(n.heartbeat) {
		n.beat()
	}
	n.tickTransfer()
	if n.role == Leader {
		n.promote()
	}
}

// beat sends a heartbeat round.
func (n *Node) beat() {
	n.heartbeat = n.now.Add(n.cfg.HeartbeatInterval)
	n.round++
	n.rounds = append(n.rounds, sentRound{n.round, n.now})
	for _, m := range n.Members().GetMembers() {
		id := m.GetDiskId()
		pr := n.progress[id]
		if id == n.id {
			pr.round = n.round
			continue
		}
		n.sendEarly(&apiv1.LogMessage{
			Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_HEARTBEAT, To: id,
			Round: n.round, Commit: min(n.log.commit, pr.match),
		})
	}
	n.countRounds()
}

// countRounds dates the lease by the last round that a quorum answered.
func (n *Node) countRounds() {
	reached := quorumValue(n.Members(), func(id string) uint64 { return n.progress[id].round })
	i, found := slices.BinarySearchFunc(n.rounds, reached, func(s sentRound, r uint64) int {
		return int(int64(s.round) - int64(r))
	})
	if !found {
		return
	}
	n.quorumAt, n.confirmed = n.rounds[i].at, true
	n.rounds = n.rounds[i:]
}

// Lease returns until when this node leads alone; zero when it holds no lease.
func (n *Node) Lease() time.Time {
	if n.role != Leader || !n.confirmed || n.transfer != nil {
		return time.Time{}
	}
	return n.quorumAt.Add(time.Duration(float64(n.cfg.ElectionTimeout) * LeaseFraction))
}

// Propose appends a command and returns its position.
func (n *Node) Propose(data []byte) (Position, error) {
	if err := n.mayPropose(); err != nil {
		return Position{}, err
	}
	return n.appendOwn(apiv1.LogEntryType_LOG_ENTRY_TYPE_COMMAND, data)
}

// Flush sends the entries proposed since the last call.
func (n *Node) Flush() {
	if n.role == Leader {
		n.broadcastAppend()
	}
}

func (n *Node) mayPropose() error {
	if n.role != Leader || n.transferring() {
		return fault.New(fault.KindNotLeader, "this host does not lead", "send the request to the leader").WithRun(fault.NotRun)
	}
	if n.log.last()-n.log.commit >= n.cfg.MaxUncommitted {
		return fault.New(fault.KindOverloaded, "too many proposals are waiting for a quorum", "retry later").WithRun(fault.NotRun)
	}
	return nil
}

func (n *Node) appendOwn(kind apiv1.LogEntryType, data []byte) (Position, error) {
	pos := Position{Index: n.log.last() + 1, Term: n.term}
	err := n.log.append(&apiv1.LogEntry{Index: pos.Index, Term: pos.Term, Type: kind, Data: data})
	return pos, err
}

// ownSaved counts the leader's own log once it is saved.
func (n *Node) ownSaved() {
	pr := n.progress[n.id]
	if pr == nil {
		n.leaveIfRemoved()
		return
	}
	pr.match = max(pr.match, n.log.stable)
	n.maybeCommit()
}

// leaveIfRemoved steps down once the own removal is committed.
func (n *Node) leaveIfRemoved() {
	c := n.log.current()
	if FindMember(c.set, n.id) == nil && c.index <= n.log.commit {
		n.becomeFollower(n.term, "")
	}
}

// maybeCommit commits what a quorum has saved. Entries of earlier terms are
// committed only below an entry of the own term, because a later leader could
// still replace them otherwise.
func (n *Node) maybeCommit() {
	index := quorumValue(n.Members(), func(id string) uint64 { return n.progress[id].match })
	if t, _ := n.log.term(index); index > n.log.commit && t == n.term {
		n.log.commit = index
		n.leaveIfRemoved()
	}
}

func (n *Node) broadcastAppend() {
	for _, m := range n.Members().GetMembers() {
		if m.GetDiskId() != n.id {
			n.sendAppends(m.GetDiskId())
		}
	}
}

// sendAppends sends what the member lacks, within the bounds.
func (n *Node) sendAppends(id string) {
	pr := n.progress[id]
	for pr.snapshot == nil && !pr.waiting {
		more := pr.next <= n.log.last() && pr.next-pr.match <= n.cfg.MaxInFlight
		if !more && !pr.probing {
			return
		}
		prevTerm, ok := n.log.term(pr.next - 1)
		if !ok || pr.next <= n.log.offset {
			n.startSnapshot(id)
			return
		}
		entries := n.log.slice(pr.next-1, n.log.last(), n.cfg.MaxMessageBytes)
		n.sendEarly(&apiv1.LogMessage{
			Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND, To: id,
			LogIndex: pr.next - 1, LogTerm: prevTerm, Entries: entries, Commit: n.log.commit,
		})
		if pr.probing {
			pr.waiting = true
			return
		}
		pr.next += uint64(len(entries))
	}
}

func (n *Node) handleFromFollower(m *apiv1.LogMessage) {
	pr := n.progress[m.GetFrom()]
	if n.role != Leader || pr == nil {
		return
	}
	pr.answered, pr.lastAnswer = true, n.now
	switch m.GetType() {
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND_RESPONSE:
		n.handleAppendResponse(pr, m)
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_HEARTBEAT_RESPONSE:
		n.handleHeartbeatResponse(pr, m)
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_SNAPSHOT_RESPONSE:
		n.handleSnapshotResponse(pr, m)
	}
}

func (n *Node) handleAppendResponse(pr *progress, m *apiv1.LogMessage) {
	if m.GetReject() {
		if m.GetLogIndex() <= pr.match || pr.snapshot != nil {
			return
		}
		pr.next = max(pr.match+1, min(m.GetLogIndex(), m.GetHint()+1))
		pr.probing, pr.waiting = true, false
		n.sendAppends(m.GetFrom())
		return
	}
	// A position beyond the own log is no answer to what this leader sent.
	if m.GetLogIndex() > n.log.last() {
		return
	}
	pr.match = max(pr.match, m.GetLogIndex())
	if pr.snapshot != nil && pr.match >= pr.snapshot.Index {
		pr.snapshot = nil
		pr.next = pr.match + 1
	}
	if pr.probing {
		pr.next = pr.match + 1
	}
	pr.next = max(pr.next, pr.match+1)
	pr.probing, pr.waiting = false, false
	n.maybeCommit()
	if n.role == Leader {
		n.sendAppends(m.GetFrom())
	}
}

func (n *Node) handleHeartbeatResponse(pr *progress, m *apiv1.LogMessage) {
	if m.GetRound() <= n.round {
		pr.round = max(pr.round, m.GetRound())
	}
	n.countRounds()
	if pr.snapshot != nil {
		if !pr.moved {
			n.sendChunk(m.GetFrom(), pr)
		}
		pr.moved = false
		return
	}
	if pr.match < n.log.last() && pr.match == pr.matchAtBeat {
		pr.next, pr.probing = pr.match+1, true
		pr.waiting = false
	}
	pr.matchAtBeat = pr.match
	n.sendAppends(m.GetFrom())
}
