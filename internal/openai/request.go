// Package openai reads and writes the parts of the OpenAI-compatible HTTP
// protocol that an entry host needs: which model a request names, how large it
// is, and the shapes of errors, model lists and stream events.
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

// Bounds limit what a request may ask for.
type Bounds struct {
	// DefaultMaxTokens is set on requests that name no limit, so that the
	// engine stops at what was reserved.
	DefaultMaxTokens uint64
	// MaxTokens is the largest limit that a request may name.
	MaxTokens uint64
}

// Request is a completion request as far as the entry host reads it.
type Request struct {
	// Model is ADAPTER, ADAPTER:VERSION or a base model.
	Model  string
	Stream bool
	// PromptTokens is the estimate of the prompt's size.
	PromptTokens uint64
	// MaxTokens is the bound on generated tokens over all choices.
	MaxTokens uint64
	// Prompt is the raw prompt, for the prefix index.
	Prompt []byte

	fields map[string]json.RawMessage
	// defaulted is true when the limit is not the caller's.
	defaulted bool
}

// maxFields bounds the top-level fields of a request; the protocol has about 40.
const maxFields = 256

// Parse reads the body of a completion request; chat selects the chat form.
func Parse(body []byte, chat bool, bounds Bounds) (*Request, error) {
	r := &Request{}
	if err := json.Unmarshal(body, &r.fields); err != nil || r.fields == nil {
		return nil, invalid("", "the body is not a JSON object", "send one JSON object")
	}
	if len(r.fields) > maxFields {
		return nil, invalid("", "the body has too many fields", "send only fields of the protocol")
	}
	if err := r.read("model", &r.Model); err != nil {
		return nil, err
	}
	if r.Model == "" {
		return nil, invalid("model", "the request names no model", "set model to ADAPTER or ADAPTER:VERSION")
	}
	if err := r.read("stream", &r.Stream); err != nil {
		return nil, err
	}
	if err := r.readPrompt(chat); err != nil {
		return nil, err
	}
	if err := r.readMaxTokens(chat, bounds); err != nil {
		return nil, err
	}
	return r, nil
}

// Body returns the body with the limit on generated tokens that was reserved.
// body is what was parsed; it is returned as it is when it names a limit.
func (r *Request) Body(body []byte) ([]byte, error) {
	if !r.defaulted {
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

func (r *Request) read(name string, into any) error {
	raw, ok := r.fields[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	if readPlain(raw, into) {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return invalid(name, "the field has the wrong type", "send the type that the protocol names")
	}
	return nil
}

// readPlain reads the usual values without a decoder, which would scan and
// allocate for each. It reports false for all others.
func readPlain(raw json.RawMessage, into any) bool {
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
	r.Prompt = raw
	r.PromptTokens = EstimateTokens(raw)
	return nil
}

func (r *Request) readMaxTokens(chat bool, bounds Bounds) error {
	var limit *uint64
	names := []string{"max_tokens"}
	if chat {
		names = append(names, "max_completion_tokens")
	}
	for _, name := range names {
		var v *uint64
		if err := r.read(name, &v); err != nil {
			return err
		}
		if v == nil {
			continue
		}
		if *v == 0 || *v > bounds.MaxTokens {
			return fault.Newf(fault.KindInvalidRequest, "choose a value in the range",
				"the value is not between 1 and %d", bounds.MaxTokens).At(name).WithRun(fault.NotRun)
		}
		if limit == nil || *v > *limit {
			limit = v
		}
	}
	if limit == nil {
		limit = &bounds.DefaultMaxTokens
		r.fields["max_tokens"], _ = json.Marshal(*limit)
		r.defaulted = true
	}
	choices := uint64(1)
	for _, name := range []string{"n", "best_of"} {
		var v *uint64
		if err := r.read(name, &v); err != nil {
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

// EstimateTokens estimates the tokens of a JSON encoded prompt. Four bytes per
// token is the usual ratio of English text; a list of token numbers has about
// five bytes per token, so that the estimate is never far too low.
func EstimateTokens(raw []byte) uint64 {
	return uint64(math.Ceil(float64(len(raw)) / 4))
}

// SplitModel splits ADAPTER:VERSION; the version is empty when none is named.
func SplitModel(model string) (adapter, version string) {
	adapter, version, _ = strings.Cut(model, ":")
	return adapter, version
}

func invalid(field, message, remedy string) error {
	return fault.New(fault.KindInvalidRequest, message, remedy).At(field).WithRun(fault.NotRun)
}
