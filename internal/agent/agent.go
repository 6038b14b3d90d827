// Package agent is an entry host's client of the control RPCs: it reports the
// host's demand and running requests, applies the fleet table in the response,
// borrows tokens, and records non-repeatable calls.
package agent

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
)

const (
	// reportInterval is the time between two heartbeats. Placement learns of a
	// waiting request after half of it on average.
	reportInterval = 250 * time.Millisecond
	// borrowInterval is the time between two Borrow requests. Leases last 2 s, so
	// that several requests may be lost before tokens expire.
	borrowInterval = 250 * time.Millisecond
	// minBorrowInterval is the minimum time between two Borrow requests, and the
	// interval while queued requests lack tokens.
	minBorrowInterval = 50 * time.Millisecond
	// rpcTimeout limits one Report or Borrow over all attempts.
	rpcTimeout = time.Second
	// releaseTimeout limits the return of tokens at a planned stop.
	releaseTimeout = 2 * time.Second
)

// Entry is the request path that the agent reports for.
type Entry interface {
	Report() *apiv1.ReportRequest
	ApplyFleet(resp *apiv1.ReportResponse, sent time.Time)
	Drain()
}

// View is the host's copy of the configuration.
type View interface {
	Config() *config.Snapshot
}

// Options configures an Agent.
type Options struct {
	Cluster       string
	Host          string
	Incarnation   uint64
	FailureDomain string
	// Address is the base URL under which other processes of the cluster reach
	// this host.
	Address string
	Control *client.Control
	Account *rate.Account
	View    View
	Logger  zerolog.Logger
}

// Agent periodically sends reports and Borrow requests to the control hosts.
type Agent struct {
	opts  Options
	entry Entry
	// lastBorrow is when the last Borrow was sent. Only the borrow loop uses it.
	lastBorrow time.Time
}

// New returns an agent that reports for entry.
func New(opts Options, entry Entry) *Agent {
	return &Agent{opts: opts, entry: entry}
}

// Run sends reports and Borrow requests until the context ends, and then returns
// the host's unused tokens.
func (a *Agent) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return runEvery(ctx, reportInterval, a.report) })
	g.Go(func() error { return runEvery(ctx, minBorrowInterval, a.borrowWhenDue) })
	err := g.Wait()
	a.release(context.WithoutCancel(ctx))
	return err
}

// runEvery calls fn immediately and then at each interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, fn func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		fn(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (a *Agent) report(ctx context.Context) {
	req := a.entry.Report()
	req.Cluster = a.opts.Cluster
	req.Host = a.opts.Host
	req.Incarnation = a.opts.Incarnation
	req.FailureDomain = a.opts.FailureDomain
	req.Address = a.opts.Address
	req.ConfigRevision = a.opts.View.Config().Revision
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	sent := time.Now()
	resp, err := a.opts.Control.Report(ctx, req)
	if err != nil {
		a.opts.Logger.Warn().Err(err).Msg("report not answered")
		return
	}
	a.entry.ApplyFleet(resp, sent)
	if resp.GetDrain() {
		a.entry.Drain()
	}
}

// borrowWhenDue borrows at borrowInterval, and immediately when requests lack
// tokens.
func (a *Agent) borrowWhenDue(ctx context.Context) {
	now := time.Now()
	if now.Sub(a.lastBorrow) < borrowInterval && !a.opts.Account.HasUnmetDemand() {
		return
	}
	a.lastBorrow = now
	a.borrow(ctx)
}

func (a *Agent) borrow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	sent := time.Now()
	req := a.opts.Account.Request(sent)
	if len(req.GetTeams()) == 0 {
		return
	}
	req.Cluster = a.opts.Cluster
	resp, err := a.opts.Control.Borrow(ctx, req)
	if err != nil {
		a.opts.Logger.Warn().Err(err).Msg("borrow not answered")
		return
	}
	a.opts.Account.Apply(req, resp, sent)
}

// release returns the host's tokens, so that other hosts can use them
// immediately.
func (a *Agent) release(ctx context.Context) {
	req := a.opts.Account.Release(time.Now())
	if len(req.GetTeams()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	req.Cluster = a.opts.Cluster
	if _, err := a.opts.Control.Borrow(ctx, req); err != nil {
		a.opts.Logger.Warn().Err(err).Msg("tokens not returned; unusable until they expire")
	}
}

// Calls records non-repeatable calls through the control hosts.
type Calls struct {
	Cluster string
	Control *client.Control
}

// Begin records the start of a call before the call is sent.
func (c Calls) Begin(ctx context.Context, call *apiv1.BeginCall) (*apiv1.BeginCallResponse, error) {
	return c.Control.BeginCall(ctx, &apiv1.BeginCallRequest{Cluster: c.Cluster, Call: call})
}

// Finish records the outcome of a call.
func (c Calls) Finish(ctx context.Context, call *apiv1.FinishCall) (*apiv1.FinishCallResponse, error) {
	return c.Control.FinishCall(ctx, &apiv1.FinishCallRequest{Cluster: c.Cluster, Call: call})
}
