package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/bodies"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/openai"
)

// Headers of responses.
const (
	headerRequestID = "X-Request-Id"
	headerReason    = "X-Jasmine-Reason"
	headerRun       = "X-Jasmine-Run"
	// headerReplayed marks the recorded response of an earlier call.
	headerReplayed = "X-Jasmine-Replayed"
)

// exchange is one request of a caller and its response.
type exchange struct {
	id       string
	received time.Time
	w        http.ResponseWriter
	r        *http.Request
	cfg      *config.Snapshot

	route *apiv1.Route
	// subpath is the path after the route's prefix.
	subpath string
	team    string
	// key is the key that the caller presented. It is stored only to find copies
	// of it in what is passed on.
	key     string
	keyHash config.KeyHash
	keyed   bool

	// started is true once the header of the response was written.
	started bool
	// streamError is the kind of the error event that ended a stream.
	streamError fault.Kind
	// adapter and backend name the adapter version and the backend server to
	// which the request was last dispatched.
	adapter string
	backend string

	// body is the request's body; nil until it is read.
	body *bodies.Body
}

// release returns the memory of the request's body.
func (x *exchange) release() {
	if x.body != nil {
		x.body.Release()
	}
}

func (x *exchange) routeName() string { return x.route.GetName() }

// bodyRoomRetryAfter is the time after which there is most likely room for a body: slow ones give way sooner.
const bodyRoomRetryAfter = time.Second

// readBody reads the request's body within the host's limits. Its memory counts until the request ends.
func (x *exchange) readBody(l Limits, budget *bodies.Budget) ([]byte, error) {
	control := http.NewResponseController(x.w)
	// The error is ignored: response recorders in tests support no deadline.
	_ = control.SetReadDeadline(time.Now().Add(l.BodyTimeout))
	body, err := budget.Read(bodies.Source{
		Reader: http.MaxBytesReader(x.w, x.r.Body, l.BodyBytes), Announced: x.r.ContentLength, Limit: l.BodyBytes,
		Interrupt: func() { _ = control.SetReadDeadline(time.Now()) },
	})
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over) || errors.Is(err, bodies.ErrTooLarge):
		return nil, tooLarge(l.BodyBytes)
	case errors.Is(err, bodies.ErrNoRoom) || errors.Is(err, bodies.ErrInterrupted):
		return nil, fault.Wrap(err, fault.KindOverloaded, "the host has no memory for the body", "send the request again").
			WithRun(fault.NotRun).After(bodyRoomRetryAfter)
	case err != nil:
		return nil, fault.Wrap(err, fault.KindInvalidRequest, "the body is incomplete", "send the complete body").
			WithRun(fault.NotRun)
	}
	_ = control.SetReadDeadline(time.Time{})
	x.body = body
	return body.Bytes(), nil
}

// readAll is like io.ReadAll but allocates only once when the size is known.
func readAll(r io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(r)
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(r, buf)
	return buf[:n], err
}

func tooLarge(limit int64) error {
	return fault.Newf(fault.KindRequestTooLarge, "send a smaller body",
		"the body is larger than %d bytes", limit).WithRun(fault.NotRun)
}

// writeError writes an error response. A response that has begun is aborted
// instead, so that it does not look complete to the caller.
func (x *exchange) writeError(e *fault.Error) {
	if x.started {
		panic(http.ErrAbortHandler)
	}
	h := x.w.Header()
	clear(h)
	h.Set("Content-Type", "application/json")
	h.Set(headerRequestID, x.id)
	h.Set(headerReason, string(e.Kind))
	h.Set(headerRun, string(e.Run))
	status := e.HTTPStatus()
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatInt(max(1, int64((e.RetryAfter+time.Second-1)/time.Second)), 10))
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if e.Kind == fault.KindDraining || e.Kind == fault.KindRequestTooLarge {
		h.Set("Connection", "close")
	}
	body := openai.ErrorBody(e, x.id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.started = true
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body)
}

// respond writes a complete response.
func (x *exchange) respond(status int, contentType string, body []byte) error {
	h := x.w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writeHeader(status)
	_, err := x.w.Write(body)
	if err != nil {
		return errCallerGone(err)
	}
	return nil
}

func (x *exchange) writeHeader(status int) {
	x.w.Header().Set(headerRequestID, x.id)
	x.started = true
	x.w.WriteHeader(status)
}

// callerGone is the error of an exchange whose caller has disconnected.
type callerGone struct{ cause error }

func (c callerGone) Error() string { return "the caller has gone: " + c.cause.Error() }
func (c callerGone) Unwrap() error { return c.cause }

func errCallerGone(cause error) error { return callerGone{cause} }

// contextError returns the reason why ctx ended: a *fault.Error when the host
// cancelled the request, otherwise a callerGone error.
func contextError(ctx context.Context, run fault.Run) error {
	cause := context.Cause(ctx)
	if e, ok := fault.As(cause); ok {
		copied := *e
		return copied.WithRun(run)
	}
	return errCallerGone(cause)
}
