package roles

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/peer"
)

// publicServer returns the caller-facing server, with TLS when set.
func (h *EntryHost) publicServer() (*http.Server, error) {
	web := h.server.HTTPServer(h.settings.Listen)
	if h.settings.PublicCertFile == "" {
		return web, nil
	}
	conf, err := peer.PublicTLS(h.settings.PublicCertFile, h.settings.PublicKeyFile)
	web.TLSConfig = conf
	return web, err
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
