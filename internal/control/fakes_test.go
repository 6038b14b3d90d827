package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
	"github.com/jasminesaddle/jasminesaddle/internal/state"
)

// fakeLog is a replicatedLog that applies proposed commands at once, unless
// propose is set.
type fakeLog struct {
	replicatedLog
	machine *state.Machine
	leader  *apiv1.Member
	propose func(context.Context, *apiv1.Command) (any, error)
	// onTransfer runs during the transfer of leadership.
	onTransfer func()
	// leaseDelay is how long Lease takes; it simulates a pause of the process.
	leaseDelay time.Duration

	mu       sync.Mutex
	lease    replica.Lease
	proposed []*apiv1.Command
}

func (f *fakeLog) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (f *fakeLog) TransferLeadership(context.Context) error {
	f.onTransfer()
	f.setLease(4, false)
	return nil
}

func (f *fakeLog) Leader() *apiv1.Member { return f.leader }

func (f *fakeLog) Lease() replica.Lease {
	time.Sleep(f.leaseDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lease
}

func (f *fakeLog) setLease(term uint64, held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease = replica.Lease{Term: term, Held: held, Until: time.Now().Add(800 * time.Millisecond)}
}

func (f *fakeLog) Propose(ctx context.Context, cmd *apiv1.Command) (any, error) {
	f.mu.Lock()
	f.proposed = append(f.proposed, cmd)
	n := uint64(len(f.proposed))
	f.mu.Unlock()
	if f.propose != nil {
		return f.propose(ctx, cmd)
	}
	return f.machine.Apply(n, cmd), nil
}

// fakeEngine records its orders and completes each after delay.
type fakeEngine struct {
	mu       sync.Mutex
	address  string
	resident []*apiv1.AdapterRef
	orders   []string
	delay    time.Duration
	deadline time.Time
}

func (f *fakeEngine) order(ctx context.Context, kind string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, kind+" "+f.address)
	f.deadline, _ = ctx.Deadline()
	select {
	case <-ctx.Done():
	case <-time.After(f.delay):
	}
	return ctx.Err()
}

func (f *fakeEngine) Load(ctx context.Context, _ engine.Order) error   { return f.order(ctx, "load") }
func (f *fakeEngine) Unload(ctx context.Context, _ engine.Order) error { return f.order(ctx, "unload") }
func (f *fakeEngine) Scrape(context.Context) (engine.Load, error) {
	return engine.Load{StartID: "s", Adapters: f.resident}, nil
}

type fixture struct {
	*Server
	log    *fakeLog
	engine *fakeEngine
}

// newFixture returns a control host with an initialized log.
func newFixture(t *testing.T, host string) *fixture {
	f := &fixture{log: &fakeLog{machine: state.New()}, engine: &fakeEngine{}}
	f.Server = &Server{
		opts:      Options{Cluster: "c", Self: &apiv1.Member{Host: host}},
		logger:    zerolog.Nop(),
		machine:   f.log.machine,
		replica:   f.log,
		endpoints: map[string]*client.Endpoint{},
		metrics:   newMetrics(),
		pools:     pool.NewSet(pool.Options{}),
		newEngine: func(b *apiv1.BackendServer) engineClient {
			f.engine.address = b.GetAddress()
			return f.engine
		},
	}
	f.freshness = newFreshness(f.Server)
	f.machine.Apply(1, &apiv1.Command{Command: &apiv1.Command_Initialize{Initialize: &apiv1.Initialize{Cluster: "c"}}})
	must.EqOp(t, "c", f.machine.Config().Cluster)
	return f
}

// lead gives the host the leader lease of a term and runs one tick.
func (f *fixture) lead(t *testing.T, term uint64) *leader {
	f.log.setLease(term, true)
	f.tick(t.Context())
	return f.activeLeader()
}

// inMemory is an HTTP client that calls a handler without a connection.
type inMemory struct{ handler http.Handler }

func (m inMemory) Do(req *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	m.handler.ServeHTTP(w, req)
	return w.Result(), nil
}

// fleetEndpoint returns a client of the fixture's FleetService that counts its
// calls.
func (f *fixture) fleetEndpoint(calls *int) *client.Endpoint {
	mux := http.NewServeMux()
	path, h := apiv1connect.NewFleetServiceHandler(fleetHandler{f.Server})
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		*calls++
		h.ServeHTTP(w, r)
	})
	return &client.Endpoint{Fleet: apiv1connect.NewFleetServiceClient(inMemory{mux}, "http://"+f.opts.Self.GetHost())}
}
