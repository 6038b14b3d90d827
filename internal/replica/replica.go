// Package replica drives a consensus node: it lets time pass, saves before it
// acknowledges, sends messages, applies committed commands to the state machine
// and gives proposers their results.
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
	// Apply applies a command; the result goes to the proposer.
	Apply(index uint64, cmd *apiv1.Command) any
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(data []byte) error
}

// Transport sends requests to members. Send must not block; requests may be
// lost.
type Transport interface {
	Send(to *apiv1.Member, req *apiv1.StepRequest)
}

// Options holds the settings of a replica. Zero values take defaults.
type Options struct {
	Cluster string
	// Self describes this host; its disk identity comes from the store.
	Self *apiv1.Member
	// Bootstrap lists the first voters of a new cluster by host and address.
	// A host that joins later lists hosts that are members.
	Bootstrap []*apiv1.Member
	// JoinOnly keeps this host from forming a new cluster, although Bootstrap
	// names it: its data folder may have been lost after the cluster had formed.
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
	// HelloTicks is the time between hellos in ticks (20).
	HelloTicks int
	// SnapshotEntries is how many entries are applied between snapshots (10,000).
	SnapshotEntries uint64
	// TrailingEntries is how many entries before a snapshot are kept, so that a
	// member that lags a little needs no snapshot (2,000).
	TrailingEntries uint64
	// MaxMessageBytes bounds the entries or snapshot data in one message (1 MiB).
	MaxMessageBytes int
	// LeaseEndsWithProcess is true when nothing outside the members acts on a
	// lease. After a restart of all members a leader is then elected sooner.
	LeaseEndsWithProcess bool
	// Seed seeds the election timeouts; 0 takes the run's random nonce.
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

// maxInbox and maxProposals bound what waits for the run loop.
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
	// earlier is the record of earlier runs as hellos carry it.
	earlier []*apiv1.EarlierRun

	inbox     chan *apiv1.StepRequest
	proposals chan *proposal
	stopped   chan struct{}
	stopOnce  sync.Once

	// The fields below belong to the goroutine of Run.
	node      *consensus.Node
	ticks     uint64
	waiting   map[uint64]*proposal
	terms     terms
	transfers []chan error
	runs      consensus.Runs
	newRuns   map[string]consensus.Run
	// recorded holds the runs of peers that earlier runs of this host have seen.
	recorded consensus.Runs
	// restarted holds the peers that have heard of this run and whose own run is
	// not recorded.
	restarted map[string]bool
	role      consensus.Role
	term      uint64
	boot      bootstrap

	mu        sync.Mutex
	published published
}

// New returns a replica on an open store. Run starts it.
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
		inbox:     make(chan *apiv1.StepRequest, maxInbox),
		proposals: make(chan *proposal, maxProposals),
		stopped:   make(chan struct{}),
		waiting:   map[uint64]*proposal{},
		newRuns:   map[string]consensus.Run{},
		restarted: map[string]bool{},
	}
	for _, run := range id.Earlier {
		r.earlier = append(r.earlier, encodeRun(run))
	}
	r.opts.Logger = opts.Logger.With().Str("host", r.self.Host).Str("disk_id", id.DiskID).Logger()
	r.terms.restart(opts.Now())
	return r, r.load()
}

func (r *Replica) load() error {
	saved, first, runs := r.opts.Store.Load()
	r.runs = consensus.Runs{}
	for disk, run := range runs {
		r.runs[disk] = run
	}
	r.recorded = maps.Clone(r.runs)
	r.boot = newBootstrap(first)
	if saved.Snapshot == nil && saved.HardState.Term == 0 {
		return nil
	}
	if s := saved.Snapshot; s != nil && s.Index > firstIndex {
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
	for disk := range r.restarted {
		node.PeerRestarted(r.opts.Now(), disk)
	}
	return nil
}

// Run drives the replica until the context ends or saving fails. It is called
// once.
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
			r.start(p)
		}
		if err == nil {
			err = r.drain()
		}
		if err == nil {
			err = r.process()
		}
		if err != nil {
			return err
		}
	}
}

// maxGroup bounds the requests and proposals that share one save.
const maxGroup = 512

// drain takes what else is waiting, so that it shares one save.
func (r *Replica) drain() error {
	for range maxGroup {
		select {
		case req := <-r.inbox:
			if err := r.receive(req); err != nil {
				return err
			}
		case p := <-r.proposals:
			r.start(p)
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
	} else if err := r.form(); err != nil {
		return err
	}
	if r.ticks%uint64(r.helloTicks()) == 0 {
		r.sendHellos()
	}
	return nil
}

// stop fails what is waiting. The answer of a proposal that was appended is
// unknown.
func (r *Replica) stop() {
	r.stopOnce.Do(func() { close(r.stopped) })
	r.failWaiting("this host is stopping")
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

// Step takes a request from a peer. It refuses one that is meant for another
// cluster and drops it when too many are waiting.
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
