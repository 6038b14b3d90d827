package standin

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
)

// Server is a stand-in that ListenAndServe can run.
type Server interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
}

// ListenAndServe serves the address until ctx ends. It then waits for the running
// requests to finish, for at most stopTimeout.
func ListenAndServe(ctx context.Context, s Server, address string, stopTimeout time.Duration, logger zerolog.Logger) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	logger.Info().Str("address", l.Addr().String()).Msg("stand-in listening; not for production use")
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	logger.Info().Msg("stand-in stopping")
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := s.Shutdown(stopCtx); err != nil {
		return err
	}
	return <-served
}
