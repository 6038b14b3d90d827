package pool

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/wellformed"
)

var (
	errFirstByteTimeout = errors.New("timed out waiting for the response header")
	errGapTimeout       = errors.New("timed out between bytes of the response body")
	errClosed           = errors.New("the response body was closed")
)

// Error is a failed request. It wraps a *fault.Error.
type Error struct {
	Server string
	// MayHaveSent is set when any byte of the request may have been sent. When it
	// is not, the backend server cannot have run the request.
	MayHaveSent bool
	// ResponseStarted is set when the response header had arrived.
	ResponseStarted bool
	// Silent is set when a connection was open and the backend server sent
	// nothing within the timeout.
	Silent bool

	fault *fault.Error
}

// Error returns the text of the fault.
func (e *Error) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *Error) Unwrap() error { return e.fault }

// roundTripper sends repeatable or single-use requests to one backend server.
type roundTripper struct {
	server    *server
	singleUse bool
}

// RoundTrip sends the request and returns the response unchanged, also a
// redirect.
func (t *roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	attempt, ok := req.Context().Value(attemptKey{}).(*Attempt)
	if !ok {
		attempt = newAttempt()
	}
	bounds := t.server.opts.bounds(req.Context())
	r := &inFlight{server: t.server, gen: t.server.current(), parent: req.Context(), attempt: attempt}
	r.ctx, r.cancel = context.WithCancelCause(req.Context())
	firstByteTimer := time.AfterFunc(bounds.FirstByte, func() { r.cancel(errFirstByteTimeout) })
	resp, err := r.send(req, t.singleUse)
	inTime := firstByteTimer.Stop()
	if err == nil {
		if err = attempt.checkHead(resp); !inTime {
			err = errFirstByteTimeout
		}
		if err != nil {
			resp.Body.Close()
		}
	}
	if err != nil {
		if req.Body != nil {
			req.Body.Close()
		}
		requestErr := r.requestError(err)
		r.end()
		return nil, requestErr
	}
	attempt.succeed()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		attempt.requireUpload()
	}
	resp.Body = newBody(r, resp, bounds.Gap)
	return resp, nil
}

// inFlight is a request that is not yet complete.
type inFlight struct {
	server  *server
	gen     *generation
	parent  context.Context
	ctx     context.Context
	cancel  context.CancelCauseFunc
	attempt *Attempt
}

func (r *inFlight) send(req *http.Request, singleUse bool) (*http.Response, error) {
	if err := r.server.ensureProbed(r.ctx, r.gen, req.URL); err != nil {
		return nil, errors.Wrap(err, "probe of a new connection")
	}
	out := req.WithContext(httptrace.WithClientTrace(r.ctx, r.attempt.trace()))
	// Without GetBody, net/http cannot retry a request that has a body.
	out.GetBody = nil
	if singleUse {
		return r.server.singleUse.RoundTrip(out)
	}
	return r.gen.transport.RoundTrip(out)
}

func (r *inFlight) end() {
	r.cancel(errClosed)
	r.gen.requestEnded()
}

// requestError returns the typed error of a request that got no response header.
func (r *inFlight) requestError(err error) *Error {
	e := &Error{Server: r.server.name, MayHaveSent: r.attempt.fail()}
	run := fault.NotRun
	if e.MayHaveSent {
		run = fault.OutcomeUnknown
	}
	switch {
	case r.parent.Err() != nil:
		e.fault = r.cancellationFault()
	case errors.Is(context.Cause(r.ctx), errFirstByteTimeout) && r.attempt.hasConn():
		e.Silent = true
		r.server.reportSilent(r.gen)
		e.fault = fault.Wrap(errFirstByteTimeout, fault.KindBackendSilent,
			"backend server "+r.server.name+" sent no response header in time", "try again later")
	case errors.Is(err, errTooManyConns):
		e.fault = fault.Wrap(err, fault.KindOverloaded,
			"backend server "+r.server.name+" has too many open connections", "try again later")
	case errors.Is(err, wellformed.ErrMalformed):
		e.fault = fault.Wrap(err, fault.KindBackendFailed,
			"backend server "+r.server.name+" sent a malformed response", "check the backend server")
	case e.MayHaveSent:
		e.fault = fault.Wrap(err, fault.KindBackendFailed,
			"the connection to backend server "+r.server.name+" failed during the request", "check the backend server")
	default:
		e.fault = fault.Wrap(err, fault.KindNoBackend,
			"backend server "+r.server.name+" cannot be reached", "try again later")
	}
	e.fault.WithRun(run)
	return e
}

