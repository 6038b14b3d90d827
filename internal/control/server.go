// Package control implements the server of a control host. It serves the RPCs
// of entry hosts, other control hosts and operators. While the host is the
// leader, each tick also runs the leader's periodic tasks on its in-memory
// tables: scrapes, placement, orders to engines, rate leases and the expiry of
// call records.
//
// Invariants:
//   - The leader's tables belong to one term and are discarded when it ends.
//   - Grants and orders are issued only while the leader lease is held.
//   - A host that is not the leader forwards a request to the leader, and a
//     forwarded request is not forwarded again.
package control

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/hostlist"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
	"github.com/jasminesaddle/jasminesaddle/internal/state"
	"github.com/jasminesaddle/jasminesaddle/internal/storage"
	"github.com/jasminesaddle/jasminesaddle/internal/transport"
	"github.com/jasminesaddle/jasminesaddle/internal/view"
)

const (
	// tickInterval is the time between two runs of the leader's periodic tasks.
	tickInterval = 50 * time.Millisecond
	// initializeInterval is the time between two attempts to write the cluster's
	// name into a new log, and the timeout of each.
	initializeInterval = time.Second
	// transferTimeout limits the leadership transfer at a planned stop.
	transferTimeout = 3 * time.Second
)

// replicatedLog is the part of replica.Replica that a Server uses.
type replicatedLog interface {
	Run(ctx context.Context) error
	Step(ctx context.Context, req *apiv1.StepRequest) error
	Propose(ctx context.Context, cmd *apiv1.Command) (any, error)
	Lease() replica.Lease
	Leader() *apiv1.Member
	Status() replica.Status
	AddMember(ctx context.Context, m *apiv1.Member) error
	RemoveMember(ctx context.Context, diskID string) error
	TransferLeadership(ctx context.Context) error
}

// Options configures a Server.
type Options struct {
	Cluster string
	// Self describes this host; its disk identity is read from the data folder.
	Self *apiv1.Member
	// Bootstrap lists the initial members of a new cluster.
	Bootstrap []*apiv1.Member
	DataDir   string
	Peer      *peer.Peer
	// HostList reads the platform's host list; nil when there is none.
	HostList *hostlist.Client
	Logger   zerolog.Logger
}

// Server is a control host.
type Server struct {
	opts      Options
	logger    zerolog.Logger
	store     *storage.Store
	machine   *state.Machine
	replica   replicatedLog
	newEngine func(*apiv1.BackendServer) engineClient
	transport *transport.Sender
	pools     *pool.Set
	syncView  *view.Server
	freshness *freshness
	lastSeen  lastSeen
	metrics   *metrics

	background sync.WaitGroup

	mu             sync.Mutex
	leader         *leader
	nextInitialize time.Time

	endpointsMu sync.Mutex
	endpoints   map[string]*client.Endpoint
}

// New opens the data folder and returns a server; Run starts it.
func New(opts Options) (*Server, error) {
	store, err := storage.Open(opts.DataDir, storage.Options{})
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts:      opts,
		logger:    opts.Logger.With().Str("host", opts.Self.GetHost()).Logger(),
		store:     store,
		machine:   state.New(),
		pools:     pool.NewSet(pool.Options{Logger: opts.Logger}),
		endpoints: map[string]*client.Endpoint{},
		metrics:   newMetrics(),
	}
	s.newEngine = func(b *apiv1.BackendServer) engineClient { return engine.New(b, s.pools) }
	s.transport = transport.New(func(address string) transport.Stepper { return s.endpoint(address).Consensus }, opts.Logger)
	s.replica, err = replica.New(replica.Options{
		Cluster:   opts.Cluster,
		Self:      opts.Self,
		Bootstrap: opts.Bootstrap,
		Store:     store,
		Machine:   s.machine,
		Transport: s.transport,
		Logger:    opts.Logger,
	})
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	id := store.Identity()
	s.logger.Info().Str("disk_id", id.DiskID).Uint64("boot", id.Boot).Msg("data folder opened")
	s.freshness = newFreshness(s)
	s.syncView = view.NewServer(opts.Cluster, s)
	return s, nil
}

