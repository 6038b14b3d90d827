package engine_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// wantError is an expected typed error, and the time after which it comes.
type wantError struct {
	phase engine.Phase
	kind  fault.Kind
	run   fault.Run
	after time.Duration
}

func (w wantError) check(t *testing.T, err error, began time.Time) {
	t.Helper()
	var e *engine.Error
	must.True(t, errors.As(err, &e), must.Sprintf("got %v", err))
	got := wantError{phase: e.Phase, kind: e.Fault().Kind, run: e.Fault().Run, after: time.Since(began)}
	must.EqOp(t, w, got, must.Sprintf("got %v", err))
}

// TestFailures guards against a wrong typed error for each failure that the
// stand-in engine can simulate.
func TestFailures(t *testing.T) {
	// A completion of 10 tokens takes 10 steps of 20 ms.
	const whole = 200 * time.Millisecond
	do := func(stream bool, prompt string) func(*testing.T, *fixture) error {
		return func(t *testing.T, f *fixture) error {
			resp, err := f.client.Do(t.Context(), f.completion(stream, 10, prompt))
			if err != nil || !stream {
				if err == nil {
					err = f.client.Refusal(resp)
				}
				return err
			}
			_, err = readText(resp.Stream)
			return err
		}
	}
	deadline := func(t *testing.T, f *fixture) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		resp, err := f.client.Do(ctx, f.completion(true, 10, "x"))
		must.NoError(t, err)
		_, err = readText(resp.Stream)
		return err
	}
	scrape := func(t *testing.T, f *fixture) error {
		_, err := f.client.Scrape(t.Context())
		return err
	}
	load := func(name string, fence uint64) func(t *testing.T, f *fixture) error {
		return func(t *testing.T, f *fixture) error {
			ref := &apiv1.AdapterRef{Adapter: name, Version: "1"}
			return f.client.Load(t.Context(), engine.Order{Ref: ref, Weights: "w", FencingNumber: fence})
		}
	}
	invalidReport := wantError{engine.ResponseStarted, fault.KindBackendFailed, fault.OutcomeUnknown, 0}
	mismatch := wantError{engine.ResponseStarted, fault.KindAnswerMismatch, fault.OutcomeUnknown, whole}
	for _, tc := range []struct {
		name   string
		faults standin.Faults
		call   func(t *testing.T, f *fixture) error
		want   wantError
	}{
		{"wrong echo", standin.Faults{WrongEcho: 1}, do(false, "x"), mismatch},
		{"no echo", standin.Faults{NoEcho: 1}, do(false, "x"), mismatch},
		{"wrong echo of stream", standin.Faults{WrongEcho: 1}, do(true, "x"), wantError{engine.ResponseStarted, fault.KindAnswerMismatch, fault.OutcomeUnknown, 0}},
		{"crash", standin.Faults{CrashMarker: "boom"}, do(false, "a boom b"), wantError{engine.MayHaveSent, fault.KindBackendFailed, fault.OutcomeUnknown, 0}},
		{"lost response", standin.Faults{DropResponse: 1}, do(false, "x"), wantError{engine.MayHaveSent, fault.KindBackendFailed, fault.OutcomeUnknown, whole}},
		{"hang", standin.Faults{Hang: 1}, do(false, "x"), wantError{engine.MayHaveSent, fault.KindBackendSilent, fault.OutcomeUnknown, 5 * time.Second}},
		{"slow steps", standin.Faults{Slow: 100}, do(true, "x"), wantError{engine.ResponseStarted, fault.KindBackendSilent, fault.Ran, time.Second}},
		{"cut whole response", standin.Faults{CutStreams: 1, CutAfter: 20}, do(false, "x"), wantError{engine.ResponseStarted, fault.KindBackendFailed, fault.Ran, whole}},
		{"cut stream", standin.Faults{CutStreams: 1, CutAfter: 3}, do(true, "x"), wantError{engine.ResponseStarted, fault.KindStreamCut, fault.Ran, 80 * time.Millisecond}},
		{"endless stream", standin.Faults{Endless: 1}, deadline, wantError{engine.ResponseStarted, fault.KindDeadline, fault.Ran, time.Second}},
		{"refused", standin.Faults{Refuse: 1, RefuseStatus: 503}, do(false, "x"), wantError{engine.ResponseStarted, fault.KindOverloaded, fault.NotRun, 0}},
		{"refused stream", standin.Faults{Refuse: 1, RefuseStatus: 429}, func(t *testing.T, f *fixture) error {
			resp, err := f.client.Do(t.Context(), f.completion(true, 1, "x"))
			must.NoError(t, err)
			return f.client.Refusal(resp)
		}, wantError{engine.ResponseStarted, fault.KindOverloaded, fault.NotRun, 0}},
		{"failed load", standin.Faults{FailLoads: 1}, load("b", 2), wantError{engine.ResponseStarted, fault.KindBackendFailed, fault.OutcomeUnknown, 0}},
		{"no slot", standin.Faults{}, func(t *testing.T, f *fixture) error {
			return errors.CombineErrors(load("b", 2)(t, f), load("c", 2)(t, f))
		}, wantError{engine.ResponseStarted, fault.KindOverloaded, fault.NotRun, 250 * time.Millisecond}},
		{"old fencing number", standin.Faults{}, load("b", 0), wantError{engine.ResponseStarted, fault.KindStaleOrder, fault.NotRun, 0}},
		{"negative metric", standin.Faults{InvalidReport: "negative"}, scrape, invalidReport},
		{"not a number", standin.Faults{InvalidReport: "nan"}, scrape, invalidReport},
		{"huge value", standin.Faults{InvalidReport: "huge_value"}, scrape, invalidReport},
		{"odd names", standin.Faults{InvalidReport: "names"}, scrape, invalidReport},
		{"no metrics text", standin.Faults{InvalidReport: "text"}, scrape, invalidReport},
		{"huge body", standin.Faults{InvalidReport: "huge_body"}, scrape, wantError{engine.ResponseStarted, fault.KindBackendFailed, fault.Ran, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, standin.EngineOptions{Slots: 2, CheckFencing: true}, func(t *testing.T, f *fixture) {
				f.engine.SetFaults(tc.faults)
				began := time.Now()
				tc.want.check(t, tc.call(t, f), began)
			})
		})
	}
}

