package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"
)

// maxHeaderBytes bounds the response header of a backend server.
const maxHeaderBytes = 64 << 10

// maxProbeBytes bounds what a probe reads of its answer.
const maxProbeBytes = 64 << 10

var errTooManyConns = errors.New("the bound on connections to the backend server is reached")

// server holds the transports to one backend server.
type server struct {
	name  string
	opts  *Options
	conns atomic.Int64
	// single opens a fresh connection for each call.
	single *http.Transport

	mu     sync.Mutex
	gen    *generation
	silent []time.Time
}

// generation is one transport for repeatable calls. Replacing it leaves the
// silent connections behind as a whole.
type generation struct {
	number    int
	transport *http.Transport
	retired   atomic.Bool
	// proven is set once a connection of this transport has answered a probe.
	proven atomic.Bool
	flight singleflight.Group
}

func newServer(name string, opts *Options) *server {
	s := &server{name: name, opts: opts}
	s.single = s.newTransport(max(1, opts.MaxConns/4))
	s.single.DisableKeepAlives = true
	s.gen = s.newGeneration(1)
	s.gen.proven.Store(true)
	return s
}

func (s *server) newGeneration(number int) *generation {
	return &generation{number: number, transport: s.newTransport(max(1, s.opts.MaxConns/2))}
}

func (s *server) newTransport(maxConns int) *http.Transport {
	var protocols http.Protocols
	// HTTP/1.1 has one request at a time on a connection, which makes the count
	// of written bytes exact for each request.
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            s.dial,
		Protocols:              &protocols,
		DisableCompression:     true,
		MaxConnsPerHost:        maxConns,
		MaxIdleConns:           maxConns,
		MaxIdleConnsPerHost:    maxConns,
		IdleConnTimeout:        s.opts.Idle,
		TLSHandshakeTimeout:    s.opts.Connect,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// dial opens a connection within the bounds on time and number.
func (s *server) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if s.conns.Add(1) > int64(s.opts.MaxConns) {
		s.conns.Add(-1)
		return nil, errTooManyConns
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Connect)
	defer cancel()
	c, err := s.opts.Dial(ctx, network, address)
	if err != nil {
		s.conns.Add(-1)
		return nil, err
	}
	return &conn{Conn: c, release: func() { s.conns.Add(-1) }}, nil
}

func (s *server) current() *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gen
}

// reportSilent counts a silent failure on a connection of gen. Failures of a
// transport that is already replaced say nothing about the present one.
func (s *server) reportSilent(gen *generation) {
	now := time.Now()
	s.mu.Lock()
	if gen != s.gen {
		s.mu.Unlock()
		return
	}
	recent := s.silent[:0]
	for _, at := range s.silent {
		if now.Sub(at) < s.opts.SilentWindow {
			recent = append(recent, at)
		}
	}
	s.silent = append(recent, now)
	if len(s.silent) < s.opts.SilentLimit {
		s.mu.Unlock()
		return
	}
	s.silent = nil
	s.gen = s.newGeneration(gen.number + 1)
	s.mu.Unlock()
	gen.retire()
	s.opts.Logger.Warn().Str("backend_server", s.name).Int("transport", gen.number+1).
		Str("reason", "silent_connections").Msg("transport replaced")
}

// retire closes the idle connections; running calls go on.
func (g *generation) retire() {
	g.retired.Store(true)
	g.transport.CloseIdleConnections()
}

// callEnded closes connections that a retired transport got back. A connection
// that becomes idle later is closed by the idle bound.
func (g *generation) callEnded() {
	if g.retired.Load() {
		g.transport.CloseIdleConnections()
	}
}

func (s *server) close() {
	s.current().retire()
	s.single.CloseIdleConnections()
}

// prove probes the first connection of a replaced transport. Concurrent calls
// share one probe.
func (s *server) prove(ctx context.Context, gen *generation, target *url.URL) error {
	if gen.proven.Load() {
		return nil
	}
	done := gen.flight.DoChan("", func() (any, error) { return nil, s.probe(gen, target) })
	select {
	case r := <-done:
		return r.Err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (s *server) probe(gen *generation, target *url.URL) error {
	if gen.proven.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Probe)
	defer cancel()
	u := url.URL{Scheme: target.Scheme, Host: target.Host, Path: s.opts.ProbePath}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	resp, err := gen.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	// The connection returns to the transport only when the answer is read to
	// its end, and the call that waits for the probe then uses it.
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBytes)); err != nil {
		return err
	}
	gen.proven.Store(true)
	return nil
}
