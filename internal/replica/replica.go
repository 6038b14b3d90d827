// Package replica drives a consensus node: it advances the node's clock, saves
// entries before acknowledging them, sends messages, applies committed commands to
// the state machine and returns the results to the proposers.
package replica

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
)

// Machine is the replicated state machine. Its methods are called from one
// goroutine.
type Machine interface {
	// Apply applies a command and returns the result for the proposer.
	Apply(index uint64, cmd *apiv1.Command) any
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(data []byte) error
}

// Transport sends requests to members. Send must not block, and requests may be
// lost.
type Transport interface {
	Send(to *apiv1.Member, req *apiv1.StepRequest)
}

// Options configures a Replica. Zero values take the defaults given in
// parentheses.
type Options struct {
	Cluster string
	// Self describes this host; its disk identity comes from the store.
	Self *apiv1.Member
	// Bootstrap lists the first voters of a new cluster by host and address.
	// A host that joins later lists hosts that are members.
	Bootstrap []*apiv1.Member
	// JoinOnly prevents this host from forming a new cluster even if Bootstrap
	// lists it: its data folder may have been lost after the cluster had formed.
	JoinOnly  bool
	Store     *storage.Store
	Machine   Machine
	Transport Transport
	Logger    zerolog.Logger

	// TickInterval is the resolution of all timeouts (50 ms).
	TickInterval time.Duration
	// ElectionTicks is the minimum election timeout in ticks (20).
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeat rounds in ticks (4).
	HeartbeatTicks int
	// HelloTicks is the time between hello messages in ticks (20).
	HelloTicks int
	// SnapshotEntries is the number of entries applied between snapshots (10,000).
	SnapshotEntries uint64
	// TrailingEntries is the number of entries retained before a snapshot, so that
	// a member that lags slightly needs no snapshot (2,000).
	TrailingEntries uint64
	// MaxMessageBytes limits the entries or snapshot data in one message (1 MiB).
	MaxMessageBytes int
	// LeaseEndsWithProcess declares that no process other than the members acts on
	// a lease. A leader is then elected sooner after a restart of all members.
	LeaseEndsWithProcess bool
	// Seed seeds the random election timeouts; 0 uses the run's random nonce.
	Seed uint64
	// Now is the clock (time.Now).
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.TickInterval == 0 {
		o.TickInterval = 50 * time.Millisecond
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = 20
	}
	if o.HeartbeatTicks == 0 {
		o.HeartbeatTicks = 4
	}
	if o.HelloTicks == 0 {
		o.HelloTicks = 20
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = 10_000
	}
	if o.TrailingEntries == 0 {
		o.TrailingEntries = 2_000
	}
	if o.Seed == 0 {
		o.Seed = o.Store.Identity().Nonce
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// maxInbox and maxProposals limit the requests and proposals that wait for the
// run loop.
const (
	maxInbox     = 1024
	maxProposals = 4096
)

// Replica is one member of the replicated log. All methods are safe for
// concurrent use.
type Replica struct {
	opts Options
	self *apiv1.Member
	id   storage.Identity
	// earlier lists the earlier runs of this data folder, encoded for hellos.
	earlier []*apiv1.EarlierRun

	inbox     chan *apiv1.StepRequest
	proposals chan *proposal
	stopped   chan struct{}
	stopOnce  sync.Once

	// The fields below are accessed only by the goroutine of Run.
	node        *consensus.Node
	ticks       uint64
	pending     map[uint64]*proposal
	terms       termTimes
	transfers   []chan error
	runs        consensus.Runs
	unsavedRuns map[string]consensus.Run
	// runsAtStart holds the peers' runs that earlier runs of this host have seen.
	runsAtStart consensus.Runs
	// restartedPeers holds the disk identities of peers that know this run and whose
	// current run is not in runsAtStart.
	restartedPeers map[string]bool
	role           consensus.Role
	term           uint64
	bootstrap      bootstrap

	mu        sync.Mutex
	published published
}

// New returns a replica that uses an open store. Run starts it.
func New(opts Options) (*Replica, error) {
	opts = opts.withDefaults()
	if opts.Cluster == "" || opts.Self.GetHost() == "" || opts.Self.GetAddress() == "" {
		return nil, fault.New(fault.KindInvalidSetting, "a replica needs a cluster, a host name and an address",
			"set all of them").At("self")
	}
	id := opts.Store.Identity()
	r := &Replica{
		opts: opts, id: id,
		self: &apiv1.Member{
			Host: opts.Self.GetHost(), Address: opts.Self.GetAddress(),
			FailureDomain: opts.Self.GetFailureDomain(), DiskId: id.DiskID,
		},
		inbox:          make(chan *apiv1.StepRequest, maxInbox),
		proposals:      make(chan *proposal, maxProposals),
		stopped:        make(chan struct{}),
		pending:        map[uint64]*proposal{},
		unsavedRuns:    map[string]consensus.Run{},
		restartedPeers: map[string]bool{},
	}
	for _, run := range id.EarlierRuns {
		r.earlier = append(r.earlier, encodeRun(run))
	}
	r.opts.Logger = opts.Logger.With().Str("host", r.self.Host).Str("disk_id", id.DiskID).Logger()
	r.terms.reset(opts.Now())
	return r, r.load()
}

func (r *Replica) load() error {
	saved, first, runs := r.opts.Store.Load()
	r.runs = consensus.Runs{}
	for disk, run := range runs {
		r.runs[disk] = run
	}
	r.runsAtStart = maps.Clone(r.runs)
	r.bootstrap = newBootstrap(first)
	if saved.Snapshot == nil && saved.HardState.Term == 0 {
		return nil
	}
	if s := saved.Snapshot; s != nil && s.Index > initialIndex {
		if err := r.opts.Machine.Restore(s.Data); err != nil {
			return fault.Wrap(err, fault.KindStorageDamaged, "the saved snapshot cannot be restored",
				"replace this member with an empty data folder").At("data_folder")
		}
	}
	return r.startNode(saved)
}

func (r *Replica) startNode(saved consensus.Saved) error {
	tick := r.opts.TickInterval
	node, err := consensus.New(consensus.Config{
		ID: r.id.DiskID, Seed: r.opts.Seed, MaxMessageBytes: r.opts.MaxMessageBytes,
		ElectionTimeout:   time.Duration(r.opts.ElectionTicks) * tick,
		HeartbeatInterval: time.Duration(r.opts.HeartbeatTicks) * tick, LeaseEndsWithProcess: r.opts.LeaseEndsWithProcess,
	}, saved, r.opts.Now())
	if err != nil {
		return err
	}
	r.node = node
	for disk := range r.restartedPeers {
		node.PeerRestarted(r.opts.Now(), disk)
	}
	return nil
}

// Run drives the replica until the context ends or an operation on the store or
// the state machine fails. It is called once.
func (r *Replica) Run(ctx context.Context) error {
	err := r.loop(ctx)
	r.stop()
	if err != nil {
		r.opts.Logger.Error().Err(err).Msg("replica stopped")
	}
	return err
}

func (r *Replica) loop(ctx context.Context) error {
	ticker := time.NewTicker(r.opts.TickInterval)
	defer ticker.Stop()
	r.sendHellos()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			err = r.tick()
		case req := <-r.inbox:
			err = r.receive(req)
		case p := <-r.proposals:
			r.startProposal(p)
		}
		if err == nil {
			err = r.drainQueues()
		}
		if err == nil {
			err = r.process()
		}
		if err != nil {
			return err
		}
	}
}

