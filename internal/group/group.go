// Package group keeps a replicated log going without an operator. It forms the
// log from a few seeds, takes in control hosts that offer themselves, replaces
// voters that are gone, and restarts the replica in place when its disk fails.
//
// Invariants:
//   - Only a host that is started for the first time and is a seed may form a log.
//   - A voter is replaced only while another host is there to take its place.
//   - A data folder that was damaged or emptied comes back under a new disk
//     identity and never votes as the old one.
package group

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
)

const (
	// reopenInterval is the time between two tries to open a failed data folder.
	reopenInterval = 300 * time.Millisecond
	// planInterval is the time between two looks at the member set.
	planInterval = 200 * time.Millisecond
	// joinInterval is the time between two offers of a host that follows a
	// leader, and joinUrgent that of a host without one. A host that was
	// replaced while it was away learns of it by the answer.
	joinInterval = time.Second
	joinUrgent   = 300 * time.Millisecond
	// joinTimeout bounds one offer.
	joinTimeout = 500 * time.Millisecond
	// snapshotEntries and trailingEntries keep the log small: one entry holds a
	// whole catalog.
	snapshotEntries = 256
	trailingEntries = 64
	// electionTicks and heartbeatTicks are the replica's election time-out and
	// heartbeat interval, in ticks of 50 ms. Requests that need a load wait for an
	// election, and a lost packet on the network takes about 250 ms to be repeated.
	electionTicks  = 12
	heartbeatTicks = 2
)

// Joiner offers this host to the process at an address.
type Joiner interface {
	Join(ctx context.Context, address string, req *apiv1.JoinRequest) (*apiv1.JoinResponse, error)
}

// Options configures a Group.
type Options struct {
	Cluster string
	// Self describes this host; its disk identity comes from the data folder.
	Self *apiv1.Member
	// Seeds are the base URLs of control hosts that may be members.
	Seeds []string
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool
	DataDir    string
	// MaxLostHosts is how many voters may be lost at once. The group wants twice as
	// many voters and one more.
	MaxLostHosts int
	NewMachine   func() replica.Machine
	Transport    replica.Transport
	Joiner       Joiner
	Logger       zerolog.Logger
	// Now is a clock that counts suspended time.
	Now func() time.Time
}

// Group is one host's part in the replicated log. It is safe for concurrent use.
type Group struct {
	opts Options
	log  zerolog.Logger

	mu         sync.Mutex
	replica    *replica.Replica
	machine    replica.Machine
	seeds      []string
	known      []string
	candidates map[string]candidate
}

// New returns a group that is not running yet.
func New(opts Options) *Group {
	return &Group{
		opts: opts, log: opts.Logger, seeds: opts.Seeds, machine: opts.NewMachine(),
		candidates: map[string]candidate{},
	}
}

// Run runs the replica and the membership until the context ends.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return g.supervise(ctx) })
	eg.Go(func() error { return g.offer(ctx) })
	eg.Go(func() error { return g.maintain(ctx) })
	return eg.Wait()
}

// supervise runs one replica after another. A replica ends when its disk fails;
// the next one starts from what the disk holds, as after a restart.
func (g *Group) supervise(ctx context.Context) error {
	for first := true; ctx.Err() == nil; first = false {
		if !first && !sleep(ctx, reopenInterval) {
			break
		}
		if err := g.runOnce(ctx); err != nil {
			g.recover(err)
		}
	}
	return nil
}

func (g *Group) runOnce(ctx context.Context) error {
	store, err := storage.Open(g.opts.DataDir, storage.Options{})
	if err != nil {
		return err
	}
	machine := g.opts.NewMachine()
	r, err := replica.New(g.replicaOptions(store, machine))
	if err != nil {
		return errors.CombineErrors(err, store.Close())
	}
	id := store.Identity()
	g.log.Info().Str("event", "data_folder_opened").Str("disk_id", id.DiskID).Uint64("boot", id.Boot).Msg("replica starts")
	g.set(r, machine)
	err = r.Run(ctx)
	g.set(nil, nil)
	return errors.CombineErrors(err, store.Close())
}

