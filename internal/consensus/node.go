// Package consensus implements a node of a replicated log in the manner of Raft.
// It performs no I/O and reads no clock: Tick and Step are given the time, and
// Ready returns what the driver must save, send and apply.
package consensus

import (
	"math/rand/v2"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// LeaseFraction is the fraction of the election timeout for which a lease is
// valid. The rest allows for clocks whose rates differ by up to a fifth.
const LeaseFraction = 0.8

// Role is the role of a node in its term.
type Role int

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config holds the settings of a node. Zero values take defaults.
type Config struct {
	// ID is the disk identity of the node.
	ID string
	// ElectionTimeout is the minimum election timeout (1 s). Timeouts are drawn
	// between it and twice its value.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeat rounds (a tenth of the
	// election timeout).
	HeartbeatInterval time.Duration
	// MaxMessageBytes limits the entries or the snapshot data in one message.
	MaxMessageBytes int
	// MaxInFlight limits the unacknowledged entries sent to a follower.
	MaxInFlight uint64
	// MaxUncommitted limits the uncommitted entries in the leader's log.
	MaxUncommitted uint64
	// PromoteLag is the number of entries by which a learner may be behind the
	// commit index when it is promoted.
	PromoteLag uint64
	// Seed seeds the random election timeouts.
	Seed uint64
	// LeaseEndsWithProcess is true when nothing outside the members relies on a
	// lease, so that a lease ends with the process that holds it. It allows
	// PeerRestarted to shorten the wait after a restart.
	LeaseEndsWithProcess bool
}

func (c Config) withDefaults() Config {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = time.Second
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = c.ElectionTimeout / 10
	}
	def(&c.MaxMessageBytes, 1<<20)
	if c.MaxInFlight == 0 {
		c.MaxInFlight = 4096
	}
	if c.MaxUncommitted == 0 {
		c.MaxUncommitted = 16384
	}
	if c.PromoteLag == 0 {
		c.PromoteLag = 64
	}
	return c
}

// HardState is the state besides the log that must survive a restart.
type HardState struct {
	Term uint64
	Vote string
}

// Saved is the durable state with which a node starts.
type Saved struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []*apiv1.LogEntry
}

// Position identifies a log entry.
type Position struct{ Index, Term uint64 }

// Ready lists the work for the driver, in this order: send Early, save
// HardState, Snapshot and Entries with one sync, send Messages, restore
// Snapshot, apply Committed, and call Advance.
type Ready struct {
	// Early contains messages that depend on no unsaved state, so that followers
	// can save entries while the leader saves them.
	Early []*apiv1.LogMessage
	// HardState is nil when it is unchanged.
	HardState *HardState
	// Snapshot replaces the whole saved log when not nil.
	Snapshot *Snapshot
	// Entries replace all saved entries from the first one's index.
	Entries   []*apiv1.LogEntry
	Messages  []*apiv1.LogMessage
	Committed []*apiv1.LogEntry
}

// Node is one member of the replicated log. It is not safe for concurrent use.
type Node struct {
	cfg Config
	id  string
	rng *rand.Rand
	log *entryLog

	role   Role
	term   uint64
	vote   string
	leader string
	saved  HardState

	now              time.Time
	electionDeadline time.Time
	// refuseUntil is the time until which votes are refused: one election timeout
	// after the last message from a leader.
	refuseUntil time.Time
	// restartWaitEnd is the time until which a restarted node refuses votes,
	// because it does not know when it last received a message from a leader. A
	// leadership transfer does not override it.
	restartWaitEnd time.Time
	// restartedPeers contains the members reported to PeerRestarted.
	restartedPeers map[string]bool

	votes           map[string]bool
	early           []*apiv1.LogMessage
	messages        []*apiv1.LogMessage
	incoming        *incomingSnapshot
	pendingSnapshot *Snapshot

	leaderState
}

// New returns a follower with the saved state.
func New(cfg Config, saved Saved, now time.Time) (*Node, error) {
	cfg = cfg.withDefaults()
	log, err := newLog(saved.Snapshot, saved.Entries)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindStorageDamaged, "the saved log is not continuous",
			"replace this member with an empty data folder")
	}
	n := &Node{
		cfg: cfg, id: cfg.ID, log: log,
		rng:  rand.New(rand.NewPCG(cfg.Seed, 0x6a61736d)),
		term: saved.HardState.Term, vote: saved.HardState.Vote, saved: saved.HardState,
		now: now, restartWaitEnd: now.Add(cfg.ElectionTimeout), restartedPeers: map[string]bool{},
	}
	n.resetElectionTimer()
	return n, nil
}

