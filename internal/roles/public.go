package roles

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/peer"
)

// publicServer returns the caller-facing server, with TLS if it is configured.
func (h *EntryHost) publicServer() (*http.Server, error) {
	httpServer := h.server.HTTPServer(h.settings.Listen)
	if h.settings.PublicCertFile == "" {
		return httpServer, nil
	}
	conf, err := peer.PublicTLS(h.settings.PublicCertFile, h.settings.PublicKeyFile)
	httpServer.TLSConfig = conf
	return httpServer, err
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
