package consensus

import (
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// progress is the leader's view of a member's log.
type progress struct {
	match, next uint64
	// probing limits appends to one at a time until the logs are known to match;
	// waiting is true while the response to that append is outstanding.
	probing, waiting bool
	// matchAtHeartbeat is match at the last heartbeat response; no growth since
	// then means that an append was lost.
	matchAtHeartbeat uint64
	round            uint64
	responded        bool
	lastResponse     time.Time

	snapshot *Snapshot
	offset   uint64
	// chunkAnswered is true when the follower answered a snapshot chunk since the
	// last heartbeat response.
	chunkAnswered bool
}

// heartbeatRound is a heartbeat round with the time at which it was sent.
type heartbeatRound struct {
	round  uint64
	sentAt time.Time
}

// leaderState is the state of a leader; it is reset when the node steps down.
type leaderState struct {
	progress map[string]*progress
	// firstIndex is the index of the first entry of the leader's term.
	firstIndex    uint64
	round         uint64
	rounds        []heartbeatRound
	nextHeartbeat time.Time
	// leaseStart is the send time of the last heartbeat round that a quorum
	// answered, and the time of the election before any round was answered.
	leaseStart time.Time
	// leaseConfirmed is true once a quorum has answered a round of this term.
	leaseConfirmed bool
	transfer       *transfer
	// leaderSince is the start time of this leader's term.
	leaderSince time.Time
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.id
	n.leaderState = leaderState{progress: map[string]*progress{}, leaseStart: n.now, firstIndex: n.log.last() + 1,
		leaderSince: n.now}
	n.syncProgress()
	// Committing the first entry of the new term commits the entries that earlier
	// terms left uncommitted.
	if _, err := n.appendEntry(apiv1.LogEntryType_LOG_ENTRY_TYPE_EMPTY, nil); err != nil {
		panic(err)
	}
	n.broadcastHeartbeat()
	n.broadcastAppend()
}

func (n *Node) tickLeader() {
	if !n.now.Before(n.leaseStart.Add(n.cfg.ElectionTimeout)) {
		n.becomeFollower(n.term, "")
		return
	}
	if !n.now.Before(n.nextHeartbeat) {
		n.broadcastHeartbeat()
	}
	n.tickTransfer()
	if n.role == Leader {
		n.promote()
	}
}

// broadcastHeartbeat sends a heartbeat round to all members.
func (n *Node) broadcastHeartbeat() {
	n.nextHeartbeat = n.now.Add(n.cfg.HeartbeatInterval)
	n.round++
	n.rounds = append(n.rounds, heartbeatRound{n.round, n.now})
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
	n.updateLease()
}

// updateLease starts the lease at the last round that a quorum answered.
func (n *Node) updateLease() {
	quorumRound := quorumValue(n.Members(), func(id string) uint64 { return n.progress[id].round })
	i, found := slices.BinarySearchFunc(n.rounds, quorumRound, func(s heartbeatRound, r uint64) int {
		return int(int64(s.round) - int64(r))
	})
	if !found {
		return
	}
	n.leaseStart, n.leaseConfirmed = n.rounds[i].sentAt, true
	n.rounds = n.rounds[i:]
}

// Lease returns the time until which no other node can lead, or zero when this
// node holds no lease.
func (n *Node) Lease() time.Time {
	if n.role != Leader || !n.leaseConfirmed || n.transfer != nil {
		return time.Time{}
	}
	return n.leaseStart.Add(time.Duration(float64(n.cfg.ElectionTimeout) * LeaseFraction))
}

// Propose appends a command and returns its position.
func (n *Node) Propose(data []byte) (Position, error) {
	if err := n.checkCanPropose(); err != nil {
		return Position{}, err
	}
	return n.appendEntry(apiv1.LogEntryType_LOG_ENTRY_TYPE_COMMAND, data)
}

// Flush sends the entries proposed since the last call.
func (n *Node) Flush() {
	if n.role == Leader {
		n.broadcastAppend()
	}
}

// checkCanPropose returns an error when the node accepts no proposals now.
func (n *Node) checkCanPropose() error {
	if n.role != Leader || n.leaseReleased() {
		return fault.New(fault.KindNotLeader, "this host does not lead", "send the request to the leader").WithRun(fault.NotRun)
	}
	if n.log.last()-n.log.commit >= n.cfg.MaxUncommitted {
		return fault.New(fault.KindOverloaded, "too many proposals are waiting for a quorum", "retry later").WithRun(fault.NotRun)
	}
	return nil
}

func (n *Node) appendEntry(kind apiv1.LogEntryType, data []byte) (Position, error) {
	pos := Position{Index: n.log.last() + 1, Term: n.term}
	err := n.log.append(&apiv1.LogEntry{Index: pos.Index, Term: pos.Term, Type: kind, Data: data})
	return pos, err
}

// updateOwnMatch counts the entries that the leader itself has saved towards the
// quorum.
func (n *Node) updateOwnMatch() {
	pr := n.progress[n.id]
	if pr == nil {
		n.stepDownIfRemoved()
		return
	}
	pr.match = max(pr.match, n.log.stable)
	n.maybeCommit()
}

// stepDownIfRemoved steps down once this node's removal is committed.
func (n *Node) stepDownIfRemoved() {
	c := n.log.current()
	if FindMember(c.set, n.id) == nil && c.index <= n.log.commit {
		n.becomeFollower(n.term, "")
	}
}

// maybeCommit commits the entries that a quorum has saved. Entries of earlier
// terms are committed only together with an entry of the current term after
// them, because a later leader could still replace them otherwise.
func (n *Node) maybeCommit() {
	index := quorumValue(n.Members(), func(id string) uint64 { return n.progress[id].match })
	if t, _ := n.log.term(index); index > n.log.commit && t == n.term {
		n.log.commit = index
		n.stepDownIfRemoved()
	}
}

func (n *Node) broadcastAppend() {
	for _, m := range n.Members().GetMembers() {
		if m.GetDiskId() != n.id {
			n.sendAppends(m.GetDiskId())
		}
	}
}

// sendAppends sends the entries that the member lacks, up to MaxInFlight
// unacknowledged ones, or starts a snapshot when they were compacted.
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
	pr.responded, pr.lastResponse = true, n.now
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
	// An index beyond this log cannot respond to an append of this leader.
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
	n.updateLease()
	if pr.snapshot != nil {
		if !pr.chunkAnswered {
			n.sendChunk(m.GetFrom(), pr)
		}
		pr.chunkAnswered = false
		return
	}
	if pr.match < n.log.last() && pr.match == pr.matchAtHeartbeat {
		pr.next, pr.probing = pr.match+1, true
		pr.waiting = false
	}
	pr.matchAtHeartbeat = pr.match
	n.sendAppends(m.GetFrom())
}
