package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/attempts"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/sanitize"
)

// maxBufferedResponse is the maximum size of a response that is read completely
// before its first byte is written. If it is cut, the caller gets an error
// response and not a truncated one.
const maxBufferedResponse = maxRecordedResponse

// serviceCall is a request to a plain service.
type serviceCall struct {
	method string
	// path is the escaped path after the route's prefix. query is the query
	// without API keys.
	path, query string
	header      http.Header
	body        []byte
}

// newServiceCall reads the caller's request.
func (s *Server) newServiceCall(x *exchange) (*serviceCall, error) {
	prefix := strings.TrimSuffix(x.route.GetPath(), "/")
	path, ok := strings.CutPrefix(x.r.URL.EscapedPath(), prefix)
	if !ok || (path != "" && path[0] != '/') {
		return nil, badRequest("path", "the route's prefix is escaped", "send the prefix without escapes")
	}
	query, ok := sanitize.Query(x.r.URL.RawQuery, x.key)
	if !ok {
		return nil, badRequest("query", "the query cannot be parsed", "escape the query")
	}
	body, err := x.readBody(s.limits, s.bodies)
	if err != nil {
		return nil, err
	}
	return &serviceCall{
		method: x.r.Method, path: path, query: query, body: body,
		header: sanitize.Request(x.r.Header, x.key),
	}, nil
}

// request returns the HTTP request for one attempt.
func (c *serviceCall) request(ctx context.Context, b *apiv1.BackendServer, attemptID string) (*http.Request, error) {
	base, err := url.Parse(b.GetAddress())
	if err != nil || base.Host == "" {
		return nil, fault.New(fault.KindNoBackend, "the backend server has no valid address", "correct the address in the manifest").
			WithRun(fault.NotRun)
	}
	target := strings.TrimSuffix(base.String(), "/") + c.path
	if c.query != "" {
		target += "?" + c.query
	}
	var body io.Reader
	if len(c.body) > 0 {
		body = bytes.NewReader(c.body)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, target, body)
	if err != nil {
		return nil, badRequest("method", "the method or path is not valid", "send a valid request")
	}
	req.Header = c.header.Clone()
	req.Header.Set(headerRequestID, attemptID)
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "jasminesaddle")
	}
	return req, nil
}

// newServiceRequest returns the admitted request of a service call. Plain
// services have no tokens: the cost in the queue is the size of the body in KiB
// plus 1.
func newServiceRequest(x *exchange, rr *runningRequest, c *serviceCall) *admittedRequest {
	return &admittedRequest{
		x: x, running: rr, decided: make(chan struct{}, 1), pool: x.route.GetPool(), class: classOf(x.route),
		cost: 1 + uint64(len(c.body)>>10),
	}
}

// serveService serves a route of repeatable calls to plain services.
func (s *Server) serveService(ctx context.Context, x *exchange, rr *runningRequest) error {
	call, err := s.newServiceCall(x)
	if err != nil {
		return err
	}
	ar := newServiceRequest(x, rr, call)
	defer s.finish(ar)
	s.budget.RecordFirst()
	if err := s.admit(ctx, ar); err != nil {
		return err
	}
	tries := attempts.New(attempts.Limits{Attempts: s.limits.Attempts, Runs: s.limits.Attempts})
	for {
		tries.RecordAttempt()
		err := s.serviceAttempt(ctx, ar, call, tries.Count())
		if err == nil || x.started || !retryableService(err) {
			return tries.FinalError(err)
		}
		tries.RecordFailure(err)
		ar.excluded = append(ar.excluded, ar.assignment.server)
		next := attempts.Next{
			Repeatable: true, Remaining: s.firstByteRemaining(ar), HasOther: func() bool { return s.hasOther(ar) },
		}
		if !tries.MayRetry(next, s.budget, s.now()) {
			return tries.FinalError(err)
		}
		s.metrics.retries.Add(1)
		s.decide(x, stepRetry, string(fault.KindOf(err)), tries.Count())
		if err := s.requeue(ctx, ar); err != nil {
			return tries.FinalError(err)
		}
	}
}

// retryableService reports whether a repeatable call may go to another backend
// server: no response has begun, because the server could not be reached, closed
// the connection or stayed silent.
func retryableService(err error) bool {
	var pe *pool.Error
	return errors.As(err, &pe) && !pe.ResponseStarted
}

