package pool

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

var (
	errFirstByte = errors.New("no response header within the bound")
	errGap       = errors.New("no byte of the answer within the bound")
	errClosed    = errors.New("the answer was closed")
)

// Error is a failed call. It wraps a *fault.Error.
type Error struct {
	Server string
	// MayHaveSent tells whether any byte of the request may have left. When it is
	// false, the backend server cannot have run the request.
	MayHaveSent bool
	// Answered is true when the response header had arrived.
	Answered bool
	// Silent is true when the backend server held a connection and sent nothing.
	Silent bool

	fault *fault.Error
}

// Error returns the text of the fault.
func (e *Error) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *Error) Unwrap() error { return e.fault }

// roundTripper sends the calls of one kind to one backend server.
type roundTripper struct {
	server *server
	single bool
}

// RoundTrip sends the request and returns the answer as it is, also a redirect.
func (t *roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	attempt, ok := req.Context().Value(attemptKey{}).(*Attempt)
	if !ok {
		attempt = &Attempt{}
	}
	bounds := t.server.opts.bounds(req.Context())
	c := &call{server: t.server, gen: t.server.current(), parent: req.Context(), attempt: attempt}
	c.ctx, c.cancel = context.WithCancelCause(req.Context())
	first := time.AfterFunc(bounds.FirstByte, func() { c.cancel(errFirstByte) })
	resp, err := c.send(req, t.single)
	if !first.Stop() && err == nil {
		resp.Body.Close()
		err = errFirstByte
	}
	if err != nil {
		if req.Body != nil {
			req.Body.Close()
		}
		failed := c.failed(err)
		c.end()
		return nil, failed
	}
	attempt.succeed()
	resp.Body = newBody(c, resp.Body, bounds.Gap)
	return resp, nil
}

// call is one request in flight.
type call struct {
	server  *server
	gen     *generation
	parent  context.Context
	ctx     context.Context
	cancel  context.CancelCauseFunc
	attempt *Attempt
}

func (c *call) send(req *http.Request, single bool) (*http.Response, error) {
	if err := c.server.prove(c.ctx, c.gen, req.URL); err != nil {
		return nil, errors.Wrap(err, "probe of a new connection")
	}
	out := req.WithContext(httptrace.WithClientTrace(c.ctx, c.attempt.trace()))
	// Without GetBody, net/http cannot send a body a second time.
	out.GetBody = nil
	if single {
		return c.server.single.RoundTrip(out)
	}
	return c.gen.transport.RoundTrip(out)
}

func (c *call) end() {
	c.cancel(errClosed)
	c.gen.callEnded()
}

// failed returns the typed error of a call without a response header.
func (c *call) failed(err error) *Error {
	e := &Error{Server: c.server.name, MayHaveSent: c.attempt.end()}
	run := fault.NotRun
	if e.MayHaveSent {
		run = fault.OutcomeUnknown
	}
	switch {
	case c.parent.Err() != nil:
		e.fault = c.cancelled()
	case errors.Is(context.Cause(c.ctx), errFirstByte) && c.attempt.hasConn():
		e.Silent = true
		c.server.reportSilent(c.gen)
		e.fault = fault.Wrap(errFirstByte, fault.KindBackendSilent,
			"backend server "+c.server.name+" sent no answer in time", "try again later")
	case errors.Is(err, errTooManyConns):
		e.fault = fault.Wrap(err, fault.KindOverloaded,
			"backend server "+c.server.name+" has too many open connections", "try again later")
	case e.MayHaveSent:
		e.fault = fault.Wrap(err, fault.KindBackendFailed,
			"the connection to backend server "+c.server.name+" failed during the call", "check the backend server")
	default:
		e.fault = fault.Wrap(err, fault.KindNoBackend,
			"backend server "+c.server.name+" cannot be reached", "try again later")
	}
	e.fault.WithRun(run)
	return e
}

// cancelled returns the fault that the caller gave as the cause, or
// deadline_exceeded.
func (c *call) cancelled() *fault.Error {
	cause := context.Cause(c.parent)
	if f, ok := fault.As(cause); ok {
		own := *f
		return &own
	}
	return fault.Wrap(cause, fault.KindDeadline,
		"the call to backend server "+c.server.name+" was ended by its caller", "allow more time")
}

// cut returns the typed error of an answer that ended early.
func (c *call) cut(err error) *Error {
	e := &Error{Server: c.server.name, MayHaveSent: true, Answered: true}
	switch {
	case errors.Is(context.Cause(c.ctx), errGap):
		e.Silent = true
		e.fault = fault.Wrap(errGap, fault.KindBackendSilent,
			"backend server "+c.server.name+" became silent during its answer", "try again later")
	case c.parent.Err() != nil:
		e.fault = c.cancelled()
	case errors.Is(context.Cause(c.ctx), errClosed):
		e.fault = fault.Wrap(errClosed, fault.KindDeadline,
			"the answer of backend server "+c.server.name+" was closed by its caller", "read the answer to its end")
	default:
		e.fault = fault.Wrap(err, fault.KindBackendFailed,
			"the answer of backend server "+c.server.name+" was cut", "check the backend server")
	}
	e.fault.WithRun(fault.Ran)
	return e
}

// body bounds the silence between the bytes of an answer.
type body struct {
	call   *call
	inner  io.ReadCloser
	gap    time.Duration
	timer  *time.Timer
	silent sync.Once
}

func newBody(c *call, inner io.ReadCloser, gap time.Duration) *body {
	b := &body{call: c, inner: inner, gap: gap}
	b.timer = time.AfterFunc(gap, func() { c.cancel(errGap) })
	b.timer.Stop()
	return b
}

// Read runs the timer only while it waits, so that a slow reader does not make
// the backend server look silent.
func (b *body) Read(p []byte) (int, error) {
	b.timer.Reset(b.gap)
	n, err := b.inner.Read(p)
	b.timer.Stop()
	if err == nil || err == io.EOF {
		return n, err
	}
	cut := b.call.cut(err)
	if cut.Silent {
		b.silent.Do(func() { b.call.server.reportSilent(b.call.gen) })
	}
	return n, cut
}

// Drain reads at most limit bytes, for at most the bound, up to the end of an
// answer whose content is already complete. Only an answer that is read to its
// end leaves its connection usable. A late end is no silent failure.
func (b *body) Drain(limit int64, bound time.Duration) {
	t := time.AfterFunc(bound, func() { b.call.cancel(errClosed) })
	defer t.Stop()
	_, _ = io.CopyN(io.Discard, b.inner, limit)
}

func (b *body) Close() error {
	b.timer.Stop()
	// The cause is set first, so that a concurrent Read reports it.
	b.call.cancel(errClosed)
	err := b.inner.Close()
	b.call.end()
	return err
}
