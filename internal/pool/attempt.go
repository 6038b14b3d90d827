package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/upload"
	"github.com/jasminesaddle/jasminesaddle/internal/wellformed"
)

var errSealed = errors.New("connection is sealed because its request has ended")

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
	// required is the upload that must succeed for the end of the connection to end a response; nil for none.
	required *upload.Upload
	// lines scans the head of the response as it arrives; nil over TLS, where only net/http sees it.
	lines *wellformed.HeadScanner
}

// Read returns io.EOF at the end of the connection, unless that may have cut a response off. net/http closes the connection
// after io.EOF, so the rest of the request is written before.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	required := c.required
	if c.lines != nil {
		c.lines.Scan(p[:n])
	}
	c.mu.Unlock()
	if err == io.EOF && required != nil {
		if err := required.Wait(); err != nil {
			return n, err
		}
	}
	return n, err
}

// expectHead has the head of the next response scanned.
func (c *conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = &wellformed.HeadScanner{}
}

// checkHead checks the head of a response that has arrived.
func (c *conn) checkHead(head *http.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lines == nil {
		return wellformed.Response(head)
	}
	return c.lines.Check(head)
}

func (c *conn) requireUpload(u *upload.Upload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.required = u
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

func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// mayHaveSent reports whether bytes may have been sent since base bytes had
// been written. With seal, it also seals the connection.
func (c *conn) mayHaveSent(base int64, seal bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || seal
	return c.pending > 0 || c.written > base
}

// Attempt records whether one request may have been sent. It must not be reused.
type Attempt struct {
	// upload is the write of the request on the connection that it got.
	upload *upload.Upload

	mu    sync.Mutex
	used  []usedConn
	ended bool
	sent  bool
}

type usedConn struct {
	conn *conn
	// base is the number of bytes that were written before this request.
	base int64
}

type attemptKey struct{}

func newAttempt() *Attempt { return &Attempt{upload: upload.New()} }

// WithAttempt returns a context for one request, which the Attempt records.
func WithAttempt(ctx context.Context) (context.Context, *Attempt) {
	a := newAttempt()
	return context.WithValue(ctx, attemptKey{}, a), a
}

// MayHaveSent reports whether any byte of the request may have been sent. False
// is definite once RoundTrip has returned: the connections that the request used
// are sealed before the result is read, so that no byte can be sent afterwards.
func (a *Attempt) MayHaveSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mayHaveSentLocked(false)
}

func (a *Attempt) mayHaveSentLocked(seal bool) bool {
	if a.ended {
		return a.sent
	}
	sent := false
	for _, u := range a.used {
		if u.conn == nil || u.conn.mayHaveSent(u.base, seal) {
			sent = true
		}
	}
	return sent
}

// fail makes the result of a failed request final and returns it.
func (a *Attempt) fail() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = a.mayHaveSentLocked(true)
	a.ended = true
	return a.sent
}

// succeed makes the result final for a request that got a response.
func (a *Attempt) succeed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent, a.ended = true, true
}

// requireUpload has the end of the connection end the response only if the request has been written.
func (a *Attempt) requireUpload() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.lastConn(); c != nil {
		c.requireUpload(a.upload)
	}
}

// checkHead checks the head of the response.
func (a *Attempt) checkHead(head *http.Response) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.lastConn(); c != nil {
		return c.checkHead(head)
	}
	return wellformed.Response(head)
}

// lastConn returns the connection that the request got last; nil if it is not known.
func (a *Attempt) lastConn() *conn {
	if len(a.used) == 0 {
		return nil
	}
	return a.used[len(a.used)-1].conn
}

// hasConn reports whether the request got a connection.
func (a *Attempt) hasConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.used) > 0
}

func (a *Attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:      a.gotConn,
		WroteRequest: func(info httptrace.WroteRequestInfo) { a.upload.End(info.Err) },
	}
}

// gotConn runs before the first byte of the request is written to the
// connection.
func (a *Attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := unwrapConn(info.Conn)
	if c == nil {
		a.used = append(a.used, usedConn{})
		return
	}
	// net/http retries some requests after the peer closed the connection, for
	// example those with an Idempotency-Key and no body. Sealing the new
	// connection prevents every such retry.
	if a.mayHaveSentLocked(false) {
		c.mayHaveSent(0, true)
	}
	a.used = append(a.used, usedConn{conn: c, base: c.bytesWritten()})
	if c == info.Conn {
		c.expectHead()
	}
}

// unwrapConn returns the byte-counting connection, which TLS wraps if in use, or
// nil.
func unwrapConn(c net.Conn) *conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	counter, _ := c.(*conn)
	return counter
}

// Bounds are the timeouts of one request. Zero values select those of the Set.
type Bounds struct {
	// FirstByte limits the time to the response header.
	FirstByte time.Duration
	// Gap limits the time between bytes of the response body.
	Gap time.Duration
}

type boundsKey struct{}

// WithBounds returns a context that sets the timeouts of its request.
func WithBounds(ctx context.Context, b Bounds) context.Context {
	return context.WithValue(ctx, boundsKey{}, b)
}

func (o *Options) bounds(ctx context.Context) Bounds {
	b, _ := ctx.Value(boundsKey{}).(Bounds)
	b.FirstByte = orDefault(b.FirstByte, o.FirstByte)
	b.Gap = orDefault(b.Gap, o.Gap)
	return b
}
