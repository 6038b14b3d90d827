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
	// loadTimeout bounds a load. A load takes 0.25 s, and 16 times that when
	// the weight store is crowded.
	loadTimeout = 10 * time.Second
	// unloadMargin is the part of the lease that must be left after an unload's
	// deadline, so that the order ends before another leader can exist.
	unloadMargin = 100 * time.Millisecond
	// scrapeTimeout bounds one scrape.
	scrapeTimeout = time.Second
)

// orders sends scrapes, loads and unloads to engines, one goroutine each. The
// placement plan bounds the number of loads, and each engine has at most one
// scrape under way.
type orders struct {
	l *leader

	mu       sync.Mutex
	clients  map[string]addressedClient
	scraping map[string]bool
}

// engineClient is what the leader uses of an engine.
type engineClient interface {
	Load(ctx context.Context, o engine.Order) error
	Unload(ctx context.Context, o engine.Order) error
	Scrape(ctx context.Context) (engine.Load, error)
}

type addressedClient struct {
	address string
	client  engineClient
}

func newOrders(l *leader) *orders {
	return &orders{l: l, clients: map[string]addressedClient{}, scraping: map[string]bool{}}
}

// client returns the client of an engine, made anew when its address changes.
func (o *orders) client(b *apiv1.BackendServer) engineClient {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, ok := o.clients[b.GetName()]
	if !ok || c.address != b.GetAddress() {
		c = addressedClient{address: b.GetAddress(), client: o.l.s.newEngine(b)}
		o.clients[b.GetName()] = c
	}
	return c.client
}

// forget drops the clients and connections of engines that the configuration no
// longer names. Thousands of engines are replaced under new names in a term.
func (o *orders) forget(conf *config.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range o.clients {
		if _, ok := conf.BackendServer(name); !ok {
			delete(o.clients, name)
			o.l.s.pools.Forget(name)
		}
	}
}

func (o *orders) scrapeAll() {
	for _, b := range o.l.s.machine.Config().BackendServers() {
		if b.GetKind() == apiv1.BackendKind_BACKEND_KIND_ENGINE && o.beginScrape(b.GetName()) {
			o.l.background(func(ctx context.Context) { o.scrape(ctx, b) })
		}
	}
}

func (o *orders) beginScrape(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.scraping[name] {
		return false
	}
	o.scraping[name] = true
	return true
}

func (o *orders) scrape(ctx context.Context, b *apiv1.BackendServer) {
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.scraping, b.GetName())
	}()
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	begun := time.Now()
	load, err := o.client(b).Scrape(ctx)
	o.l.s.metrics.scrapes.Add(1)
	if err != nil {
		o.l.s.metrics.failedScrapes.Add(1)
		o.l.logger.Warn().Err(err).Str("engine", b.GetName()).Msg("scrape failed")
		o.l.fleet.ScrapeFailed(b.GetName())
		return
	}
	s := fleet.Scrape{
		Address: b.GetAddress(),
		StartID: load.StartID,
		Running: load.Running,
		Queued:  load.Waiting,
		KVUsage: load.KVUsage,
		Begun:   begun,
	}
	for _, ref := range load.Adapters {
		s.Resident = append(s.Resident, fleet.Ref{Adapter: ref.GetAdapter(), Version: ref.GetVersion()})
	}
	o.l.fleet.Scraped(b.GetName(), s, time.Now())
}

// unload sends the unloads that are safe, as long as the lease outlasts them.
func (o *orders) unload(lease replica.Lease, now time.Time) {
	deadline := lease.Until.Add(-unloadMargin)
	if !deadline.After(now.Add(unloadMargin)) {
		return
	}
	for _, order := range o.l.fleet.TakeUnloads(now) {
		o.send(order, deadline)
	}
}

// send runs an order in the background. A zero deadline gives the load's bound.
func (o *orders) send(order fleet.Order, deadline time.Time) {
	if deadline.IsZero() {
		deadline = time.Now().Add(loadTimeout)
	}
	o.l.background(func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		o.run(ctx, order)
	})
}

func (o *orders) run(ctx context.Context, order fleet.Order) {
	b := order.Backend
	msg := engine.Order{Ref: order.Ref.Message(), Weights: order.Weights, Fence: o.l.term}
	begun := time.Now()
	var err error
	if order.Kind == fleet.OrderLoad {
		err = o.client(b).Load(ctx, msg)
		o.l.fleet.LoadDone(order, err != nil, time.Now())
	} else {
		err = o.client(b).Unload(ctx, msg)
		o.l.fleet.UnloadDone(order, err != nil, time.Now())
	}
	o.l.s.metrics.orders.Add(order.Kind.String(), 1)
	event := o.l.logger.Info()
	if err != nil {
		o.l.s.metrics.failedOrders.Add(order.Kind.String(), 1)
		event = o.l.logger.Warn().Err(err)
	}
	event.Str("order", order.Kind.String()).Str("engine", order.Engine).Str("adapter", order.Ref.Adapter).
		Str("version", order.Ref.Version).Dur("took", time.Since(begun)).Msg("order done")
}
