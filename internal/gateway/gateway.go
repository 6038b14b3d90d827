package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/balance"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/meter"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
	"github.com/jasminesaddle/jasminesaddle/internal/prompts"
	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
	"github.com/jasminesaddle/jasminesaddle/internal/reach"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
	"github.com/jasminesaddle/jasminesaddle/internal/retry"
)

// Fleet is this host's view of the fleet.
type Fleet interface {
	View() *exchange.View
	Acquire(ctx context.Context, r residency.Request) (exchange.Acquired, error)
	// RecordStream records the origin of a stream that is about to begin. Unless it is certain, it
	// returns only once the leader has the record.
	RecordStream(ctx context.Context, r origin.Record, certain bool) error
	// FindStream returns the origin of a stream that an attempt began.
	FindStream(ctx context.Context, q origin.Query) (origin.Answer, error)
	// BookPrompt asks when a prompt may be sent to an engine, and MeasurePrompt tells how long an engine took
	// for one.
	BookPrompt(ctx context.Context, b prompts.Booking) (prompts.Slot, error)
	MeasurePrompt(m prompts.Measurement)
	// RequestTokens asks the leader to grant tokens for the waiting requests.
	RequestTokens()
	// ReportSoon has this host report to the leader without waiting for the next regular exchange.
	ReportSoon()
}

// Options configures a Gateway.
type Options struct {
	// Host is the name of this host.
	Host          string
	FailureDomain string
	Fleet         Fleet
	Rates         *quota.Limiter
	Backend       Backend
	// Relay serves the requests of a host that reaches no backend server; nil for none.
	Relay Relay
	// DropConnections closes the idle connections to a server that stopped
	// responding.
	DropConnections func(address string)
	Balance         balance.Options
	// Retries limits the retries to each service: the ratio applies to this
	// host, and MinRate is divided between all entry hosts.
	Retries retry.Options
	// Seed seeds the weighted choice between the services of a split route.
	Seed   uint64
	Logger zerolog.Logger
	Meter  *meter.Set
	Now    func() time.Time
}

// Gateway serves callers' requests. It is safe for concurrent use.
type Gateway struct {
	opts    Options
	log     zerolog.Logger
	usage   *usage
	metrics metrics
	buffers bufferBudget
	// answered holds the parts of prompts on which responses progressed, and complete the requests whose responses
	// were complete, which are many more.
	answered, complete *quarantine.Answered

	// crashChecks are the running checks of whether a server has crashed.
	crashChecks sync.WaitGroup

	// reach follows whether the host reaches backend servers, and suspected holds a value when it
	// may not.
	reach     *reach.Watch
	suspected chan struct{}
	relays    relays
	// requests counts the requests whose streams are recorded.
	requests atomic.Uint64
	trials   trials

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
		opts: opts, log: opts.Logger, usage: newUsage(), metrics: newMetrics(opts.Meter),
		answered: quarantine.NewAnswered(), complete: quarantine.NewAnswered(), reach: reach.NewWatch(), suspected: make(chan struct{}, 1),
		relays: newRelays(),
		rng:    rand.New(rand.NewPCG(opts.Seed, 0x67617465)), budgets: map[string]*retry.Budget{},
	}
}

// defaultTokensPerMS is the assumed prompt processing rate of an engine, in
// tokens per millisecond. The latency factor of each engine is relative to it.
const defaultTokensPerMS = 30

// assumedHosts is the number of entry hosts assumed until the leader has
// reported it.
const assumedHosts = 4

// SetFleet sets this host's view of the fleet. It must be called before the
// first request.
func (g *Gateway) SetFleet(f Fleet) { g.opts.Fleet = f }

// Report adds this host's usage of the fleet to an exchange request.
func (g *Gateway) Report(req *apiv1.ExchangeRequest) {
	now := g.opts.Now()
	g.usage.Report(req, now)
	req.CutOff, req.Running = g.CutOff(), uint32(g.Running())
	v := g.opts.Fleet.View()
	req.AnsweredParts = append(g.answered.ReportFor(v.SuspectParts, (*apiv1.CrashMark).GetPromptParts, req.GetCrashes(), now),
		g.complete.ReportFor(v.Suspects, fingerprintOf, req.GetCrashes(), now)...)
}

func fingerprintOf(m *apiv1.CrashMark) [][]byte { return [][]byte{m.GetFingerprint()} }

// Reported records whether the leader received the last report.
func (g *Gateway) Reported(ok bool) { g.usage.Reported(ok) }

// Wait waits for the crash checks that outlive their requests.
func (g *Gateway) Wait() { g.crashChecks.Wait() }

// Running returns the number of requests being served.
func (g *Gateway) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

func (g *Gateway) addRunning(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running += n
}

// budget returns the retry budget of a service, with its minimum rate set to this
// host's fraction.
func (g *Gateway) budget(service string) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retry.NewBudget(g.opts.Retries)
		g.budgets[service] = b
	}
	b.SetMinRate(g.opts.Retries.MinRate / float64(max(g.opts.Fleet.View().Hosts, assumedHosts)))
	return b
}

func (g *Gateway) random() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// Prune drops the state of servers that are no longer listed. It is called
// periodically.
func (g *Gateway) Prune() {
	v := g.opts.Fleet.View()
	g.usage.prune(func(instance string) bool { return v.Servers[instance] != nil }, g.opts.Now())
	g.trials.prune(g.opts.Now())
}
