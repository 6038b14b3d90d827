package roles

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/jasminesaddle/jasminesaddle/internal/agent"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/decisionlog"
	"github.com/jasminesaddle/jasminesaddle/internal/entry"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
	"github.com/jasminesaddle/jasminesaddle/internal/settings"
	"github.com/jasminesaddle/jasminesaddle/internal/view"
)

const (
	// controlAttemptTimeout bounds one attempt at one control host.
	controlAttemptTimeout = time.Second
	// decisionLogSize is the number of decisions retained for explain, about 200
	// bytes each.
	decisionLogSize   = 20_000
	drainLogInterval  = time.Second
	drainPollInterval = 50 * time.Millisecond
)

// EntryHost is an entry host: its server, its configuration view and its agent.
type EntryHost struct {
	settings settings.Entry
	logger   zerolog.Logger
	peer     *peer.Peer
	view     *view.View
	server   *entry.Server
	agent    *agent.Agent
}

// NewEntryHost returns an entry host that is not running yet.
func NewEntryHost(s settings.Entry, logger zerolog.Logger) (*EntryHost, error) {
	p, err := NewPeer(s.Cluster, s.Security)
	if err != nil {
		return nil, err
	}
	logger = logger.With().Str("host", s.Host).Logger()
	h := &EntryHost{settings: s, logger: logger, peer: p}
	h.view = view.New(view.Options{Cluster: s.Cluster, Host: s.Host, Sources: sources(p, s.SyncFrom), Logger: logger})
	incarnation := rand.Uint64()
	account := rate.NewAccount(s.Host, incarnation)
	control := client.NewControl(p, s.Control, controlAttemptTimeout)
	h.server = entry.New(entry.Options{
		Host:          s.Host,
		Incarnation:   incarnation,
		FailureDomain: s.FailureDomain,
		View:          h.view,
		Account:       account,
		Calls:         agent.Calls{Cluster: s.Cluster, Control: control},
		Pools:         pool.NewSet(pool.Options{Logger: logger}),
		Decisions:     decisionlog.NewRing(decisionLogSize),
		Logger:        logger,
		Seed:          incarnation,
		Limits:        entry.Limits{BalancerDelay: s.BalancerDelay},
	})
	publish("entry."+s.Host, h.server.Metrics())
	h.agent = agent.New(agent.Options{
		Cluster:       s.Cluster,
		Host:          s.Host,
		Incarnation:   incarnation,
		FailureDomain: s.FailureDomain,
		Address:       s.Advertise,
		Control:       control,
		Account:       account,
		View:          h.view,
		Logger:        logger,
	}, h.server)
	return h, nil
}

func sources(p *peer.Peer, urls []string) []view.Source {
	var out []view.Source
	for _, u := range urls {
		out = append(out, client.NewEndpoint(p, u).Config)
	}
	return out
}

// Run serves on the listeners until the context ends and the drain that follows
// has finished.
func (h *EntryHost) Run(ctx context.Context, public, internal net.Listener) error {
	h.logger.Info().Str("listen", public.Addr().String()).Str("internal_listen", internal.Addr().String()).Msg("entry host starts")
	// All parts run until the drain has ended: running requests still need the
	// configuration view, tokens and call records.
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	httpServer, err := h.publicServer()
	if err != nil {
		return err
	}
	internalServer := h.peer.Server(internal.Addr().String(), h.internalHandler())
	g.Go(func() error { return h.servePublic(httpServer, public) })
	g.Go(func() error { return ignoreClosed(h.peer.Serve(internalServer, internal)) })
	g.Go(func() error { return h.view.Run(runCtx) })
	g.Go(func() error { return h.agent.Run(runCtx) })
	g.Go(func() error { return h.server.Run(runCtx) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			h.drain()
		case <-runCtx.Done():
		}
		shutdown(httpServer)
		stop()
		shutdown(internalServer)
		return nil
	})
	return ignoreCanceled(g.Wait())
}

func (h *EntryHost) servePublic(httpServer *http.Server, listener net.Listener) error {
	if httpServer.TLSConfig != nil {
		return ignoreClosed(httpServer.ServeTLS(listener, "", ""))
	}
	return ignoreClosed(httpServer.Serve(listener))
}

// drain waits for running requests to finish, at most for the stop timeout, and
// logs every drainLogInterval what it still waits for.
func (h *EntryHost) drain() {
	h.server.Drain()
	deadline := time.Now().Add(h.settings.StopTimeout)
	nextLog := time.Now()
	for {
		waiting := h.server.WaitingFor()
		if len(waiting) == 0 {
			h.logger.Info().Msg("drained")
			return
		}
		now := time.Now()
		if now.After(deadline) {
			h.logger.Error().Strs("waiting_for", waiting).Msg("stop timeout reached; aborting running requests")
			return
		}
		if now.After(nextLog) {
			h.logger.Info().Strs("waiting_for", waiting).Msg("draining")
			nextLog = now.Add(drainLogInterval)
		}
		time.Sleep(drainPollInterval)
	}
}

// internalHandler serves the fleet's processes and operators: the configuration
// for hosts that sync from this one, the decisions of a request, and metrics.
func (h *EntryHost) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewConfigServiceHandler(view.NewServer(h.settings.Cluster, h.view), h.peer.HandlerOptions()...))
	mux.Handle("GET /debug/", h.server.DebugHandler())
	mux.Handle("GET /healthz", h.server.DebugHandler())
	return mux
}
