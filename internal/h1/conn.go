// Package h1 is a strict HTTP/1.1 client for backend servers. It never sends a
// request twice, reports whether a byte of it may have reached the server,
// matches responses by an identifier that the server echoes, and closes a
// connection on which it received anything unexpected.
package h1

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/upload"
	"github.com/jasminesaddle/jasminesaddle/internal/wellformed"
)

const (
	readBufferBytes = 4 << 10
	// maxHeaderBytes limits the header of a response together with the informational
	// responses before it, which a faulty server may send without end.
	maxHeaderBytes = 64 << 10
	// maxSkippedBytes limits the body of a response to another request.
	maxSkippedBytes = 1 << 20
	// asyncBodyBytes is the size above which a body is written while the
	// response is read: a server may respond before it has read a long body.
	asyncBodyBytes = 16 << 10
	// idleMargin is how long before the server's announced idle timeout a
	// connection is closed, to allow for the time that a request takes to
	// arrive.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of servers that announce none.
	defaultIdleTimeout = 4 * time.Second
)

// Error is the error of a failed exchange.
type Error struct {
	// Sent is true when a byte of the request may have reached the server.
	Sent bool
	// Timeout is true when the server did not respond in time.
	Timeout bool
	cause   error
}

func (e *Error) Error() string {
	what := "no byte of the request was sent"
	if e.Sent {
		what = "the request was sent but got no response"
	}
	return what + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

var (
	errIDMismatch = errors.New("the response does not echo the request's identifier")
	errConnLimit  = errors.New("all connections to the server are in use")
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is one request. The body is sent with a Content-Length.
type Request struct {
	Method, Target, Host string
	Fields               []Field
	Body                 []byte
	// ID is the identifier that the response must echo; empty for requests
	// without one.
	ID string
	// MaxIdle limits the idle time of a reused connection; 0 means no limit.
	// The server may close an old connection while the request is in transit,
	// and then it is unknown whether the request ran.
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
	head   headReader
	reader *bufio.Reader
	// expires is when an idle connection is closed, idleSince when it became
	// idle.
	expires, idleSince time.Time
	// used is true once a response has come over the connection.
	used bool
	// failed are the identifiers of the last requests that got no success here. A faulty server may send
	// such a response once more, where that to a retry with the same identifier is expected.
	failed []string
}

// maxFailedIDs is the number of identifiers that a connection remembers.
const maxFailedIDs = 32

// hasFailed reports whether a request with the identifier got no success over the connection.
func (c *conn) hasFailed(id string) bool { return id != "" && slices.Contains(c.failed, id) }

// record notes the response to a request.
func (c *conn) record(id string, status int) {
	c.used = true
	if id == "" || status < 300 {
		return
	}
	if len(c.failed) == maxFailedIDs {
		c.failed = slices.Delete(c.failed, 0, 1)
	}
	c.failed = append(c.failed, id)
}

// headReader limits the number of bytes read for a header, and has its lines scanned.
type headReader struct {
	r         io.Reader
	remaining int64
	lines     wellformed.HeadScanner
}

func (h *headReader) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, errors.New("the header of the response is too long")
	}
	if int64(len(p)) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.r.Read(p)
	h.remaining -= int64(n)
	h.lines.Scan(p[:n])
	return n, err
}

const noHeaderLimit = 1 << 62

func newConn(c net.Conn) *conn {
	out := &conn{Conn: c, head: headReader{r: c, remaining: noHeaderLimit}}
	if s, ok := c.(syscall.Conn); ok {
		out.raw, _ = s.SyscallConn()
	}
	out.reader = bufio.NewReaderSize(&out.head, readBufferBytes)
	return out
}

// hasNoInput reports whether nothing has arrived on an idle connection:
// neither its end nor bytes that belong to no request.
func (c *conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	empty := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// roundTrip sends the request and reads the header of its response.
func (c *conn) roundTrip(ctx context.Context, r *Request, echo string) (*Response, error) {
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
		head, informational, err := c.readFinalHeader(r)
		if err != nil {
			return nil, resp.fail(ctx, true, err)
		}
		skipped += informational
		// A server may refuse a request before it has read its identifier. On a connection that was used before, such a
		// response may be a copy of an earlier one.
		unread := head.Header.Get(echo) == "" && head.StatusCode >= 300 && !c.used
		if r.ID == "" || head.Header.Get(echo) == r.ID || unread {
			c.record(r.ID, head.StatusCode)
			resp.setHeader(head, skipped > 0)
			return resp, nil
		}
		// A late response to an earlier request may precede the response to this one.
		if err := discardBody(head); err != nil || head.Header.Get(echo) == "" || skipped > 0 {
			return nil, resp.fail(ctx, true, errors.CombineErrors(errIDMismatch, err))
		}
	}
}

