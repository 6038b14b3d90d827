package pool

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var errSealed = errors.New("the call on this connection has ended")

// conn counts the bytes that are handed to the operating system and can be
// sealed against further writes.
type conn struct {
	net.Conn
	release func()
	once    sync.Once

	mu      sync.Mutex
	sealed  bool
	pending int
	written int64
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.pending++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.pending--
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

func (c *conn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// maySent tells whether bytes may have left since the count was base.
func (c *conn) maySent(base int64, seal bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || seal
	return c.pending > 0 || c.written > base
}

// Attempt records how far one request got on the wire. It is not used again.
type Attempt struct {
	mu    sync.Mutex
	used  []usedConn
	ended bool
	sent  bool
}

type usedConn struct {
	conn *conn
	base int64
}

type attemptKey struct{}

// WithAttempt returns a context whose one request is recorded in the Attempt.
func WithAttempt(ctx context.Context) (context.Context, *Attempt) {
	a := &Attempt{}
	return context.WithValue(ctx, attemptKey{}, a), a
}

// MayHaveSent tells whether any byte of the request may have left. False is exact
// once RoundTrip has returned: the connections that the request had are sealed
// before the answer is read, so that no byte can leave afterwards.
func (a *Attempt) MayHaveSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.maySent(false)
}

func (a *Attempt) maySent(seal bool) bool {
	if a.ended {
		return a.sent
	}
	sent := false
	for _, u := range a.used {
		if u.conn == nil || u.conn.maySent(u.base, seal) {
			sent = true
		}
	}
	return sent
}

// end fixes the result of a failed request.
func (a *Attempt) end() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = a.maySent(true)
	a.ended = true
	return a.sent
}

// succeed fixes the result of an answered request.
func (a *Attempt) succeed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent, a.ended = true, true
}

// hasConn tells whether the request got a connection.
func (a *Attempt) hasConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.used) > 0
}

func (a *Attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn}
}

// gotConn runs before the first byte of the request is written to the
// connection.
func (a *Attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := counted(info.Conn)
	if c == nil {
		a.used = append(a.used, usedConn{})
		return
	}
	// net/http sends some requests again after the other side closed the
	// connection, for example those with an Idempotency-Key and no body. A
	// sealed connection makes that impossible whatever the reason.
	if a.maySent(false) {
		c.maySent(0, true)
	}
	a.used = append(a.used, usedConn{conn: c, base: c.count()})
}

// counted returns the counting connection, which is below TLS if there is TLS.
func counted(c net.Conn) *conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	counting, _ := c.(*conn)
	return counting
}

// Bounds are the time bounds of one call. Zero values select those of the Set.
type Bounds struct {
	// FirstByte bounds the time to the response header.
	FirstByte time.Duration
	// Gap bounds the silence between bytes of the answer.
	Gap time.Duration
}

type boundsKey struct{}

// WithBounds returns a context that sets the time bounds of its request.
func WithBounds(ctx context.Context, b Bounds) context.Context {
	return context.WithValue(ctx, boundsKey{}, b)
}

func (o *Options) bounds(ctx context.Context) Bounds {
	b, _ := ctx.Value(boundsKey{}).(Bounds)
	b.FirstByte = orDefault(b.FirstByte, o.FirstByte)
	b.Gap = orDefault(b.Gap, o.Gap)
	return b
}
