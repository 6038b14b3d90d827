package consensus

import (
	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	index, term uint64
	data        []byte
}

// Compact replaces the snapshot by one of the state after the applied entry at
// index, and retains the last trailing entries before it. It returns the
// snapshot and the index of the first entry to retain in storage.
func (n *Node) Compact(index uint64, data []byte, trailing uint64) (*Snapshot, uint64) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index <= n.log.snapshot.Index {
		return nil, 0
	}
	s := &Snapshot{Index: index, Term: term, Members: n.log.membersAt(index), Data: data}
	keep := n.log.offset
	if index > trailing {
		keep = max(keep, index-trailing)
	}
	n.log.compact(s, keep)
	return s, keep
}

// SnapshotIndex returns the index of the latest snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

func (n *Node) startSnapshot(id string) {
	pr := n.progress[id]
	pr.snapshot, pr.offset, pr.probing, pr.waiting = n.log.snapshot, 0, false, false
	n.sendChunk(id, pr)
}

func (n *Node) sendChunk(id string, pr *progress) {
	s := pr.snapshot
	remaining := s.Data[min(pr.offset, uint64(len(s.Data))):]
	data := remaining[:min(len(remaining), n.cfg.MaxMessageBytes)]
	chunk := &apiv1.SnapshotChunk{Index: s.Index, Term: s.Term, Offset: pr.offset, Data: data}
	if len(data) == len(remaining) {
		chunk.Last, chunk.Members, chunk.Checksum = true, s.Members, xxhash.Sum64(s.Data)
	}
	n.sendEarly(&apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_SNAPSHOT, To: id, Snapshot: chunk})
}

func (n *Node) handleSnapshotResponse(pr *progress, m *apiv1.LogMessage) {
	if pr.snapshot == nil || m.GetLogIndex() != pr.snapshot.Index {
		return
	}
	if m.GetHint() == pr.offset && !m.GetReject() {
		return
	}
	pr.offset, pr.chunkAnswered = m.GetHint(), true
	n.sendChunk(m.GetFrom(), pr)
}

func (n *Node) handleSnapshot(m *apiv1.LogMessage) {
	c := m.GetSnapshot()
	if c.GetIndex() <= n.log.commit {
		n.incoming = nil
		n.sendAppendAck(m.GetFrom(), n.log.commit)
		return
	}
	in := n.incoming
	if in == nil || in.index != c.GetIndex() || in.term != c.GetTerm() {
		in = &incomingSnapshot{index: c.GetIndex(), term: c.GetTerm()}
		n.incoming = in
	}
	reject := false
	if c.GetOffset() == uint64(len(in.data)) {
		in.data = append(in.data, c.GetData()...)
		if c.GetLast() && xxhash.Sum64(in.data) == c.GetChecksum() {
			n.installSnapshot(m.GetFrom(), &Snapshot{Index: c.GetIndex(), Term: c.GetTerm(), Members: c.GetMembers(), Data: in.data})
			return
		}
		if c.GetLast() {
			in.data, reject = nil, true
		}
	}
	n.send(&apiv1.LogMessage{
		Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_SNAPSHOT_RESPONSE, To: m.GetFrom(),
		LogIndex: c.GetIndex(), Hint: uint64(len(in.data)), Reject: reject,
	})
}

func (n *Node) installSnapshot(from string, s *Snapshot) {
	n.incoming = nil
	if n.log.matches(s.Index, s.Term) {
		n.commitTo(s.Index)
	} else {
		n.log.install(s)
		n.pendingSnapshot = s
	}
	n.sendAppendAck(from, s.Index)
}
