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

	"github.com/jasminesaddle/jasminesaddle/internal/wellformed"
)

// maxHeaderBytes limits the response header of a backend server.
const maxHeaderBytes = 64 << 10

// maxProbeBytes limits how much of its response body a probe reads.
const maxProbeBytes = 64 << 10

var errTooManyConns = errors.New("connection limit of the backend server reached")

// server holds the transports to one backend server.
type server struct {
	name  string
	opts  *Options
	conns atomic.Int64
	// singleUse opens a new connection for each request.
	singleUse *http.Transport

	mu  sync.Mutex
	gen *generation
	// silentAt holds the times of recent silent failures on gen.
	silentAt []time.Time
}

// generation is one transport for repeatable requests. Replacing it abandons all
// its connections at once, including those that are silent but not yet detected.
type generation struct {
	number    int
	transport *http.Transport
	retired   atomic.Bool
	// probed is set once a probe of this transport has succeeded.
	probed     atomic.Bool
	probeGroup singleflight.Group
}

func newServer(name string, opts *Options) *server {
	s := &server{name: name, opts: opts}
	s.singleUse = s.newTransport(max(1, opts.MaxConns/4))
	s.singleUse.DisableKeepAlives = true
	s.gen = s.newGeneration(1)
	s.gen.probed.Store(true)
	return s
}

func (s *server) newGeneration(number int) *generation {
	return &generation{number: number, transport: s.newTransport(max(1, s.opts.MaxConns/2))}
}

func (s *server) newTransport(maxConns int) *http.Transport {
	var protocols http.Protocols
	// HTTP/1.1 sends one request at a time on a connection, so that the count of
	// written bytes is exact for each request.
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

// dial opens a connection, subject to the connect timeout and MaxConns.
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

// reportSilent counts a silent failure on a connection of gen and replaces the
// transport at the limit. Failures of a transport that is already replaced say
// nothing about the current one.
func (s *server) reportSilent(gen *generation) {
	now := time.Now()
	s.mu.Lock()
	if gen != s.gen {
		s.mu.Unlock()
		return
	}
	recent := s.silentAt[:0]
	for _, at := range s.silentAt {
		if now.Sub(at) < s.opts.SilentWindow {
			recent = append(recent, at)
		}
	}
	s.silentAt = append(recent, now)
	if len(s.silentAt) < s.opts.SilentLimit {
		s.mu.Unlock()
		return
	}
	s.silentAt = nil
	s.gen = s.newGeneration(gen.number + 1)
	s.mu.Unlock()
	gen.retire()
	s.opts.Logger.Warn().Str("backend_server", s.name).Int("transport", gen.number+1).
		Str("reason", "silent_connections").Msg("transport replaced")
}

// retire closes the idle connections; running requests continue.
func (g *generation) retire() {
	g.retired.Store(true)
	g.transport.CloseIdleConnections()
}

// requestEnded closes the connections that became idle on a retired transport.
// One that becomes idle later is closed by the idle timeout.
func (g *generation) requestEnded() {
	if g.retired.Load() {
		g.transport.CloseIdleConnections()
	}
}

func (s *server) close() {
	s.current().retire()
	s.singleUse.CloseIdleConnections()
}

// ensureProbed probes a transport that replaced another before its first
// request. Concurrent requests share one probe.
func (s *server) ensureProbed(ctx context.Context, gen *generation, target *url.URL) error {
	if gen.probed.Load() {
		return nil
	}
	done := gen.probeGroup.DoChan("", func() (any, error) { return nil, s.probe(gen, target) })
	select {
	case r := <-done:
		return r.Err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (s *server) probe(gen *generation, target *url.URL) error {
	if gen.probed.Load() {
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
	if err := wellformed.Response(resp); err != nil {
		return err
	}
	// The connection returns to the transport only when the response is read to
	// its end; the request that waits for the probe then reuses it.
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBytes)); err != nil {
		return err
	}
	gen.probed.Store(true)
	return nil
}
