package standin

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
)

// Server is a stand-in that a program runs.
type Server interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
}

// ListenAndServe serves the address until ctx ends and then finishes the running
// requests for at most the stop bound.
func ListenAndServe(ctx context.Context, s Server, address string, stop time.Duration, logger zerolog.Logger) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	logger.Info().Str("address", l.Addr().String()).Msg("stand-in listens, not for production")
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	logger.Info().Msg("stand-in stops")
	bound, cancel := context.WithTimeout(context.WithoutCancel(ctx), stop)
	defer cancel()
	if err := s.Shutdown(bound); err != nil {
		return err
	}
	return <-served
}
