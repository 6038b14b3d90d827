package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

func (f *fleet) pay(ctx context.Context, key, body string) reply {
	req := f.request(ctx, http.MethodPost, "/pay/charge", keyRed, body)
	req.Header.Set("Idempotency-Key", key)
	return f.do(req)
}

// A non-repeatable call must run at most once whichever message is lost, and each
// response must give the correct run state. The stand-in counts the executions.
func TestNonRepeatableCalls(t *testing.T) {
	type want struct {
		status     int
		reason     string
		run        string
		executions int
	}
	ok := want{200, "", "", 1}
	unknown := want{409, "outcome_unknown", "outcome_unknown", 1}
	for name, tc := range map[string]struct {
		prepare func(f *fleet)
		first   want
		// again is the response to a resend after the fault has ended.
		again want
	}{
		"no fault": {func(*fleet) {}, ok, ok},
		"connect refused": {func(f *fleet) { f.refuseDial(serviceAddress, true) },
			want{503, "no_backend_server", "not_run", 0}, ok},
		"cut after the request left": {func(f *fleet) { f.service.SetFaults(standin.Faults{DropResponse: 1}) }, unknown, unknown},
		"silent":                     {func(f *fleet) { f.service.SetFaults(standin.Faults{Hang: 1}) }, unknown, unknown},
		"cut in the answer": {func(f *fleet) { f.service.SetFaults(standin.Faults{CutStreams: 1, CutAfter: 10}) },
			want{502, "stream_cut", "run", 1}, unknown},
		"wrong echo": {func(f *fleet) { f.service.SetFaults(standin.Faults{WrongEcho: 1}) },
			want{502, "answer_mismatch", "outcome_unknown", 1}, unknown},
		"crash": {func(f *fleet) { f.service.SetFaults(standin.Faults{CrashMarker: "amount"}) }, unknown, unknown},
		"records unreachable": {func(f *fleet) { f.calls.failedBegins = -1 },
			want{503, "unavailable", "not_run", 0}, ok},
		"answers of Begin lost": {func(f *fleet) { f.calls.lostBegins = -1 },
			want{503, "unavailable", "not_run", 0}, ok},
		"one answer of Begin lost": {func(f *fleet) { f.calls.lostBegins = 1 }, ok, ok},
		"records full":             {func(f *fleet) { f.calls.full = true }, want{503, "call_records_full", "not_run", 0}, ok},
		"some Finishes lost":       {func(f *fleet) { f.calls.failedFinishes = 5 }, ok, ok},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, options{}, func(f *fleet) {
				tc.prepare(f)
				check := func(r reply, w want) {
					must.Eq(t, w.status, r.status, must.Sprint(r.body, r.err))
					must.Eq(t, w.reason, r.reason())
					if w.run != "" {
						must.Eq(t, w.run, r.run())
					}
					must.Eq(t, w.executions, f.service.ExecutionsByKey("k1"))
				}
				first := f.pay(f.t.Context(), "k1", "amount=1")
				check(first, tc.first)
				f.refuseDial(serviceAddress, false)
				f.service.SetFaults(standin.Faults{})
				f.calls.mu.Lock()
				f.calls.failedBegins, f.calls.lostBegins, f.calls.failedFinishes, f.calls.full = 0, 0, 0, false
				f.calls.mu.Unlock()
				time.Sleep(finishTimeout)
				again := f.pay(f.t.Context(), "k1", "amount=1")
				check(again, tc.again)
				if tc.first == ok {
					must.Eq(t, "true", again.header.Get(headerReplayed))
					must.Eq(t, first.body, again.body)
				}
				must.LessEq(t, 1, f.service.State().Record.MaxPerKey)
				time.Sleep(finishTimeout)
			})
		})
	}
}

func (f *fleet) refuseDial(address string, refuse bool) {
	f.dialMu.Lock()
	defer f.dialMu.Unlock()
	f.refuse[strings.TrimPrefix(address, "http://")] = refuse
}

// A call must run to its end after its caller has disconnected, and a resend must
// get the recorded response.
func TestNonRepeatableCallerGone(t *testing.T) {
	run(t, options{service: standin.ServiceOptions{Delay: 2 * time.Second}}, func(f *fleet) {
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		must.Error(t, f.pay(ctx, "k1", "amount=1").err)
		r := f.pay(f.t.Context(), "k1", "amount=1")
		must.Eq(t, "still_running", r.reason())
		must.Eq(t, "outcome_unknown", r.run())
		f.view.change(&apiv1.Op{Op: &apiv1.Op_PutKey{PutKey: &apiv1.Key{Id: "r2", Team: "red", Sha256: hashOf("other-key-of-red")}}})
		time.Sleep(2 * time.Second)
		r = f.pay(f.t.Context(), "k1", "amount=1")
		must.Eq(t, 200, r.status)
		must.Eq(t, "true", r.header.Get(headerReplayed))
		must.Eq(t, 1, f.service.ExecutionsByKey("k1"))
		must.Eq(t, "idempotency_conflict", f.pay(f.t.Context(), "k1", "amount=2").reason())
		f.calls.ownerGone = true
		f.calls.done = map[string]*apiv1.FinishCall{}
		must.Eq(t, "outcome_unknown", f.pay(f.t.Context(), "k1", "amount=1").reason())
		must.Eq(t, "invalid_request", f.post("/pay/charge", keyRed, "x").reason())
		must.Eq(t, 1, f.service.State().Record.Executions)
	})
}

// A resend of a call whose response was too large to record must get the error
// that the call ran.
func TestNonRepeatableLargeAnswer(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		x := &exchange{}
		rec := &recordedResponse{status: 200, complete: true}
		for range 5 {
			rec.appendBody(make([]byte, 16<<10))
		}
		must.True(t, rec.truncated)
		call := &apiv1.BeginCall{Id: &apiv1.CallId{IdempotencyKey: "k"}, RequestId: "r", Owner: "h", OwnerIncarnation: 1}
		_, _ = f.calls.Begin(f.t.Context(), call)
		f.s.recordResponse(f.t.Context(), call, rec)
		resp, _ := f.calls.Begin(f.t.Context(), call)
		must.Eq(t, apiv1.CallState_CALL_STATE_FINISHED, resp.GetState())
		x.w = discard{}
		err := typedError(x.answerFromRecord(resp))
		must.Eq(t, "answer_not_kept", string(err.Kind))
		must.Eq(t, "run", string(err.Run))
	})
}

// discard is an http.ResponseWriter without a connection.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}
