// Package connlimit limits the open connections of callers, so that a process keeps descriptors for its backend servers and
// for other callers. It answers the load of callers that open many connections and leave them open. At the limit, the
// connection that has waited longest for its caller gives way to a new one.
//
// Invariant: a connection whose request is being served is never closed.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// minWait is the time that a connection may wait for its caller before it gives way.
const minWait = 500 * time.Millisecond

// Limiter limits the connections of one server. It is safe for concurrent use.
type Limiter struct {
	max int
	now func() time.Time

	mu    sync.Mutex
	conns map[net.Conn]*conn
	// closed counts the connections that gave way, or that found no room.
	closed uint64
}

// conn is an open connection.
type conn struct {
	limiter *Limiter
	// waiting is true while the caller has to send something: a request, or the rest of one.
	waiting bool
	since   time.Time
}

// New returns a limiter of a number of connections, 0 for no limit.
func New(most int, now func() time.Time) *Limiter {
	return &Limiter{max: most, now: now, conns: map[net.Conn]*conn{}}
}

// Closed returns the number of connections that gave way or found no room.
func (l *Limiter) Closed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// contextKey is the key of a connection in the contexts of its requests.
type contextKey struct{}

// Attach has the limiter follow the connections of a server.
func (l *Limiter) Attach(s *http.Server) {
	s.ConnState = l.observe
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		l.mu.Lock()
		defer l.mu.Unlock()
		return context.WithValue(ctx, contextKey{}, l.conns[c])
	}
}

// Reading records that the body of a request with the context is being read, until done is called.
func Reading(ctx context.Context) (done func()) {
	c, _ := ctx.Value(contextKey{}).(*conn)
	if c == nil {
		return func() {}
	}
	c.set(true)
	return func() { c.set(false) }
}

func (c *conn) set(waiting bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.waiting, c.since = waiting, c.limiter.now()
}

// observe follows the state of a connection.
func (l *Limiter) observe(nc net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c := l.conns[nc]; {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(l.conns, nc)
	case c != nil:
		c.waiting, c.since = state != http.StateActive, l.now()
	}
}

// Listen returns a listener that accepts connections within the limit.
func (l *Limiter) Listen(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept waits for a connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil || l.limiter.admit(nc) {
			return nc, err
		}
		_ = nc.Close()
	}
}

// admit counts a new connection. At the limit it closes the one that has waited longest; it reports false if none has.
func (l *Limiter) admit(nc net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.max > 0 && len(l.conns) >= l.max {
		l.closed++
		oldest := l.longestWaiting()
		if oldest == nil {
			return false
		}
		delete(l.conns, oldest)
		_ = oldest.Close()
	}
	l.conns[nc] = &conn{limiter: l, waiting: true, since: l.now()}
	return true
}

func (l *Limiter) longestWaiting() net.Conn {
	var oldest net.Conn
	now := l.now()
	for nc, c := range l.conns {
		if c.waiting && now.Sub(c.since) >= minWait && (oldest == nil || c.since.Before(l.conns[oldest].since)) {
			oldest = nc
		}
	}
	return oldest
}
