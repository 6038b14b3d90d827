package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// maxBody bounds an answer.
const maxBody = 64 << 20

// caller sends the requests of one worker.
type caller struct {
	opts   Options
	base   string
	report *Report
}

// answer is what one request brought.
type answer struct {
	text   strings.Builder
	tokens int
	done   bool
	// reason and run are those of a refusal, also inside a stream.
	reason, run string
	problem     string
}

func (c *caller) run(ctx context.Context, j job) {
	if j.start.IsZero() {
		j.start = time.Now()
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	prompt := c.prompt(j)
	req, err := c.request(ctx, j, prompt)
	if err != nil {
		c.report.fail("request: " + err.Error())
		return
	}
	c.report.Sent++
	a := c.send(req, j.start)
	c.count(ctx, j, prompt, a)
}

// prompt has a part that all requests of a model share and a part of its own.
func (c *caller) prompt(j job) string {
	shared := strings.Repeat(j.model+" ", c.opts.PromptBytes/(len(j.model)+1)+1)[:c.opts.PromptBytes*3/4]
	own := fmt.Sprintf(" request %d of seed %d", j.number, c.opts.Seed)
	if short := c.opts.PromptBytes - len(shared) - len(own); short > 0 {
		own += strings.Repeat(".", short)
	}
	return shared + own
}

func (c *caller) request(ctx context.Context, j job, prompt string) (*http.Request, error) {
	body := map[string]any{"model": j.model, "max_tokens": c.opts.MaxTokens, "stream": !c.opts.Whole}
	path := "/v1/completions"
	if c.opts.Chat {
		path = "/v1/chat/completions"
		body["messages"] = []map[string]string{{"role": "user", "content": prompt}}
	} else {
		body["prompt"] = prompt
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	// A request must not be sent twice behind the counts.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if c.opts.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.opts.Key)
	}
	return req, nil
}

func (c *caller) send(req *http.Request, start time.Time) *answer {
	a := &answer{}
	resp, err := c.opts.Transport.RoundTrip(req)
	if err != nil {
		a.problem = "no answer: " + err.Error()
		return a
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxBody)
	switch {
	case resp.StatusCode != http.StatusOK:
		a.refused(resp, body)
	case c.opts.Whole:
		c.readWhole(a, body, start)
	default:
		c.readStream(a, body, start)
	}
	return a
}

type errorBody struct {
	Error *struct {
		Code json.RawMessage `json:"code"`
		Run  string          `json:"run"`
	} `json:"error"`
}

// refused reads the reason and the run state from the headers, or else from the
// body. A server that gives none is counted by its status.
func (a *answer) refused(resp *http.Response, body io.Reader) {
	data, _ := io.ReadAll(body)
	a.reason, a.run = resp.Header.Get("X-Jasmine-Reason"), resp.Header.Get("X-Jasmine-Run")
	if a.reason == "" {
		a.refusedBody(data)
	}
	if a.reason == "" {
		a.reason = fmt.Sprintf("status_%d", resp.StatusCode)
	}
	if a.run == "" {
		a.run = "unstated"
	}
}

func (a *answer) refusedBody(data []byte) bool {
	var e errorBody
	if json.Unmarshal(data, &e) != nil || e.Error == nil {
		return false
	}
	a.reason, a.run = strings.Trim(string(e.Error.Code), `"`), e.Error.Run
	return true
}

type chunk struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (k chunk) text() string {
	if len(k.Choices) == 0 {
		return ""
	}
	return k.Choices[0].Text + k.Choices[0].Message.Content + k.Choices[0].Delta.Content
}

func (c *caller) readWhole(a *answer, body io.Reader, start time.Time) {
	data, err := io.ReadAll(body)
	var k chunk
	if err == nil {
		err = json.Unmarshal(data, &k)
	}
	if err != nil {
		a.problem = "answer: " + err.Error()
		return
	}
	a.text.WriteString(k.text())
	a.done = true
	record(c.report.Total, time.Since(start))
}

// readStream reads events and records the time of each token.
func (c *caller) readStream(a *answer, body io.Reader, start time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	last := start
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			a.done = true
			record(c.report.Total, time.Since(start))
			return
		}
		if a.refusedBody(data) {
			return
		}
		var k chunk
		if err := json.Unmarshal(data, &k); err != nil {
			a.problem = "event: " + err.Error()
			return
		}
		if k.text() == "" {
			continue
		}
		now := time.Now()
		if a.tokens == 0 {
			record(c.report.FirstToken, now.Sub(start))
		} else {
			record(c.report.BetweenTokens, now.Sub(last))
		}
		last = now
		a.tokens++
		a.text.WriteString(k.text())
	}
	a.problem = "stream without its end marker"
	if err := lines.Err(); err != nil {
		a.problem += ": " + err.Error()
	}
}

// count puts the request into exactly one class.
func (c *caller) count(ctx context.Context, j job, prompt string, a *answer) {
	r := c.report
	r.Tokens += a.tokens
	switch {
	case a.reason != "":
		r.Refused[Refusal{Reason: a.reason, Run: a.run}]++
	case ctx.Err() == context.Canceled:
		r.Aborted++
	case !a.done:
		r.Unknown++
		r.fail(a.problem)
	default:
		if problem := c.verify(j, prompt, a.text.String()); problem != "" {
			r.Wrong++
			r.fail(problem)
			return
		}
		r.Answered++
	}
}

// verify compares the text with what the named adapter has to answer.
func (c *caller) verify(j job, prompt, text string) string {
	if c.opts.Chat {
		prompt = standin.ChatPrompt(prompt)
	}
	served, _, _ := strings.Cut(strings.TrimPrefix(text, "model="), " ")
	if served != j.model && !strings.HasPrefix(served, j.model+":") {
		return fmt.Sprintf("model %q answered a request for %q", served, j.model)
	}
	if text != standin.Answer(served, prompt, c.opts.MaxTokens) {
		return fmt.Sprintf("the answer of %q is not the one to its prompt", served)
	}
	return ""
}
