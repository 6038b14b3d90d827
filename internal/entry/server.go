package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/bodies"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/retry"
)

// Server serves the callers of an entry host.
type Server struct {
	opts    Options
	limits  Limits
	bodies  *bodies.Budget
	now     func() time.Time
	prefix  string
	counter atomic.Uint64
	// connections counts the open connections of callers.
	connections atomic.Int64
	metrics     *metrics
	budget      *retry.Budget
	serve       endpoint.Endpoint
	models      atomic.Pointer[modelList]

	admitted admitted
	running  runningSet
	drain    drainState
	clients  clients
	crashes  crashes
	// background runs the cancellations and call record updates that outlive
	// their request.
	background tasks

	// mu guards dispatch: the fleet table, the queues and the in-flight counts
	// change together, so that a report never names a fleet version that a
	// starting request has not seen.
	mu sync.Mutex
	d  *dispatch
}

// New returns a server. Run must be running while its handler serves requests.
func New(opts Options) *Server {
	s := &Server{opts: opts, limits: opts.Limits.withDefaults(), now: opts.Now}
	if s.now == nil {
		s.now = time.Now
	}
	s.prefix = opts.Host + "-" + strconv.FormatUint(opts.Incarnation, 36) + "-"
	s.metrics = newMetrics()
	s.budget = retry.NewBudget(retry.Defaults())
	s.bodies = bodies.NewBudget(s.limits.BodyMemory, s.now)
	s.admitted.teams = map[string]int{}
	s.running.byKey = map[runningKey]map[*runningRequest]struct{}{}
	s.background.init()
	s.clients.byName = map[string]*client{}
	s.crashes.init()
	s.d = newDispatch(s)
	s.serve = s.endpointChain()
	return s
}

// Run applies configuration changes and does the periodic work until ctx ends.
// It then waits for the background tasks.
func (s *Server) Run(ctx context.Context) error {
	defer s.background.wait()
	ticker := time.NewTicker(s.limits.Tick)
	defer ticker.Stop()
	changed := s.opts.View.Changed()
	s.configChanged()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			changed = s.opts.View.Changed()
			s.configChanged()
		case <-ticker.C:
			now := s.now()
			s.checkFreshness(now)
			s.mu.Lock()
			s.d.tick(now)
			s.mu.Unlock()
		}
	}
}

// configChanged updates the state that is derived from the configuration.
func (s *Server) configChanged() {
	cfg := s.opts.View.Config()
	s.cancelRequestsOfRemovedKeys(cfg)
	removed := s.clients.retain(cfg)
	for _, name := range removed {
		s.opts.Pools.Forget(name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.configChanged(cfg, removed)
	s.d.startReady(s.now())
}

// nextID returns a request identifier that is unique in the fleet. The caller's
// identifier is not used: the records of non-repeatable calls could not tell
// apart two requests with the same identifier.
func (s *Server) nextID() string {
	return s.prefix + strconv.FormatUint(s.counter.Add(1), 36)
}

// ApplyFleet applies the control leader's response to a report.
func (s *Server) ApplyFleet(resp *apiv1.ReportResponse, received time.Time) {
	s.crashes.apply(resp, received)
	s.mu.Lock()
	s.d.applyFleet(resp, received)
	s.d.startReady(s.now())
	s.mu.Unlock()
	if resp.GetDrain() {
		s.Drain()
	}
}

// client is the connection to one backend server under one configuration.
type client struct {
	server *apiv1.BackendServer
	engine *engine.Client
}

// clients holds one client per backend server in use.
type clients struct {
	mu     sync.Mutex
	byName map[string]*client
}

// get returns the client of a backend server. It creates a new one when the
// address or kind in the configuration has changed.
func (c *clients) get(s *Server, b *apiv1.BackendServer) *client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.byName[b.GetName()]; existing != nil && (existing.server == b || sameServer(existing.server, b)) {
		return existing
	}
	created := &client{server: b, engine: engine.New(b, s.opts.Pools)}
	c.byName[b.GetName()] = created
	return created
}

func sameServer(a, b *apiv1.BackendServer) bool {
	return a.GetAddress() == b.GetAddress() && a.GetKind() == b.GetKind()
}

// HTTPServer returns an http.Server for the caller-facing listener with limits
// on connections, headers and idle time.
func (s *Server) HTTPServer(addr string) *http.Server {
	return &http.Server{
		Addr:              addr,
		Handler:           s.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    s.limits.HeaderBytes,
		ConnState:         s.limitConnections,
	}
}

// limitConnections closes new connections above the limit.
func (s *Server) limitConnections(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.connections.Add(1) > int64(s.limits.Connections) {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	}
}

// retain removes the clients of backend servers that are no longer configured
// and returns their names.
func (c *clients) retain(cfg *config.Snapshot) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []string
	for name := range c.byName {
		if _, ok := cfg.BackendServer(name); !ok {
			delete(c.byName, name)
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return removed
}
