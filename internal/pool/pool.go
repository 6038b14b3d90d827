// Package pool holds the HTTP/1.1 transports to backend servers. Each transport
// has bounds on connect, on the time to the response header and on the silence
// between bytes of an answer, never follows a redirect and uses no proxy. After
// silent failures the whole transport of a backend server is replaced.
package pool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Options are the bounds of a Set. Zero values select the defaults.
type Options struct {
	// Connect bounds the time to a TCP connection; default 1 s.
	Connect time.Duration
	// FirstByte bounds the time from the start of a call to its response header,
	// unless the call's Bounds say otherwise; default 60 s.
	FirstByte time.Duration
	// Gap bounds the silence between bytes of an answer, unless the call's
	// Bounds say otherwise; default 10 s.
	Gap time.Duration
	// Idle closes connections without a request; default 4 s. It has to be
	// shorter than the backend servers' own bound, for which 5 s is common,
	// because a request that meets a connection while the other side closes it
	// has an unknown outcome.
	Idle time.Duration
	// KeepAlive is the period of TCP keep-alive probes; default 2 s.
	KeepAlive time.Duration
	// UserTimeout closes a connection whose other end acknowledges neither data
	// nor keep-alive probes for this long; default 5 s. Where something between
	// the two ends has lost track of a connection, this ends it long before the
	// bound of a whole answer does.
	UserTimeout time.Duration
	// Probe bounds the probe of a replaced transport; default 1 s.
	Probe time.Duration
	// ProbePath is requested by the probe; any HTTP answer to it passes.
	// Default "/health".
	ProbePath string
	// SilentLimit is the number of silent failures within SilentWindow that
	// replaces a transport; defaults 2 and 60 s.
	SilentLimit  int
	SilentWindow time.Duration
	// MaxConns bounds the connections to one backend server, over all its
	// transports; default 1024. The transport for repeatable calls may use half
	// of it and the one for single-use calls a quarter; the rest is for the
	// connections that a replaced transport still has.
	MaxConns int
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Logger gets one line per replaced transport.
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

// Transport returns the round tripper for repeatable calls to the named backend
// server. It keeps connections alive. A request whose bytes may have left is
// never sent again; only a request of which no byte was written moves to
// another connection.
func (s *Set) Transport(server string) http.RoundTripper {
	return &roundTripper{server: s.server(server)}
}

// SingleUse returns the round tripper for calls that may run at most once. Each
// call has a fresh connection that is used for nothing else.
func (s *Set) SingleUse(server string) http.RoundTripper {
	return &roundTripper{server: s.server(server), single: true}
}

// ReportSilent counts a silent failure that the caller found by a bound of its
// own. The failures that the bounds of this package find are already counted.
func (s *Set) ReportSilent(server string) {
	v := s.server(server)
	v.reportSilent(v.current())
}

// Forget drops the backend server. Running calls go on.
func (s *Set) Forget(server string) {
	s.mu.Lock()
	v, ok := s.servers[server]
	delete(s.servers, server)
	s.mu.Unlock()
	if ok {
		v.close()
	}
}

// Close drops all backend servers. Running calls go on.
func (s *Set) Close() {
	s.mu.Lock()
	old := s.servers
	s.servers = map[string]*server{}
	s.mu.Unlock()
	for _, v := range old {
		v.close()
	}
}
