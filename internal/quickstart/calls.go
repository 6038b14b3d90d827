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
	// callTimeout bounds one request, loads of adapters included.
	callTimeout = 20 * time.Second
	// withdrawnBound is how long a withdrawn key may still work.
	withdrawnBound = 5 * time.Second
	tokens         = 8
)

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// send sends one request through an entry host.
func (r *run) send(entry int, path, key, idempotencyKey string, body any) (answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return answer{}, err
	}
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, r.fleet.Entries[entry].URL+path, bytes.NewReader(data))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	client := &http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: got}, err
}

// completion is a request of the completions interface.
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

// choices is the part of an answer that the steps check.
type choices struct {
	Choices []struct {
		Text  string  `json:"text"`
		Delta message `json:"delta"`
	} `json:"choices"`
}

func (r *run) whole() error {
	const prompt = "which clay is best for a small kiln?"
	for i := range 3 {
		model := devfleet.AdapterName(i)
		got, err := r.send(i%len(r.fleet.Entries), "/v1/completions", devfleet.KeyLarge, "",
			completion{Model: model, Prompt: prompt, MaxTokens: tokens})
		if err != nil {
			return err
		}
		var c choices
		if err := json.Unmarshal(got.body, &c); err != nil || got.status != http.StatusOK || len(c.Choices) != 1 {
			return errors.Newf("status %d: %s", got.status, got.body)
		}
		if want := standin.Answer(model+":1", prompt, tokens); c.Choices[0].Text != want {
			return errors.Newf("answer %q, want %q", c.Choices[0].Text, want)
		}
		fmt.Fprintf(r.out, "whole answer from %s: %q\n", model, c.Choices[0].Text)
	}
	return nil
}

func (r *run) streamed() error {
	const question = "how long must glaze dry?"
	model := devfleet.AdapterName(1)
	got, err := r.send(1, "/v1/chat/completions", devfleet.KeySmall, "",
		completion{Model: model + ":1", Messages: []message{{Role: "user", Content: question}}, MaxTokens: tokens, Stream: true})
	if err != nil {
		return err
	}
	text, done, err := readStream(got.body)
	if err != nil || got.status != http.StatusOK || !done {
		return errors.CombineErrors(errors.Newf("status %d, end marker %t: %s", got.status, done, got.body), err)
	}
	if want := standin.Answer(model+":1", standin.ChatPrompt(question), tokens); text != want {
		return errors.Newf("answer %q, want %q", text, want)
	}
	fmt.Fprintf(r.out, "streamed answer from %s: %q\n", model, text)
	return nil
}

// readStream joins the pieces of a stream and tells whether its end marker came.
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

// refused checks a refusal that says that the request did not run.
func (r *run) refused(got answer, status int, reason string) error {
	run, why := got.header.Get("X-Jasmine-Run"), got.header.Get("X-Jasmine-Reason")
	if got.status != status || run != "not_run" || why != reason {
		return errors.Newf("status %d, run %q, reason %q: %s", got.status, run, why, got.body)
	}
	fmt.Fprintf(r.out, "refused with status %d, reason %s, run %s\n", got.status, why, run)
	return nil
}

func (r *run) wrongKey() error {
	got, err := r.send(0, "/v1/completions", "jsk_large_guessed", "",
		completion{Model: devfleet.AdapterName(0), Prompt: "x", MaxTokens: 1})
	if err != nil {
		return err
	}
	return r.refused(got, http.StatusUnauthorized, "unauthorized")
}

// bookTwice sends a non-repeatable call again through another entry host and
// checks that it ran once and gave the same answer.
func (r *run) bookTwice() error {
	body := map[string]string{"stall": "12"}
	var first answer
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

// withdrawnKey withdraws a key and waits for its refusal.
func (r *run) withdrawnKey() error {
	if err := r.operate("key", "withdraw", "-author", "quickstart", "-wait", inForceTimeout, devfleet.TeamSmall); err != nil {
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
			return r.refused(got, http.StatusUnauthorized, "unauthorized")
		}
		if time.Since(begun) > withdrawnBound {
			return errors.Newf("the withdrawn key still works after %s", withdrawnBound)
		}
	}
}
