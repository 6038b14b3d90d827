package entry

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// openStream starts a stream and reads the first line of its first event.
func (f *fleet) openStream(ctx context.Context, path, key, model string, n int) (*http.Response, *bufio.Reader) {
	resp, err := f.caller.Do(f.request(ctx, "POST", path, key, completion(model, "hello", n, true)))
	must.NoError(f.t, err)
	must.Eq(f.t, 200, resp.StatusCode)
	r := bufio.NewReader(resp.Body)
	line, err := r.ReadString('\n')
	must.NoError(f.t, err)
	must.Eq(f.t, "id: 1\n", line)
	return resp, r
}

// readRest reads a stream that openStream started to its end.
func readRest(t *testing.T, resp *http.Response, r io.Reader) string {
	t.Helper()
	defer resp.Body.Close()
	body, err := io.ReadAll(r)
	must.NoError(t, err)
	return "id: 1\n" + string(body)
}

// A cut stream must be resumed without a gap or repeat. One that cannot be
// resumed must end with an error event and without the end marker.
func TestCutStreams(t *testing.T) {
	for name, tc := range map[string]struct {
		faults standin.Faults
		window time.Duration
		whole  bool
		kind   string
	}{
		"resumed":          {faults: standin.Faults{CutStreams: 1, CutAfter: 3}, whole: true},
		"resumed twice":    {faults: standin.Faults{CutStreams: 2, CutAfter: 3}, whole: true},
		"repeat at resume": {faults: standin.Faults{CutStreams: 1, CutAfter: 3, RepeatOnResume: 1}, whole: true},
		"no room at first": {faults: standin.Faults{CutStreams: 1, CutAfter: 3, RefuseResume: 5}, whole: true},
		"no room":          {faults: standin.Faults{CutStreams: 1, CutAfter: 3, RefuseResume: -1}, kind: "stream_cut"},
		"gap at resume":    {faults: standin.Faults{CutStreams: 1, CutAfter: 3, SkipOnResume: 1}, whole: true},
		"gap at each":      {faults: standin.Faults{CutStreams: 1, CutAfter: 3, SkipOnResume: -1}, kind: "stream_cut"},
		"not kept":         {faults: standin.Faults{CutStreams: 1, CutAfter: 3}, window: time.Nanosecond, kind: "stream_cut"},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, options{engine: standin.EngineOptions{ResumeWindow: tc.window}}, func(f *fleet) {
				f.engines["e0"].SetFaults(tc.faults)
				r := f.post("/v1/completions", keyRed, completion("a:1", "hello", 20, true))
				must.Eq(t, 200, r.status)
				text, whole := textOf(t, r.body)
				must.Eq(t, tc.whole, whole)
				must.StrHasPrefix(t, text, standin.CompletionText("a:1", "hello", 20))
				if whole {
					must.Eq(t, standin.CompletionText("a:1", "hello", 20), text)
					return
				}
				must.StrContains(t, r.body, `"code":"`+tc.kind+`"`)
				must.StrContains(t, r.body, `"run":"run"`)
				must.StrNotContains(t, r.body, "[DONE]")
			})
		})
	}
}

// A stream that breaks off long after its last event must still be resumed more than once.
func TestLateCutStreamIsResumed(t *testing.T) {
	for name, faults := range map[string]standin.Faults{"no room once": {RefuseResume: 1}, "gap once": {SkipOnResume: 1}} {
		t.Run(name, func(t *testing.T) {
			limits := Limits{InteractiveFirstByte: 20 * time.Second, StreamGap: 3 * time.Second}
			run(t, options{limits: limits, pool: pool.Options{Gap: 3 * time.Second}}, func(f *fleet) {
				resp, r := f.openStream(f.t.Context(), "/v1/completions", keyRed, "a:1", 50)
				f.engines["e0"].SetFaults(faults)
				f.engines["e0"].Silence()
				_, whole := textOf(t, readRest(t, resp, r))
				must.True(t, whole)
			})
		})
	}
}

