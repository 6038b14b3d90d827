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

// TLSFiles names PEM files. They may be replaced while the process runs; new
// connections use the new content.
type TLSFiles struct {
	Cert string
	Key  string
	// CA holds the authorities of this cluster's certificates, and no others:
	// whoever has a certificate of one of them is trusted.
	CA string
}

// certificates holds the loaded files and their modification times.
type certificates struct {
	files TLSFiles

	mu     sync.Mutex
	stamps [3]fileStamp
	cert   tls.Certificate
	roots  *x509.CertPool
	// trusted holds the certificates that were verified against roots, by their
	// SHA-256, because a verification costs more than the rest of a small call.
	trusted map[[sha256.Size]byte]struct{}
}

// maxTrusted bounds the verified certificates; beyond it they are verified anew.
const maxTrusted = 8192

type fileStamp struct {
	modified time.Time
	size     int64
}

func loadCertificates(files TLSFiles) (*certificates, error) {
	c := &certificates{files: files}
	stamps, err := c.stat()
	if err == nil {
		err = c.load(stamps)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.KindInvalidSetting, "the certificates cannot be loaded",
			"name PEM files of a certificate, its key and the cluster's authorities").At("tls")
	}
	return c, nil
}

func (c *certificates) stat() (stamps [3]fileStamp, err error) {
	for i, name := range []string{c.files.Cert, c.files.Key, c.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, err
		}
		stamps[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

func (c *certificates) load(stamps [3]fileStamp) error {
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
		return fault.New(fault.KindInvalidSetting, "the file holds no certificate", "name a PEM file").At(c.files.CA)
	}
	c.stamps, c.cert, c.roots = stamps, cert, roots
	c.trusted = map[[sha256.Size]byte]struct{}{}
	return nil
}

// current returns the certificates, loaded again when a file has changed.
// While the files are incomplete, as during a replacement, the old ones are used.
func (c *certificates) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reload()
	return c.cert, c.roots
}

func (c *certificates) reload() {
	if stamps, err := c.stat(); err == nil && stamps != c.stamps {
		_ = c.load(stamps)
	}
}

// verifyClient checks a client's certificate for one request. The handshake
// has proved that the client holds its key. The check is made here and not in
// the handshake, so that the client gets a typed error, a replaced authority
// counts at once on open connections, and a health check needs no certificate.
func (c *certificates) verifyClient(state *tls.ConnectionState) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return untrusted("the connection has no client certificate")
	}
	leaf := state.PeerCertificates[0]
	sum := sha256.Sum256(leaf.Raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reload()
	if _, ok := c.trusted[sum]; ok && time.Now().Before(leaf.NotAfter) {
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
	if len(c.trusted) >= maxTrusted {
		clear(c.trusted)
	}
	c.trusted[sum] = struct{}{}
	return nil
}

// serverConfig asks for a client certificate, which verifyClient checks.
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
		// ServeTLS asks for a certificate in the outer configuration.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return &cert, nil
		},
	}
}

// dialer returns a dialer that verifies the server for the dialed address.
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
