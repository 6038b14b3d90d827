package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// TestRun checks how a report classifies requests. A load run that counted a
// failure as a success would be useless as a test.
func TestRun(t *testing.T) {
	refused := map[Refusal]int{{Reason: "429", Run: "unstated"}: 3}
	for name, tc := range map[string]struct {
		faults standin.Faults
		opts   Options
		cancel time.Duration
		want   Report
	}{
		"streams":        {opts: Options{Requests: 20}, want: Report{Sent: 20, Answered: 20, Tokens: 80}},
		"whole":          {opts: Options{Requests: 20, NoStream: true}, want: Report{Sent: 20, Answered: 20}},
		"chat":           {opts: Options{Requests: 20, Chat: true, Skew: 1.5}, want: Report{Sent: 20, Answered: 20, Tokens: 80}},
		"crossed":        {faults: standin.Faults{SwapResponses: 2}, opts: Options{Requests: 4, NoStream: true}, want: Report{Sent: 4, Answered: 2, Wrong: 2}},
		"cut streams":    {faults: standin.Faults{CutStreams: 2, CutAfter: 1}, opts: Options{Requests: 5}, want: Report{Sent: 5, Answered: 3, Unknown: 2, Tokens: 14}},
		"lost event":     {faults: standin.Faults{CutStreams: 1, CutAfter: 4}, opts: Options{Requests: 1}, want: Report{Sent: 1, Unknown: 1, Tokens: 4}},
		"refused":        {faults: standin.Faults{Refuse: 3, RefuseStatus: 429}, opts: Options{Requests: 4}, want: Report{Sent: 4, Answered: 1, Refused: refused, Tokens: 4}},
		"bound on time":  {opts: Options{Requests: 1000, Rate: 10, Duration: 950 * time.Millisecond, MaxTokens: 1}, want: Report{Sent: 10, Answered: 10, Tokens: 10}},
		"cancelled":      {faults: standin.Faults{Hang: -1}, opts: Options{Requests: 1000}, cancel: time.Second, want: Report{Sent: 2, Aborted: 2}},
		"timeout passed": {faults: standin.Faults{Hang: 1}, opts: Options{Requests: 2, Timeout: time.Second}, want: Report{Sent: 2, Answered: 1, Unknown: 1, Tokens: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, e := standin.NewPipeListener(), standin.NewEngine(standin.EngineOptions{})
				defer e.Close()
				go func() { _ = e.Serve(l) }()
				transport := &http.Transport{DialContext: l.DialContext}
				defer transport.CloseIdleConnections()
				e.SetFaults(tc.faults)
				opts := tc.opts
				opts.URL, opts.Models, opts.Workers, opts.Transport = "http://192.0.2.1", []string{"base", "base"}, 2, transport
				if opts.MaxTokens == 0 {
					opts.MaxTokens = 4
				}
				ctx := t.Context()
				if tc.cancel > 0 {
					var stop context.CancelFunc
					ctx, stop = context.WithCancel(ctx)
					time.AfterFunc(tc.cancel, stop)
				}
				got, err := Run(ctx, opts)
				must.NoError(t, err)
				must.Eq(t, [6]int{tc.want.Sent, tc.want.Answered, tc.want.Wrong, tc.want.Unknown, tc.want.Aborted, tc.want.Tokens},
					[6]int{got.Sent, got.Answered, got.Wrong, got.Unknown, got.Aborted, got.Tokens}, must.Sprint(got.Problems))
				must.MapLen(t, len(tc.want.Refused), got.Refused)
				for k, n := range tc.want.Refused {
					must.EqOp(t, n, got.Refused[k])
				}
				var out bytes.Buffer
				must.NoError(t, got.WriteJSON(&out))
				for dec := json.NewDecoder(&out); dec.More(); {
					must.NoError(t, dec.Decode(new(map[string]any)))
				}
			})
		})
	}
}

// TestOptions checks that options without a limit on the run are rejected.
func TestOptions(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"no models": func(o *Options) { o.Models = nil },
		"no URL":    func(o *Options) { o.URL = "" },
		"requests":  func(o *Options) { o.Requests = maxRequests + 1 },
		"duration":  func(o *Options) { o.Duration = -1 },
		"workers":   func(o *Options) { o.Workers = maxWorkers + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			opts := Options{URL: "http://127.0.0.1:1", Models: []string{"base"}}
			change(&opts)
			_, err := Run(t.Context(), opts)
			must.EqOp(t, fault.KindInvalidSetting, fault.KindOf(err))
		})
	}
}

// TestVerify checks that the completion of another adapter, version or prompt, or
// one of the wrong length, does not count as correct.
func TestVerify(t *testing.T) {
	w := &worker{opts: Options{MaxTokens: 3}}
	for name, tc := range map[string]struct {
		model, text string
		correct     bool
	}{
		"version":       {"a:1", standin.CompletionText("a:1", "p", 3), true},
		"any version":   {"a", standin.CompletionText("a:2", "p", 3), true},
		"other version": {"a:1", standin.CompletionText("a:2", "p", 3), false},
		"other adapter": {"a", standin.CompletionText("ab:1", "p", 3), false},
		"other prompt":  {"a", standin.CompletionText("a:1", "q", 3), false},
		"short":         {"a", standin.CompletionText("a:1", "p", 2), false},
	} {
		t.Run(name, func(t *testing.T) {
			must.EqOp(t, tc.correct, w.verify(job{model: tc.model}, "p", tc.text) == "")
		})
	}
}