// When a key is withdrawn, or the host cannot determine whether it is valid, running
// streams must end within seconds with the right error event. Streams on open
// routes continue unless the host loses contact with the control leader.
func TestRunningStreamsEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		path, key string
		cause     func(f *fleet)
		within    time.Duration
		kind      string
	}{
		"key withdrawn": {"/v1/completions", keyRed, func(f *fleet) {
			f.view.change(&apiv1.Op{Op: &apiv1.Op_DeleteKey{DeleteKey: "r"}})
		}, time.Second, "key_withdrawn"},
		"team deleted": {"/v1/completions", keyRed, func(f *fleet) {
			f.view.change(&apiv1.Op{Op: &apiv1.Op_DeleteTeam{DeleteTeam: "red"}})
		}, time.Second, "key_withdrawn"},
		"other key withdrawn": {"/v1/completions", keyRed, func(f *fleet) {
			f.view.change(&apiv1.Op{Op: &apiv1.Op_DeleteKey{DeleteKey: "b"}})
		}, time.Minute, ""},
		"view old": {"/v1/completions", keyRed, func(f *fleet) { f.view.freeze() }, 8500 * time.Millisecond, "stale_view"},
		"view old, open route": {"/open/v1/completions", "", func(f *fleet) { f.view.freeze() },
			time.Minute, ""},
		"control leader silent": {"/open/v1/completions", "", func(f *fleet) { f.stopReports() }, 8500 * time.Millisecond, "stale_view"},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, options{}, func(f *fleet) {
				resp, r := f.openStream(f.t.Context(), tc.path, tc.key, "a:1", 1000)
				synctest.Wait()
				start := time.Now()
				tc.cause(f)
				body := readRest(t, resp, r)
				must.Less(t, tc.within, time.Since(start))
				_, whole := textOf(t, body)
				must.Eq(t, tc.kind == "", whole)
				if tc.kind != "" {
					must.StrContains(t, body, `"code":"`+tc.kind+`"`)
					must.StrNotContains(t, body, "[DONE]")
					time.Sleep(100 * time.Millisecond) // until the stand-in's next step
					must.Zero(t, f.engines["e0"].State().Running, must.Sprint("the engine still runs the request"))
				}
			})
		})
	}
}

// The key must be checked for each request on a keep-alive connection.
func TestKeyWithdrawnOnKeptConnection(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		body := completion("a", "x", 2, false)
		must.Eq(t, 200, f.post("/v1/completions", keyRed, body).status)
		f.view.change(&apiv1.Op{Op: &apiv1.Op_DeleteKey{DeleteKey: "r"}})
		must.Eq(t, 401, f.post("/v1/completions", keyRed, body).status)
		must.Eq(t, 200, f.post("/v1/completions", keyBlue, body).status)
	})
}

// A host whose configuration is older than 4 s must refuse requests on keyed
// routes and serve those on open routes.
func TestStaleView(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		body := completion("a", "x", 2, false)
		f.view.freeze()
		time.Sleep(3900 * time.Millisecond)
		must.Eq(t, 200, f.post("/v1/completions", keyRed, body).status)
		time.Sleep(200 * time.Millisecond)
		for _, path := range []string{"/v1/completions", "/files/x", "/pay/x"} {
			r := f.post(path, keyRed, body)
			must.Eq(t, 503, r.status)
			must.Eq(t, "stale_view", r.reason())
			must.Eq(t, "not_run", r.run())
			must.NotEq(t, "", r.header.Get("Retry-After"))
		}
		must.Eq(t, 200, f.post("/open/v1/completions", "", body).status)
	})
}

// When a caller disconnects, its request must be cancelled at the engine.
func TestCallerGone(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		for _, stream := range []bool{true, false} {
			ctx, cancel := context.WithCancel(f.t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.do(f.request(ctx, "POST", "/v1/completions", keyRed, completion("a:1", "x", 1000, stream)))
			}()
			time.Sleep(time.Second)
			must.Eq(t, 1, f.engines["e0"].State().Running)
			cancel()
			<-done
			time.Sleep(100 * time.Millisecond)
			must.Zero(t, f.engines["e0"].State().Running)
			synctest.Wait()
			f.checkIdle()
		}
	})
}

// A silent connection must not block a request forever: a stream is resumed on a
// new connection, and a request without a response ends with an error at its
// timeout.
func TestSilentEngine(t *testing.T) {
	o := options{engines: 2, limits: Limits{InteractiveFirstByte: 20 * time.Second, StreamGap: 3 * time.Second}, pool: pool.Options{Gap: 3 * time.Second}}
	run(t, o, func(f *fleet) {
		resp, r := f.openStream(f.t.Context(), "/v1/completions", keyRed, "a:1", 50)
		for _, e := range f.engines {
			e.Silence()
		}
		start := time.Now()
		text, whole := textOf(t, readRest(t, resp, r))
		must.True(t, whole)
		must.Eq(t, standin.CompletionText("a:1", "hello", 50), text)
		must.Less(t, 5*time.Second, time.Since(start))
	})
	o.limits.InteractiveFirstByte = 0
	run(t, o, func(f *fleet) {
		f.view.change(&apiv1.Op{Op: &apiv1.Op_PutRoute{PutRoute: &apiv1.Route{Name: "v1", Path: "/v1",
			Kind: apiv1.RouteKind_ROUTE_KIND_MODEL, Pool: "llm", TimeoutMs: 4000}}})
		for _, e := range f.engines {
			e.SetFaults(standin.Faults{Hang: -1})
		}
		r := f.post("/v1/completions", keyRed, completion("a:1", "x", 2, false))
		must.Eq(t, 504, r.status, must.Sprint(r.body))
		must.Eq(t, "outcome_unknown", r.run())
		synctest.Wait()
		time.Sleep(5 * time.Second)
	})
}

