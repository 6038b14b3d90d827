package openai

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

var limits = Limits{DefaultMaxTokens: 16, MaxTokens: 100}

// TestReservationCoversRequest guards against a reservation of fewer tokens than
// the engine may generate, which would let a team exceed its rate.
func TestReservationCoversRequest(t *testing.T) {
	for body, want := range map[string]uint64{
		`{"model":"a","prompt":"x"}`:                                  16,
		`{"model":"a","prompt":"x","max_tokens":null}`:                16,
		`{"model":"a","prompt":"x","max_tokens":7}`:                   7,
		`{"model":"a","prompt":"x","max_tokens":7,"n":3}`:             21,
		`{"model":"a","prompt":"x","max_tokens":7,"n":2,"best_of":5}`: 35,
		`{"model":"a","prompt":"x","max_tokens":7,"max_tokens":9}`:    9,
	} {
		r, err := Parse([]byte(body), false, limits)
		must.NoError(t, err, must.Sprint(body))
		must.Eq(t, want, r.MaxTokens, must.Sprint(body))
		out, err := r.Body([]byte(body))
		must.NoError(t, err)
		var sent struct {
			Model     string `json:"model"`
			MaxTokens uint64 `json:"max_tokens"`
		}
		must.NoError(t, json.Unmarshal(out, &sent))
		must.Eq(t, "a", sent.Model)
		must.Positive(t, sent.MaxTokens, must.Sprint("the engine would generate without a limit"))
	}
}

// TestParseRefuses guards against an invalid request that is accepted and
// occupies a batch slot, or is refused without the name of the invalid field.
func TestParseRefuses(t *testing.T) {
	for body, field := range map[string]string{
		``:                              "",
		`[]`:                            "",
		`null`:                          "",
		`{"prompt":"x"}`:                "model",
		`{"model":7,"prompt":"x"}`:      "model",
		`{"model":"a"}`:                 "prompt",
		`{"model":"a","prompt":"x"`:     "",
		`{"model":"a","prompt":"x"} {}`: "",
		`{"model":"a","prompt":"x","stream":"yes"}`:   "stream",
		`{"model":"a","prompt":"x","max_tokens":0}`:   "max_tokens",
		`{"model":"a","prompt":"x","max_tokens":101}`: "max_tokens",
		`{"model":"a","prompt":"x","max_tokens":-1}`:  "max_tokens",
		`{"model":"a","prompt":"x","n":1000}`:         "n",
	} {
		_, err := Parse([]byte(body), false, limits)
		e, ok := fault.As(err)
		must.True(t, ok, must.Sprint(body))
		must.Eq(t, fault.KindInvalidRequest, e.Kind)
		must.Eq(t, field, e.Field, must.Sprint(body))
		must.Eq(t, fault.NotRun, e.Run)
	}
	_, err := Parse([]byte(`{"model":"a","messages":"x"}`), true, limits)
	must.Error(t, err)
}

// TestUsage guards against settling a reservation with fewer tokens than were
// used, which would let a team exceed its rate, and against generated text that
// is read as the usage field.
func TestUsage(t *testing.T) {
	for data, want := range map[string]uint64{
		`{"choices":[{"text":"x"}],"usage":{"prompt_tokens":2,"total_tokens":7}}`: 7,
		`{"usage": {"total_tokens":7},"id":"x"}`:                                  7,
		`{"choices":[{"text":"\"usage\":{\"total_tokens\":1}"}]}`:                 0,
		`{"choices":[],"usage":null}`:                                             0,
		`{}`:                                                                      0,
	} {
		got, ok := Usage([]byte(data))
		must.Eq(t, want, got, must.Sprint(data))
		must.Eq(t, want > 0, ok)
	}
}

// TestEventKeepsLines guards against data whose line breaks are written as they
// are: the lines after the first would be read as other fields.
func TestEventKeepsLines(t *testing.T) {
	must.Eq(t, "id: 3\ndata: a\ndata: b\n\n", string(AppendEvent(nil, 3, []byte("a\nb"))))
}
