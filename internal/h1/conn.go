// Package h1 is a strict HTTP/1.1 client for backend servers. It never sends a
// request twice, tells whether a byte of it may have been received, matches
// answers by an identifier that the server echoes, and gives up a connection on
// which anything unexpected came.
package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	readBuffer = 4 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxSkippedBytes bounds the body of an answer to another request.
	maxSkippedBytes = 1 << 20
	// asyncBody is the size from which a body is written beside reading the
	// answer: a server may answer before it has read a long body.
	asyncBody = 16 << 10
	// idleMargin is how long before the announced time-out an idle connection is
	// given up, for the time that a request takes to arrive.
	idleMargin = 700 * time.Millisecond
	// defaultIdle is the time-out of servers that announce none.
	defaultIdle = 4 * time.Second
)

// Error is a failed exchange.
type Error struct {
	// Sent is true when a byte of the request may have reached the server.
	Sent bool
	// Timeout is true when the server did not answer in time.
	Timeout bool
	cause   error
}

func (e *Error) Error() string {
	what := "no byte of the request was sent"
	if e.Sent {
		what = "the request was sent and not answered"
	}
	return what + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

var (
	errMismatch = errors.New("the answer does not name the request")
	errLimit    = errors.New("all connections to the server are in use")
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is one request. The body is sent with its length.
type Request struct {
	Method, Target, Host string
	Fields               []Field
	Body                 []byte
	// ID is the identifier that the answer must echo; empty for calls without one.
	ID string
	// MaxIdle bounds the idle time of a reused connection; 0 means no bound. An
	// old connection may be closed while the request is on its way, and then
	// nobody knows whether it ran.
	MaxIdle time.Duration
}

func (r *Request) header() []byte {
	b := make([]byte, 0, 512)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for _, f := range r.Fields {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// conn is one connection. One exchange uses it at a time.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	limit  limitedReader
	reader *bufio.Reader
	// expires is when an idle connection is given up, idleSince since when it is.
	expires, idleSince time.Time
}

// limitedReader bounds what is read of a header.
type limitedReader struct {
	r    io.Reader
	left int64
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errors.New("the header of the answer is too long")
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= int64(n)
	return n, err
}

const unlimited = 1 << 62

func newConn(c net.Conn) *conn {
	out := &conn{Conn: c, limit: limitedReader{r: c, left: unlimited}}
	if s, ok := c.(syscall.Conn); ok {
		out.raw, _ = s.SyscallConn()
	}
	out.reader = bufio.NewReaderSize(&out.limit, readBuffer)
	return out
}

// quiet tells whether nothing has come on an idle connection: neither its end
// nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// exchange sends the request and reads the header of its answer.
func (c *conn) exchange(ctx context.Context, r *Request, echo string) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp := &Response{conn: c, stop: stop}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	} else {
		_ = c.SetDeadline(time.Time{})
	}
	if sent, err := resp.write(r); err != nil {
		return nil, resp.fail(ctx, sent, err)
	}
	for skipped := 0; ; skipped++ {
		head, err := c.readHead(r)
		if err != nil {
			return nil, resp.fail(ctx, true, err)
		}
		if head.StatusCode < 200 {
			continue
		}
		if r.ID == "" || head.Header.Get(echo) == r.ID || head.Header.Get(echo) == "" && head.StatusCode >= 300 {
			resp.take(head, skipped > 0)
			return resp, nil
		}
		// A late answer to an earlier request may stand before the own one.
		if err := skip(head); err != nil || head.Header.Get(echo) == "" || skipped > 0 {
			return nil, resp.fail(ctx, true, errors.CombineErrors(errMismatch, err))
		}
	}
}

func (c *conn) readHead(r *Request) (*http.Response, error) {
	c.limit.left = maxHeaderBytes
	defer func() { c.limit.left = unlimited }()
	return http.ReadResponse(c.reader, &http.Request{Method: r.Method})
}

func skip(head *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxSkippedBytes))
	if err == nil && n == maxSkippedBytes {
		err = errors.New("the answer to another request is too long")
	}
	return err
}

// Response is an answer whose body is not read yet.
type Response struct {
	Status int
	Header http.Header
	// Length of the body, or -1 when it ends by its own framing.
	Length int64

	conn *conn
	pool *Pool
	addr string
	body io.Reader
	stop func() bool
	// dirty is true when the connection must not be used again.
	dirty   bool
	written chan error // of a body that is written beside reading
	ended   bool
}

func (r *Response) write(req *Request) (sent bool, err error) {
	head := req.header()
	if len(req.Body) <= asyncBody {
		n, err := r.conn.Write(append(head, req.Body...))
		return n > 0, err
	}
	written, c := make(chan error, 1), r.conn
	r.written = written
	go func() {
		_, err := c.Write(head)
		if err == nil {
			_, err = c.Write(req.Body)
		}
		written <- err
	}()
	return true, nil
}

func (r *Response) take(head *http.Response, dirty bool) {
	r.Status, r.Header, r.Length, r.body = head.StatusCode, head.Header, head.ContentLength, head.Body
	r.dirty = dirty || head.Close || head.ProtoMinor == 0
	r.conn.expires = time.Now().Add(idleTime(head.Header.Get("Keep-Alive")))
}

// idleTime reads the time-out of a Keep-Alive field, in whole seconds.
func idleTime(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}

func (r *Response) fail(ctx context.Context, sent bool, err error) error {
	r.dirty = true
	r.finish()
	timeout := errors.Is(err, syscall.ETIMEDOUT)
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		timeout = true
	}
	if ctx.Err() != nil {
		err = errors.CombineErrors(context.Cause(ctx), err)
	}
	return NewError(sent, timeout, err)
}

// Read reads the body. io.EOF means that the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.ended = true
	} else if err != nil {
		r.dirty = true
	}
	return n, err
}

// Close ends the exchange. A connection is used again only when the body was
// read to its end and nothing else came.
func (r *Response) Close() error {
	if !r.ended {
		r.dirty = true
	}
	r.finish()
	return nil
}

func (r *Response) finish() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	// After stop has returned false the connection's deadline may be set late.
	if r.stop != nil && !r.stop() {
		r.dirty = true
	}
	if !r.dirty && r.written != nil {
		select {
		case err := <-r.written:
			r.dirty = err != nil
		default:
			r.dirty = true
		}
	}
	if !r.dirty && c.reader.Buffered() > 0 {
		r.dirty = true
	}
	if r.pool != nil {
		r.pool.release(r.addr, c, !r.dirty)
		return
	}
	_ = c.Close()
}

// Busy tells whether all connections to the server were in use.
func (e *Error) Busy() bool { return errors.Is(e.cause, errLimit) }

// NewError returns the error of an exchange that failed for the cause.
func NewError(sent, timeout bool, cause error) *Error {
	return &Error{Sent: sent, Timeout: timeout, cause: cause}
}
