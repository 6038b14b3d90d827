// Package peer provides the RPC clients and servers between the processes of a
// cluster. They use HTTP/2, in cleartext or with mutual TLS, and a process serves
// only processes of its own cluster.
//
// In cleartext, each request carries an HMAC-SHA256 that is keyed with the
// cluster secret. It covers the cluster, method, path, encoding, body and a
// random nonce, so a request cannot be forged or modified without the secret. A
// server refuses a nonce that is among the last 65,536 it accepted. The HMAC does
// not protect responses, provides no confidentiality, and does not prevent a
// replay after that window, after a restart or to another host of the cluster.
// Use TLS on networks where traffic can be intercepted.
package peer

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

const (
	// MaxMessageBytes limits one message. The largest message is a whole
	// configuration or manifest, whose file is limited to 32 MiB.
	MaxMessageBytes = 64 << 20
	maxHeaderBytes  = 64 << 10
	minSecretBytes  = 16
	// minCompressBytes is the size from which messages are compressed; short ones,
	// such as heartbeats, are not.
	minCompressBytes = 4096
)

// Limits of connections. A connection that stops responding is replaced after
// pingAfter + pingTimeout, before a host's view is too old to serve keyed routes.
const (
	dialTimeout = time.Second
	pingAfter   = time.Second
	pingTimeout = time.Second
	// callTimeout limits calls without a shorter deadline.
	callTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	readHeaderTimeout = 5 * time.Second
	maxStreams        = 4096
)

// Options configures a Peer. One of TLS, Secret and Unauthenticated must be set.
type Options struct {
	Cluster string
	// Unauthenticated disables authentication: every process that sends the cluster's name is
	// served. It is intended for platforms that give their processes a private
	// network and no secret.
	Unauthenticated bool
	// Secret is the cluster secret of at least 16 bytes. It is not used with TLS.
	Secret []byte
	// TLS names the certificate files for mutual TLS.
	TLS *TLSFiles
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Peer creates clients and servers for the RPCs between the cluster's processes.
type Peer struct {
	cluster  string
	certs    *certificates
	verifier *verifier
	client   *http.Client
	errors   *connect.ErrorWriter
}

// New returns a Peer. It validates the options and loads the certificates.
func New(opts Options) (*Peer, error) {
	if opts.Cluster == "" {
		return nil, fault.New(fault.KindInvalidSetting, "the cluster has no name", "set the cluster's name").At("cluster")
	}
	p := &Peer{cluster: opts.Cluster, errors: connect.NewErrorWriter()}
	s := &signer{cluster: opts.Cluster}
	if opts.TLS != nil {
		certs, err := loadCertificates(*opts.TLS)
		if err != nil {
			return nil, err
		}
		p.certs = certs
	} else if !opts.Unauthenticated {
		if len(opts.Secret) < minSecretBytes {
			return nil, fault.Newf(fault.KindInvalidSetting, "set a cluster secret or certificates",
				"the cluster secret has fewer than %d bytes", minSecretBytes).At("secret")
		}
		s.secret = opts.Secret
		p.verifier = &verifier{cluster: opts.Cluster, secret: opts.Secret}
	}
	s.base = p.transport(opts.Dial)
	p.client = &http.Client{Transport: s, Timeout: callTimeout, CheckRedirect: noRedirect}
	return p, nil
}

// noRedirect prevents a redirect from sending a signed request to another server.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (p *Peer) transport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 5,
		}}
		dial = d.DialContext
	}
	t := &http.Transport{
		Protocols:              new(http.Protocols),
		DialContext:            dialWithTimeout(dial),
		IdleConnTimeout:        idleTimeout,
		TLSHandshakeTimeout:    dialTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		HTTP2:                  http2Config(),
	}
	if p.certs == nil {
		t.Protocols.SetUnencryptedHTTP2(true)
		return t
	}
	t.Protocols.SetHTTP2(true)
	t.DialTLSContext = p.certs.dialer(t.DialContext)
	return t
}

func dialWithTimeout(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout:      pingAfter,
		PingTimeout:          pingTimeout,
		WriteByteTimeout:     pingAfter + pingTimeout,
		MaxConcurrentStreams: maxStreams,
	}
}

// HTTPClient returns the HTTP client for calls to other processes.
func (p *Peer) HTTPClient() connect.HTTPClient { return p.client }

// StreamingClient returns the HTTP client for calls whose responses are streams, which are limited by
// their contexts only.
func (p *Peer) StreamingClient() connect.HTTPClient {
	return &http.Client{Transport: p.client.Transport, CheckRedirect: noRedirect}
}

// ClientOptions returns the options of RPC clients: they limit message sizes and
// convert errors to fault.Error.
func (p *Peer) ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithInterceptors(clientInterceptor()),
	}
}

// HandlerOptions returns the options of RPC handlers: they limit message sizes,
// send fault.Error to the client, and refuse requests that did not pass Handler.
func (p *Peer) HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithInterceptors(handlerInterceptor()),
	}
}

// protectedPrefixes are the prefixes of the paths that require authentication: the
// RPCs, and the decisions on requests, which contain names of teams. Other paths,
// such as the health check and the counters, do not require it.
var protectedPrefixes = []string{"/jasmine.", "/debug/explain"}

// isProtected reports whether requests for the path require authentication.
func isProtected(path string) bool {
	return slices.ContainsFunc(protectedPrefixes, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// Handler returns a handler that authenticates requests for protected paths
// before it passes them to h.
func (p *Peer) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isProtected(r.URL.Path) {
			h.ServeHTTP(w, r)
			return
		}
		accepted, err := p.authenticate(r)
		if err != nil {
			// The connection is closed so that a client that has replaced its
			// certificate since it opened the connection presents the new one.
			w.Header().Set("Connection", "close")
			_ = p.errors.Write(w, r, ToConnect(err))
			return
		}
		h.ServeHTTP(w, accepted.WithContext(context.WithValue(accepted.Context(), authenticatedKey{}, true)))
	})
}

// authenticate returns the authenticated request. It checks the cluster's name
// before the secret, so that a process with the address of another cluster gets
// an error that says so.
func (p *Peer) authenticate(r *http.Request) (*http.Request, error) {
	if got := r.Header.Get(headerCluster); got != p.cluster {
		return nil, fault.Newf(fault.KindWrongCluster, "correct the address or the cluster's name",
			"the request is for cluster %q, this process belongs to %q", truncate(got, 128), p.cluster).At("cluster")
	}
	if p.certs != nil {
		if err := p.certs.verifyClient(r.TLS); err != nil {
			return nil, err
		}
		return r, nil
	}
	if p.verifier == nil {
		return r, nil
	}
	return p.verifier.verify(r)
}

// Server returns an HTTP server of h on the address. Serve starts it.
func (p *Peer) Server(addr string, h http.Handler) *http.Server {
	s := &http.Server{
		Addr:              addr,
		Handler:           p.Handler(h),
		Protocols:         new(http.Protocols),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       callTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             http2Config(),
	}
	s.Protocols.SetHTTP1(true)
	if p.certs == nil {
		s.Protocols.SetUnencryptedHTTP2(true)
		return s
	}
	s.Protocols.SetHTTP2(true)
	s.TLSConfig = p.certs.serverConfig()
	return s
}

// Serve runs the server on the listener, with TLS when certificates are set.
func (p *Peer) Serve(s *http.Server, l net.Listener) error {
	if p.certs != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}
