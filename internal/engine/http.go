package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
)

// httpRequest is one HTTP request to an engine.
type httpRequest struct {
	method, path, id string
	header           http.Header
	body             []byte
	bounds           pool.Bounds
	// newConn asks for a new connection that carries no other request.
	newConn bool
}

// roundTrip sends the request and checks that the response belongs to it. The
// caller closes the response's body.
func (c *Client) roundTrip(ctx context.Context, r httpRequest) (*http.Response, error) {
	if c.urlErr != nil || c.baseURL.Host == "" {
		return nil, c.errorf(NotSent, fault.KindNoBackend, "correct the address in the manifest", "has no valid address")
	}
	if !validName(r.id) {
		return nil, c.errorf(NotSent, fault.KindInternal, "use letters, digits and . _ -", "was given an invalid attempt identifier")
	}
	u := c.baseURL.JoinPath(r.path)
	req, err := http.NewRequestWithContext(pool.WithBounds(ctx, r.bounds), r.method, u.String(), nil)
	if err != nil {
		return nil, c.errorf(NotSent, fault.KindInternal, "correct the address in the manifest", "has no valid address")
	}
	if r.header != nil {
		req.Header = r.header
	}
	// Only headers that are set here are sent to the engine, and none of the
	// caller's.
	req.Header.Set(headerRequestID, r.id)
	req.Header.Set("User-Agent", "jasminesaddle")
	if r.body != nil {
		req.Body, req.ContentLength = &requestBody{data: r.body}, int64(len(r.body))
		req.Header.Set("Content-Type", "application/json")
	}
	transport := c.transport
	if r.newConn {
		transport = c.singleUse
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, c.transportError(err)
	}
	if echoed := resp.Header.Values(headerRequestID); len(echoed) != 1 || echoed[0] != r.id {
		// Closing a response before its end also closes its connection, on which
		// later responses could be misattributed.
		resp.Body.Close()
		return nil, c.errorf(ResponseStarted, fault.KindAnswerMismatch, remedyEngine,
			"answered with another request's identifier or none")
	}
	return resp, nil
}

// readWhole reads a response of at most limit bytes to its end.
func (c *Client) readWhole(resp *http.Response, limit int64) ([]byte, error) {
	defer resp.Body.Close()
	if resp.ContentLength > limit {
		return nil, c.tooLarge(limit)
	}
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, c.transportError(err)
	}
	if n > limit {
		return nil, c.tooLarge(limit)
	}
	// A response without a length and without chunks ends when its connection
	// closes, which also happens when it is truncated. Valid JSON shows that it is
	// complete.
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !json.Valid(buf.Bytes()) {
		return nil, c.errorf(ResponseStarted, fault.KindBackendFailed, remedyEngine, "sent a response that is truncated or not JSON").withRan()
	}
	return buf.Bytes(), nil
}

func (c *Client) tooLarge(limit int64) error {
	return c.errorf(ResponseStarted, fault.KindBackendFailed, remedyEngine, "sent more than %d bytes", limit).withRan()
}

// doWhole sends the request and returns the status and the whole response body.
func (c *Client) doWhole(ctx context.Context, r httpRequest, limit int64) (int, []byte, error) {
	resp, err := c.roundTrip(ctx, r)
	if err != nil {
		return 0, nil, err
	}
	data, err := c.readWhole(resp, limit)
	return resp.StatusCode, data, err
}

// Cancel ends the attempt on the engine. It is no error when the attempt has
// already ended.
func (c *Client) Cancel(ctx context.Context, attemptID string) error {
	if !validName(attemptID) {
		return c.errorf(NotSent, fault.KindInternal, "use letters, digits and . _ -", "was given an invalid attempt identifier")
	}
	ctx, cancel := context.WithTimeout(ctx, 3*cancelTimeout)
	defer cancel()
	status, _, err := c.doWhole(ctx, httpRequest{
		method: http.MethodDelete, path: pathStreams + url.PathEscape(attemptID), id: newID("cancel-"),
		bounds: pool.Bounds{FirstByte: cancelTimeout, Gap: cancelTimeout},
	}, maxOrderBytes)
	if err != nil || status/100 == 2 || status == http.StatusNotFound {
		return err
	}
	return c.errorf(ResponseStarted, fault.KindBackendFailed, remedyEngine, "answered a cancel request with status %d", status)
}

// Load orders the engine to load an adapter version.
func (c *Client) Load(ctx context.Context, o Order) error { return c.order(ctx, pathLoad, o) }

// Unload orders the engine to unload an adapter version. It is no error when the
// adapter is not resident.
func (c *Client) Unload(ctx context.Context, o Order) error { return c.order(ctx, pathUnload, o) }

type orderBody struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

func (c *Client) order(ctx context.Context, path string, o Order) error {
	body, err := json.Marshal(orderBody{Name: ModelName(o.Ref), Path: o.Weights})
	if err != nil {
		return c.errorf(NotSent, fault.KindInternal, "report this fault", "order cannot be encoded as JSON")
	}
	status, _, err := c.doWhole(ctx, httpRequest{
		method: http.MethodPost, path: path, id: newID("order-"), body: body,
		header: http.Header{headerFence: {formatUint(o.FencingNumber)}},
		bounds: pool.Bounds{FirstByte: orderTimeout, Gap: orderTimeout},
	}, maxOrderBytes)
	if err != nil {
		return err
	}
	return c.orderError(path, status, o)
}

// orderError returns the typed error for the status of an order, or nil when it
// succeeded.
func (c *Client) orderError(path string, status int, o Order) error {
	switch {
	case status/100 == 2, path == pathUnload && status == http.StatusNotFound:
		return nil
	case status == http.StatusPreconditionFailed:
		return c.refused(fault.KindStaleOrder, "ask the current control leader",
			"refused fencing number %d as outdated", o.FencingNumber)
	case status == http.StatusNotFound:
		return c.refused(fault.KindUnknownAdapter, "check the weights in the manifest",
			"found no weights for %s", ModelName(o.Ref))
	case status == http.StatusConflict, status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return c.refused(fault.KindOverloaded, "unload an adapter first", "has no free adapter slot for %s", ModelName(o.Ref))
	default:
		return c.errorf(ResponseStarted, fault.KindBackendFailed, remedyEngine,
			"answered an order for %s with status %d", ModelName(o.Ref), status)
	}
}

// refused returns the error for a response that implies that nothing ran.
func (c *Client) refused(kind fault.Kind, remedy, format string, args ...any) *Error {
	e := c.errorf(ResponseStarted, kind, remedy, format, args...)
	e.fault.WithRun(fault.NotRun)
	return e
}

// Probe checks the engine's health over new connections and returns its start
// identity. An open connection to an earlier run would hide a restart, and a
// silent one would hide a healthy engine.
func (c *Client) Probe(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*probeTimeout)
	defer cancel()
	bounds := pool.Bounds{FirstByte: probeTimeout, Gap: probeTimeout}
	status, _, err := c.doWhole(ctx, httpRequest{
		method: http.MethodGet, path: pathHealth, id: newID("probe-"), bounds: bounds, newConn: true,
	}, maxOrderBytes)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", c.errorf(ResponseStarted, fault.KindBackendFailed, remedyEngine, "answered a health probe with status %d", status)
	}
	load, err := c.scrapeMetrics(ctx, bounds, true)
	return load.StartID, err
}

// isPoolError reports whether err comes from the transport rather than from the
// event decoder.
func isPoolError(err error) bool {
	var p *pool.Error
	return errors.As(err, &p)
}