// readFinalHeader reads a header and skips the informational responses before it, whose
// number it returns.
func (c *conn) readFinalHeader(r *Request) (head *http.Response, informational int, err error) {
	c.head.remaining = maxHeaderBytes
	defer func() { c.head.remaining = noHeaderLimit }()
	for ; ; informational++ {
		head, err = c.readHeader(r)
		if err != nil || head.StatusCode >= 200 {
			return head, informational, err
		}
	}
}

// readHeader reads one header, which may be informational.
func (c *conn) readHeader(r *Request) (*http.Response, error) {
	c.head.lines = wellformed.HeadScanner{}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.lines.Scan(buffered)
	head, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		return nil, err
	}
	return head, c.head.lines.Check(head)
}

func discardBody(head *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxSkippedBytes))
	if err == nil && n == maxSkippedBytes {
		err = errors.New("the response to another request is too long")
	}
	return err
}

// Response is a response whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 when its framing marks its end.
	Length int64
	// EndsWithConnection is true when the end of the connection marks the end of the body.
	EndsWithConnection bool

	conn *conn
	pool *Pool
	addr string
	body io.Reader
	// trailers are those after the body once it has been read.
	trailers *http.Header
	stop     func() bool
	// dirty is true when the connection must not be reused.
	dirty bool
	// upload is the write of a body that runs while the response is read; nil when all was written before.
	upload   *upload.Upload
	bodyRead bool
}

func (r *Response) write(req *Request) (sent bool, err error) {
	head := req.header()
	if len(req.Body) <= asyncBodyBytes {
		n, err := r.conn.Write(append(head, req.Body...))
		return n > 0, err
	}
	u, c := upload.New(), r.conn
	r.upload = u
	go func() {
		_, err := c.Write(head)
		if err == nil {
			_, err = c.Write(req.Body)
		}
		u.End(err)
	}()
	return true, nil
}

func (r *Response) setHeader(head *http.Response, dirty bool) {
	r.Status, r.Header, r.Length, r.body = head.StatusCode, head.Header, head.ContentLength, head.Body
	r.trailers = &head.Trailer
	r.EndsWithConnection = head.ContentLength < 0 && len(head.TransferEncoding) == 0
	r.dirty = dirty || head.Close || head.ProtoMinor == 0
	r.conn.expires = time.Now().Add(idleTimeout(head.Header.Get("Keep-Alive")))
}

// idleTimeout returns the timeout parameter of a Keep-Alive field, in whole
// seconds, less the margin.
func idleTimeout(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
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

// Read reads the body. It returns io.EOF only when the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		err = r.end()
	}
	if err == io.EOF {
		r.bodyRead = true
	} else if err != nil {
		r.dirty = true
	}
	return n, err
}

// end returns io.EOF if the body that was read is complete.
func (r *Response) end() error {
	if r.EndsWithConnection && r.upload != nil {
		if err := r.upload.Wait(); err != nil {
			return err
		}
	}
	return cmp.Or(wellformed.Fields(*r.trailers), io.EOF)
}

// Close ends the exchange. The connection is reused only when the body was
// read to its end and nothing else arrived.
func (r *Response) Close() error {
	if !r.bodyRead {
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
	// If stop returns false, the connection's deadline may still be set later.
	if r.stop != nil && !r.stop() {
		r.dirty = true
	}
	if r.upload != nil && !r.upload.Succeeded() {
		r.dirty = true
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

// Busy reports whether all connections to the server were in use.
func (e *Error) Busy() bool { return errors.Is(e.cause, errConnLimit) }

// NewError returns the error of an exchange that failed because of cause.
func NewError(sent, timeout bool, cause error) *Error {
	return &Error{Sent: sent, Timeout: timeout, cause: cause}
}