// TestCrossedAnswers guards against a response that is returned to another
// caller's request.
func TestCrossedAnswers(t *testing.T) {
	run(t, standin.EngineOptions{}, func(t *testing.T, f *fixture) {
		f.engine.SetFaults(standin.Faults{SwapResponses: 2})
		errs := make(chan error, 2)
		for _, prompt := range []string{"one", "two"} {
			req := f.completion(false, 5, prompt)
			go func() {
				_, err := f.client.Do(t.Context(), req)
				errs <- err
			}()
		}
		for range 2 {
			// The second request may join the batch one step later, so the elapsed
			// time is not checked.
			wantError{engine.ResponseStarted, fault.KindAnswerMismatch, fault.OutcomeUnknown, 0}.check(t, <-errs, time.Now())
		}
	})
}

// TestResume guards against lost and duplicated tokens after a cut stream.
func TestResume(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"after three events": {CutStreams: 1, CutAfter: 3},
		"before the first":   {CutStreams: 1},
		"cut twice":          {CutStreams: 2, CutAfter: 2},
		"repeated event":     {CutStreams: 1, CutAfter: 4, RepeatOnResume: 1},
		"lost event":         {CutStreams: 1, CutAfter: 4, SkipOnResume: 1},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, standin.EngineOptions{}, func(t *testing.T, f *fixture) {
				f.engine.SetFaults(faults)
				req := f.completion(true, 10, "x")
				resp, err := f.client.Do(t.Context(), req)
				must.NoError(t, err)
				stream, cuts := resp.Stream, 0
				got, err := readText(stream)
				for ; err != nil; cuts++ {
					must.EqOp(t, fault.KindStreamCut, fault.KindOf(err))
					must.Less(t, 4, cuts)
					stream, err = f.client.Resume(t.Context(), req.AttemptID, stream.Last(), time.Second)
					must.NoError(t, err)
					var more string
					more, err = readText(stream)
					got += more
				}
				must.EqOp(t, standin.CompletionText("a:1", "x", 10), got)
				must.EqOp(t, 1, f.engine.Executions(req.AttemptID))
				must.Greater(t, 0, cuts)
			})
		})
	}
}

// TestResumeWindow guards against streams that an engine retains or runs forever
// after a cut, and checks that a late resume returns a typed error.
func TestResumeWindow(t *testing.T) {
	run(t, standin.EngineOptions{ResumeWindow: time.Second}, func(t *testing.T, f *fixture) {
		f.engine.SetFaults(standin.Faults{CutStreams: 1, CutAfter: 1, Endless: 1})
		req := f.completion(true, 10, "x")
		resp, err := f.client.Do(t.Context(), req)
		must.NoError(t, err)
		_, err = readText(resp.Stream)
		must.Error(t, err)
		time.Sleep(2 * time.Second)
		must.EqOp(t, 0, f.engine.State().Running)
		_, err = f.client.Resume(t.Context(), req.AttemptID, 1, time.Second)
		wantError{engine.ResponseStarted, fault.KindStreamCut, fault.Ran, 0}.check(t, err, time.Now())
	})
}

