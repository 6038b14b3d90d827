package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// fixture is a stand-in engine and its client, connected in memory and run on a
// fake clock.
type fixture struct {
	engine   *standin.Engine
	client   *engine.Client
	pools    *pool.Set
	requests int
}

var refA = &apiv1.AdapterRef{Adapter: "a", Version: "1"}

// run runs the test with a fixture on whose engine adapter a:1 is resident.
func run(t *testing.T, opts standin.EngineOptions, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := standin.NewPipeListener()
		e := standin.NewEngine(opts)
		defer e.Close()
		go func() { _ = e.Serve(l) }()
		pools := pool.NewSet(pool.Options{Dial: l.DialContext, Idle: time.Minute})
		defer pools.Close()
		c := engine.New(&apiv1.BackendServer{Name: "e1", Address: "http://192.0.2.1:8000", BaseModel: "base"}, pools)
		must.NoError(t, c.Load(t.Context(), engine.Order{Ref: refA, Weights: "w/a/1", FencingNumber: 1}))
		test(t, &fixture{engine: e, client: c, pools: pools})
	})
}

// completion returns a request for a completion of n tokens.
func (f *fixture) completion(stream bool, n int, prompt string) engine.Request {
	f.requests++
	body, _ := json.Marshal(map[string]any{"model": "other", "prompt": prompt, "max_tokens": n})
	return engine.Request{
		Path: "/v1/completions", AttemptID: fmt.Sprintf("attempt-%d", f.requests), Model: "a:1", Body: body,
		Stream: stream, FirstByte: 5 * time.Second, Gap: time.Second,
	}
}

// readText reads the stream to its end and joins its tokens.
func readText(s *engine.Stream) (string, error) {
	var b strings.Builder
	for {
		ev, err := s.Next()
		if err == io.EOF {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		if ev.Done {
			continue
		}
		var chunk struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal(ev.Data, &chunk); err != nil {
			return b.String(), err
		}
		b.WriteString(chunk.Choices[0].Text)
	}
}

func TestCompletions(t *testing.T) {
	run(t, standin.EngineOptions{}, func(t *testing.T, f *fixture) {
		whole, err := f.client.Do(t.Context(), f.completion(false, 4, "hello"))
		must.NoError(t, err)
		var body struct {
			Choices []struct{ Text string }
		}
		must.NoError(t, json.Unmarshal(whole.Body, &body))
		must.EqOp(t, standin.CompletionText("a:1", "hello", 4), body.Choices[0].Text)

		streamed, err := f.client.Do(t.Context(), f.completion(true, 4, "hello"))
		must.NoError(t, err)
		got, err := readText(streamed.Stream)
		must.NoError(t, err)
		must.EqOp(t, standin.CompletionText("a:1", "hello", 4), got)
		synctest.Wait()
		must.EqOp(t, 1, f.engine.State().Conns, must.Sprint("a finished stream did not leave its connection reusable"))
		must.EqOp(t, 1, f.engine.Executions("attempt-1"))
		must.EqOp(t, 1, f.engine.Executions("attempt-2"))

		load, err := f.client.Scrape(context.Background())
		must.NoError(t, err)
		must.EqOp(t, f.engine.StartID(), load.StartID)
		must.Len(t, 1, load.Adapters)
		id, err := f.client.Probe(t.Context())
		must.NoError(t, err)
		must.EqOp(t, load.StartID, id)
		must.NoError(t, f.client.Unload(t.Context(), engine.Order{Ref: refA, FencingNumber: 1}))
		load, err = f.client.Scrape(t.Context())
		must.NoError(t, err)
		must.Len(t, 0, load.Adapters)
	})
}
