package control

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/fleet"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
)

const (
	// loadTimeout limits a load, which takes 0.25 s, or 16 times that when the
	// weight store is overloaded.
	loadTimeout = 10 * time.Second
	// unloadMargin is the time between an unload's deadline and the end of the
	// lease, so that the order ends before another leader can exist.
	unloadMargin = 100 * time.Millisecond
	// scrapeTimeout limits one scrape.
	scrapeTimeout = time.Second
)

// dispatcher sends scrapes, loads and unloads to engines, each in a goroutine.
// The placement plan limits the number of loads, and each engine has at most one
// scrape in progress.
type dispatcher struct {
	l *leader

	mu       sync.Mutex
	clients  map[string]addressedClient
	scraping map[string]bool
}

// engineClient is the part of engine.Client that the leader uses.
type engineClient interface {
	Load(ctx context.Context, o engine.Order) error
	Unload(ctx context.Context, o engine.Order) error
	Scrape(ctx context.Context) (engine.Load, error)
}

type addressedClient struct {
	address string
	client  engineClient
}

func newDispatcher(l *leader) *dispatcher {
	return &dispatcher{l: l, clients: map[string]addressedClient{}, scraping: map[string]bool{}}
}

// client returns the client of an engine, and replaces it when the engine's
// address has changed.
func (d *dispatcher) client(b *apiv1.BackendServer) engineClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients[b.GetName()]
	if !ok || c.address != b.GetAddress() {
		c = addressedClient{address: b.GetAddress(), client: d.l.s.newEngine(b)}
		d.clients[b.GetName()] = c
	}
	return c.client
}

// prune drops the clients and connections of engines that are no longer in the
// configuration. Thousands of engines can be replaced under new names in a term.
func (d *dispatcher) prune(conf *config.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.clients {
		if _, ok := conf.BackendServer(name); !ok {
			delete(d.clients, name)
			d.l.s.pools.Forget(name)
		}
	}
}

func (d *dispatcher) scrapeAll() {
	for _, b := range d.l.s.machine.Config().BackendServers() {
		if b.GetKind() == apiv1.BackendKind_BACKEND_KIND_ENGINE && d.beginScrape(b.GetName()) {
			d.l.background(func(ctx context.Context) { d.scrape(ctx, b) })
		}
	}
}

// beginScrape reports whether the engine has no scrape in progress, and if so
// marks a new one as in progress.
func (d *dispatcher) beginScrape(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.scraping[name] {
		return false
	}
	d.scraping[name] = true
	return true
}

func (d *dispatcher) scrape(ctx context.Context, b *apiv1.BackendServer) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.scraping, b.GetName())
	}()
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	start := time.Now()
	load, err := d.client(b).Scrape(ctx)
	d.l.s.metrics.scrapes.Add(1)
	if err != nil {
		d.l.s.metrics.failedScrapes.Add(1)
		d.l.logger.Warn().Err(err).Str("engine", b.GetName()).Msg("scrape failed")
		d.l.fleet.RecordScrapeFailure(b.GetName())
		return
	}
	s := fleet.Scrape{
		Address: b.GetAddress(),
		StartID: load.StartID,
		Running: load.Running,
		Queued:  load.Waiting,
		KVUsage: load.KVUsage,
		SentAt:  start,
	}
	for _, ref := range load.Adapters {
		s.Resident = append(s.Resident, fleet.Ref{Adapter: ref.GetAdapter(), Version: ref.GetVersion()})
	}
	d.l.fleet.RecordScrape(b.GetName(), s, time.Now())
}

// sendUnloads sends the unloads that are safe, with a deadline before the end of
// the lease. It sends none when too little of the lease remains.
func (d *dispatcher) sendUnloads(lease replica.Lease, now time.Time) {
	deadline := lease.Until.Add(-unloadMargin)
	if !deadline.After(now.Add(unloadMargin)) {
		return
	}
	for _, order := range d.l.fleet.TakeUnloads(now) {
		d.send(order, deadline)
	}
}

// send runs an order in the background. A zero deadline means loadTimeout
// from now.
func (d *dispatcher) send(order fleet.Order, deadline time.Time) {
	if deadline.IsZero() {
		deadline = time.Now().Add(loadTimeout)
	}
	d.l.background(func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		d.run(ctx, order)
	})
}

func (d *dispatcher) run(ctx context.Context, order fleet.Order) {
	b := order.Backend
	msg := engine.Order{Ref: order.Ref.Proto(), Weights: order.Weights, FencingNumber: d.l.term}
	start := time.Now()
	var err error
	if order.Kind == fleet.OrderLoad {
		err = d.client(b).Load(ctx, msg)
		d.l.fleet.RecordLoad(order, err != nil, time.Now())
	} else {
		err = d.client(b).Unload(ctx, msg)
		d.l.fleet.RecordUnload(order, err != nil, time.Now())
	}
	d.l.s.metrics.orders.Add(order.Kind.String(), 1)
	event := d.l.logger.Info()
	if err != nil {
		d.l.s.metrics.failedOrders.Add(order.Kind.String(), 1)
		event = d.l.logger.Warn().Err(err)
	}
	event.Str("order", order.Kind.String()).Str("engine", order.Engine).Str("adapter", order.Ref.Adapter).
		Str("version", order.Ref.Version).Dur("took", time.Since(start)).Msg("order done")
}
