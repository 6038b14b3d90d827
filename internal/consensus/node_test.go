package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

var t0 = time.Unix(1000, 0)

func members(ids ...string) *apiv1.MemberSet {
	set := &apiv1.MemberSet{}
	for _, id := range ids {
		set.Members = append(set.Members, &apiv1.Member{Host: id, Address: id, DiskId: id, Voter: true})
	}
	return set
}

// newTestNode returns node a of the voters a, b and c in term 1, with the given
// entries.
func newTestNode(t *testing.T, entries ...*apiv1.LogEntry) *Node {
	n, err := New(Config{ID: "a"}, Saved{
		HardState: HardState{Term: 1}, Entries: entries,
		Snapshot: &Snapshot{Index: 1, Term: 1, Members: members("a", "b", "c")},
	}, t0)
	must.NoError(t, err)
	return n
}

// processReady completes the node's pending work and returns its messages.
func processReady(n *Node) []*apiv1.LogMessage {
	var out []*apiv1.LogMessage
	for n.Flush(); n.HasReady(); {
		rd := n.Ready()
		out = append(append(out, rd.Early...), rd.Messages...)
		n.Advance(rd)
	}
	return out
}

// stepNode delivers a message to node a and returns the messages that it sends.
func stepNode(n *Node, now time.Time, m *apiv1.LogMessage) []*apiv1.LogMessage {
	m.To = "a"
	n.Step(now, m)
	return processReady(n)
}

// electLeader makes the node win an election and confirms its lease by a
// heartbeat response from b.
func electLeader(t *testing.T, n *Node) time.Time {
	now := t0.Add(3 * time.Second)
	n.Tick(now)
	processReady(n)
	for _, kind := range []apiv1.LogMessageType{
		apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE_RESPONSE, apiv1.LogMessageType_LOG_MESSAGE_TYPE_VOTE_RESPONSE,
	} {
		stepNode(n, now, &apiv1.LogMessage{Type: kind, From: "b", Term: 2})
	}
	must.Eq(t, Leader, n.role)
	stepNode(n, now, &apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_HEARTBEAT_RESPONSE, From: "b", Term: 2, Round: 1})
	must.Eq(t, now.Add(800*time.Millisecond), n.Lease())
	return now
}

func appendAck(id string, index uint64) *apiv1.LogMessage {
	return &apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND_RESPONSE, From: id, Term: 2, LogIndex: index}
}

// A later leader can replace an entry of an earlier term even when a quorum has
// saved it. Counting such an entry as committed would lose it.
func TestOnlyCurrentTermCommitsByCounting(t *testing.T) {
	n := newTestNode(t, &apiv1.LogEntry{Index: 2, Term: 1})
	now := electLeader(t, n)
	stepNode(n, now, appendAck("b", 2))
	must.Eq(t, 1, n.log.commit)
	// The majority of a membership change now need not overlap that of an earlier
	// leader's uncommitted change.
	_, err := n.AddMember(&apiv1.Member{Address: "d", DiskId: "d"})
	must.True(t, fault.Is(err, fault.KindMembership))
	stepNode(n, now, appendAck("b", 3))
	must.Eq(t, 3, n.log.commit)
	_, err = n.AddMember(&apiv1.Member{Address: "d", DiskId: "d"})
	must.NoError(t, err)
	_, err = n.RemoveMember("c")
	must.True(t, fault.Is(err, fault.KindMembership))
	stepNode(n, now, appendAck("b", 4))

	// Commits would wait for a learner that was promoted while it lagged.
	for range 100 {
		_, err = n.Propose(nil)
		must.NoError(t, err)
	}
	processReady(n)
	stepNode(n, now, appendAck("b", 104))
	for _, c := range []struct {
		match uint64
		voter bool
	}{{39, false}, {40, true}} {
		stepNode(n, now, appendAck("d", c.match))
		n.Tick(now.Add(100 * time.Millisecond))
		must.Eq(t, c.voter, isVoter(n.Members(), "d"))
	}
}

// A leader whose term is not saved may lead the same term again after a crash
// with other entries, so it must send none before the save.
func TestNothingSentBeforeTermIsSaved(t *testing.T) {
	set := members("a", "d")
	set.Members[1].Voter = false
	n, err := New(Config{ID: "a"}, Saved{Snapshot: &Snapshot{Index: 1, Term: 1, Members: set}}, t0)
	must.NoError(t, err)
	n.Tick(t0.Add(3 * time.Second))
	must.Eq(t, Leader, n.role)
	must.Len(t, 0, n.Ready().Early)
}

