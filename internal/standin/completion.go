package standin

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CompletionToken returns the text of token i of a model's completion of a prompt.
// Token 0 names the model (ADAPTER:VERSION for an adapter) and the hash of the
// prompt.
func CompletionToken(model, prompt string, i int) string {
	return token(model, xxhash.Sum64String(prompt), i)
}

func token(model string, hash uint64, i int) string {
	if i == 0 {
		return fmt.Sprintf("model=%s prompt=%016x", model, hash)
	}
	// With an odd multiplier, 65,536 consecutive positions get different 16-bit values.
	return fmt.Sprintf(" %04x", uint16(hash)+uint16(i)*40503)
}

// CompletionText returns the text of a completion of n tokens.
func CompletionText(model, prompt string, n int) string {
	hash := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(token(model, hash, i))
	}
	return b.String()
}

// CountTokens estimates the number of tokens of a text at 4 bytes per token.
func CountTokens(text string) int { return (len(text) + 3) / 4 }

// message is one message of a chat. Content is a string or a list of parts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ChatPrompt returns the prompt that a chat with one user message is turned into.
func ChatPrompt(user string) string { return "user: " + user + "\n" }

func chatPrompt(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		var text string
		if json.Unmarshal(m.Content, &text) != nil {
			text = string(m.Content)
		}
		b.WriteString(m.Role + ": " + text + "\n")
	}
	return b.String()
}

// completionRequest holds the fields of a completion that the stand-in reads.
type completionRequest struct {
	model, prompt string
	chat          bool
	stream        bool
	usage         bool
	priority      int
	maxTokens     int
}

// defaultTokens is the length of a completion when the request has no
// max_tokens, and maxTokens is the largest length that it may ask for.
const (
	defaultTokens = 16
	maxTokens     = 1 << 20
)

// parseCompletion matches field names exactly. Decoding into a struct would match
// them in any letter case.
func parseCompletion(body []byte, chat bool) (completionRequest, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return completionRequest{}, err
	}
	req := completionRequest{chat: chat, maxTokens: defaultTokens}
	var messages []message
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	targets := map[string]any{
		"model": &req.model, "stream": &req.stream, "priority": &req.priority,
		"max_tokens": &req.maxTokens, "stream_options": &options,
	}
	if chat {
		targets["messages"] = &messages
		targets["max_completion_tokens"] = &req.maxTokens
	} else {
		targets["prompt"] = &req.prompt
	}
	for name, target := range targets {
		if raw, ok := fields[name]; ok {
			if err := json.Unmarshal(raw, target); err != nil {
				return completionRequest{}, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	if chat {
		req.prompt = chatPrompt(messages)
	}
	req.usage = options.IncludeUsage
	if req.maxTokens < 1 || req.maxTokens > maxTokens {
		return completionRequest{}, fmt.Errorf("max_tokens is %d, outside [1, %d]", req.maxTokens, maxTokens)
	}
	return req, nil
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// created is constant, so that equal requests get equal responses.
const created = 1_700_000_000

// response returns the response body of a completion that is not streamed.
func (r completionRequest) response(id string, cached int) completion {
	text, finish := CompletionText(r.model, r.prompt, r.maxTokens), "length"
	c := choice{FinishReason: &finish}
	object := "text_completion"
	if r.chat {
		object, c.Message = "chat.completion", &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return completion{
		ID: id, Object: object, Created: created, Model: r.model,
		Choices: []choice{c}, Usage: r.usageOf(cached, r.maxTokens),
	}
}

// usageOf returns the token counts of a completion.
func (r completionRequest) usageOf(cached, completed int) *usage {
	prompt := CountTokens(r.prompt)
	return &usage{
		PromptTokens: prompt, CompletionTokens: completed, TotalTokens: prompt + completed,
		Details: promptDetails{CachedTokens: cached},
	}
}

// chunk returns the data of one event of a streamed completion.
func (r completionRequest) chunk(id, text string, last bool) completion {
	c := choice{}
	if last {
		finish := "length"
		c.FinishReason = &finish
	}
	object := "text_completion"
	if r.chat {
		object, c.Delta = "chat.completion.chunk", &chatMessage{Content: text}
	} else {
		c.Text = &text
	}
	return completion{ID: id, Object: object, Created: created, Model: r.model, Choices: []choice{c}}
}