// A request sent over a dead connection must not wait for the timeout of a slow
// engine. The limit of 10 s leaves time for the check over a new connection and
// the second attempt, which goes to the same engine as no other has the adapter.
func TestStreamOverSilentConnection(t *testing.T) {
	run(t, options{engines: 1}, func(f *fleet) {
		for range 4 {
			must.Eq(t, 200, f.post("/v1/completions", keyRed, completion("a:1", "x", 2, false)).status)
		}
		silent := 0
		for _, e := range f.engines {
			silent += e.Silence()
		}
		must.Positive(t, silent)
		start := time.Now()
		resp, r := f.openStream(f.t.Context(), "/v1/completions", keyRed, "a:1", 5)
		text, whole := textOf(t, readRest(t, resp, r))
		must.True(t, whole)
		must.Eq(t, standin.CompletionText("a:1", "hello", 5), text)
		must.Less(t, 10*time.Second, time.Since(start))
	})
}

// A response with another request's identifier must never reach a caller.
func TestCrossedAnswers(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"crossed": {SwapResponses: 2}, "no echo": {NoEcho: 1}, "wrong echo": {WrongEcho: 1},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, options{}, func(f *fleet) {
				f.engines["e0"].SetFaults(faults)
				prompts := []string{"one", "two"}
				replies := make([]reply, len(prompts))
				done := make(chan struct{})
				for i, prompt := range prompts {
					go func() {
						replies[i] = f.post("/v1/completions", keyRed, completion("a:1", prompt, 5, false))
						done <- struct{}{}
					}()
				}
				refused := 0
				for range prompts {
					<-done
				}
				for i, r := range replies {
					if r.status == 200 {
						text, _ := textOf(t, r.body)
						must.Eq(t, standin.CompletionText("a:1", prompts[i], 5), text)
						continue
					}
					refused++
					must.Eq(t, "answer_mismatch", r.reason())
					must.Eq(t, "outcome_unknown", r.run())
				}
				must.Positive(t, refused)
			})
		})
	}
}

// A caller's key must never reach a backend server, however the caller sent it.
func TestKeyNeverForwarded(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		f.engines["e0"].Watch(keyRed)
		f.service.Watch(keyRed)
		must.Eq(t, 200, f.post("/v1/completions?api_key="+keyRed, keyRed, completion("a", "x", 2, false)).status)
		for _, path := range []string{"/files/x?token=" + keyRed + "&a=1", "/pay/x?q=" + keyRed, "/files/" + keyRed} {
			req := f.request(f.t.Context(), "POST", path, "", "body")
			req.Header.Set("X-Api-Key", keyRed)
			req.Header.Set("X-Copy", "Bearer "+keyRed)
			req.Header.Set("Idempotency-Key", "k"+path[:4])
			r := f.do(req)
			if strings.HasSuffix(path, keyRed) && !strings.Contains(path, "?") {
				must.Eq(t, 400, r.status)
				continue
			}
			must.Eq(t, 200, r.status, must.Sprint(r.body))
		}
		must.SliceEmpty(t, f.engines["e0"].Leaks())
		must.SliceEmpty(t, f.service.Leaks())
		f.logMu.Lock()
		must.StrNotContains(t, f.log.String(), keyRed)
		f.logMu.Unlock()
	})
}

// Guards against a stream that goes on at another run of its engine, which may have another build.
func TestStreamIsNotJoinedAcrossRestart(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		resp, r := f.openStream(f.t.Context(), "/v1/completions", keyRed, "a:1", 1000)
		synctest.Wait()
		for _, e := range f.engines {
			e.Restart()
		}
		body := readRest(t, resp, r)
		_, whole := textOf(t, body)
		must.False(t, whole)
		must.StrContains(t, body, `"error"`)
		must.StrNotContains(t, body, "[DONE]")
	})
}
