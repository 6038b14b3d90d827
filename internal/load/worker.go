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

// maxBody is the maximum number of bytes read of a response.
const maxBody = 64 << 20

// worker sends requests one after the other and records them in its own report.
type worker struct {
	opts   Options
	base   string
	report *Report
}

// result is the outcome of one request.
type result struct {
	text   strings.Builder
	tokens int
	done   bool // the response is complete
	// reason and run are set when the server refused the request, by an error
	// status or by an error event in a stream.
	reason, run string
	problem     string
}

func (w *worker) run(ctx context.Context, j job) {
	if j.start.IsZero() {
		j.start = time.Now()
	}
	ctx, cancel := context.WithTimeout(ctx, w.opts.Timeout)
	defer cancel()
	prompt := w.prompt(j)
	req, err := w.newRequest(ctx, j, prompt)
	if err != nil {
		w.report.addProblem("request: " + err.Error())
		return
	}
	w.report.Sent++
	res := w.send(req, j.start)
	w.classify(ctx, j, prompt, res)
}

// prompt returns a prefix that all requests of the model share, followed by text
// that is unique to the request.
func (w *worker) prompt(j job) string {
	shared := strings.Repeat(j.model+" ", w.opts.PromptBytes/(len(j.model)+1)+1)[:w.opts.PromptBytes*3/4]
	unique := fmt.Sprintf(" request %d of seed %d", j.number, w.opts.Seed)
	if short := w.opts.PromptBytes - len(shared) - len(unique); short > 0 {
		unique += strings.Repeat(".", short)
	}
	return shared + unique
}

func (w *worker) newRequest(ctx context.Context, j job, prompt string) (*http.Request, error) {
	body := map[string]any{"model": j.model, "max_tokens": w.opts.MaxTokens, "stream": !w.opts.NoStream}
	path := "/v1/completions"
	if w.opts.Chat {
		path = "/v1/chat/completions"
		body["messages"] = []map[string]string{{"role": "user", "content": prompt}}
	} else {
		body["prompt"] = prompt
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send the request a second time. The
	// report would count both as one.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if w.opts.Key != "" {
		req.Header.Set("Authorization", "Bearer "+w.opts.Key)
	}
	return req, nil
}

func (w *worker) send(req *http.Request, start time.Time) *result {
	res := &result{}
	resp, err := w.opts.Transport.RoundTrip(req)
	if err != nil {
		res.problem = "no response: " + err.Error()
		return res
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxBody)
	switch {
	case resp.StatusCode != http.StatusOK:
		res.parseRefusal(resp, body)
	case w.opts.NoStream:
		w.readFull(res, body, start)
	default:
		w.readStream(res, body, start)
	}
	return res
}

type errorBody struct {
	Error *struct {
		Code json.RawMessage `json:"code"`
		Run  string          `json:"run"`
	} `json:"error"`
}

// parseRefusal reads the reason and the run state of an error response from its
// headers, or else from its body. Without either, the reason is the status code.
func (res *result) parseRefusal(resp *http.Response, body io.Reader) {
	data, _ := io.ReadAll(body)
	res.reason, res.run = resp.Header.Get("X-Jasmine-Reason"), resp.Header.Get("X-Jasmine-Run")
	if res.reason == "" {
		res.parseErrorBody(data)
	}
	if res.reason == "" {
		res.reason = fmt.Sprintf("status_%d", resp.StatusCode)
	}
	if res.run == "" {
		res.run = "unstated"
	}
}

// parseErrorBody reads an error object and reports whether data has one.
func (res *result) parseErrorBody(data []byte) bool {
	var e errorBody
	if json.Unmarshal(data, &e) != nil || e.Error == nil {
		return false
	}
	res.reason, res.run = strings.Trim(string(e.Error.Code), `"`), e.Error.Run
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

func (w *worker) readFull(res *result, body io.Reader, start time.Time) {
	data, err := io.ReadAll(body)
	var k chunk
	if err == nil {
		err = json.Unmarshal(data, &k)
	}
	if err != nil {
		res.problem = "response: " + err.Error()
		return
	}
	res.text.WriteString(k.text())
	res.done = true
	record(w.report.Total, time.Since(start))
}

// readStream reads the events of a stream and records the latency of each token.
func (w *worker) readStream(res *result, body io.Reader, start time.Time) {
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
			res.done = true
			record(w.report.Total, time.Since(start))
			return
		}
		if res.parseErrorBody(data) {
			return
		}
		var k chunk
		if err := json.Unmarshal(data, &k); err != nil {
			res.problem = "event: " + err.Error()
			return
		}
		if k.text() == "" {
			continue
		}
		now := time.Now()
		if res.tokens == 0 {
			record(w.report.FirstToken, now.Sub(start))
		} else {
			record(w.report.BetweenTokens, now.Sub(last))
		}
		last = now
		res.tokens++
		res.text.WriteString(k.text())
	}
	res.problem = "stream ended without its end marker"
	if err := lines.Err(); err != nil {
		res.problem += ": " + err.Error()
	}
}

// classify counts the request in exactly one class of the report.
func (w *worker) classify(ctx context.Context, j job, prompt string, res *result) {
	r := w.report
	r.Tokens += res.tokens
	switch {
	case res.reason != "":
		r.Refused[Refusal{Reason: res.reason, Run: res.run}]++
	case ctx.Err() == context.Canceled:
		r.Aborted++
	case !res.done:
		r.Unknown++
		r.addProblem(res.problem)
	default:
		if problem := w.verify(j, prompt, res.text.String()); problem != "" {
			r.Wrong++
			r.addProblem(problem)
			return
		}
		r.Answered++
	}
}

// verify returns a description of how the text differs from the one that the
// requested model must generate, or "".
func (w *worker) verify(j job, prompt, text string) string {
	if w.opts.Chat {
		prompt = standin.ChatPrompt(prompt)
	}
	served, _, _ := strings.Cut(strings.TrimPrefix(text, "model="), " ")
	if served != j.model && !strings.HasPrefix(served, j.model+":") {
		return fmt.Sprintf("model %q served a request for %q", served, j.model)
	}
	if text != standin.CompletionText(served, prompt, w.opts.MaxTokens) {
		return fmt.Sprintf("completion of %q does not match its prompt", served)
	}
	return ""
}
