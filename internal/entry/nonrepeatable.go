package entry

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/attempts"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
	"github.com/jasminesaddle/jasminesaddle/internal/sanitize"
)

// Timeouts for access to the call records.
const (
	beginTimeout = 3 * time.Second
	// maxRecordWait limits how long the response is held back until its record
	// is finished, so that a resend after the response finds it in the record.
	maxRecordWait        = time.Second
	finishTimeout        = 15 * time.Second
	recordAttemptTimeout = time.Second
	recordRetryInterval  = 100 * time.Millisecond
)

// serveNonRepeatable serves a route of non-repeatable calls. The record of a
// call is begun before its first byte is sent, and finished even if the caller
// disconnects.
func (s *Server) serveNonRepeatable(ctx context.Context, x *exchange, rr *runningRequest) error {
	key, err := idempotencyKey(x.r.Header)
	if err != nil {
		return err
	}
	call, err := s.newServiceCall(x)
	if err != nil {
		return err
	}
	if sanitize.ContainsKey(key, x.key) {
		return badRequest("Idempotency-Key", "the idempotency key contains the caller's API key", "choose a random idempotency key")
	}
	call.header.Set("Idempotency-Key", key)
	id := &apiv1.CallId{Team: x.team, Route: x.routeName(), IdempotencyKey: key}
	begin := &apiv1.BeginCall{
		Id: id, Fingerprint: attempts.Fingerprint([]byte(call.method), []byte(call.path), []byte(call.query), call.body),
		Owner: s.opts.Host, OwnerIncarnation: s.opts.Incarnation, RequestId: x.id,
	}
	resp, err := s.begin(ctx, begin)
	if err != nil {
		return err
	}
	if !resp.GetBegun() {
		s.decide(x, stepCall, resp.GetState().String(), 0)
		return x.answerFromRecord(resp)
	}
	s.decide(x, stepCall, "begun", 0)
	return s.runNonRepeatable(ctx, x, rr, call, begin)
}

func idempotencyKey(h http.Header) (string, error) {
	values := h.Values("Idempotency-Key")
	if len(values) != 1 || values[0] == "" || len(values[0]) > 255 {
		return "", badRequest("Idempotency-Key", "the route needs one Idempotency-Key of 1 to 255 bytes",
			"send a new random key with each new call, and the same key with each resend")
	}
	for _, c := range []byte(values[0]) {
		if c <= ' ' || c > '~' {
			return "", badRequest("Idempotency-Key", "the key contains characters outside printable ASCII", "send letters and digits")
		}
	}
	return values[0], nil
}

// begin records the call. It retries a Begin whose outcome is unknown with the
// same request identifier, by which the records recognize it. When the outcome
// stays unknown, nothing is sent, and a record that may exist is released in the
// background.
func (s *Server) begin(ctx context.Context, call *apiv1.BeginCall) (*apiv1.BeginCallResponse, error) {
	bounded, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	for {
		attemptCtx, stop := context.WithTimeout(bounded, recordAttemptTimeout)
		resp, err := s.opts.Calls.Begin(attemptCtx, call)
		stop()
		if err == nil {
			return markBegun(call, resp), nil
		}
		if !sleep(bounded, recordRetryInterval) {
			s.background.start(func() { s.release(call) })
			if ctx.Err() != nil {
				return nil, contextError(ctx, fault.NotRun)
			}
			return nil, fault.Wrap(err, fault.KindUnavailable,
				"the call was not sent, because its record could not be created; an earlier request with the same key may have run",
				"send the call again with the same Idempotency-Key").WithRun(fault.NotRun).After(time.Second)
		}
	}
}

// markBegun marks the response to a retried Begin as begun when its record names
// the same request. Nothing is sent before Begin has succeeded, so that such a
// record can only come from an earlier attempt whose response was lost.
func markBegun(call *apiv1.BeginCall, resp *apiv1.BeginCallResponse) *apiv1.BeginCallResponse {
	started := resp.GetState() == apiv1.CallState_CALL_STATE_STARTED
	if started && resp.GetRequestId() == call.GetRequestId() {
		resp.Begun = true
	}
	return resp
}

