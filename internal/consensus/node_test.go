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

// newTestNode returns member a of a, b and c with entries of term 1.
func newTestNode(t *testing.T, entries ...*apiv1.LogEntry) *Node {
	n, err := New(Config{ID: "a"}, Saved{
		HardState: HardState{Term: 1}, Entries: entries,
		Snapshot: &Snapshot{Index: 1, Term: 1, Members: members("a", "b", "c")},
	}, t0)
	must.NoError(t, err)
	return n
}

// work does what the node asks for and returns the messages.
func work(n *Node) []*apiv1.LogMessage {
	var out []*apiv1.LogMessage
	for n.Flush(); n.HasReady(); {
		rd := n.Ready()
		out = append(append(out, rd.Early...), rd.Messages...)
		n.Advance(rd)
	}
	return out
}

func answer(n *Node, now time.Time, m *apiv1.LogMessage) []*apiv1.LogMessage {
	m.To = "a"
	n.Step(now, m)
	return work(n)
}

// lead makes the node win an election and answers one heartbeat round from b.
func lead(t *testing.T, n *Node) time.Time {
	now := t0.Add(3 * time.Second)
	n.Tick(now)
	work(n)
	for _, kind := range []apiv1.LogMessageType{
		apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE_RESPONSE, apiv1.LogMessageType_LOG_MESSAGE_TYPE_VOTE_RESPONSE,
	} {
		answer(n, now, &apiv1.LogMessage{Type: kind, From: "b", Term: 2})
	}
	must.Eq(t, Leader, n.role)
	answer(n, now, &apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_HEARTBEAT_RESPONSE, From: "b", Term: 2, Round: 1})
	must.Eq(t, now.Add(800*time.Millisecond), n.Lease())
	return now
}

func matchFrom(id string, index uint64) *apiv1.LogMessage {
	return &apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND_RESPONSE, From: id, Term: 2, LogIndex: index}
}

// An entry of an earlier term that a quorum holds can still be replaced by a
// later leader; counting it as committed would lose it.
func TestOnlyOwnTermCommitsByCounting(t *testing.T) {
	n := newTestNode(t, &apiv1.LogEntry{Index: 2, Term: 1})
	now := lead(t, n)
	answer(n, now, matchFrom("b", 2))
	must.Eq(t, 1, n.log.commit)
	// A membership change now could have a majority apart from that of an
	// earlier leader's change.
	_, err := n.AddMember(&apiv1.Member{Address: "d", DiskId: "d"})
	must.True(t, fault.Is(err, fault.KindMembership))
	answer(n, now, matchFrom("b", 3))
	must.Eq(t, 3, n.log.commit)
	_, err = n.AddMember(&apiv1.Member{Address: "d", DiskId: "d"})
	must.NoError(t, err)
	_, err = n.RemoveMember("c")
	must.True(t, fault.Is(err, fault.KindMembership))
	answer(n, now, matchFrom("b", 4))

	// A learner that lags would make the cluster wait for it once it votes.
	for range 100 {
		_, err = n.Propose(nil)
		must.NoError(t, err)
	}
	work(n)
	answer(n, now, matchFrom("b", 104))
	for _, c := range []struct {
		match uint64
		voter bool
	}{{39, false}, {40, true}} {
		answer(n, now, matchFrom("d", c.match))
		n.Tick(now.Add(100 * time.Millisecond))
		must.Eq(t, c.voter, isVoter(n.Members(), "d"))
	}
}

// A leader whose term is not saved may lead in the same term again after a
// crash, and must not have sent entries of it.
func TestNothingSentBeforeTermIsSaved(t *testing.T) {
	set := members("a", "d")
	set.Members[1].Voter = false
	n, err := New(Config{ID: "a"}, Saved{Snapshot: &Snapshot{Index: 1, Term: 1, Members: set}}, t0)
	must.NoError(t, err)
	n.Tick(t0.Add(3 * time.Second))
	must.Eq(t, Leader, n.role)
	must.Len(t, 0, n.Ready().Early)
}

// A vote that is given while a leader may hold a lease lets two leases overlap.
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
	newer := &apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND_RESPONSE, From: "c", Term: 5, Reject: true}
	for name, c := range map[string]struct {
		before    func(n *Node) time.Time
		transfer  bool
		untilThen time.Duration
	}{
		"after a restart":              {func(*Node) time.Time { return t0 }, false, time.Second},
		"after a restart, by transfer": {func(*Node) time.Time { return t0 }, true, time.Second},
		"after a heartbeat": {func(n *Node) time.Time {
			answer(n, t0.Add(5*time.Second), heartbeat)
			return t0.Add(5 * time.Second)
		}, false, time.Second},
		"after a heartbeat, by transfer": {func(n *Node) time.Time {
			answer(n, t0.Add(5*time.Second), heartbeat)
			return t0.Add(5 * time.Second)
		}, true, 0},
		"by a leader that stepped down": {func(n *Node) time.Time {
			now := lead(t, n)
			answer(n, now.Add(10*time.Millisecond), newer)
			must.Eq(t, Follower, n.role)
			return now
		}, false, time.Second},
	} {
		for _, at := range []time.Duration{c.untilThen - time.Millisecond, c.untilThen} {
			if at < 0 {
				continue
			}
			n := newTestNode(t)
			from := c.before(n)
			must.Eq(t, at >= c.untilThen, granted(answer(n, from.Add(at), vote(6, c.transfer))), must.Sprintf("%s at %v", name, at))
		}
	}
}

// A member set that was appended but lost to another leader must lose its
// effect, or the host counts majorities of a set that never was.
func TestReplacedMemberSetLosesEffect(t *testing.T) {
	n := newTestNode(t)
	from := func(term uint64, e *apiv1.LogEntry) {
		answer(n, t0, &apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND, From: "b", Term: term, LogIndex: 1, LogTerm: 1, Entries: []*apiv1.LogEntry{e}})
	}
	from(1, &apiv1.LogEntry{Index: 2, Term: 1, Type: apiv1.LogEntryType_LOG_ENTRY_TYPE_MEMBERS, Data: EncodeMembers(members("a", "b", "c", "d"))})
	must.Len(t, 4, n.Members().GetMembers())
	from(2, &apiv1.LogEntry{Index: 2, Term: 2})
	must.Len(t, 3, n.Members().GetMembers())
	// A set that cannot be decoded must change nothing.
	from(3, &apiv1.LogEntry{Index: 2, Term: 3, Type: apiv1.LogEntryType_LOG_ENTRY_TYPE_MEMBERS, Data: []byte{0xff}})
	must.Eq(t, 2, n.log.lastTerm())
}

// A host that hears all but the leader must not end a working leadership, and
// neither may its return.
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

// A snapshot whose lost chunks are not sent again would leave a new host
// without the log.
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

// When both voters restart while only the leader holds its own removal, the
// other log cannot win an election.
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
