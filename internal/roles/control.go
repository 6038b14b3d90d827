// Package roles runs the roles of a fleet, control host and entry host, from
// their settings and listeners. The programs and the development fleet share it.
package roles

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/control"
	"github.com/jasminesaddle/jasminesaddle/internal/hostlist"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
	"github.com/jasminesaddle/jasminesaddle/internal/settings"
)

// shutdownTimeout bounds the graceful shutdown of an HTTP server.
const shutdownTimeout = 2 * time.Second

// NewPeer returns the client and server options for the RPCs of a process.
func NewPeer(cluster string, s settings.Security) (*peer.Peer, error) {
	opts := peer.Options{Cluster: cluster, Secret: s.Secret}
	if s.CertFile != "" {
		opts.TLS = &peer.TLSFiles{Cert: s.CertFile, Key: s.KeyFile, CA: s.CAFile}
	}
	return peer.New(opts)
}

// RunControl runs a control host on the listener until the context ends.
func RunControl(ctx context.Context, s settings.Control, listener net.Listener, logger zerolog.Logger) error {
	p, err := NewPeer(s.Cluster, s.Security)
	if err != nil {
		return err
	}
	opts := control.Options{
		Cluster: s.Cluster,
		Self: &apiv1.Member{
			Host: s.Host, Address: s.Advertise, FailureDomain: s.FailureDomain, Voter: true,
		},
		Bootstrap: s.Members,
		DataDir:   s.DataDir,
		Peer:      p,
		Logger:    logger,
	}
	if s.PlatformURL != "" {
		opts.HostList = hostlist.NewClient(s.PlatformURL, nil)
	}
	srv, err := control.New(opts)
	if err != nil {
		return err
	}
	publish("control."+s.Host, srv.Metrics())
	logger.Info().Str("listen", listener.Addr().String()).Msg("control host starts")
	g, gctx := errgroup.WithContext(ctx)
	httpServer := p.Server(listener.Addr().String(), srv.Handler())
	g.Go(func() error { return ignoreClosed(p.Serve(httpServer, listener)) })
	g.Go(func() error {
		defer shutdown(httpServer)
		return srv.Run(gctx)
	})
	return g.Wait()
}

// ignoreClosed drops the error that Serve returns after a shutdown.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// publish exposes counters under /debug/vars. expvar names can't be replaced, so
// a role that restarts within a development fleet is not published again.
func publish(name string, v expvar.Var) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, v)
	}
}

// shutdown stops the server gracefully and closes its connections when that
// fails within shutdownTimeout.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
