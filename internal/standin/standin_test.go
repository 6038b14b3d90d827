package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// fixture sends requests to a stand-in on a fake clock.
type fixture struct {
	t      *testing.T
	client *http.Client
}

func serve(t *testing.T, s Server, stop func()) *fixture {
	l := NewPipeListener()
	go func() { _ = s.Serve(l) }()
	transport := &http.Transport{DialContext: l.DialContext}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		stop()
	})
	return &fixture{t: t, client: &http.Client{Transport: transport}}
}

// do returns the status and the body. Without a complete response, it returns
// status 0 and the error text.
func (s *fixture) do(method, path, body string, headers ...string) (int, string) {
	req, err := http.NewRequestWithContext(s.t.Context(), method, "http://192.0.2.1"+path, strings.NewReader(body))
	must.NoError(s.t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

func (s *fixture) load(adapter string) int {
	status, _ := s.do("POST", "/v1/load_lora_adapter", fmt.Sprintf(`{"lora_name":%q,"lora_path":"w"}`, adapter))
	return status
}

// complete runs the completions concurrently and returns how long each took.
func (s *fixture) complete(bodies ...string) []time.Duration {
	took := make([]time.Duration, len(bodies))
	var wg sync.WaitGroup
	began := time.Now()
	for i, body := range bodies {
		wg.Go(func() {
			status, _ := s.do("POST", "/v1/completions", body)
			must.EqOp(s.t, 200, status)
			took[i] = time.Since(began)
		})
		// All completions arrive in the given order and within the first step.
		time.Sleep(time.Microsecond)
	}
	wg.Wait()
	return took
}

// TestBatch checks the timing that measurements rely on: sequences share steps,
// wait for a free batch slot, and are admitted by priority.
func TestBatch(t *testing.T) {
	const ms = time.Millisecond
	body := func(tokens, priority int) string {
		return fmt.Sprintf(`{"model":"base","prompt":"x","max_tokens":%d,"priority":%d}`, tokens, priority)
	}
	for name, tc := range map[string]struct {
		max    int
		bodies []string
		steps  []time.Duration
	}{
		"one":      {2, []string{body(5, 0)}, []time.Duration{5}},
		"shared":   {2, []string{body(5, 0), body(5, 0)}, []time.Duration{5, 6}},
		"waiting":  {1, []string{body(2, 0), body(2, 0)}, []time.Duration{2, 4}},
		"priority": {1, []string{body(1, 0), body(2, 5), body(2, 1)}, []time.Duration{1, 5, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := NewEngine(EngineOptions{MaxBatch: tc.max, TokenTime: 10 * ms})
				s := serve(t, e, e.Close)
				for i, took := range s.complete(tc.bodies...) {
					must.EqOp(t, tc.steps[i]*10*ms, took)
				}
			})
		})
	}
}

// TestWeightStore checks the limits that placement is designed for: three loads
// start per second and two run at full speed.
func TestWeightStore(t *testing.T) {
	for name, tc := range map[string]struct {
		opts  WeightStoreOptions
		loads int
		want  time.Duration
	}{
		"one":            {WeightStoreOptions{}, 1, 250 * time.Millisecond},
		"two at once":    {WeightStoreOptions{}, 2, 250 * time.Millisecond},
		"eight in a row": {WeightStoreOptions{}, 8, 2250 * time.Millisecond},
		"shared speed":   {WeightStoreOptions{PerSecond: 1e9, Parallel: 4}, 8, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, began := NewWeightStore(tc.opts), time.Now()
				var wg sync.WaitGroup
				for range tc.loads {
					wg.Go(func() { must.NoError(t, store.Fetch(t.Context(), 250*time.Millisecond)) })
				}
				wg.Wait()
				must.EqOp(t, tc.want, time.Since(began).Round(10*time.Millisecond))
			})
		})
	}
}