// TestSilentConnections guards against requests that continue to use connections
// that became silent: at most two requests fail, each within its timeout.
func TestSilentConnections(t *testing.T) {
	run(t, standin.EngineOptions{TokenTime: 300 * time.Millisecond}, func(t *testing.T, f *fixture) {
		req := f.completion(true, 20, "x")
		resp, err := f.client.Do(t.Context(), req)
		must.NoError(t, err)
		// Five concurrent requests leave five idle connections.
		errs := make(chan error)
		for range 5 {
			go func(req engine.Request) {
				_, err := f.client.Do(t.Context(), req)
				errs <- err
			}(f.completion(false, 1, "y"))
		}
		for range 5 {
			must.NoError(t, <-errs)
		}
		synctest.Wait()
		must.EqOp(t, 6, f.engine.Silence())

		began := time.Now()
		_, err = f.client.Probe(t.Context())
		must.NoError(t, err, must.Sprint("the probe used an old connection"))
		must.EqOp(t, 0, time.Since(began))
		_, err = readText(resp.Stream)
		wantError{engine.ResponseStarted, fault.KindBackendSilent, fault.Ran, time.Second}.check(t, err, began)
		began = time.Now()
		_, err = f.client.Do(t.Context(), f.completion(false, 1, "y"))
		wantError{engine.MayHaveSent, fault.KindBackendSilent, fault.OutcomeUnknown, 5 * time.Second}.check(t, err, began)
		for range 6 {
			_, err = f.client.Do(t.Context(), f.completion(false, 1, "y"))
			must.NoError(t, err)
		}
	})
}

// TestRestart guards against a restart that goes unnoticed, and against residency
// that is still reported after it.
func TestRestart(t *testing.T) {
	run(t, standin.EngineOptions{RestartTime: time.Second}, func(t *testing.T, f *fixture) {
		before, err := f.client.Probe(t.Context())
		must.NoError(t, err)
		f.engine.SetFaults(standin.Faults{CrashMarker: "boom"})
		_, err = f.client.Do(t.Context(), f.completion(true, 1, "boom"))
		must.EqOp(t, engine.MayHaveSent, engine.PhaseOf(err))
		_, err = f.client.Probe(t.Context())
		must.Error(t, err)
		time.Sleep(time.Second)
		after, err := f.client.Probe(t.Context())
		must.NoError(t, err)
		must.NotEqOp(t, before, after)
		load, err := f.client.Scrape(t.Context())
		must.NoError(t, err)
		must.Len(t, 0, load.Adapters)
		resp, err := f.client.Do(t.Context(), f.completion(false, 1, "x"))
		must.NoError(t, err)
		must.EqOp(t, fault.KindUnknownAdapter, fault.KindOf(f.client.Refusal(resp)))
	})
}

// TestCancel guards against completions that continue to run without a reader.
func TestCancel(t *testing.T) {
	run(t, standin.EngineOptions{}, func(t *testing.T, f *fixture) {
		req := f.completion(true, 1000, "x")
		resp, err := f.client.Do(t.Context(), req)
		must.NoError(t, err)
		must.NoError(t, f.client.Cancel(t.Context(), req.AttemptID))
		_, err = readText(resp.Stream)
		must.EqOp(t, fault.KindStreamCut, fault.KindOf(err))
		must.EqOp(t, 0, f.engine.State().Running)
		must.NoError(t, f.client.Cancel(t.Context(), req.AttemptID))
	})
}

// TestCloseStream guards against a reader that blocks forever when another
// goroutine closes its stream.
func TestCloseStream(t *testing.T) {
	run(t, standin.EngineOptions{}, func(t *testing.T, f *fixture) {
		resp, err := f.client.Do(t.Context(), f.completion(true, 1000, "x"))
		must.NoError(t, err)
		time.AfterFunc(time.Second, func() { resp.Stream.Close() })
		_, err = readText(resp.Stream)
		must.EqOp(t, fault.KindDeadline, fault.KindOf(err))
	})
}

// TestHeaders guards against a caller's header, above all an API key, that is
// sent to an engine.
func TestHeaders(t *testing.T) {
	run(t, standin.EngineOptions{}, func(t *testing.T, f *fixture) {
		_, err := f.client.Do(t.Context(), f.completion(true, 1, "x"))
		must.NoError(t, err)
		_, err = f.client.Scrape(t.Context())
		must.NoError(t, err)
		allowed := []string{"Accept", "Content-Length", "Content-Type", "Connection", "User-Agent", "X-Fencing-Number", "X-Request-Id"}
		for name := range f.engine.State().Record.Headers {
			must.True(t, slices.Contains(allowed, name), must.Sprint(name))
		}
	})
}
