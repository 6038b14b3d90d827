package openai

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Done is the data of the event that ends a complete stream.
var Done = []byte("[DONE]")

// errorResponse is the protocol's error object, extended by run and request_id.
type errorResponse struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	Param     string `json:"param,omitempty"`
	Run       string `json:"run"`
	RequestID string `json:"request_id"`
}

// ErrorBody returns the JSON error body for e. It omits the cause, which is only
// logged, because it may contain addresses of backend servers.
func ErrorBody(e *fault.Error, requestID string) []byte {
	message := e.Message
	if e.Remedy != "" {
		message += "; " + e.Remedy
	}
	body, _ := json.Marshal(errorResponse{Error: errorFields{
		Message:   message,
		Type:      errorType(e.HTTPStatus()),
		Code:      string(e.Kind),
		Param:     e.Field,
		Run:       string(e.Run),
		RequestID: requestID,
	}})
	return body
}

// errorType returns the protocol's error type for an HTTP status.
func errorType(status int) string {
	switch {
	case status == 401:
		return "authentication_error"
	case status == 403:
		return "permission_error"
	case status == 429:
		return "rate_limit_error"
	case status < 500:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// AppendEvent appends a stream event with its sequence number.
func AppendEvent(buf []byte, seq uint64, data []byte) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendUint(buf, seq, 10)
	buf = append(buf, '\n')
	return appendData(buf, data)
}

// AppendErrorEvent appends the event that ends an incomplete stream. It has no
// sequence number, and no end marker follows it.
func AppendErrorEvent(buf []byte, e *fault.Error, requestID string) []byte {
	buf = append(buf, "event: error\n"...)
	return appendData(buf, ErrorBody(e, requestID))
}

func appendData(buf, data []byte) []byte {
	for line := range bytes.Lines(data) {
		buf = append(buf, "data: "...)
		buf = append(buf, bytes.TrimSuffix(line, []byte("\n"))...)
		buf = append(buf, '\n')
	}
	return append(buf, '\n')
}

// Model is one entry of the model list.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

// ModelList returns the response body of the model list.
func ModelList(list []Model) []byte {
	for i := range list {
		list[i].Object = "model"
		list[i].OwnedBy = "jasminesaddle"
	}
	body, _ := json.Marshal(struct {
		Object string  `json:"object"`
		Data   []Model `json:"data"`
	}{"list", list})
	return body
}

var (
	usageKey       = []byte(`"usage":`)
	totalTokensKey = []byte(`"total_tokens":`)
)

// Usage returns the total tokens that a response body or event reports, if any.
func Usage(data []byte) (uint64, bool) {
	// Decoding the whole response would take a tenth of the host's time per
	// request. Quotes within a JSON string are escaped, so that generated text
	// cannot match the key.
	start := bytes.LastIndex(data, usageKey)
	if start < 0 {
		return 0, false
	}
	_, rest, ok := bytes.Cut(data[start+len(usageKey):], totalTokensKey)
	if !ok {
		return 0, false
	}
	rest = bytes.TrimLeft(rest, " ")
	digits := 0
	for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
		digits++
	}
	total, err := strconv.ParseUint(string(rest[:digits]), 10, 64)
	return total, err == nil && total > 0
}

// ModelObject returns the response body that describes one model.
func ModelObject(m Model) []byte {
	m.Object = "model"
	m.OwnedBy = "jasminesaddle"
	body, _ := json.Marshal(m)
	return body
}
