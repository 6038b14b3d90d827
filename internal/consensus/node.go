// Package consensus is a pure replicated-log node. It does no input or output
// and reads no clock: Tick and Step take the time, and Ready returns what the
// driver must save, send and apply.
package consensus

import (
	"math/rand/v2"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// LeaseFraction is the part of the election timeout for which a lease holds.
// The rest allows clocks that run at rates up to a fifth apart.
const LeaseFraction = 0.8

// Role is what a node is in its term.
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
	// MaxMessageBytes bounds the entries or the snapshot data in one message.
	MaxMessageBytes int
	// MaxInFlight bounds the entries sent to a follower without an answer.
	MaxInFlight uint64
	// MaxUncommitted bounds the entries that the leader holds uncommitted.
	MaxUncommitted uint64
	// PromoteLag is how far behind the commit index a learner may be when it is
	// promoted.
	PromoteLag uint64
	// Seed seeds the random election timeouts.
	Seed uint64
	// LeaseEndsWithProcess is true when nothing outside the members acts on a
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

// HardState is the part of a node's state besides the log that must survive a
// restart.
type HardState struct {
	Term uint64
	Vote string
}

// Saved is what a node was last seen to have saved.
type Saved struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []*apiv1.LogEntry
}

// Position names an entry.
type Position struct{ Index, Term uint64 }

// Ready is what the driver does next, in this order: send Early, save
// HardState, Snapshot and Entries with one sync, send Messages, restore
// Snapshot, apply Committed, and call Advance.
type Ready struct {
	// Early rests on nothing that is unsaved, so that followers can save
	// entries while the leader saves them.
	Early []*apiv1.LogMessage
	// HardState is nil when it has not changed.
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

	now        time.Time
	electionAt time.Time
	// refuseUntil is until when votes are refused: one election timeout after
	// the last word from a leader.
	refuseUntil time.Time
	// startedAt is the end of the wait after a restart, when the last word from a
	// leader is forgotten. A leadership transfer does not override it.
	startedAt time.Time
	// restarted holds the members that PeerRestarted has named.
	restarted map[string]bool

	votes    map[string]bool
	early    []*apiv1.LogMessage
	messages []*apiv1.LogMessage
	incoming *incomingSnapshot
	install  *Snapshot

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
		now: now, startedAt: now.Add(cfg.ElectionTimeout), restarted: map[string]bool{},
	}
	n.resetElection()
	return n, nil
}

// Tick lets time pass.
func (n *Node) Tick(now time.Time) {
	n.setNow(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now.Before(n.electionAt) {
		return
	}
	n.resetElection()
	if n.mayCampaign() {
		n.preCampaign()
	}
}

func (n *Node) setNow(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

// Step takes a message. Messages may be lost, doubled, delayed and reordered.
func (n *Node) Step(now time.Time, m *apiv1.LogMessage) {
	n.setNow(now)
	if m.GetTo() != n.id || m.GetFrom() == n.id {
		return
	}
	if m.GetTerm() < n.term {
		n.stepOld(m)
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

// stepOld answers a message of an earlier term, so that a leader or candidate
// that missed an election learns of the term.
func (n *Node) stepOld(m *apiv1.LogMessage) {
	switch m.GetType() {
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE:
		n.send(&apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE_RESPONSE, To: m.GetFrom(), Reject: true})
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND,
		apiv1.LogMessageType_LOG_MESSAGE_TYPE_HEARTBEAT,
		apiv1.LogMessageType_LOG_MESSAGE_TYPE_SNAPSHOT:
		n.send(&apiv1.LogMessage{Type: apiv1.LogMessageType_LOG_MESSAGE_TYPE_APPEND_RESPONSE, To: m.GetFrom(), Reject: true})
	}
}

// stepNewTerm takes over a later term and tells whether to handle the message.
func (n *Node) stepNewTerm(m *apiv1.LogMessage) bool {
	switch m.GetType() {
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE:
		// A pre-vote names the term that would follow; nobody has entered it.
		return true
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_PRE_VOTE_RESPONSE:
		if !m.GetReject() {
			return true
		}
	case apiv1.LogMessageType_LOG_MESSAGE_TYPE_VOTE:
		// Taking over the term would end the leader's lease as a vote does.
		if n.refusesVote(m.GetTransfer()) {
			return false
		}
	}
	n.becomeFollower(m.GetTerm(), "")
	return true
}

// send queues a message until the state that it rests on is saved.
func (n *Node) send(m *apiv1.LogMessage) {
	n.messages = append(n.messages, n.stamp(m))
}

// sendEarly queues a message of the leader that rests only on its saved term.
func (n *Node) sendEarly(m *apiv1.LogMessage) {
	if n.saved.Term != n.term {
		n.send(m)
		return
	}
	n.early = append(n.early, n.stamp(m))
}

func (n *Node) stamp(m *apiv1.LogMessage) *apiv1.LogMessage {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	return m
}

// HasReady tells whether Ready has anything to do.
func (n *Node) HasReady() bool {
	return len(n.early) > 0 || len(n.messages) > 0 || n.install != nil || n.hardState() != n.saved ||
		n.log.last() > n.log.stable || n.log.commit > n.log.applied
}

func (n *Node) hardState() HardState { return HardState{Term: n.term, Vote: n.vote} }

// maxApplyBytes bounds the entries applied between two looks at the inbox.
const maxApplyBytes = 4 << 20

// Ready returns what the driver does next. Nothing else may be called until
// Advance.
func (n *Node) Ready() Ready {
	rd := Ready{Early: n.early, Messages: n.messages, Snapshot: n.install}
	n.early, n.messages = nil, nil
	if hs := n.hardState(); hs != n.saved {
		rd.HardState = &hs
	}
	rd.Entries = n.log.slice(n.log.stable, n.log.last(), 1<<62)
	from := n.log.applied
	if n.install != nil {
		from = n.install.Index
	}
	rd.Committed = n.log.slice(from, n.log.commit, maxApplyBytes)
	return rd
}

// Advance tells that everything in the Ready was done.
func (n *Node) Advance(rd Ready) {
	if rd.HardState != nil {
		n.saved = *rd.HardState
	}
	if rd.Snapshot != nil {
		n.install = nil
		n.log.applied = rd.Snapshot.Index
	}
	if k := len(rd.Entries); k > 0 {
		n.log.stable = rd.Entries[k-1].GetIndex()
	}
	if k := len(rd.Committed); k > 0 {
		n.log.applied = rd.Committed[k-1].GetIndex()
	}
	if n.role == Leader {
		n.ownSaved()
	}
}