// cancellationFault returns a copy of the fault with which the caller cancelled
// the request, or deadline_exceeded.
func (r *inFlight) cancellationFault() *fault.Error {
	cause := context.Cause(r.parent)
	if f, ok := fault.As(cause); ok {
		faultCopy := *f
		return &faultCopy
	}
	return fault.Wrap(cause, fault.KindDeadline,
		"the request to backend server "+r.server.name+" was cancelled by its caller", "allow more time")
}

// bodyError returns the typed error of a response body that ended early.
func (r *inFlight) bodyError(err error) *Error {
	e := &Error{Server: r.server.name, MayHaveSent: true, ResponseStarted: true}
	switch {
	case errors.Is(context.Cause(r.ctx), errGapTimeout):
		e.Silent = true
		e.fault = fault.Wrap(errGapTimeout, fault.KindBackendSilent,
			"backend server "+r.server.name+" stopped sending during its response", "try again later")
	case r.parent.Err() != nil:
		e.fault = r.cancellationFault()
	case errors.Is(context.Cause(r.ctx), errClosed):
		e.fault = fault.Wrap(errClosed, fault.KindDeadline,
			"the response of backend server "+r.server.name+" was closed by its caller", "read the response to its end")
	default:
		e.fault = fault.Wrap(err, fault.KindBackendFailed,
			"the response of backend server "+r.server.name+" ended early", "check the backend server")
	}
	e.fault.WithRun(fault.Ran)
	return e
}

// body is a response body with a timeout between bytes.
type body struct {
	request      *inFlight
	inner        io.ReadCloser
	trailers     *http.Header
	gap          time.Duration
	timer        *time.Timer
	reportSilent sync.Once
}

func newBody(r *inFlight, resp *http.Response, gap time.Duration) *body {
	b := &body{request: r, inner: resp.Body, trailers: &resp.Trailer, gap: gap}
	b.timer = time.AfterFunc(gap, func() { r.cancel(errGapTimeout) })
	b.timer.Stop()
	return b
}

// Read runs the timer only while it waits for bytes, so that a slow reader does
// not make the backend server appear silent.
func (b *body) Read(p []byte) (int, error) {
	b.timer.Reset(b.gap)
	n, err := b.inner.Read(p)
	b.timer.Stop()
	if err == io.EOF {
		err = cmp.Or(wellformed.Fields(*b.trailers), err)
	}
	if err == nil || err == io.EOF {
		return n, err
	}
	bodyErr := b.request.bodyError(err)
	if bodyErr.Silent {
		b.reportSilent.Do(func() { b.request.server.reportSilent(b.request.gen) })
	}
	return n, bodyErr
}

// Drain reads up to limit bytes, for at most timeout, to reach the end of a
// response whose content is already complete. Only a response that is read to
// its end leaves its connection reusable. A late end is not a silent failure.
func (b *body) Drain(limit int64, timeout time.Duration) {
	t := time.AfterFunc(timeout, func() { b.request.cancel(errClosed) })
	defer t.Stop()
	_, _ = io.CopyN(io.Discard, b.inner, limit)
}

func (b *body) Close() error {
	b.timer.Stop()
	// The cause is set first, so that a concurrent Read reports it.
	b.request.cancel(errClosed)
	err := b.inner.Close()
	b.request.end()
	return err
}
