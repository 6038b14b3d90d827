package entry

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// textOf returns the text of a whole or streamed completion and whether it is
// complete. It fails on a gap or repeat in the sequence numbers.
func textOf(t *testing.T, body string) (string, bool) {
	t.Helper()
	type chunk struct {
		Choices []struct {
			Text    string
			Message struct{ Content string }
			Delta   struct{ Content string }
		}
	}
	read := func(data string) string {
		var c chunk
		must.NoError(t, json.Unmarshal([]byte(data), &c), must.Sprint(data))
		return c.Choices[0].Text + c.Choices[0].Message.Content + c.Choices[0].Delta.Content
	}
	if strings.HasPrefix(body, "{") {
		return read(body), true
	}
	var text strings.Builder
	last := 0
	for event := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		if strings.HasPrefix(event, "event: error") {
			return text.String(), false
		}
		id, data, ok := strings.Cut(strings.TrimPrefix(event, "id: "), "\ndata: ")
		must.True(t, ok, must.Sprint(event))
		must.Eq(t, strconv.Itoa(last+1), id)
		last++
		if data == "[DONE]" {
			return text.String(), true
		}
		text.WriteString(read(data))
	}
	return text.String(), false
}

// Requirement R1: a request must run on the adapter and version that it names.
func TestRightAdapterAndVersion(t *testing.T) {
	run(t, options{engines: 2}, func(f *fleet) {
		for _, path := range []string{"/v1/completions", "/batch/v1/completions", "/open/v1/completions"} {
			for model, want := range map[string]string{"a": "a:2", "a:1": "a:1", "a:2": "a:2", "base": "base"} {
				for _, stream := range []bool{false, true} {
					r := f.post(path, keyRed, completion(model, "hello", 5, stream))
					must.Eq(t, 200, r.status, must.Sprint(r.body))
					text, whole := textOf(t, r.body)
					must.True(t, whole)
					must.Eq(t, standin.CompletionText(want, "hello", 5), text)
				}
			}
		}
		chat := `{"model":"a:1","messages":[{"role":"user","content":"hi"}],"max_tokens":4}`
		text, _ := textOf(t, f.post("/v1/chat/completions", keyRed, chat).body)
		must.Eq(t, standin.CompletionText("a:1", standin.ChatPrompt("hi"), 4), text)
		must.StrContains(t, f.do(f.request(f.t.Context(), "GET", "/v1/models", keyBlue, "")).body, `"id":"b"`)
		must.StrNotContains(t, f.do(f.request(f.t.Context(), "GET", "/v1/models", keyRed, "")).body, `"id":"b"`)
	})
}

// An invalid request must be refused with the right reason and marked as not run.
func TestRefusals(t *testing.T) {
	run(t, options{limits: Limits{BodyBytes: 2000}}, func(f *fleet) {
		good := completion("a", "x", 4, false)
		for name, tc := range map[string]struct {
			path, key, body string
			status          int
			reason          string
		}{
			"no key":          {"/v1/completions", "", good, 401, "unauthorized"},
			"wrong key":       {"/v1/completions", "wrong", good, 401, "unauthorized"},
			"unknown adapter": {"/v1/completions", keyRed, completion("z", "x", 4, false), 404, "unknown_adapter"},
			"unknown version": {"/v1/completions", keyRed, completion("a:9", "x", 4, false), 404, "unknown_adapter"},
			"empty version":   {"/v1/completions", keyRed, completion("a:", "x", 4, false), 400, "invalid_request"},
			"other team's":    {"/v1/completions", keyRed, completion("b", "x", 4, false), 403, "forbidden"},
			"open route":      {"/open/v1/completions", "", completion("b", "x", 4, false), 403, "forbidden"},
			"no model":        {"/v1/completions", keyRed, `{"prompt":"x"}`, 400, "invalid_request"},
			"no JSON":         {"/v1/completions", keyRed, `{"model":`, 400, "invalid_request"},
			"large body":      {"/v1/completions", keyRed, completion("a", strings.Repeat("x", 3000), 4, false), 413, "request_too_large"},
			"no route":        {"/v2/completions", keyRed, good, 404, "unknown_route"},
			"no path":         {"/v1/embeddings", keyRed, good, 404, "unknown_route"},
			"dot segment":     {"/files/../v1/completions", keyRed, good, 400, "invalid_request"},
			"encoded dots":    {"/files/%2e%2e/v1/completions", keyRed, good, 400, "invalid_request"},
			"above burst":     {"/v1/completions", keyRed, `{"model":"a","prompt":"x","max_tokens":1000,"n":120}`, 413, "request_too_large"},
		} {
			r := f.post(tc.path, tc.key, tc.body)
			must.Eq(t, tc.status, r.status, must.Sprint(name, r.body, r.err))
			must.Eq(t, tc.reason, r.reason(), must.Sprint(name))
			must.Eq(t, "not_run", r.run())
			var e struct {
				Error struct{ Message, Type, Code, Run, RequestID string }
			}
			must.NoError(t, json.Unmarshal([]byte(strings.ReplaceAll(r.body, "request_id", "RequestID")), &e))
			must.Eq(t, tc.reason, e.Error.Code)
			must.Eq(t, "not_run", e.Error.Run)
			must.Eq(t, r.header.Get("X-Request-Id"), e.Error.RequestID)
		}
		must.Zero(t, f.engines["e0"].State().Record.Executions)
	})
}