// TestEngineState checks the counters that tests of other packages rely on.
func TestEngineState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineOptions{Slots: 1, PrefixTokens: 64})
		s := serve(t, e, e.Close)
		e.Watch("sk-secret")
		must.EqOp(t, 200, s.load("a:1"))
		must.EqOp(t, 409, s.load("b:1"))
		go s.do("POST", "/v1/completions", `{"model":"a:1","prompt":"x","max_tokens":100}`, "Authorization", "Bearer sk-secret")
		time.Sleep(time.Second)
		status, _ := s.do("POST", "/v1/unload_lora_adapter", `{"lora_name":"a:1"}`)
		must.EqOp(t, 200, status)
		_, text := s.do("GET", "/standin/state", "")
		var st EngineState
		must.NoError(t, json.Unmarshal([]byte(text), &st))
		must.EqOp(t, 1, st.EvictedInUse)
		must.EqOp(t, 1, st.Record.Executions)
		must.Eq(t, []string{"header Authorization"}, st.Record.Leaks)

		long := fmt.Sprintf(`{"model":"base","prompt":%q,"max_tokens":1}`, strings.Repeat("p", 128))
		for _, cached := range []string{`"cached_tokens":0`, `"cached_tokens":32`} {
			_, answer := s.do("POST", "/v1/completions", long)
			must.StrContains(t, answer, cached)
		}
		_, _ = s.do("POST", "/v1/completions", fmt.Sprintf(`{"model":"base","prompt":%q}`, strings.Repeat("q", 256)))
		_, answer := s.do("POST", "/v1/completions", long)
		must.StrContains(t, answer, `"cached_tokens":0`)

		status, _ = s.do("POST", "/standin/faults", `{"refuse":1,"refuse_status":503,"restart":true}`)
		must.EqOp(t, 200, status)
		synctest.Wait()
		must.EqOp(t, 1, e.State().Restarts)
		must.EqOp(t, 1, e.State().Faults.Refuse)
		status, _ = s.do("POST", "/standin/faults", `{"no_such_fault":1}`)
		must.EqOp(t, 400, status)
	})
}

// TestChat checks the prompt from which callers compute the expected text.
func TestChat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineOptions{})
		s := serve(t, e, e.Close)
		_, answer := s.do("POST", "/v1/chat/completions", `{"model":"base","messages":[{"role":"user","content":"hi"}],"max_tokens":3}`)
		must.StrContains(t, answer, CompletionText("base", ChatPrompt("hi"), 3))
		_, answer = s.do("POST", "/v1/chat/completions", `{"model":"base","Model":"other","stream":true,"messages":[{"role":"user","content":"hi"}],"max_tokens":1}`)
		must.StrContains(t, answer, CompletionToken("base", ChatPrompt("hi"), 0))
		must.StrContains(t, answer, "id: 2\ndata: [DONE]\n\n")
	})
}

// TestService checks the injected faults of a plain service, and the counters by
// which other tests verify that a call runs at most once.
func TestService(t *testing.T) {
	for name, tc := range map[string]struct {
		faults     Faults
		status     int
		executions int
		took       time.Duration
	}{
		"answer":      {Faults{}, 200, 1, time.Second},
		"slow":        {Faults{Slow: 3}, 200, 1, 3 * time.Second},
		"lost answer": {Faults{DropResponse: 1}, 0, 1, time.Second},
		"crash":       {Faults{CrashMarker: "body"}, 0, 1, 0},
		"cut answer":  {Faults{CutStreams: 1, CutAfter: 5}, 0, 1, time.Second},
		"hang":        {Faults{Hang: 1}, 0, 1, 10 * time.Second},
		"endless":     {Faults{Endless: 1}, 0, 1, time.Second},
		"refused":     {Faults{Refuse: 1, RefuseStatus: 503}, 503, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				svc := NewService(ServiceOptions{Delay: time.Second})
				s := serve(t, svc, svc.Close)
				s.client.Timeout = 10 * time.Second
				svc.SetFaults(tc.faults)
				began := time.Now()
				if name == "endless" {
					s.readEndless("/pay")
				} else {
					status, _ := s.do("POST", "/pay", "body", "Idempotency-Key", "k")
					must.EqOp(t, tc.status, status)
				}
				must.EqOp(t, tc.took, time.Since(began))
				must.EqOp(t, tc.executions, svc.ExecutionsByKey("k"))
				must.MapLen(t, tc.executions, svc.Bodies("k"))
				svc.SetFaults(Faults{})
				_, _ = s.do("POST", "/pay", "other body", "Idempotency-Key", "k")
				_, text := s.do("GET", "/standin/state?full=1", "")
				var st ServiceState
				must.NoError(t, json.Unmarshal([]byte(text), &st))
				must.Eq(t, map[string]int{"k": tc.executions + 1}, st.Record.ByKey)
				must.EqOp(t, tc.executions, st.Conflicting)
			})
		})
	}
}

// readEndless reads the first MiB of an endless response.
func (s *fixture) readEndless(path string) {
	req, err := http.NewRequestWithContext(s.t.Context(), "POST", "http://192.0.2.1"+path, strings.NewReader("body"))
	must.NoError(s.t, err)
	req.Header.Set("Idempotency-Key", "k")
	resp, err := s.client.Do(req)
	must.NoError(s.t, err)
	defer resp.Body.Close()
	_, err = io.CopyN(io.Discard, resp.Body, 1<<20)
	must.NoError(s.t, err)
}
