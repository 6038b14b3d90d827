package openai

import (
	"encoding/json"
	"testing"
)

// A request body comes from outside. Whatever it holds, reading it must not
// panic, and what is sent on must be one JSON object that reserves no more than
// the bound.
func FuzzParse(f *testing.F) {
	for _, body := range []string{
		`{"model":"a:1","prompt":"hello","max_tokens":3}`,
		`{"model":"a","messages":[{"role":"user","content":"x"}],"stream":true}`,
		`{"model":"a","prompt":["x",[1,2]],"n":2,"max_tokens":null}`,
		`{"model":"\u0061","prompt":"x","max_tokens":1e3}`,
		`{"model":"a","prompt":"x","max_tokens":-1}`,
		`{"model":"a","model":"b","prompt":"x"}`,
		`[]`, `{`, `{"model":""}`, `null`, "{\"model\":\"\xff\"}",
	} {
		f.Add([]byte(body), false)
		f.Add([]byte(body), true)
	}
	bounds := Bounds{DefaultMaxTokens: 16, MaxTokens: 1024}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		r, err := Parse(body, chat, bounds)
		if err != nil {
			return
		}
		if r.Model == "" {
			t.Fatalf("accepted %q without a model", body)
		}
		sent, err := r.Body(body)
		if err != nil {
			t.Fatalf("accepted %q and can't send it on: %v", body, err)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(sent, &fields); err != nil || fields == nil {
			t.Fatalf("%q becomes %q", body, sent)
		}
		again, err := Parse(sent, chat, bounds)
		if err != nil || again.Model != r.Model || again.MaxTokens != r.MaxTokens {
			t.Fatalf("%q reserves %d tokens of %q, what is sent on %q: %v", body, r.MaxTokens, r.Model, sent, err)
		}
	})
}
