package consensus

import (
	"fmt"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

func (n *Node) handleFromLeader(m *apiv1.LogMessage) {
	if n.role == Leader {
		return
	}
	n.becomeFollower(m.GetTerm(), m.GetFrom())
	n.recordLeaderContact(n.now)
	n.resetElectionTimer()
	switch m.GetType() {
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND:
		n.handleAppend(m)
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_HEARTBEAT:
		n.commitTo(m.GetCommit())
		n.send(&apiv1.LogMessage{
			Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_HEARTBEAT_RESPONSE, To: m.GetFrom(), Round: m.GetRound(),
		})
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_SNAPSHOT:
		n.handleSnapshot(m)
	}
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.last()))
}

func (n *Node) handleAppend(m *apiv1.LogMessage) {
	prev, entries := m.GetLogIndex(), m.GetEntries()
	matches := n.log.matches(prev, m.GetLogTerm())
	if prev < n.log.commit {
		// Committed entries always match; only later ones are checked.
		known := n.log.commit - prev
		if known >= uint64(len(entries)) {
			n.sendAppendAck(m.GetFrom(), n.log.commit)
			return
		}
		prev, entries, matches = n.log.commit, entries[known:], true
	}
	if !matches {
		n.send(&apiv1.LogMessage{
			Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND_RESPONSE, To: m.GetFrom(),
			Reject: true, LogIndex: prev, Hint: n.conflictHint(prev),
		})
		return
	}
	for _, e := range entries {
		if e.GetType() != apiv1.LogEntryType_LOG_ENTRY_TYPE_MEMBERS {
			continue
		}
		if _, err := decodeMembers(e.GetData()); err != nil {
			// A damaged message is dropped, as if it had been lost.
			return
		}
	}
	if err := n.log.merge(entries); err != nil {
		panic(fmt.Sprintf("consensus: append from %s: %v", m.GetFrom(), err))
	}
	match := prev + uint64(len(entries))
	n.commitTo(min(m.GetCommit(), match))
	n.sendAppendAck(m.GetFrom(), match)
}

// conflictHint returns the last index at which the leader's log may match. It
// skips all entries of the conflicting term.
func (n *Node) conflictHint(prev uint64) uint64 {
	if prev > n.log.last() {
		return n.log.last()
	}
	term, _ := n.log.term(prev)
	for prev > n.log.commit {
		prev--
		if t, _ := n.log.term(prev); t != term {
			break
		}
	}
	return prev
}

// sendAppendAck reports to the leader that the logs match up to an index.
func (n *Node) sendAppendAck(to string, match uint64) {
	n.send(&apiv1.LogMessage{
		Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND_RESPONSE, To: to, LogIndex: match,
	})
}
