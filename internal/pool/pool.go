// Package pool provides the HTTP/1.1 transports to backend servers. Each
// transport has timeouts for connecting, for the response header and between
// bytes of a response body, never follows a redirect and uses no proxy. After
// repeated silent failures, the whole transport of a backend server is replaced.
package pool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Options are the timeouts and limits of a Set. Zero values select the defaults.
type Options struct {
	// Connect limits the time to open a TCP connection; default 1 s.
	Connect time.Duration
	// FirstByte limits the time from the start of a request to its response
	// header, unless the request's Bounds set another; default 60 s.
	FirstByte time.Duration
	// Gap limits the time between bytes of a response body, unless the request's
	// Bounds set another; default 10 s.
	Gap time.Duration
	// Idle is the time after which idle connections are closed; default 4 s. It
	// must be shorter than the backend servers' own idle timeout, commonly 5 s,
	// because a request sent while the peer closes the connection has an unknown
	// outcome.
	Idle time.Duration
	// KeepAlive is the period of TCP keep-alive probes; default 2 s.
	KeepAlive time.Duration
	// UserTimeout closes a connection whose peer acknowledges neither data nor
	// keep-alive probes for this long; default 5 s. When a device on the path has
	// lost the connection's state, this ends the connection long before the
	// timeout of a whole response does.
	UserTimeout time.Duration
	// Probe limits the time of a new transport's probe; default 1 s.
	Probe time.Duration
	// ProbePath is the path that the probe requests; any HTTP response counts as
	// success. Default "/health".
	ProbePath string
	// SilentLimit is the number of silent failures within SilentWindow after
	// which a transport is replaced; defaults 2 and 60 s.
	SilentLimit  int
	SilentWindow time.Duration
	// MaxConns limits the connections to one backend server, over all its
	// transports; default 1024. The transport for repeatable requests may use
	// half of them and the one for single-use requests a quarter; the rest is for
	// the connections that a replaced transport still has open.
	MaxConns int
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Logger receives one line per replaced transport.
	Logger zerolog.Logger
}

// orDefault returns def when v is not positive.
func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

func (o Options) withDefaults() Options {
	o.Connect = orDefault(o.Connect, time.Second)
	o.FirstByte = orDefault(o.FirstByte, time.Minute)
	o.Gap = orDefault(o.Gap, 10*time.Second)
	o.Idle = orDefault(o.Idle, 4*time.Second)
	o.KeepAlive = orDefault(o.KeepAlive, 2*time.Second)
	o.UserTimeout = orDefault(o.UserTimeout, 5*time.Second)
	o.Probe = orDefault(o.Probe, time.Second)
	o.SilentLimit = orDefault(o.SilentLimit, 2)
	o.SilentWindow = orDefault(o.SilentWindow, time.Minute)
	o.MaxConns = orDefault(o.MaxConns, 1024)
	if o.ProbePath == "" {
		o.ProbePath = "/health"
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.KeepAlive, Interval: o.KeepAlive, Count: 3},
			ControlContext:  userTimeout(o.UserTimeout),
		}).DialContext
	}
	return o
}

// Set holds the transports to all backend servers of a process. It is safe for
// concurrent use.
type Set struct {
	opts Options

	mu      sync.Mutex
	servers map[string]*server
}

// NewSet returns an empty set.
func NewSet(opts Options) *Set {
	return &Set{opts: opts.withDefaults(), servers: map[string]*server{}}
}

func (s *Set) server(name string) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.servers[name]
	if !ok {
		v = newServer(name, &s.opts)
		s.servers[name] = v
	}
	return v
}

// Transport returns the round tripper for repeatable requests to the named
// backend server. It reuses connections. It never retries a request of which a
// byte may have been sent; only a request of which no byte was written moves to
// another connection.
func (s *Set) Transport(server string) http.RoundTripper {
	return &roundTripper{server: s.server(server)}
}

// SingleUse returns the round tripper for requests that may run at most once.
// Each request has a new connection that carries no other.
func (s *Set) SingleUse(server string) http.RoundTripper {
	return &roundTripper{server: s.server(server), singleUse: true}
}

// ReportSilent counts a silent failure that the caller detected by a timeout of
// its own. Failures detected by this package's timeouts are already counted.
func (s *Set) ReportSilent(server string) {
	v := s.server(server)
	v.reportSilent(v.current())
}

// Forget removes the backend server. Running requests continue.
func (s *Set) Forget(server string) {
	s.mu.Lock()
	v, ok := s.servers[server]
	delete(s.servers, server)
	s.mu.Unlock()
	if ok {
		v.close()
	}
}

// Close removes all backend servers. Running requests continue.
func (s *Set) Close() {
	s.mu.Lock()
	old := s.servers
	s.servers = map[string]*server{}
	s.mu.Unlock()
	for _, v := range old {
		v.close()
	}
}
