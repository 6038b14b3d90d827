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

// Do runs a completion. An answer of any status is returned as an Answer; see
// Refusal for what the status means.
func (c *Client) Do(ctx context.Context, call Request) (*Response, error) {
	if call.Path != pathCompletions && call.Path != pathChatCompletions {
		return nil, c.errorf(NotSent, fault.KindInvalidRequest, "use /v1/completions or /v1/chat/completions",
			"has no path %q", call.Path)
	}
	body, err := encodeBody(call)
	if err != nil {
		return nil, c.errorf(NotSent, fault.KindInvalidRequest, "send one JSON object", "cannot get a body that is no JSON object")
	}
	accept := "application/json"
	if call.Stream {
		accept = "text/event-stream"
	}
	resp, err := c.roundTrip(ctx, request{
		method: http.MethodPost, path: call.Path, id: call.AttemptID, body: body,
		header: http.Header{"Accept": {accept}},
		bounds: pool.Bounds{FirstByte: call.FirstByte, Gap: call.Gap},
	})
	if err != nil {
		return nil, err
	}
	if call.Stream && resp.StatusCode == http.StatusOK {
		stream, err := c.openStream(resp, 0)
		if err != nil {
			return nil, err
		}
		return &Response{Status: resp.StatusCode, Header: resp.Header, Stream: stream}, nil
	}
	data, err := c.readWhole(resp, maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}

// resumeTimeout bounds the time to the header of a resumed stream. An engine
// knows at once whether it has the stream.
const resumeTimeout = 2 * time.Second

// Resume opens the rest of the attempt's stream after the event with the given
// sequence number. It uses a connection of its own: after a silent connection
// the others that are open may be silent as well.
func (c *Client) Resume(ctx context.Context, attemptID string, after uint64, gap time.Duration) (*Stream, error) {
	if !validName(attemptID) {
		return nil, c.errorf(NotSent, fault.KindInternal, "use letters, digits and . _ -", "got an invalid attempt identifier")
	}
	resp, err := c.roundTrip(ctx, request{
		method: http.MethodGet, path: pathStreams + url.PathEscape(attemptID), id: newID("resume-"),
		header: http.Header{"Accept": {"text/event-stream"}, headerLastEventID: {formatUint(after)}},
		bounds: pool.Bounds{FirstByte: min(gap, resumeTimeout), Gap: gap},
		fresh:  true,
	})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, c.errorf(Answered, fault.KindStreamCut, "send the request again",
			"cannot resume the stream, status %d", resp.StatusCode).ran()
	}
	return c.openStream(resp, after)
}

// openStream checks that the answer is an event stream.
func (c *Client) openStream(resp *http.Response, after uint64) (*Stream, error) {
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || media != "text/event-stream" {
		resp.Body.Close()
		return nil, c.errorf(Answered, fault.KindBackendFailed, remedyEngine, "answered a stream with another content type").ran()
	}
	return newStream(c, resp.Body, after), nil
}

// encodeBody sets the fields that this package owns and keeps all others as
// they are. A field that occurs twice is sent once, so that the engine cannot
// read another model than the one that was checked.
func encodeBody(call Request) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		fields = map[string]json.RawMessage{}
	}
	if call.Model != "" {
		name, err := json.Marshal(call.Model)
		if err != nil {
			return nil, err
		}
		fields["model"] = name
	}
	fields["stream"] = json.RawMessage(strconv.FormatBool(call.Stream))
	delete(fields, "priority")
	if call.Priority != 0 {
		fields["priority"] = json.RawMessage(strconv.Itoa(call.Priority))
	}
	return joinFields(fields, len(call.Body))
}

// joinFields writes the object without copying the values through an encoder.
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

// Refusal returns the typed error that the answer's status stands for, or nil
// when the completion ran. A status that engines send before they run anything
// says "not run".
func (c *Client) Refusal(a *Response) error {
	switch a.Status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return c.refused(fault.KindUnknownAdapter, "load the adapter first", "does not hold the adapter")
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return c.refused(fault.KindOverloaded, "use another engine", "refused with status %d", a.Status)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return c.refused(fault.KindInvalidRequest, "correct the request", "refused with status %d", a.Status)
	default:
		return c.errorf(Answered, fault.KindBackendFailed, remedyEngine, "answered with status %d", a.Status)
	}
}

func formatUint(v uint64) string { return strconv.FormatUint(v, 10) }
