// Package coordinator is the part of a control host that serves entry hosts whose
// backend servers come from the platform's list. While the host leads, it reads
// the list, allocates rates, counts crashes, and has adapters loaded and unloaded.
//
// The holder of an engine is the one control host that sends orders to it.
//
// Invariants:
//   - The leader's tables belong to one term and are dropped with it.
//   - An order is decided only while the lease is held. The engine's holder sends
//     it, whichever host leads.
//   - An engine gets a new holder only after its holder has been asked to send no
//     order for OrderPause. No order is passed to either while the change is
//     being recorded.
//   - A catalog is acknowledged once it is committed, and read only after a
//     majority has confirmed that this host leads.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/meter"
	"github.com/jasminesaddle/jasminesaddle/internal/prompts"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
	"github.com/jasminesaddle/jasminesaddle/internal/state"
)

// Log is the replicated log.
type Log interface {
	Propose(ctx context.Context, cmd *apiv1.Command) (any, error)
	Barrier(ctx context.Context) error
	Lease() replica.Lease
	Leadership() *apiv1.Leadership
	Status() replica.Status
	Machine() replica.Machine
	Join(req *apiv1.JoinRequest) *apiv1.JoinResponse
}

// Lister reads the platform's list of backend servers.
type Lister interface {
	List(ctx context.Context) ([]residency.ListedEngine, error)
}

// Engines sends orders to engines and reads their reports.
type Engines interface {
	// Order sends an order. It returns its outcome, and how long the engine wants nothing of this host.
	Order(ctx context.Context, o residency.Order, fence uint64) residency.Result
	// Report reads an engine's report. The error is a *residency.QuietError if the engine wants nothing of
	// this host.
	Report(ctx context.Context, instance, address string) (residency.Report, error)
}

// Options configures a Coordinator.
type Options struct {
	Log     Log
	Lister  Lister
	Engines Engines
	// Decode turns the content of a document into a catalog.
	// Domains are the failure domains that the settings name.
	Domains []string
	// ColdTolerance is what the platform's contract tolerates of requests to cold servers.
	ColdTolerance ColdTolerance
	Decode        func(*apiv1.PutDocument) (*catalog.Catalog, error)
	// Self is this host's base URL, and Connect returns a client of another host.
	Self    string
	Connect func(address string) OrderSender
	// OrderPause is the minimum time between orders of two holders of an engine.
	OrderPause time.Duration
	// ListInterval is the time between two reads of the list.
	ListInterval time.Duration
	Tolerance    Tolerance
	Logger       zerolog.Logger
	Meter        *meter.Set
	// Now is a clock that includes the time in which the machine was suspended.
	Now func() time.Time
}

// tickInterval is the time between two runs of the leader's periodic work.
const tickInterval = 50 * time.Millisecond

// Coordinator serves the RPCs of entry hosts. It is safe for concurrent use.
type Coordinator struct {
	opts    Options
	log     zerolog.Logger
	metrics metrics
	work    *work

	cacheHistory cacheHistory
	quiet        quietEngines

	promptsMu sync.Mutex
	// promptBook holds the ledgers of the engines that this host owns.
	promptBook *prompts.Book

	// tasks counts the running background tasks of all terms.
	tasks sync.WaitGroup

	mu     sync.Mutex
	leader *leader
}

// New returns a coordinator. It serves only while Run is running.
func New(opts Options) *Coordinator {
	c := &Coordinator{
		opts: opts, log: opts.Logger, metrics: newMetrics(opts.Meter), work: newWork(opts.Meter, opts.Now),
		cacheHistory: cacheHistory{unloaded: map[string][]residency.Ref{}}, quiet: quietEngines{until: map[string]time.Time{}},
		promptBook: prompts.NewBook(),
	}
	opts.Meter.Gauge("residents_examined", c.leaderGauge(func(l *leader) uint64 { return l.table.Examined() }))
	opts.Meter.Gauge("loads_examined", c.leaderGauge(func(l *leader) uint64 { return l.hosts.examined }))
	opts.Meter.Gauge("servers_encoded", c.leaderGauge(func(l *leader) uint64 { return l.changes.encoded }))
	opts.Meter.Gauge("paced_servers", c.leaderGauge(func(l *leader) uint64 { return uint64(l.paces.Len()) }))
	opts.Meter.Gauge("slow_servers", c.leaderGauge(func(l *leader) uint64 { return uint64(l.paces.Slow()) }))
	opts.Meter.Gauge("cold_servers", c.leaderGauge(func(l *leader) uint64 { return uint64(l.cold.Len()) }))
	opts.Meter.Gauge("evacuated_domains", c.leaderGauge(func(l *leader) uint64 { return uint64(len(l.evacuated)) }))
	opts.Meter.Gauge("evacuated_in_flight", c.leaderGauge((*leader).evacuatedInFlight))
	opts.Meter.Gauge("server_limits", c.leaderGauge(func(l *leader) uint64 { return l.limits.InForce() }))
	return c
}