// release finishes the record of a call of which nothing was sent. A Begin whose
// response was lost may still be committed later, so that release retries until
// finishTimeout while no record exists.
func (s *Server) release(call *apiv1.BeginCall) {
	s.finishRecord(context.Background(), call, apiv1.CallState_CALL_STATE_NOT_RUN, nil, true)
}

// finishRecord finishes a record and retries after errors. With untilApplied it
// also retries when no such record exists.
func (s *Server) finishRecord(ctx context.Context, call *apiv1.BeginCall, state apiv1.CallState, answer *apiv1.Answer, untilApplied bool) {
	// The timeout does not depend on ctx, which may have ended already.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	finish := &apiv1.FinishCall{
		Id: call.GetId(), Owner: call.GetOwner(), OwnerIncarnation: call.GetOwnerIncarnation(),
		RequestId: call.GetRequestId(), State: state, Answer: answer,
	}
	for {
		attemptCtx, stop := context.WithTimeout(ctx, recordAttemptTimeout)
		resp, err := s.opts.Calls.Finish(attemptCtx, finish)
		stop()
		if err == nil && (resp.GetApplied() || !untilApplied) {
			return
		}
		if !sleep(ctx, recordRetryInterval) {
			s.opts.Logger.Warn().Str("request", call.GetRequestId()).Str("state", state.String()).AnErr("error", err).
				Msg("call record not finished")
			return
		}
	}
}

// answerFromRecord responds to a call that already has a record.
func (x *exchange) answerFromRecord(r *apiv1.BeginCallResponse) error {
	const resend = "send the call again later with the same Idempotency-Key"
	switch {
	case r.GetFull():
		return fault.New(fault.KindRecordsFull, "no more records of non-repeatable calls can be stored", resend).
			WithRun(fault.NotRun).After(time.Minute)
	case r.GetFingerprintMismatch():
		return fault.New(fault.KindIdempotencyConflict, "the Idempotency-Key was used for another request", "choose a new key").
			At("Idempotency-Key").WithRun(fault.NotRun)
	}
	switch r.GetState() {
	case apiv1.CallState_CALL_STATE_FINISHED:
		return x.replay(r.GetAnswer())
	case apiv1.CallState_CALL_STATE_STARTED:
		if r.GetOwnerLive() {
			return fault.New(fault.KindStillRunning, "the call is still running", resend).
				WithRun(fault.OutcomeUnknown).After(time.Second)
		}
	case apiv1.CallState_CALL_STATE_NOT_RUN:
		return fault.New(fault.KindUnavailable, "the call did not run and its record could not be begun again", resend).
			WithRun(fault.NotRun).After(time.Second)
	}
	return outcomeUnknown(nil)
}

func outcomeUnknown(cause error) *fault.Error {
	return fault.Wrap(cause, fault.KindOutcomeUnknown, "the call may have run and its answer is not known",
		"ask the service for the result before repeating the call with a new Idempotency-Key").WithRun(fault.OutcomeUnknown)
}

// replay responds with the recorded response of the first call.
func (x *exchange) replay(a *apiv1.Answer) error {
	x.w.Header().Set(headerReplayed, "true")
	if a == nil || a.GetTruncated() {
		return fault.New(fault.KindAnswerNotKept, "the call ran, and its answer was too large to store",
			"ask the service for the result").WithRun(fault.Ran)
	}
	rec := &recordedResponse{status: int(a.GetStatus()), header: http.Header{}, body: a.GetBody()}
	for _, h := range a.GetHeaders() {
		rec.header.Add(h.GetName(), h.GetValue())
	}
	rec.header.Set(headerReplayed, "true")
	rec.header.Set(headerRun, string(fault.Ran))
	return x.writeBuffered(rec)
}