func (g *Group) replicaOptions(store *storage.Store, machine replica.Machine) replica.Options {
	var seeds []*apiv1.Member
	for _, address := range g.Seeds() {
		// The name of a host that is known by its address only is the address.
		seeds = append(seeds, &apiv1.Member{Host: address, Address: address})
	}
	return replica.Options{
		Cluster: g.opts.Cluster, Self: g.opts.Self, Bootstrap: seeds,
		JoinOnly: !g.opts.FirstStart || !slices.Contains(g.Seeds(), g.opts.Self.GetAddress()),
		Store:    store, Machine: machine, Transport: g.opts.Transport, Logger: g.log,
		ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, SnapshotEntries: snapshotEntries,
		TrailingEntries: trailingEntries, Now: g.opts.Now,
		// Holders of engines are members, and engines fence orders by their sequence.
		LeaseEndsWithProcess: true,
	}
}

// recover logs a failure of the data folder and empties a damaged one. The host
// then joins under a new disk identity.
func (g *Group) recover(err error) {
	g.log.Error().Err(err).Str("event", "data_folder_failed").Msg("replica ended, it is started again")
	if !fault.Is(err, fault.KindStorageDamaged) && !fault.Is(err, fault.KindStorageRolledBack) {
		return
	}
	path := filepath.Join(g.opts.DataDir, storage.FileName)
	if err := os.Remove(path); err != nil {
		g.log.Error().Err(err).Str("event", "data_folder_failed").Msg("damaged file not removed")
		return
	}
	g.log.Warn().Str("event", "data_folder_emptied").Msg("damaged file removed, this host joins anew")
}

func (g *Group) set(r *replica.Replica, m replica.Machine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replica = r
	if m != nil {
		g.machine = m
	}
}

func (g *Group) current() *replica.Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replica
}

// Machine returns the state machine of the replica that runs, or of the last
// one. Its content counts only under the leader's lease.
func (g *Group) Machine() replica.Machine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine
}

// Seeds returns the base URLs of the seeds.
func (g *Group) Seeds() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seeds
}

// SetSeeds replaces the seeds. Only offers use them once the log has formed.
func (g *Group) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Lease returns the leader's lease; it is not held while the disk has failed.
func (g *Group) Lease() replica.Lease {
	if r := g.current(); r != nil {
		return r.Lease()
	}
	return replica.Lease{}
}

// Status returns the state of the replica.
func (g *Group) Status() replica.Status {
	if r := g.current(); r != nil {
		return r.Status()
	}
	return replica.Status{Stage: "disk_failed", Self: g.opts.Self}
}

// Step takes a message of another member.
func (g *Group) Step(ctx context.Context, req *apiv1.StepRequest) error {
	if r := g.current(); r != nil {
		return r.Step(ctx, req)
	}
	return unavailable()
}

// Propose appends a command and returns its result once it is applied here.
func (g *Group) Propose(ctx context.Context, cmd *apiv1.Command) (any, error) {
	if r := g.current(); r != nil {
		return r.Propose(ctx, cmd)
	}
	return nil, unavailable()
}

// Barrier returns once everything that was acknowledged before the call is
// applied here. A majority has confirmed by then that this host still leads.
func (g *Group) Barrier(ctx context.Context) error {
	_, err := g.Propose(ctx, &apiv1.Command{})
	return err
}

// TransferLeadership gives leadership to another voter, if this host leads.
func (g *Group) TransferLeadership(ctx context.Context) error {
	r := g.current()
	if r == nil || !r.Lease().Held {
		return nil
	}
	return r.TransferLeadership(ctx)
}

// Leadership tells other processes who leads.
func (g *Group) Leadership() *apiv1.Leadership {
	lease, status := g.Lease(), g.Status()
	out := &apiv1.Leadership{Leading: lease.Held, Term: status.Term, Members: g.addresses()}
	if status.Leader != nil && status.Leader.GetAddress() != g.opts.Self.GetAddress() {
		out.Leader = status.Leader.GetAddress()
	}
	return out
}

func unavailable() error {
	return fault.New(fault.KindUnavailable, "the data folder of this host has failed", "ask another control host").
		WithRun(fault.NotRun)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
