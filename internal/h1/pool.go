package h1

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configures a Pool.
type Options struct {
	// Echo is the header field in which servers echo a request's identifier.
	Echo string
	// DialTimeout limits the time to open a connection (500 ms).
	DialTimeout time.Duration
	// MaxIdle limits the idle connections to one server (32).
	MaxIdle int
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Dialed is called after each attempt to open a connection, unless the request was given up
	// meanwhile; nil for none.
	Dialed func(address string, err error)
}

// Pool holds the connections to all servers. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu      sync.Mutex
	servers map[string]*server
	// dials counts the connections opened.
	dials int64
}

type server struct {
	idle  []*conn
	open  int
	limit int
}

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = 500 * time.Millisecond
	}
	if opts.MaxIdle == 0 {
		opts.MaxIdle = 32
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	return &Pool{opts: opts, servers: map[string]*server{}}
}

// SetLimit limits the open connections to a server; 0 means no limit.
func (p *Pool) SetLimit(address string, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(address).limit = limit
}

func (p *Pool) server(address string) *server {
	s := p.servers[address]
	if s == nil {
		s = &server{}
		p.servers[address] = s
	}
	return s
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Do sends the request to the server and returns its response, which the
// caller must close. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, address, r)
	if err != nil {
		return nil, NewError(false, errors.Is(err, context.DeadlineExceeded), err)
	}
	resp, err := c.roundTrip(ctx, r, p.opts.Echo)
	if err != nil {
		p.release(address, c, false)
		return nil, err
	}
	resp.pool, resp.addr = p, address
	return resp, nil
}

// acquire returns an idle connection on which nothing has arrived, or a new
// one.
func (p *Pool) acquire(ctx context.Context, address string, r *Request) (*conn, error) {
	for {
		c, err := p.acquireIdle(address, r)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.hasNoInput() {
			return c, nil
		}
		p.release(address, c, false)
	}
}

// acquireIdle returns an idle connection, or nil when the caller has to open
// one, which is then already counted.
func (p *Pool) acquireIdle(address string, r *Request) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(address)
	for i := len(s.idle) - 1; i >= 0; i-- {
		c := s.idle[i]
		if c.hasFailed(r.ID) {
			continue // it serves others
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		if now.Before(c.expires) && (r.MaxIdle == 0 || now.Sub(c.idleSince) <= r.MaxIdle) {
			return c, nil
		}
		s.open--
		_ = c.Close()
	}
	if s.limit > 0 && s.open >= s.limit {
		return nil, errConnLimit
	}
	s.open++
	p.dials++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	c, err := p.opts.Dial(dialCtx, "tcp", address)
	if p.opts.Dialed != nil && ctx.Err() == nil {
		p.opts.Dialed(address, err)
	}
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.server(address).open--
		return nil, err
	}
	return newConn(c), nil
}

func (p *Pool) release(address string, c *conn, reuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(address)
	if reuse && len(s.idle) < p.opts.MaxIdle {
		_ = c.SetDeadline(time.Time{})
		c.idleSince = time.Now()
		s.idle = append(s.idle, c)
		return
	}
	s.open--
	_ = c.Close()
}

// Reachable reports whether a server accepts a new connection.
func (p *Pool) Reachable(ctx context.Context, address string) bool {
	c, err := p.opts.Dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Forget closes the idle connections to a server, for example after one
// stopped responding: the others may have too.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[address]
	if s == nil {
		return
	}
	for _, c := range s.idle {
		s.open--
		_ = c.Close()
	}
	s.idle = nil
	if s.open <= 0 {
		delete(p.servers, address)
	}
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		remaining := s.idle[:0]
		for _, c := range s.idle {
			if now.Before(c.expires) {
				remaining = append(remaining, c)
				continue
			}
			s.open--
			_ = c.Close()
		}
		s.idle = remaining
	}
}