// A vote granted while a leader may hold a lease would let two leases overlap.
func TestVotesRefused(t *testing.T) {
	vote := func(term uint64, transfer bool) *apiv1.LogMessage {
		return &apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_VOTE, From: "c", Term: term, LogIndex: 9, LogTerm: 9, Transfer: transfer}
	}
	granted := func(out []*apiv1.LogMessage) bool {
		return slices.ContainsFunc(out, func(m *apiv1.LogMessage) bool {
			return m.GetType() == apiv1.LogMessageType_LOG_MESSAGE_TYPE_VOTE_RESPONSE && !m.GetReject()
		})
	}
	heartbeat := &apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_HEARTBEAT, From: "b", Term: 1}
	laterTerm := &apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND_RESPONSE, From: "c", Term: 5, Reject: true}
	for name, c := range map[string]struct {
		prepare    func(n *Node) time.Time
		transfer   bool
		refusedFor time.Duration
	}{
		"after a restart":              {func(*Node) time.Time { return t0 }, false, time.Second},
		"after a restart, by transfer": {func(*Node) time.Time { return t0 }, true, time.Second},
		"after a heartbeat": {func(n *Node) time.Time {
			stepNode(n, t0.Add(5*time.Second), heartbeat)
			return t0.Add(5 * time.Second)
		}, false, time.Second},
		"after a heartbeat, by transfer": {func(n *Node) time.Time {
			stepNode(n, t0.Add(5*time.Second), heartbeat)
			return t0.Add(5 * time.Second)
		}, true, 0},
		"by a leader that stepped down": {func(n *Node) time.Time {
			now := electLeader(t, n)
			stepNode(n, now.Add(10*time.Millisecond), laterTerm)
			must.Eq(t, Follower, n.role)
			return now
		}, false, time.Second},
	} {
		for _, at := range []time.Duration{c.refusedFor - time.Millisecond, c.refusedFor} {
			if at < 0 {
				continue
			}
			n := newTestNode(t)
			from := c.prepare(n)
			must.Eq(t, at >= c.refusedFor, granted(stepNode(n, from.Add(at), vote(6, c.transfer))), must.Sprintf("%s at %v", name, at))
		}
	}
}

// A member set whose uncommitted entry another leader replaced must lose its
// effect, or the node counts majorities of a set that was never committed.
func TestReplacedMemberSetLosesEffect(t *testing.T) {
	n := newTestNode(t)
	from := func(term uint64, e *apiv1.LogEntry) {
		stepNode(n, t0, &apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND, From: "b", Term: term, LogIndex: 1, LogTerm: 1, Entries: []*apiv1.LogEntry{e}})
	}
	from(1, &apiv1.LogEntry{Index: 2, Term: 1, Type: apiv1.LogEntryType_LOG_ENTRY_TYPE_MEMBERS, Data: EncodeMembers(members("a", "b", "c", "d"))})
	must.Len(t, 4, n.Members().GetMembers())
	from(2, &apiv1.LogEntry{Index: 2, Term: 2})
	must.Len(t, 3, n.Members().GetMembers())
	// A set that cannot be decoded must change nothing.
	from(3, &apiv1.LogEntry{Index: 2, Term: 3, Type: apiv1.LogEntryType_LOG_ENTRY_TYPE_MEMBERS, Data: []byte{0xff}})
	must.Eq(t, 2, n.log.lastTerm())
}

// A host that receives messages from all members but the leader must not depose
// the leader, neither while it is cut off nor when it reconnects.
func TestFollowerCutFromLeader(t *testing.T) {
	w := newWorld(1, 3, t.Fatalf)
	w.run(5 * time.Second)
	l := w.leader()
	term := l.node.term
	i := slices.IndexFunc(w.hosts, func(h *simHost) bool { return h != l })
	w.cut[[2]string{l.name, w.hosts[i].name}] = true
	w.run(30 * time.Second)
	clear(w.cut)
	w.run(10 * time.Second)
	must.Eq(t, term, w.leader().node.term)
	w.settle()
}

// A new host would never receive the log if lost snapshot chunks were not
// retransmitted.
func TestSnapshotChunksLost(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed, 3, t.Fatalf)
		w.run(5 * time.Second)
		l := w.leader()
		for range 12 {
			w.propose(l)
			w.run(time.Second)
		}
		w.compact(l)
		h := w.addHost()
		w.start(h)
		w.loss, w.dup = 0.3, 0.2
		_, err := l.node.AddMember(&apiv1.Member{Host: h.name, Address: h.name, DiskId: h.disk.id})
		must.NoError(t, err)
		for range 60 {
			w.run(time.Second)
			if h.applied > 5 {
				break
			}
		}
		must.Greater(t, 5, h.applied, must.Sprintf("seed %d: %s", seed, w.describe()))
	}
}

// When both of two voters restart while only the leader's log contains its own
// removal, the other voter cannot win an election, so the leader must campaign.
func TestRestartWhileLeaderRemovesItself(t *testing.T) {
	w := newWorld(1, 2, t.Fatalf)
	w.run(5 * time.Second)
	l := w.leader()
	for _, h := range w.hosts {
		w.cut[[2]string{l.name, h.name}] = true
	}
	_, err := l.node.RemoveMember(l.disk.id)
	must.NoError(t, err)
	w.process(l)
	must.Len(t, 1, l.node.Members().GetMembers())
	must.Eq(t, l.node.log.last()-1, l.node.log.commit)
	for _, h := range w.hosts {
		if h != l {
			h.node = nil
		}
	}
	w.run(time.Second)
	l.node = nil
	w.heal()
	w.settle()
	must.Len(t, 1, w.leader().node.Members().GetMembers())
}