// leaderGauge returns a gauge that reads the leader's tables; it is 0 while this host does
// not lead.
func (c *Coordinator) leaderGauge(read func(*leader) uint64) func() float64 {
	return func() float64 {
		l := c.currentLeader()
		if l == nil {
			return 0
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(read(l))
	}
}

// Run tracks the lease and does the leader's periodic work until the context
// ends. It returns once the leader's background tasks have ended.
func (c *Coordinator) Run(ctx context.Context) error {
	defer c.tasks.Wait()
	defer c.dropLeader()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if l := c.leaderFor(ctx, c.opts.Log.Lease()); l != nil {
				l.tick(c.opts.Now())
				c.work.logDue(l.log, c.opts.Now())
			}
		}
	}
}

// dropLeader ends the current term and drops its tables.
func (c *Coordinator) dropLeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != nil {
		c.leader.stop()
		c.leader = nil
	}
}

// leaderFor returns the tables of the term that this host leads, or nil when the
// lease is not held. It drops the tables of another term and creates those of a
// new one. An expired lease leaves the tables, since it may be renewed within its
// term.
func (c *Coordinator) leaderFor(ctx context.Context, lease replica.Lease) *leader {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != nil && c.leader.term != lease.Term {
		c.leader.stop()
		c.log.Info().Str("event", "leadership_lost").Uint64("term", c.leader.term).Msg("leader's tables dropped")
		c.leader = nil
	}
	if !lease.Held {
		return nil
	}
	if c.leader == nil {
		c.leader = newLeader(ctx, c, lease)
		c.metrics.terms.Add(1)
		c.log.Info().Str("event", "leadership_gained").Uint64("term", lease.Term).Msg("leading")
	}
	return c.leader
}

// currentLeader returns the leader's tables while the lease is held, else nil.
func (c *Coordinator) currentLeader() *leader {
	lease := c.opts.Log.Lease()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == nil || !lease.Held || c.leader.term != lease.Term {
		return nil
	}
	return c.leader
}

func (c *Coordinator) machine() *state.Machine { return c.opts.Log.Machine().(*state.Machine) }

func notLeader(l *apiv1.Leadership) error {
	if l.GetLeader() != "" {
		return fault.Newf(fault.KindNotLeader, "send the request to the leader",
			"this host does not lead; the leader is %s", l.GetLeader()).WithRun(fault.NotRun)
	}
	return fault.New(fault.KindNotLeader, "this host does not lead, and the leader is unknown",
		"retry, or ask another control host").WithRun(fault.NotRun)
}

// PutDocument puts a validated document in force. It returns once the document, or
// one with a higher revision, is committed.
func (c *Coordinator) PutDocument(ctx context.Context, doc *apiv1.PutDocument) (*apiv1.PutResult, error) {
	return c.put(ctx, &apiv1.Command{Command: &apiv1.Command_PutDocument{PutDocument: doc}})
}

// PutAdapterVersion announces a new version of an adapter.
func (c *Coordinator) PutAdapterVersion(ctx context.Context, v *apiv1.PutAdapterVersion) (*apiv1.PutResult, error) {
	return c.put(ctx, &apiv1.Command{Command: &apiv1.Command_PutAdapterVersion{PutAdapterVersion: v}})
}

func (c *Coordinator) put(ctx context.Context, cmd *apiv1.Command) (*apiv1.PutResult, error) {
	if l := c.Leadership(); !l.GetLeading() {
		return nil, notLeader(l)
	}
	result, err := c.opts.Log.Propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	put, ok := result.(*apiv1.PutResult)
	if !ok {
		return nil, fault.New(fault.KindInternal, "the command returned no result", "report this as a defect")
	}
	return put, nil
}

// Document returns the document in force, or nil before the first one. The read
// is linearizable: a majority confirms during the call that no newer document was
// acknowledged before it.
func (c *Coordinator) Document(ctx context.Context) (*apiv1.PutDocument, error) {
	if l := c.Leadership(); !l.GetLeading() {
		return nil, notLeader(l)
	}
	if err := c.opts.Log.Barrier(ctx); err != nil {
		return nil, err
	}
	return c.machine().Document(), nil
}

// Leadership returns the current leader and term, as far as this host knows them.
func (c *Coordinator) Leadership() *apiv1.Leadership { return c.opts.Log.Leadership() }
