package openai

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Done is the data of the event that ends a whole stream.
var Done = []byte("[DONE]")

// errorBody is the protocol's error object with this project's fields.
type errorBody struct {
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

// Error returns the JSON body that tells a caller about e. Causes stay in the
// log: they name addresses of backend servers.
func Error(e *fault.Error, requestID string) []byte {
	message := e.Message
	if e.Remedy != "" {
		message += "; " + e.Remedy
	}
	out, _ := json.Marshal(errorBody{Error: errorFields{
		Message:   message,
		Type:      errorType(e.HTTPStatus()),
		Code:      string(e.Kind),
		Param:     e.Field,
		Run:       string(e.Run),
		RequestID: requestID,
	}})
	return out
}

// errorType maps a status to the protocol's coarse error types.
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

// AppendErrorEvent appends the event that ends a stream which could not be
// completed. It carries no sequence number, and no end marker follows it.
func AppendErrorEvent(buf []byte, e *fault.Error, requestID string) []byte {
	buf = append(buf, "event: error\n"...)
	return appendData(buf, Error(e, requestID))
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

// Models returns the body of the model list.
func Models(list []Model) []byte {
	for i := range list {
		list[i].Object = "model"
		list[i].OwnedBy = "jasminesaddle"
	}
	out, _ := json.Marshal(struct {
		Object string  `json:"object"`
		Data   []Model `json:"data"`
	}{"list", list})
	return out
}

// Usage returns the tokens that an answer or event reports, if any.
func Usage(data []byte) (uint64, bool) {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return 0, false
	}
	var v struct {
		Usage *struct {
			Total uint64 `json:"total_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &v) != nil || v.Usage == nil || v.Usage.Total == 0 {
		return 0, false
	}
	return v.Usage.Total, true
}

// OneModel returns the body that describes one model.
func OneModel(m Model) []byte {
	m.Object = "model"
	m.OwnedBy = "jasminesaddle"
	out, _ := json.Marshal(m)
	return out
}
