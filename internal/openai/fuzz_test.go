package openai

import (
	"encoding/json"
	"testing"
)

// FuzzParse guards against untrusted request bodies that make Parse panic, and
// against a forwarded body that is not one JSON object or differs in model or
// reservation from the parsed one.
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
	limits := Limits{DefaultMaxTokens: 16, MaxTokens: 1024}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		r, err := Parse(body, chat, limits)
		if err != nil {
			return
		}
		if r.Model == "" {
			t.Fatalf("accepted %q without a model", body)
		}
		sent, err := r.Body(body)
		if err != nil {
			t.Fatalf("accepted %q but cannot encode the body to forward: %v", body, err)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(sent, &fields); err != nil || fields == nil {
			t.Fatalf("%q is forwarded as %q, which is not a JSON object", body, sent)
		}
		again, err := Parse(sent, chat, limits)
		if err != nil || again.Model != r.Model || again.MaxTokens != r.MaxTokens {
			t.Fatalf("%q reserves %d tokens of %q, but the forwarded %q differs: %v", body, r.MaxTokens, r.Model, sent, err)
		}
	})
}