// Handler returns the handler of a control host's RPCs, counters and health check.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	opts := s.opts.Peer.HandlerOptions()
	mux.Handle(apiv1connect.NewConsensusServiceHandler(consensusHandler{s}, opts...))
	mux.Handle(apiv1connect.NewConfigServiceHandler(s.syncView, opts...))
	mux.Handle(apiv1connect.NewFleetServiceHandler(fleetHandler{s}, opts...))
	mux.Handle(apiv1connect.NewRateServiceHandler(rateHandler{s}, opts...))
	mux.Handle(apiv1connect.NewCallServiceHandler(callHandler{s}, opts...))
	mux.Handle(apiv1connect.NewOperatorServiceHandler(operatorHandler{s}, opts...))
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// Run runs the replicated log and the leader's periodic tasks until the context
// ends or one of them fails. It transfers leadership before it stops.
func (s *Server) Run(ctx context.Context) error {
	// The log runs until leadership has been transferred.
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLog()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.replica.Run(logCtx) })
	g.Go(func() error { return s.transport.Run(logCtx) })
	g.Go(func() error { return s.freshness.run(ctx) })
	// The leader keeps serving until another host has become the leader.
	g.Go(func() error { return s.runTicks(logCtx) })
	g.Go(func() error {
		<-ctx.Done()
		s.transferLeadership()
		stopLog()
		return nil
	})
	err := g.Wait()
	s.background.Wait()
	return joinClose(err, s.store.Close())
}

func (s *Server) transferLeadership() {
	if !s.replica.Lease().Held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := s.replica.TransferLeadership(ctx); err != nil {
		s.logger.Warn().Err(err).Msg("leadership transfer failed; the other hosts elect a leader after a timeout")
	}
}

func (s *Server) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.dropLeader()
			return nil
		case <-ticker.C:
			s.tick(ctx)
		}
	}
}

// tick creates or drops the leader's tables according to the lease, and runs
// the leader's tasks while the lease is held. It reads the clock after the
// lease: after a pause of the process, the ticker's time can lie before the
// start of the term, which would make the waits at its start too short.
func (s *Server) tick(ctx context.Context) {
	lease := s.replica.Lease()
	now := time.Now()
	l := s.updateLeader(ctx, lease, now)
	if l != nil && lease.Held {
		l.tick(lease, now)
	}
}

// updateLeader drops the tables of an ended term and creates those of the term
// that the lease belongs to. It returns nil while this host has no tables.
func (s *Server) updateLeader(ctx context.Context, lease replica.Lease, now time.Time) *leader {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != nil && s.leader.term != lease.Term {
		s.endTerm()
	}
	if s.leader == nil && lease.Held && s.machine.Config().Cluster == "" {
		s.initialize(ctx, now)
		return nil
	}
	if s.leader == nil && lease.Held {
		s.leader = newLeader(ctx, s, lease, now)
		s.metrics.terms.Add(1)
		s.logger.Info().Uint64("term", lease.Term).Msg("leading")
	}
	return s.leader
}

// initialize proposes the command that writes the cluster's name into a new
// log. The leader serves requests once it is committed.
func (s *Server) initialize(ctx context.Context, now time.Time) {
	if now.Before(s.nextInitialize) {
		return
	}
	s.nextInitialize = now.Add(initializeInterval)
	cmd := &apiv1.Command{
		UnixMs:  now.UnixMilli(),
		Command: &apiv1.Command_Initialize{Initialize: &apiv1.Initialize{Cluster: s.opts.Cluster}},
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, initializeInterval)
		defer cancel()
		if _, err := s.replica.Propose(ctx, cmd); err != nil {
			s.logger.Warn().Err(err).Msg("cluster initialization failed; retrying in 1 s")
		}
	})
}

func (s *Server) dropLeader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != nil {
		s.endTerm()
	}
}

// endTerm drops the leader's tables. The caller holds mu. Run waits for the
// term's tasks, so that none uses the log or the data folder after Run returns.
func (s *Server) endTerm() {
	s.leader.stop()
	s.background.Go(s.leader.wait)
	s.leader = nil
}

// activeLeader returns the leader's tables, or nil when the lease of their term
// is not held.
func (s *Server) activeLeader() *leader {
	lease := s.replica.Lease()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil || !lease.Held || s.leader.term != lease.Term {
		return nil
	}
	return s.leader
}

// endpoint returns the RPC clients for an address, which it creates once.
func (s *Server) endpoint(address string) *client.Endpoint {
	s.endpointsMu.Lock()
	defer s.endpointsMu.Unlock()
	e, ok := s.endpoints[address]
	if !ok {
		e = client.NewEndpoint(s.opts.Peer, address)
		s.endpoints[address] = e
	}
	return e
}
