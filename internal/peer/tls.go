package peer

import (
	"context"
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
}

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
	return nil
}

// current returns the certificates, loaded again when a file has changed.
// While the files are incomplete, as during a replacement, the old ones are used.
func (c *certificates) current() (tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stamps, err := c.stat(); err == nil && stamps != c.stamps {
		_ = c.load(stamps)
	}
	return c.cert, c.roots
}

// serverConfig requires a certificate of the cluster's authorities.
func (c *certificates) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{cert},
				ClientCAs:    roots,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{"h2", "http/1.1"},
				// A resumed session would skip the check against replaced authorities.
				SessionTicketsDisabled: true,
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