// runNonRepeatable sends a call whose record is begun and finishes the record.
func (s *Server) runNonRepeatable(ctx context.Context, x *exchange, rr *runningRequest, call *serviceCall, begin *apiv1.BeginCall) error {
	ar := newServiceRequest(x, rr, call)
	ar.nonRepeatable = true
	defer s.finish(ar)
	if err := s.admit(ctx, ar); err != nil {
		s.finishRecord(ctx, begin, apiv1.CallState_CALL_STATE_NOT_RUN, nil, false)
		return err
	}
	// From here on the call continues even if the caller disconnects.
	rr.uncancelable.Store(true)
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.limits.CallTimeout)
	defer cancel()
	resp, id, err := s.sendNonRepeatable(callCtx, ar, call)
	if err != nil {
		state := apiv1.CallState_CALL_STATE_UNKNOWN
		if attempts.RunOf(err) == fault.NotRun {
			state = apiv1.CallState_CALL_STATE_NOT_RUN
		}
		s.finishRecord(callCtx, begin, state, nil, false)
		return err
	}
	defer resp.Body.Close()
	if err := checkEcho(resp, id); err != nil {
		s.recordOutcome(ar.assignment.server, false)
		s.finishRecord(callCtx, begin, apiv1.CallState_CALL_STATE_UNKNOWN, nil, false)
		return err
	}
	return s.relayRecorded(callCtx, x, resp, begin)
}

func (s *Server) sendNonRepeatable(ctx context.Context, ar *admittedRequest, call *serviceCall) (*http.Response, string, error) {
	server := ar.assignment.server
	b, ok := s.opts.View.Config().BackendServer(server)
	if !ok {
		return nil, "", fault.New(fault.KindNoBackend, "the backend server is no longer configured", "send the call again").
			WithRun(fault.NotRun)
	}
	id := ar.x.id + ".1"
	req, err := call.request(pool.WithBounds(ctx, pool.Bounds{FirstByte: s.firstByteTimeout(ar), Gap: s.limits.StreamGap}), b, id)
	if err != nil {
		return nil, "", err
	}
	resp, err := s.opts.Pools.SingleUse(server).RoundTrip(req)
	if err == nil {
		s.recordOutcome(server, true)
		return resp, id, nil
	}
	s.recordOutcome(server, false)
	var pe *pool.Error
	if errors.As(err, &pe) && !pe.MayHaveSent {
		return nil, "", fault.Wrap(err, fault.KindNoBackend, "the backend server could not be reached and nothing was sent",
			"send the call again with the same Idempotency-Key").WithRun(fault.NotRun).After(time.Second)
	}
	return nil, "", outcomeUnknown(err)
}

// relayRecorded passes the response on and records it. A small response is
// recorded before it is written; the caller waits at most maxRecordWait for the
// record.
func (s *Server) relayRecorded(ctx context.Context, x *exchange, resp *http.Response, begin *apiv1.BeginCall) error {
	if resp.ContentLength < 0 || resp.ContentLength > maxBufferedResponse {
		rec, err := s.relayResponse(ctx, x, resp)
		s.recordResponse(ctx, begin, rec)
		return err
	}
	rec := &recordedResponse{status: resp.StatusCode, header: sanitize.Response(resp.Header)}
	body, err := readAll(resp.Body, resp.ContentLength)
	if err != nil {
		s.recordResponse(ctx, begin, rec)
		return incompleteError(ctx, err)
	}
	rec.body, rec.complete = body, true
	recorded := make(chan struct{})
	s.background.start(func() {
		defer close(recorded)
		s.recordResponse(ctx, begin, rec)
	})
	timer := time.NewTimer(maxRecordWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
	return x.writeBuffered(rec)
}

// recordResponse finishes the record with the response, or with an unknown
// outcome when the response is incomplete.
func (s *Server) recordResponse(ctx context.Context, begin *apiv1.BeginCall, rec *recordedResponse) {
	if !rec.complete {
		s.finishRecord(ctx, begin, apiv1.CallState_CALL_STATE_UNKNOWN, nil, false)
		return
	}
	answer := &apiv1.Answer{Status: int32(rec.status), Body: rec.body, Truncated: rec.truncated}
	for _, name := range slices.Sorted(maps.Keys(rec.header)) {
		for _, v := range rec.header[name] {
			answer.Headers = append(answer.Headers, &apiv1.Header{Name: name, Value: v})
		}
	}
	s.finishRecord(ctx, begin, apiv1.CallState_CALL_STATE_FINISHED, answer, false)
}
