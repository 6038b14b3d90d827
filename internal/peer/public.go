package peer

import (
	"crypto/tls"
	"os"
	"sync"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// PublicTLS returns the TLS configuration of a caller-facing server. Both files
// are reloaded when the certificate's file changes.
func PublicTLS(certFile, keyFile string) (*tls.Config, error) {
	c := &publicCertificate{certFile: certFile, keyFile: keyFile}
	if err := c.load(); err != nil {
		return nil, fault.Wrap(err, fault.KindInvalidSetting, "the certificate cannot be loaded",
			"name PEM files of a certificate and its key").At("public-tls-cert")
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current(), nil },
	}, nil
}

type publicCertificate struct {
	certFile, keyFile string

	mu        sync.Mutex
	fileState fileState
	cert      *tls.Certificate
}

func (c *publicCertificate) load() error {
	info, err := os.Stat(c.certFile)
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return err
	}
	c.fileState = fileState{info.ModTime(), info.Size()}
	c.cert = &cert
	return nil
}

// current returns the certificate, reloaded when its file has changed. While
// certificate and key do not match, as during a replacement, it returns the old
// certificate.
func (c *publicCertificate) current() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.certFile)
	if err == nil && (fileState{info.ModTime(), info.Size()}) != c.fileState {
		_ = c.load()
	}
	return c.cert
}
