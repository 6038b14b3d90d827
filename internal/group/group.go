// Package group maintains a replicated log without an operator. It forms the log
// from a few seeds, adds control hosts that offer themselves, replaces lost voters,
// and restarts the replica in the same process when its disk fails.
//
// Invariants:
//   - Only a seed may form a log, and only on the first start of the system.
//   - A lost voter is removed only while another host is available to replace it.
//   - A data folder that was damaged or emptied gets a new disk identity, and the
//     host never votes under the old one.
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
	// reopenInterval is the time between attempts to reopen a failed data folder.
	reopenInterval = 300 * time.Millisecond
	// planInterval is the time between checks of the member set.
	planInterval = 200 * time.Millisecond
	// joinInterval is the time between offers of a host whose last offer reached
	// the leader, and urgentJoinInterval that of a host whose last offer did not.
	// A host that was replaced during its absence learns of it from the response.
	joinInterval       = time.Second
	urgentJoinInterval = 300 * time.Millisecond
	// joinTimeout is the timeout of one offer to one address.
	joinTimeout = 500 * time.Millisecond
	// snapshotEntries and trailingEntries keep the log small, because one entry may
	// hold a whole catalog.
	snapshotEntries = 256
	trailingEntries = 64
	// electionTicks and heartbeatTicks are the replica's election timeout and
	// heartbeat interval, in ticks of 50 ms. A short timeout limits the delay of
	// requests that need a load, which wait for an election; it must still exceed
	// the retransmission of a lost packet, about 250 ms.
	electionTicks  = 12
	heartbeatTicks = 2
)

// Joiner offers this host as a member to the process at an address.
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
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
	DataDir    string
	// MaxLostHosts is the number of voters that may be lost at once. The group keeps
	// 2*MaxLostHosts+1 voters.
	MaxLostHosts int
	NewMachine   func() replica.Machine
	Transport    replica.Transport
	Joiner       Joiner
	Logger       zerolog.Logger
	// Now returns the time of a clock that includes suspended time.
	Now func() time.Time
}

// Group runs one host's member of the replicated log. It is safe for concurrent
// use.
type Group struct {
	opts Options
	log  zerolog.Logger

	mu             sync.Mutex
	replica        *replica.Replica
	machine        replica.Machine
	seeds          []string
	knownAddresses []string
	candidates     map[string]candidate
}

// New returns a group that Run starts.
func New(opts Options) *Group {
	return &Group{
		opts: opts, log: opts.Logger, seeds: opts.Seeds, machine: opts.NewMachine(),
		candidates: map[string]candidate{},
	}
}

// Run runs the replica and maintains the membership until the context ends.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return g.supervise(ctx) })
	eg.Go(func() error { return g.offerPeriodically(ctx) })
	eg.Go(func() error { return g.maintainMembers(ctx) })
	return eg.Wait()
}

// supervise restarts the replica when it ends. A replica ends when its disk fails;
// the next one starts from the content of the disk, as after a process restart.
func (g *Group) supervise(ctx context.Context) error {
	for first := true; ctx.Err() == nil; first = false {
		if !first && !sleep(ctx, reopenInterval) {
			break
		}
		if err := g.runOnce(ctx); err != nil {
			g.handleFailure(err)
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
	g.log.Info().Str("event", "data_folder_opened").Str("disk_id", id.DiskID).Uint64("boot", id.Boot).Msg("starting replica")
	g.setReplica(r, machine)
	err = r.Run(ctx)
	g.setReplica(nil, nil)
	return errors.CombineErrors(err, store.Close())
}

func (g *Group) replicaOptions(store *storage.Store, machine replica.Machine) replica.Options {
	var seeds []*apiv1.Member
	for _, address := range g.Seeds() {
		// The host name of a seed is unknown, so its address is used.
		seeds = append(seeds, &apiv1.Member{Host: address, Address: address})
	}
	return replica.Options{
		Cluster: g.opts.Cluster, Self: g.opts.Self, Bootstrap: seeds,
		JoinOnly: !g.opts.FirstStart || !slices.Contains(g.Seeds(), g.opts.Self.GetAddress()),
		Store:    store, Machine: machine, Transport: g.opts.Transport, Logger: g.log,
		ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, SnapshotEntries: snapshotEntries,
		TrailingEntries: trailingEntries, Now: g.opts.Now,
		// Engine holders are members, and engines fence orders by sequence number.
		LeaseEndsWithProcess: true,
	}
}

// handleFailure logs a failure of the data folder and empties a damaged or rolled
// back one. The host then joins under a new disk identity.
func (g *Group) handleFailure(err error) {
	g.log.Error().Err(err).Str("event", "data_folder_failed").Msg("replica failed; restarting it")
	if !fault.Is(err, fault.KindStorageDamaged) && !fault.Is(err, fault.KindStorageRolledBack) {
		return
	}
	path := filepath.Join(g.opts.DataDir, storage.FileName)
	if err := os.Remove(path); err != nil {
		g.log.Error().Err(err).Str("event", "data_folder_failed").Msg("cannot remove the damaged file")
		return
	}
	g.log.Warn().Str("event", "data_folder_emptied").Msg("damaged file removed; this host joins under a new disk identity")
}

func (g *Group) setReplica(r *replica.Replica, m replica.Machine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replica = r
	if m != nil {
		g.machine = m
	}
}

func (g *Group) currentReplica() *replica.Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replica
}

// Machine returns the state machine of the running replica, or of the last one if
// none runs. Its content is authoritative only under the leader's lease.
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

// SetSeeds replaces the seeds. After the log has formed only offers use them.
func (g *Group) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Lease returns this host's lease as the leader, which is not held while the disk
// has failed.
func (g *Group) Lease() replica.Lease {
	if r := g.currentReplica(); r != nil {
		return r.Lease()
	}
	return replica.Lease{}
}

// Status returns the state of the replica.
func (g *Group) Status() replica.Status {
	if r := g.currentReplica(); r != nil {
		return r.Status()
	}
	return replica.Status{Stage: "disk_failed", Self: g.opts.Self}
}

// Step handles a message from another member.
func (g *Group) Step(ctx context.Context, req *apiv1.StepRequest) error {
	if r := g.currentReplica(); r != nil {
		return r.Step(ctx, req)
	}
	return unavailable()
}

// Propose appends a command and returns its result once it is applied on this host.
func (g *Group) Propose(ctx context.Context, cmd *apiv1.Command) (any, error) {
	if r := g.currentReplica(); r != nil {
		return r.Propose(ctx, cmd)
	}
	return nil, unavailable()
}

// Barrier returns once every command acknowledged before the call is applied on
// this host. By then a majority has confirmed that this host still leads.
func (g *Group) Barrier(ctx context.Context) error {
	_, err := g.Propose(ctx, &apiv1.Command{})
	return err
}

// TransferLeadership transfers leadership to another voter if this host leads.
func (g *Group) TransferLeadership(ctx context.Context) error {
	r := g.currentReplica()
	if r == nil || !r.Lease().Held {
		return nil
	}
	return r.TransferLeadership(ctx)
}

// Leadership returns the leader and the members' addresses for other processes.
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

// sleep waits for d and reports whether the context is still active.
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