// maxBatch limits the requests and proposals that share one save.
const maxBatch = 512

// drainQueues handles the other waiting requests and proposals, so that they
// share one save.
func (r *Replica) drainQueues() error {
	for range maxBatch {
		select {
		case req := <-r.inbox:
			if err := r.receive(req); err != nil {
				return err
			}
		case p := <-r.proposals:
			r.startProposal(p)
		default:
			return nil
		}
	}
	return nil
}

func (r *Replica) tick() error {
	r.ticks++
	if r.node != nil {
		r.node.Tick(r.opts.Now())
	} else if err := r.tryForm(); err != nil {
		return err
	}
	if r.ticks%uint64(r.helloTicks()) == 0 {
		r.sendHellos()
	}
	return nil
}

// stop fails the waiting proposals. The outcome of one that was appended is
// unknown.
func (r *Replica) stop() {
	r.stopOnce.Do(func() { close(r.stopped) })
	r.failPending("this host is stopping")
	for {
		select {
		case p := <-r.proposals:
			p.finish(nil, r.stopping())
			continue
		default:
		}
		break
	}
	for _, done := range r.transfers {
		done <- nil
	}
	r.transfers = nil
	r.mu.Lock()
	r.published = published{}
	r.mu.Unlock()
}

// Step queues a request from a peer. It returns an error if the request is
// addressed to another cluster or the queue is full.
func (r *Replica) Step(_ context.Context, req *apiv1.StepRequest) error {
	if req.GetCluster() != r.opts.Cluster {
		return fault.Newf(fault.KindWrongCluster, "check the cluster name in the sender's settings",
			"this host belongs to cluster %q", r.opts.Cluster).At("cluster")
	}
	if req.GetFromDiskId() == "" || req.GetBoot() == 0 {
		return fault.New(fault.KindInvalidMessage, "the sender's disk identity or boot counter is missing",
			"update the sender").At("from_disk_id")
	}
	select {
	case r.inbox <- req:
		return nil
	case <-r.stopped:
		return fault.New(fault.KindUnavailable, "this host is stopping", "retry later")
	default:
		return fault.New(fault.KindUnavailable, "too many messages are waiting", "retry later")
	}
}
