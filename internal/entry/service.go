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

// holdAnswer is the size up to which an answer is read whole before its first
// byte goes to the caller. A cut is then an error that the caller can read, and
// no answer that ends early.
const holdAnswer = maxKeptAnswer

// serviceCall is a request to a plain service.
type serviceCall struct {
	method string
	// path is the escaped path after the route's prefix, and query the query
	// without keys.
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
	body, err := x.readBody(s.limits)
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

// newServiceWork returns the work of a service call. Plain services have no
// tokens: their cost in the queue is the size of the request in KiB.
func newServiceWork(x *exchange, f *flight, c *serviceCall) *work {
	return &work{
		x: x, f: f, granted: make(chan struct{}, 1), pool: x.route.GetPool(), class: classOf(x.route),
		cost: 1 + uint64(len(c.body)>>10),
	}
}

// serveService serves a route of repeatable calls to plain services.
func (s *Server) serveService(ctx context.Context, x *exchange, f *flight) error {
	call, err := s.newServiceCall(x)
	if err != nil {
		return err
	}
	w := newServiceWork(x, f, call)
	defer s.finish(w)
	s.budget.First()
	if err := s.admit(ctx, w); err != nil {
		return err
	}
	tries := attempts.New(attempts.Limits{Sends: s.limits.Attempts, Runs: s.limits.Attempts})
	for {
		tries.RecordAttempt()
		err := s.serviceAttempt(ctx, w, call, tries.Count())
		if err == nil || x.started || !retryableService(err) {
			return tries.FinalError(err)
		}
		tries.RecordFailure(err)
		w.excluded = append(w.excluded, w.share.server)
		next := attempts.Next{
			Repeatable: true, Remaining: s.firstByteLeft(w), HasOther: func() bool { return s.hasOther(w) },
		}
		if !tries.MayRetry(next, s.budget, s.now()) {
			return tries.FinalError(err)
		}
		s.metrics.retries.Add(1)
		s.decide(x, stepRetry, string(fault.KindOf(err)), tries.Count())
		if err := s.requeue(ctx, w); err != nil {
			return tries.FinalError(err)
		}
	}
}

// retryableService tells whether a repeatable call may go to another backend
// server: it could not be reached, broke off or stayed silent before its answer.
func retryableService(err error) bool {
	var pe *pool.Error
	return errors.As(err, &pe) && !pe.Answered
}

func (s *Server) serviceAttempt(ctx context.Context, w *work, call *serviceCall, n int) error {
	server := w.share.server
	b, ok := s.opts.View.Config().BackendServer(server)
	if !ok {
		return fault.New(fault.KindNoBackend, "the backend server left the configuration", "send the request again").
			WithRun(fault.NotRun)
	}
	left := s.firstByteLeft(w)
	if left <= 0 {
		return fault.New(fault.KindDeadline, "the time to the first byte is used up", "send the request again").
			WithRun(fault.NotRun)
	}
	id := w.x.id + "." + strconv.Itoa(n)
	req, err := call.request(pool.WithBounds(ctx, pool.Bounds{FirstByte: left, Gap: s.limits.StreamGap}), b, id)
	if err != nil {
		return err
	}
	resp, err := s.opts.Pools.Transport(server).RoundTrip(req)
	if err != nil {
		if ctx.Err() != nil {
			return ended(ctx, attempts.RunOf(err))
		}
		s.report(server, false)
		return err
	}
	defer resp.Body.Close()
	if err := checkEcho(resp, id); err != nil {
		s.report(server, false)
		return err
	}
	s.report(server, true)
	_, err = s.passAnswer(ctx, w.x, resp)
	return err
}

// checkEcho refuses an answer that belongs to another request. Plain services
// need not know the header, so that a missing one is accepted; connections
// carry one request at a time, which keeps late answers apart.
func checkEcho(resp *http.Response, id string) error {
	echoed := resp.Header.Values(headerRequestID)
	if len(echoed) == 0 || (len(echoed) == 1 && echoed[0] == id) {
		return nil
	}
	return fault.New(fault.KindAnswerMismatch, "the backend server answered another request", "send the request again").
		WithRun(fault.OutcomeUnknown)
}

// kept is what was seen of an answer that was passed on.
type kept struct {
	status int
	header http.Header
	body   []byte
	// truncated is true when the answer was too large to keep.
	truncated bool
	// whole is true when the answer arrived to its end.
	whole bool
}

// passAnswer passes a plain service's answer on. It reads a small answer whole
// before it writes the first byte.
func (s *Server) passAnswer(ctx context.Context, x *exchange, resp *http.Response) (*kept, error) {
	k := &kept{status: resp.StatusCode, header: sanitize.Response(resp.Header)}
	if resp.ContentLength >= 0 && resp.ContentLength <= holdAnswer {
		body, err := readAll(resp.Body, resp.ContentLength)
		if err != nil {
			return k, cutAnswer(ctx, err)
		}
		k.body, k.whole = body, true
		return k, x.passHeld(k)
	}
	return k, s.passStreamed(ctx, x, resp, k)
}

// passHeld writes an answer that is held in memory.
func (x *exchange) passHeld(k *kept) error {
	h := x.w.Header()
	for name, values := range k.header {
		h[name] = values
	}
	if k.status != http.StatusNoContent && k.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(k.body)))
	}
	x.begin(k.status)
	if len(k.body) == 0 || x.r.Method == http.MethodHead {
		return nil
	}
	if _, err := x.w.Write(k.body); err != nil {
		return errCallerGone(err)
	}
	return nil
}

// passStreamed copies an answer as it arrives. It goes on reading after the
// caller has gone only while ctx lasts.
func (s *Server) passStreamed(ctx context.Context, x *exchange, resp *http.Response, k *kept) error {
	h := x.w.Header()
	for name, values := range k.header {
		h[name] = values
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.begin(resp.StatusCode)
	control := http.NewResponseController(x.w)
	buf := make([]byte, 16<<10)
	var gone error
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			k.keep(buf[:n])
			if gone == nil {
				_ = control.SetWriteDeadline(time.Now().Add(s.limits.WriteTime))
				if _, werr := x.w.Write(buf[:n]); werr != nil {
					gone = errCallerGone(werr)
				} else if ferr := control.Flush(); ferr != nil {
					gone = errCallerGone(ferr)
				}
			}
		}
		switch {
		case err == io.EOF:
			k.whole = true
			return gone
		case err != nil:
			return cutAnswer(ctx, err)
		case gone != nil && ctx.Err() != nil:
			return gone
		}
	}
}

func (k *kept) keep(p []byte) {
	if k.truncated || len(k.body)+len(p) > maxKeptAnswer {
		k.truncated, k.body = true, nil
		return
	}
	k.body = append(k.body, p...)
}

func cutAnswer(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ended(ctx, fault.Ran)
	}
	return fault.Wrap(err, fault.KindStreamCut, "the backend server's answer was cut", "ask for the result before repeating the call").
		WithRun(fault.Ran)
}
