package peer

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// TLSFiles are the paths of PEM files. The files may be replaced while the
// process runs; new connections use the new content.
type TLSFiles struct {
	Cert string
	Key  string
	// CA must contain the authorities of this cluster's certificates and no others:
	// every certificate issued by one of them is trusted.
	CA string
}

// certificates holds the content of the files, and their state when they were
// loaded.
type certificates struct {
	files TLSFiles

	mu         sync.Mutex
	fileStates [3]fileState
	cert       tls.Certificate
	roots      *x509.CertPool
	// verified holds the SHA-256 of the certificates that were verified against
	// roots, because a verification costs more than the rest of a small call.
	verified map[[sha256.Size]byte]struct{}
}

// maxVerified limits the entries of certificates.verified. When it is reached, the
// set is cleared and certificates are verified again.
const maxVerified = 8192

type fileState struct {
	modified time.Time
	size     int64
}

func loadCertificates(files TLSFiles) (*certificates, error) {
	c := &certificates{files: files}
	states, err := c.stat()
	if err == nil {
		err = c.load(states)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalidSetting, "the certificates cannot be loaded",
			"name PEM files of a certificate, its key and the cluster's authorities").At("tls")
	}
	return c, nil
}

func (c *certificates) stat() (states [3]fileState, err error) {
	for i, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return states, err
		}
		states[i] = fileState{info.ModTime(), info.Size()}
	}
	return states, nil
}

func (c *certificates) load(states [3]fileState) error {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return err
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fault.New(fault.KindInvalidSetting, "the file contains no certificate", "name a PEM file").At(c.files.CA)
	}
	c.fileStates, c.cert, c.roots = states, cert, roots
	c.verified = map[[sha256.Size]byte]struct{}{}
	return nil
}

// current returns the certificate and the authorities, reloaded when a file has
// changed. While the files are incomplete, as during a replacement, it returns
// the old ones.
func (c *certificates) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reload()
	return c.cert, c.roots
}

func (c *certificates) reload() {
	if states, err := c.stat(); err == nil && states != c.fileStates {
		_ = c.load(states)
	}
}

// verifyClient verifies the client's certificate for one request. The handshake
// has proved that the client has the private key. The certificate is verified
// here and not in the handshake, so that the client gets a typed error, a
// replaced authority takes effect at once on open connections, and a health check
// needs no certificate.
func (c *certificates) verifyClient(state *tls.ConnectionState) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return untrusted("the connection has no client certificate")
	}
	leaf := state.PeerCertificates[0]
	sum := sha256.Sum256(leaf.Raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reload()
	if _, ok := c.verified[sum]; ok && time.Now().Before(leaf.NotAfter) {
		return nil
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: c.roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return fault.Wrap(err, fault.KindUntrustedPeer, "the client's certificate is not accepted", trustRemedy)
	}
	if len(c.verified) >= maxVerified {
		clear(c.verified)
	}
	c.verified[sum] = struct{}{}
	return nil
}

// serverConfig returns a configuration that requests a client certificate, which
// verifyClient verifies.
func (c *certificates) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, _ := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{cert},
				ClientAuth:   tls.RequestClientCert,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
		// ServeTLS requires a certificate in the outer configuration.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return &cert, nil
		},
	}
}

// dialer returns a dialer that does the TLS handshake and verifies the server's
// certificate for the dialed host.
func (c *certificates) dialer(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, 2*dialTimeout)
		defer cancel()
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			raw.Close()
			return nil, err
		}
		cert, roots := c.current()
		conn := tls.Client(raw, &tls.Config{
			MinVersion:   tls.VersionTLS13,
			ServerName:   host,
			RootCAs:      roots,
			Certificates: []tls.Certificate{cert},
			NextProtos:   []string{"h2"},
		})
		if err := conn.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, fault.Wrap(err, fault.KindUntrustedPeer, "the TLS handshake failed", trustRemedy)
		}
		return conn, nil
	}
}
