// Package control is the server of a control host. It serves the RPCs of entry
// hosts, other control hosts and operators. While it leads, it also runs the
// systems of the leader over its volatile tables on each tick: scrapes,
// placement, orders, rate lending and the expiry of call records.
//
// Invariants:
//   - The leader's tables belong to one term and are dropped with it.
//   - Grants and orders are given only while the leader lease is held.
//   - A host that does not lead forwards requests to the leader once.
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
	// tickInterval is the time between two runs of the leader's systems.
	tickInterval = 50 * time.Millisecond
	// initializeInterval is the time between two tries to name a new cluster.
	initializeInterval = time.Second
	// handoverTimeout bounds the transfer of leadership at a planned stop.
	handoverTimeout = 3 * time.Second
)

// replicatedLog is what a Server uses of a replica.
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
	// Self is this host; its disk identity comes from the data folder.
	Self *apiv1.Member
	// Bootstrap lists the first members of a new cluster.
	Bootstrap []*apiv1.Member
	DataDir   string
	Peer      *peer.Peer
	// HostList reads the platform's list; nil when there is none.
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
	heard     heard
	metrics   *metrics

	background sync.WaitGroup

	mu           sync.Mutex
	leader       *leader
	initializeAt time.Time

	endpointsMu sync.Mutex
	endpoints   map[string]*client.Endpoint
}

// New opens the data folder and returns a server that is not running yet.
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

// Handler returns the handler of all RPCs of a control host.
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

// Run runs the replicated log and the leader's systems until the context ends
// or one of them fails. It hands leadership over before it stops.
func (s *Server) Run(ctx context.Context) error {
	// The log goes on until leadership has been handed over.
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLog()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.replica.Run(logCtx) })
	g.Go(func() error { return s.transport.Run(logCtx) })
	g.Go(func() error { return s.freshness.run(ctx) })
	// The leader goes on lending and answering until another one has taken over.
	g.Go(func() error { return s.runSystems(logCtx) })
	g.Go(func() error {
		<-ctx.Done()
		s.handOver()
		stopLog()
		return nil
	})
	err := g.Wait()
	s.background.Wait()
	return joinClose(err, s.store.Close())
}

func (s *Server) handOver() {
	if !s.replica.Lease().Held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := s.replica.TransferLeadership(ctx); err != nil {
		s.logger.Warn().Err(err).Msg("leadership not handed over, the others elect after a timeout")
	}
}

func (s *Server) runSystems(ctx context.Context) error {
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

// tick follows the leader lease and runs the leader's systems while it holds.
// The time is read after the lease. The time of the tick may lie before the
// term after a pause, and the waits at the start of a term would be too short.
func (s *Server) tick(ctx context.Context) {
	lease := s.replica.Lease()
	now := time.Now()
	l := s.followLease(ctx, lease, now)
	if l != nil && lease.Held {
		l.tick(lease, now)
	}
}

// followLease makes the leader's tables belong to the term that the host leads.
func (s *Server) followLease(ctx context.Context, lease replica.Lease, now time.Time) *leader {
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

// initialize names the cluster in a new log. The leader serves once that is
// committed.
func (s *Server) initialize(ctx context.Context, now time.Time) {
	if now.Before(s.initializeAt) {
		return
	}
	s.initializeAt = now.Add(initializeInterval)
	cmd := &apiv1.Command{
		UnixMs:  now.UnixMilli(),
		Command: &apiv1.Command_Initialize{Initialize: &apiv1.Initialize{Cluster: s.opts.Cluster}},
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, initializeInterval)
		defer cancel()
		if _, err := s.replica.Propose(ctx, cmd); err != nil {
			s.logger.Warn().Err(err).Msg("cluster not initialized, the next try is in a second")
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
// tasks, so that none uses the log or the data folder after its end.
func (s *Server) endTerm() {
	s.leader.stop()
	s.background.Go(s.leader.wait)
	s.leader = nil
}

// leading returns the leader's tables while the lease is held, else nil.
func (s *Server) leading() *leader {
	lease := s.replica.Lease()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil || !lease.Held || s.leader.term != lease.Term {
		return nil
	}
	return s.leader
}

// endpoint returns the clients of another process, made once for each address.
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
