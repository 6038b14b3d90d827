// Package openai implements the parts of the OpenAI-compatible HTTP protocol that
// an entry host needs: it reads a request's model and size, and writes errors,
// model lists and stream events.
package openai

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Limits restrict what a request may ask for.
type Limits struct {
	// DefaultMaxTokens is set on requests without a token limit, so that the
	// engine generates no more than was reserved.
	DefaultMaxTokens uint64
	// MaxTokens is the largest limit that a request may set.
	MaxTokens uint64
}

// Request holds the parts of a completion request that the entry host uses.
type Request struct {
	// Model is ADAPTER, ADAPTER:VERSION or a base model.
	Model  string
	Stream bool
	// PromptTokens is the estimated size of the prompt.
	PromptTokens uint64
	// MaxTokens is the limit on generated tokens, summed over all choices.
	MaxTokens uint64
	// Prompt is the raw prompt, for the prefix index.
	Prompt []byte
	// SharedParts are the messages that other requests may share: all but the last one. Empty
	// for a prompt of one text.
	SharedParts []json.RawMessage

	fields map[string]json.RawMessage
	// defaultLimit is set when the request had no limit and fields has the
	// default one.
	defaultLimit bool
}

// maxFields limits the top-level fields of a request; the protocol has about 40.
const maxFields = 256

// maxSharedParts limits the messages of a request that are tracked as parts of its prompt.
const maxSharedParts = 16

// Parse reads the body of a completion request; chat selects the chat format.
func Parse(body []byte, chat bool, limits Limits) (*Request, error) {
	r := &Request{}
	if err := json.Unmarshal(body, &r.fields); err != nil || r.fields == nil {
		return nil, invalid("", "the body is not a JSON object", "send one JSON object")
	}
	if len(r.fields) > maxFields {
		return nil, invalid("", "the body has too many fields", "send only fields that the protocol defines")
	}
	if err := r.readField("model", &r.Model); err != nil {
		return nil, err
	}
	if r.Model == "" {
		return nil, invalid("model", "the request has no model", "set model to ADAPTER or ADAPTER:VERSION")
	}
	if err := r.readField("stream", &r.Stream); err != nil {
		return nil, err
	}
	if err := r.readPrompt(chat); err != nil {
		return nil, err
	}
	if err := r.readMaxTokens(chat, limits); err != nil {
		return nil, err
	}
	return r, nil
}

// Body returns the request body to send, with a limit on generated tokens. body
// is the one that was parsed; it is returned unchanged when it sets a limit.
func (r *Request) Body(body []byte) ([]byte, error) {
	if !r.defaultLimit {
		return body, nil
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(r.fields); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// readField decodes the named field into the pointer; a missing or null field
// leaves it unchanged.
func (r *Request) readField(name string, into any) error {
	raw, ok := r.fields[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	if decodeSimple(raw, into) {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return invalid(name, "the field has the wrong type", "send the type that the protocol defines")
	}
	return nil
}

// decodeSimple decodes common values without encoding/json, which would scan and
// allocate for each. It reports whether it could decode the value.
func decodeSimple(raw json.RawMessage, into any) bool {
	switch v := into.(type) {
	case *string:
		if raw[0] != '"' || bytes.IndexByte(raw, '\\') >= 0 || !utf8.Valid(raw) {
			return false
		}
		*v = string(raw[1 : len(raw)-1])
		return true
	case *bool:
		*v = string(raw) == "true"
		return *v || string(raw) == "false"
	case **uint64:
		n, err := strconv.ParseUint(string(raw), 10, 64)
		*v = &n
		return err == nil
	}
	return false
}

func (r *Request) readPrompt(chat bool) error {
	name := "prompt"
	if chat {
		name = "messages"
	}
	raw, ok := r.fields[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return invalid(name, "the request has no "+name, "set "+name)
	}
	if chat && raw[0] != '[' {
		return invalid(name, "messages is not a list", "send a list of messages")
	}
	if chat {
		var messages []json.RawMessage
		if err := json.Unmarshal(raw, &messages); err != nil {
			return invalid(name, "messages is not a list", "send a list of messages")
		}
		r.SharedParts = messages[:min(max(0, len(messages)-1), maxSharedParts)]
	}
	r.Prompt = raw
	r.PromptTokens = EstimateTokens(raw)
	return nil
}

func (r *Request) readMaxTokens(chat bool, limits Limits) error {
	var limit *uint64
	names := []string{"max_tokens"}
	if chat {
		names = append(names, "max_completion_tokens")
	}
	for _, name := range names {
		var v *uint64
		if err := r.readField(name, &v); err != nil {
			return err
		}
		if v == nil {
			continue
		}
		if *v == 0 || *v > limits.MaxTokens {
			return fault.Newf(fault.KindInvalidRequest, "choose a value in the range",
				"the value is not between 1 and %d", limits.MaxTokens).At(name).WithRun(fault.NotRun)
		}
		if limit == nil || *v > *limit {
			limit = v
		}
	}
	if limit == nil {
		limit = &limits.DefaultMaxTokens
		r.fields["max_tokens"], _ = json.Marshal(*limit)
		r.defaultLimit = true
	}
	choices := uint64(1)
	for _, name := range []string{"n", "best_of"} {
		var v *uint64
		if err := r.readField(name, &v); err != nil {
			return err
		}
		if v != nil {
			choices = max(choices, *v)
		}
	}
	if choices > 128 {
		return invalid("n", "the request asks for more than 128 choices", "ask for fewer")
	}
	r.MaxTokens = *limit * choices
	return nil
}

// EstimateTokens estimates the number of tokens of a JSON-encoded prompt. English
// text has about four bytes per token and a list of token numbers about five, so
// that the estimate is never far too low.
func EstimateTokens(raw []byte) uint64 {
	return uint64(math.Ceil(float64(len(raw)) / 4))
}

// SplitModel splits ADAPTER:VERSION; the version is empty when there is none.
func SplitModel(model string) (adapter, version string) {
	adapter, version, _ = strings.Cut(model, ":")
	return adapter, version
}

func invalid(field, message, remedy string) error {
	return fault.New(fault.KindInvalidRequest, message, remedy).At(field).WithRun(fault.NotRun)
}
