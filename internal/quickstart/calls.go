package quickstart

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/devfleet"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

const (
	// callTimeout is the time limit of one request, including the load of its
	// adapter.
	callTimeout = 20 * time.Second
	// withdrawalTimeout is the time after its withdrawal within which a key must
	// stop working.
	withdrawalTimeout = 5 * time.Second
	maxTokens         = 8
)

// response is an HTTP response whose body has been read.
type response struct {
	status int
	header http.Header
	body   []byte
}

// send sends a JSON request to an entry host and returns its response.
func (r *run) send(entry int, path, key, idempotencyKey string, body any) (response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return response{}, err
	}
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, r.fleet.Entries[entry].URL+path, bytes.NewReader(data))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	client := &http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: got}, err
}

// completion is the body of a completion or chat completion request.
type completion struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// choices is the part of a completion, or of an event of a stream, that the steps
// check.
type choices struct {
	Choices []struct {
		Text  string  `json:"text"`
		Delta message `json:"delta"`
	} `json:"choices"`
}

// fullCompletion requests completions that are not streamed and checks their text.
func (r *run) fullCompletion() error {
	const prompt = "which clay is best for a small kiln?"
	for i := range 3 {
		model := devfleet.AdapterName(i)
		got, err := r.send(i%len(r.fleet.Entries), "/v1/completions", devfleet.KeyLarge, "",
			completion{Model: model, Prompt: prompt, MaxTokens: maxTokens})
		if err != nil {
			return err
		}
		var c choices
		if err := json.Unmarshal(got.body, &c); err != nil || got.status != http.StatusOK || len(c.Choices) != 1 {
			return errors.Newf("status %d: %s", got.status, got.body)
		}
		if want := standin.CompletionText(model+":1", prompt, maxTokens); c.Choices[0].Text != want {
			return errors.Newf("answer %q, want %q", c.Choices[0].Text, want)
		}
		fmt.Fprintf(r.out, "whole answer from %s: %q\n", model, c.Choices[0].Text)
	}
	return nil
}

// streamedCompletion requests a streamed chat completion and checks its text and end
// marker.
func (r *run) streamedCompletion() error {
	const question = "how long must glaze dry?"
	model := devfleet.AdapterName(1)
	got, err := r.send(1, "/v1/chat/completions", devfleet.KeySmall, "",
		completion{Model: model + ":1", Messages: []message{{Role: "user", Content: question}}, MaxTokens: maxTokens, Stream: true})
	if err != nil {
		return err
	}
	text, done, err := readStream(got.body)
	if err != nil || got.status != http.StatusOK || !done {
		return errors.CombineErrors(errors.Newf("status %d, end marker %t: %s", got.status, done, got.body), err)
	}
	if want := standin.CompletionText(model+":1", standin.ChatPrompt(question), maxTokens); text != want {
		return errors.Newf("answer %q, want %q", text, want)
	}
	fmt.Fprintf(r.out, "streamed answer from %s: %q\n", model, text)
	return nil
}

// readStream returns the text of a stream and reports whether it has its end marker.
func readStream(body []byte) (text string, done bool, err error) {
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true, nil
		}
		var c choices
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return text, false, err
		}
		for _, choice := range c.Choices {
			text += choice.Delta.Content
		}
	}
	return text, false, lines.Err()
}

// expectRefusal checks the status and the reason of an error response, and that it
// says that the request did not run.
func (r *run) expectRefusal(got response, status int, reason string) error {
	runState, gotReason := got.header.Get("X-Jasmine-Run"), got.header.Get("X-Jasmine-Reason")
	if got.status != status || runState != "not_run" || gotReason != reason {
		return errors.Newf("status %d, run %q, reason %q: %s", got.status, runState, gotReason, got.body)
	}
	fmt.Fprintf(r.out, "refused with status %d, reason %s, run %s\n", got.status, gotReason, runState)
	return nil
}

// invalidKey checks that a request with an unknown key is refused.
func (r *run) invalidKey() error {
	got, err := r.send(0, "/v1/completions", "jsk_large_guessed", "",
		completion{Model: devfleet.AdapterName(0), Prompt: "x", MaxTokens: 1})
	if err != nil {
		return err
	}
	return r.expectRefusal(got, http.StatusUnauthorized, "unauthorized")
}

// bookTwice sends a non-repeatable call with the same Idempotency-Key through every
// entry host and checks that it ran once and that the responses are equal.
func (r *run) bookTwice() error {
	body := map[string]string{"stall": "12"}
	var first response
	for i := range r.fleet.Entries {
		got, err := r.send(i, devfleet.ServicePath+"/stalls", devfleet.KeySmall, "booking-1", body)
		if err != nil {
			return err
		}
		if got.status != http.StatusOK || i > 0 && !bytes.Equal(got.body, first.body) {
			return errors.Newf("status %d, first answer %s, this one %s", got.status, first.body, got.body)
		}
		if i == 0 {
			first = got
		}
	}
	runs := 0
	for _, s := range r.fleet.Services {
		runs += s.ExecutionsByKey("booking-1")
	}
	if runs != 1 {
		return errors.Newf("the booking ran %d times", runs)
	}
	fmt.Fprintf(r.out, "booking sent through %d entry hosts ran once\n", len(r.fleet.Entries))
	return nil
}

// withdrawnKey withdraws a key and waits until requests with it are refused.
func (r *run) withdrawnKey() error {
	if err := r.jasminectl("key", "withdraw", "-author", "quickstart", "-wait", inForceTimeout, devfleet.TeamSmall); err != nil {
		return err
	}
	begun := time.Now()
	for {
		got, err := r.send(0, "/v1/completions", devfleet.KeySmall, "",
			completion{Model: devfleet.AdapterName(0), Prompt: "x", MaxTokens: 1})
		if err != nil {
			return err
		}
		if got.status == http.StatusUnauthorized {
			return r.expectRefusal(got, http.StatusUnauthorized, "unauthorized")
		}
		if time.Since(begun) > withdrawalTimeout {
			return errors.Newf("the withdrawn key still works after %s", withdrawalTimeout)
		}
	}
}
