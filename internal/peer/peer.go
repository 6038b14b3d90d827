// Package peer connects the project's own processes over HTTP/2, in cleartext
// or with mutual TLS, and lets a process serve only those of its own cluster.
//
// In cleartext each request carries an HMAC-SHA256 with the cluster secret. It
// covers the cluster, method, path, encoding, body and a random nonce, so a
// request cannot be made or changed without the secret. A server refuses a
// nonce among the last 65,536 that it accepted. The secret does not cover
// answers, secrecy, a replay after that window or a restart, or a replay to
// another host of the cluster. Where the network can be listened to, use TLS.
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
	// MaxMessageBytes bounds one message. The largest is a whole configuration or
	// manifest, whose file is bounded by 32 MiB.
	MaxMessageBytes = 64 << 20
	maxHeaderBytes  = 64 << 10
	minSecretBytes  = 16
	// minCompressBytes keeps short messages, such as heartbeats, uncompressed.
	minCompressBytes = 4096
)

// Bounds on connections. A connection that became silent is replaced after
// pingAfter + pingTimeout, before a view is too old to serve keyed routes.
const (
	dialTimeout = time.Second
	pingAfter   = time.Second
	pingTimeout = time.Second
	// callTimeout bounds calls without a deadline of their own.
	callTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	readHeaderTimeout = 5 * time.Second
	maxStreams        = 4096
)

// Options configure a Peer. One of TLS, Secret and Open must be set.
type Options struct {
	Cluster string
	// Open serves every process that names the cluster. It is meant for
	// platforms that give their processes a private network and no secret.
	Open bool
	// Secret is the cluster secret, at least 16 bytes. It is not used with TLS.
	Secret []byte
	// TLS names the certificate files for mutual TLS.
	TLS *TLSFiles
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Peer makes clients and servers for the RPCs between own processes.
type Peer struct {
	cluster  string
	certs    *certificates
	verifier *verifier
	client   *http.Client
	errors   *connect.ErrorWriter
}

// New checks the options and loads the certificates.
func New(opts Options) (*Peer, error) {
	if opts.Cluster == "" {
		return nil, fault.New(fault.KindInvalidSetting, "the cluster has no name", "set the cluster's name").At("cluster")
	}
	p := &Peer{cluster: opts.Cluster, errors: connect.NewErrorWriter()}
	sign := &signer{cluster: opts.Cluster}
	if opts.TLS != nil {
		certs, err := loadCertificates(*opts.TLS)
		if err != nil {
			return nil, err
		}
		p.certs = certs
	} else if !opts.Open {
		if len(opts.Secret) < minSecretBytes {
			return nil, fault.Newf(fault.KindInvalidSetting, "set a cluster secret or certificates",
				"the cluster secret has fewer than %d bytes", minSecretBytes).At("secret")
		}
		sign.secret = opts.Secret
		p.verifier = &verifier{cluster: opts.Cluster, secret: opts.Secret}
	}
	sign.next = p.transport(opts.Dial)
	p.client = &http.Client{Transport: sign, Timeout: callTimeout, CheckRedirect: noRedirect}
	return p, nil
}

// noRedirect stops a redirect from moving a signed request elsewhere.
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
		DialContext:            boundedDial(dial),
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

func boundedDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
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

// HTTPClient returns the client of all calls to other processes.
func (p *Peer) HTTPClient() connect.HTTPClient { return p.client }

// ClientOptions bound the messages and turn errors into fault.Error.
func (p *Peer) ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithInterceptors(clientInterceptor()),
	}
}

// HandlerOptions bound the messages, carry fault.Error to the client, and
// refuse requests that did not pass Handler.
func (p *Peer) HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithInterceptors(handlerInterceptor()),
	}
}

// closedPrefixes start the paths that only processes of the cluster may ask for:
// the RPCs, and the decisions on requests, which name teams. Other paths, such
// as the health check and the counters, are open.
var closedPrefixes = []string{"/jasmine.", "/debug/explain"}

func isClosed(path string) bool {
	return slices.ContainsFunc(closedPrefixes, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// Handler authenticates the RPCs among the requests to h.
func (p *Peer) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isClosed(r.URL.Path) {
			h.ServeHTTP(w, r)
			return
		}
		accepted, err := p.authenticate(r)
		if err != nil {
			// A client that has replaced its certificate since it opened the
			// connection comes back with the new one.
			w.Header().Set("Connection", "close")
			_ = p.errors.Write(w, r, ToConnect(err))
			return
		}
		h.ServeHTTP(w, accepted.WithContext(context.WithValue(accepted.Context(), authenticatedKey{}, true)))
	})
}

// authenticate checks the cluster before the secret, so that a process that
// was given the address of another cluster learns just that.
func (p *Peer) authenticate(r *http.Request) (*http.Request, error) {
	if got := r.Header.Get(headerCluster); got != p.cluster {
		return nil, fault.Newf(fault.KindWrongCluster, "correct the address or the cluster's name",
			"the request is for cluster %q, this process belongs to %q", clip(got, 128), p.cluster).At("cluster")
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

// Server returns a server of h on the address. Start it with Serve.
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

// Serve serves on the listener, with TLS when certificates are set.
func (p *Peer) Serve(s *http.Server, l net.Listener) error {
	if p.certs != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}