func (s *Server) serviceAttempt(ctx context.Context, ar *admittedRequest, call *serviceCall, n int) error {
	server := ar.assignment.server
	b, ok := s.opts.View.Config().BackendServer(server)
	if !ok {
		return fault.New(fault.KindNoBackend, "the backend server is no longer configured", "send the request again").
			WithRun(fault.NotRun)
	}
	remaining := s.firstByteRemaining(ar)
	if remaining <= 0 {
		return fault.New(fault.KindDeadline, "the timeout for the first byte has passed", "send the request again").
			WithRun(fault.NotRun)
	}
	id := ar.x.id + "." + strconv.Itoa(n)
	req, err := call.request(pool.WithBounds(ctx, pool.Bounds{FirstByte: remaining, Gap: s.limits.StreamGap}), b, id)
	if err != nil {
		return err
	}
	resp, err := s.opts.Pools.Transport(server).RoundTrip(req)
	if err != nil {
		if ctx.Err() != nil {
			return contextError(ctx, attempts.RunOf(err))
		}
		s.recordOutcome(server, false)
		return err
	}
	defer resp.Body.Close()
	if err := checkEcho(resp, id); err != nil {
		s.recordOutcome(server, false)
		return err
	}
	s.recordOutcome(server, true)
	_, err = s.relayResponse(ctx, ar.x, resp)
	return err
}

// checkEcho rejects a response to another request. Plain services need not
// support the header, so that a missing one is accepted: a connection carries
// one request at a time, which rules out late responses.
func checkEcho(resp *http.Response, id string) error {
	echoed := resp.Header.Values(headerRequestID)
	if len(echoed) == 0 || (len(echoed) == 1 && echoed[0] == id) {
		return nil
	}
	return fault.New(fault.KindAnswerMismatch, "the backend server answered another request", "send the request again").
		WithRun(fault.OutcomeUnknown)
}

// recordedResponse is the part of a response that was read so far.
type recordedResponse struct {
	status int
	header http.Header
	body   []byte
	// truncated is true when the body was too large to record.
	truncated bool
	// complete is true when the response was read to its end.
	complete bool
}

// relayResponse passes a plain service's response on. It reads a small response
// completely before it writes the first byte.
func (s *Server) relayResponse(ctx context.Context, x *exchange, resp *http.Response) (*recordedResponse, error) {
	rec := &recordedResponse{status: resp.StatusCode, header: sanitize.Response(resp.Header)}
	if resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedResponse {
		body, err := readAll(resp.Body, resp.ContentLength)
		if err != nil {
			return rec, incompleteError(ctx, err)
		}
		rec.body, rec.complete = body, true
		return rec, x.writeBuffered(rec)
	}
	return rec, s.relayBody(ctx, x, resp, rec)
}

// writeBuffered writes a response that is buffered in memory.
func (x *exchange) writeBuffered(rec *recordedResponse) error {
	h := x.w.Header()
	for name, values := range rec.header {
		h[name] = values
	}
	if rec.status != http.StatusNoContent && rec.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(rec.body)))
	}
	x.writeHeader(rec.status)
	if len(rec.body) == 0 || x.r.Method == http.MethodHead {
		return nil
	}
	if _, err := x.w.Write(rec.body); err != nil {
		return errCallerGone(err)
	}
	return nil
}

// relayBody copies a response as it arrives. After the caller has disconnected
// it continues to read, for the record, until ctx ends.
func (s *Server) relayBody(ctx context.Context, x *exchange, resp *http.Response, rec *recordedResponse) error {
	h := x.w.Header()
	for name, values := range rec.header {
		h[name] = values
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.writeHeader(resp.StatusCode)
	control := http.NewResponseController(x.w)
	buf := make([]byte, 16<<10)
	var callerErr error
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			rec.appendBody(buf[:n])
			if callerErr == nil {
				_ = control.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout))
				if _, werr := x.w.Write(buf[:n]); werr != nil {
					callerErr = errCallerGone(werr)
				} else if ferr := control.Flush(); ferr != nil {
					callerErr = errCallerGone(ferr)
				}
			}
		}
		switch {
		case err == io.EOF:
			rec.complete = true
			return callerErr
		case err != nil:
			return incompleteError(ctx, err)
		case callerErr != nil && ctx.Err() != nil:
			return callerErr
		}
	}
}

func (rec *recordedResponse) appendBody(p []byte) {
	if rec.truncated || len(rec.body)+len(p) > maxRecordedResponse {
		rec.truncated, rec.body = true, nil
		return
	}
	rec.body = append(rec.body, p...)
}

func incompleteError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx, fault.Ran)
	}
	return fault.Wrap(err, fault.KindStreamCut, "the backend server's answer was cut", "ask for the result before repeating the call").
		WithRun(fault.Ran)
}
