package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/balance"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/meter"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
	"github.com/jasminesaddle/jasminesaddle/internal/retry"
)

// Fleet is the host's view of the fleet.
type Fleet interface {
	View() *exchange.View
	Acquire(ctx context.Context, r residency.Request) (exchange.Acquired, error)
	// RequestTokens asks the leader for tokens for the requests that wait.
	RequestTokens()
}

// Options configures a Gateway.
type Options struct {
	FailureDomain string
	Fleet         Fleet
	Rates         *quota.Limiter
	Backend       Backend
	// DropConnections drops the connections to a server that went silent.
	DropConnections func(address string)
	Balance         balance.Options
	// Retries bounds the repeats to each service: the ratio holds for this host,
	// and the floor is divided between all entry hosts.
	Retries retry.Options
	// Seed seeds the choice between the services of a split route.
	Seed   uint64
	Logger zerolog.Logger
	Meter  *meter.Set
	Now    func() time.Time
}

// Gateway serves callers' requests. It is safe for concurrent use.
type Gateway struct {
	opts    Options
	log     zerolog.Logger
	use     *usage
	metrics metrics

	// tasks find out whether servers have crashed.
	tasks sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	budgets map[string]*retry.Budget
	running int
}

// New returns a gateway.
func New(opts Options) *Gateway {
	if opts.Balance.TokensPerMS == 0 {
		opts.Balance.TokensPerMS = defaultTokensPerMS
	}
	return &Gateway{
		opts: opts, log: opts.Logger, use: newUsage(), metrics: newMetrics(opts.Meter),
		rng: rand.New(rand.NewPCG(opts.Seed, 0x67617465)), budgets: map[string]*retry.Budget{},
	}
}

// defaultTokensPerMS is the assumed speed at which engines read prompts. The
// slowness of each engine is measured against it.
const defaultTokensPerMS = 30

// unknownHosts is the number of entry hosts that is assumed until it is known.
const unknownHosts = 4

// SetFleet sets the host's view of the fleet. It is called before the first request.
func (g *Gateway) SetFleet(f Fleet) { g.opts.Fleet = f }

// Report adds the host's use of the fleet to an exchange.
func (g *Gateway) Report(req *apiv1.ExchangeRequest) { g.use.Report(req) }

// Reported tells whether the leader has received the last report.
func (g *Gateway) Reported(ok bool) { g.use.Reported(ok) }

// Wait waits for what goes on after requests have ended.
func (g *Gateway) Wait() { g.tasks.Wait() }

// Running returns the number of requests that are being served.
func (g *Gateway) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

func (g *Gateway) count(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running += n
}

// budget returns the bound on repeats to a service.
func (g *Gateway) budget(service string) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retry.NewBudget(g.opts.Retries)
		g.budgets[service] = b
	}
	b.SetFloor(g.opts.Retries.Floor / float64(max(g.opts.Fleet.View().Hosts, unknownHosts)))
	return b
}

func (g *Gateway) random() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// Prune drops what is kept of servers that are gone. It is called now and then.
func (g *Gateway) Prune() {
	v := g.opts.Fleet.View()
	g.use.forget(func(instance string) bool { return v.Servers[instance] != nil }, g.opts.Now())
}