// Tick runs the timers: heartbeats and promotions on the leader, elections on
// the other nodes.
func (n *Node) Tick(now time.Time) {
	n.setNow(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now.Before(n.electionDeadline) {
		return
	}
	n.resetElectionTimer()
	if n.canCampaign() {
		n.preCampaign()
	}
}

func (n *Node) setNow(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

// Step handles a message. Messages may be lost, duplicated, delayed and
// reordered.
func (n *Node) Step(now time.Time, m *apiv1.LogMessage) {
	n.setNow(now)
	if m.GetTo() != n.id || m.GetFrom() == n.id {
		return
	}
	if m.GetTerm() < n.term {
		n.stepOldTerm(m)
		return
	}
	if m.GetTerm() > n.term && !n.stepNewTerm(m) {
		return
	}
	switch m.GetType() {
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE:
		n.handlePreVote(m)
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE_RESPONSE:
		n.handlePreVoteResponse(m)
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_VOTE:
		n.handleVote(m)
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_VOTE_RESPONSE:
		n.handleVoteResponse(m)
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND,
		apiv1.LogMessageType_LOG_MESSAGE_TYPE_HEARTBEAT,
		apiv1.LogMessageType_LOG_MESSAGE_TYPE_SNAPSHOT:
		n.handleFromLeader(m)
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND_RESPONSE,
		apiv1.LogMessageType_LOG_MESSAGE_TYPE_HEARTBEAT_RESPONSE,
		apiv1.LogMessageType_LOG_MESSAGE_TYPE_SNAPSHOT_RESPONSE:
		n.handleFromFollower(m)
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_TIMEOUT_NOW:
		n.handleTimeoutNow(m)
	}
}

// stepOldTerm responds to a message of an earlier term, so that a leader or
// candidate that missed an election learns the current term.
func (n *Node) stepOldTerm(m *apiv1.LogMessage) {
	switch m.GetType() {
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE:
		n.send(&apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE_RESPONSE, To: m.GetFrom(), Reject: true})
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND,
		apiv1.LogMessageType_LOG_MESSAGE_TYPE_HEARTBEAT,
		apiv1.LogMessageType_LOG_MESSAGE_TYPE_SNAPSHOT:
		n.send(&apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND_RESPONSE, To: m.GetFrom(), Reject: true})
	}
}

// stepNewTerm enters the later term of a message and reports whether to handle
// the message.
func (n *Node) stepNewTerm(m *apiv1.LogMessage) bool {
	switch m.GetType() {
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE:
		// A pre-vote contains the term of a possible election, which no node has
		// entered yet.
		return true
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE_RESPONSE:
		if !m.GetReject() {
			return true
		}
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_VOTE:
		// Entering the term would end the leader's lease just as a vote does.
		if n.refusesVote(m.GetTransfer()) {
			return false
		}
	}
	n.becomeFollower(m.GetTerm(), "")
	return true
}

// send queues a message that is sent after the unsaved state is saved.
func (n *Node) send(m *apiv1.LogMessage) {
	n.messages = append(n.messages, n.fillHeader(m))
}

// sendEarly queues a message of the leader that may be sent before unsaved
// entries are saved. It still waits until the term is saved.
func (n *Node) sendEarly(m *apiv1.LogMessage) {
	if n.saved.Term != n.term {
		n.send(m)
		return
	}
	n.early = append(n.early, n.fillHeader(m))
}

// fillHeader sets the sender and, unless it is set, the term.
func (n *Node) fillHeader(m *apiv1.LogMessage) *apiv1.LogMessage {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	return m
}

// HasReady reports whether Ready has work for the driver.
func (n *Node) HasReady() bool {
	return len(n.early) > 0 || len(n.messages) > 0 || n.pendingSnapshot != nil || n.hardState() != n.saved ||
		n.log.last() > n.log.stable || n.log.commit > n.log.applied
}

func (n *Node) hardState() HardState { return HardState{Term: n.term, Vote: n.vote} }

// maxApplyBytes limits the entries applied in one Ready, so that the driver
// receives messages in between.
const maxApplyBytes = 4 << 20

// Ready returns the work for the driver. No other method may be called before
// Advance.
func (n *Node) Ready() Ready {
	rd := Ready{Early: n.early, Messages: n.messages, Snapshot: n.pendingSnapshot}
	n.early, n.messages = nil, nil
	if hs := n.hardState(); hs != n.saved {
		rd.HardState = &hs
	}
	rd.Entries = n.log.slice(n.log.stable, n.log.last(), 1<<62)
	from := n.log.applied
	if n.pendingSnapshot != nil {
		from = n.pendingSnapshot.Index
	}
	rd.Committed = n.log.slice(from, n.log.commit, maxApplyBytes)
	return rd
}

// Advance records that the driver has completed the work in rd.
func (n *Node) Advance(rd Ready) {
	if rd.HardState != nil {
		n.saved = *rd.HardState
	}
	if rd.Snapshot != nil {
		n.pendingSnapshot = nil
		n.log.applied = rd.Snapshot.Index
	}
	if k := len(rd.Entries); k > 0 {
		n.log.stable = rd.Entries[k-1].GetIndex()
	}
	if k := len(rd.Committed); k > 0 {
		n.log.applied = rd.Committed[k-1].GetIndex()
	}
	if n.role == Leader {
		n.updateOwnMatch()
	}
}
