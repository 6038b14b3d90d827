package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"mime"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
)

// Do runs a completion. A response of any status is returned as a Response; see
// Refusal for what the status means.
func (c *Client) Do(ctx context.Context, req Request) (*Response, error) {
	if req.Path != pathCompletions && req.Path != pathChatCompletions {
		return nil, c.errorf(NotSent, fault.KindInvalidRequest, "use /v1/completions or /v1/chat/completions",
			"does not serve path %q", req.Path)
	}
	body, err := encodeBody(req)
	if err != nil {
		return nil, c.errorf(NotSent, fault.KindInvalidRequest, "send one JSON object", "was given a body that is not a JSON object")
	}
	accept := "application/json"
	if req.Stream {
		accept = "text/event-stream"
	}
	resp, err := c.roundTrip(ctx, httpRequest{
		method: http.MethodPost, path: req.Path, id: req.AttemptID, body: body,
		header: http.Header{"Accept": {accept}},
		bounds: pool.Bounds{FirstByte: req.FirstByte, Gap: req.Gap},
	})
	if err != nil {
		return nil, err
	}
	if req.Stream && resp.StatusCode == http.StatusOK {
		stream, err := c.openStream(resp, 0)
		if err != nil {
			return nil, err
		}
		return &Response{Status: resp.StatusCode, Header: resp.Header, Stream: stream}, nil
	}
	data, err := c.readWhole(resp, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}

// resumeTimeout limits the time to the response header of a resumed stream,
// since an engine knows immediately whether it has the stream.
const resumeTimeout = 2 * time.Second

// Resume opens the rest of the attempt's stream after the event with the given
// sequence number. It uses a new connection: once one connection went silent,
// the other open ones may be silent as well.
func (c *Client) Resume(ctx context.Context, attemptID string, after uint64, gap time.Duration) (*Stream, error) {
	if !validName(attemptID) {
		return nil, c.errorf(NotSent, fault.KindInternal, "use letters, digits and . _ -", "was given an invalid attempt identifier")
	}
	resp, err := c.roundTrip(ctx, httpRequest{
		method: http.MethodGet, path: pathStreams + url.PathEscape(attemptID), id: newID("resume-"),
		header:  http.Header{"Accept": {"text/event-stream"}, headerLastEventID: {formatUint(after)}},
		bounds:  pool.Bounds{FirstByte: min(gap, resumeTimeout), Gap: gap},
		newConn: true,
	})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		kind := fault.KindStreamCut
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			kind = fault.KindOverloaded
		}
		return nil, c.errorf(ResponseStarted, kind, "send the request again",
			"refused to resume the stream with status %d", resp.StatusCode).withRan()
	}
	return c.openStream(resp, after)
}

// openStream returns the stream of a response after checking that it is an event
// stream.
func (c *Client) openStream(resp *http.Response, after uint64) (*Stream, error) {
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || media != "text/event-stream" {
		resp.Body.Close()
		return nil, c.errorf(ResponseStarted, fault.KindBackendFailed, remedyEngine, "answered a stream request with a content type other than text/event-stream").withRan()
	}
	return newStream(c, resp.Body, after), nil
}

// encodeBody sets model, stream and priority and leaves all other fields
// unchanged. A duplicate field is sent once, so that the engine cannot read a
// model other than the one that was checked.
func encodeBody(req Request) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(req.Body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		fields = map[string]json.RawMessage{}
	}
	if req.Model != "" {
		name, err := json.Marshal(req.Model)
		if err != nil {
			return nil, err
		}
		fields["model"] = name
	}
	fields["stream"] = json.RawMessage(strconv.FormatBool(req.Stream))
	delete(fields, "priority")
	if req.Priority != 0 {
		fields["priority"] = json.RawMessage(strconv.Itoa(req.Priority))
	}
	return joinFields(fields, len(req.Body))
}

// joinFields writes the object without passing the values through an encoder.
func joinFields(fields map[string]json.RawMessage, size int) ([]byte, error) {
	var buf bytes.Buffer
	buf.Grow(size + 128)
	buf.WriteByte('{')
	for i, key := range slices.Sorted(maps.Keys(fields)) {
		if i > 0 {
			buf.WriteByte(',')
		}
		name, err := json.Marshal(key)
		if err != nil {
			return nil, err
		}
		buf.Write(name)
		buf.WriteByte(':')
		buf.Write(fields[key])
	}
	buf.WriteByte('}')
	return buf.Bytes(), nil
}

// Refusal returns the typed error for the response's status, or nil when the
// completion ran. For a status that engines send only before they run anything,
// the error says "not run".
func (c *Client) Refusal(resp *Response) error {
	switch resp.Status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return c.refused(fault.KindUnknownAdapter, "load the adapter first", "does not have the adapter loaded")
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return c.refused(fault.KindOverloaded, "use another engine", "refused with status %d", resp.Status)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return c.refused(fault.KindInvalidRequest, "correct the request", "refused with status %d", resp.Status)
	default:
		return c.errorf(ResponseStarted, fault.KindBackendFailed, remedyEngine, "answered with status %d", resp.Status)
	}
}

func formatUint(v uint64) string { return strconv.FormatUint(v, 10) }
