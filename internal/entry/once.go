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

// Bounds on the exchange with the call records.
const (
	beginTime = 3 * time.Second
	// finishWait is how long the answer is held back until its record is
	// finished. A resend after the answer then finds the kept answer.
	finishWait = time.Second
	finishTime = 15 * time.Second
	recordTry  = time.Second
	recordGap  = 100 * time.Millisecond
)

// serveOnce serves a route of non-repeatable calls. The record of a call is
// begun before its first byte is sent, and finished whatever becomes of the
// caller.
func (s *Server) serveOnce(ctx context.Context, x *exchange, f *flight) error {
	key, err := idempotencyKey(x.r.Header)
	if err != nil {
		return err
	}
	call, err := s.newServiceCall(x)
	if err != nil {
		return err
	}
	if sanitize.ContainsKey(key, x.key) {
		return badRequest("Idempotency-Key", "the idempotency key holds the caller's key", "choose a random idempotency key")
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
		return x.answerRecorded(resp)
	}
	s.decide(x, stepCall, "begun", 0)
	return s.runOnce(ctx, x, f, call, begin)
}

func idempotencyKey(h http.Header) (string, error) {
	values := h.Values("Idempotency-Key")
	if len(values) != 1 || values[0] == "" || len(values[0]) > 255 {
		return "", badRequest("Idempotency-Key", "the route needs one Idempotency-Key of 1 to 255 bytes",
			"send a new random key with each new call, and the same key with each resend")
	}
	for _, c := range []byte(values[0]) {
		if c <= ' ' || c > '~' {
			return "", badRequest("Idempotency-Key", "the key holds characters outside printable ASCII", "send letters and digits")
		}
	}
	return values[0], nil
}

// begin records the call. It repeats a Begin whose outcome is unknown under the
// same request identifier, which the record takes for the same Begin. When the
// outcome stays unknown, nothing is sent, and a record that may exist is
// released later.
func (s *Server) begin(ctx context.Context, call *apiv1.BeginCall) (*apiv1.BeginCallResponse, error) {
	bounded, cancel := context.WithTimeout(ctx, beginTime)
	defer cancel()
	for {
		try, stop := context.WithTimeout(bounded, recordTry)
		resp, err := s.opts.Calls.Begin(try, call)
		stop()
		if err == nil {
			return begunBy(call, resp), nil
		}
		if !sleep(bounded, recordGap) {
			s.background.run(func() { s.release(call) })
			if ctx.Err() != nil {
				return nil, ended(ctx, fault.NotRun)
			}
			return nil, fault.Wrap(err, fault.KindUnavailable,
				"the call was not sent, because its record could not be made; an earlier request with the same key may have run",
				"send the call again with the same Idempotency-Key").WithRun(fault.NotRun).After(time.Second)
		}
	}
}

// begunBy takes the answer to a repeated Begin that names this same request for
// begun. Nothing is sent before Begin has answered, so that the record of this
// request can only come from an earlier try whose answer was lost.
func begunBy(call *apiv1.BeginCall, resp *apiv1.BeginCallResponse) *apiv1.BeginCallResponse {
	started := resp.GetState() == apiv1.CallState_CALL_STATE_STARTED
	if started && resp.GetRequestId() == call.GetRequestId() {
		resp.Begun = true
	}
	return resp
}

// release ends the record of a call of which nothing was sent. A Begin whose
// answer was lost may still be committed after the first tries, so that a
// record which does not exist is looked for until the bound.
func (s *Server) release(call *apiv1.BeginCall) {
	s.finishRecord(context.Background(), call, apiv1.CallState_CALL_STATE_NOT_RUN, nil, true)
}

// finishRecord finishes a record, repeating it until it is applied. With
// untilApplied it also repeats after the answer that no such record exists.
func (s *Server) finishRecord(ctx context.Context, call *apiv1.BeginCall, state apiv1.CallState, answer *apiv1.Answer, untilApplied bool) {
	// The bound is its own: the call's context may have ended already.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTime)
	defer cancel()
	finish := &apiv1.FinishCall{
		Id: call.GetId(), Owner: call.GetOwner(), OwnerIncarnation: call.GetOwnerIncarnation(),
		RequestId: call.GetRequestId(), State: state, Answer: answer,
	}
	for {
		try, stop := context.WithTimeout(ctx, recordTry)
		resp, err := s.opts.Calls.Finish(try, finish)
		stop()
		if err == nil && (resp.GetApplied() || !untilApplied) {
			return
		}
		if !sleep(ctx, recordGap) {
			s.opts.Logger.Warn().Str("request", call.GetRequestId()).Str("state", state.String()).AnErr("error", err).
				Msg("call record not finished")
			return
		}
	}
}

// answerRecorded answers a call that has a record already.
func (x *exchange) answerRecorded(r *apiv1.BeginCallResponse) error {
	const resend = "send the call again later with the same Idempotency-Key"
	switch {
	case r.GetFull():
		return fault.New(fault.KindRecordsFull, "no more records of non-repeatable calls can be kept", resend).
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

// replay answers with the kept answer of the first call.
func (x *exchange) replay(a *apiv1.Answer) error {
	x.w.Header().Set(headerReplayed, "true")
	if a == nil || a.GetTruncated() {
		return fault.New(fault.KindAnswerNotKept, "the call ran, and its answer was too large to keep",
			"ask the service for the result").WithRun(fault.Ran)
	}
	k := &kept{status: int(a.GetStatus()), header: http.Header{}, body: a.GetBody()}
	for _, h := range a.GetHeaders() {
		k.header.Add(h.GetName(), h.GetValue())
	}
	k.header.Set(headerReplayed, "true")
	k.header.Set(headerRun, string(fault.Ran))
	return x.passHeld(k)
}

// runOnce sends a begun call and finishes its record.
func (s *Server) runOnce(ctx context.Context, x *exchange, f *flight, call *serviceCall, begin *apiv1.BeginCall) error {
	w := newServiceWork(x, f, call)
	w.once = true
	defer s.finish(w)
	if err := s.admit(ctx, w); err != nil {
		s.finishRecord(ctx, begin, apiv1.CallState_CALL_STATE_NOT_RUN, nil, false)
		return err
	}
	// From here on the call no longer depends on its caller.
	f.uncancelable.Store(true)
	own, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.limits.CallTime)
	defer cancel()
	resp, id, err := s.sendOnce(own, w, call)
	if err != nil {
		state := apiv1.CallState_CALL_STATE_UNKNOWN
		if attempts.RunOf(err) == fault.NotRun {
			state = apiv1.CallState_CALL_STATE_NOT_RUN
		}
		s.finishRecord(own, begin, state, nil, false)
		return err
	}
	defer resp.Body.Close()
	if err := checkEcho(resp, id); err != nil {
		s.report(w.share.server, false)
		s.finishRecord(own, begin, apiv1.CallState_CALL_STATE_UNKNOWN, nil, false)
		return err
	}
	return s.answerOnce(own, x, resp, begin)
}

func (s *Server) sendOnce(ctx context.Context, w *work, call *serviceCall) (*http.Response, string, error) {
	server := w.share.server
	b, ok := s.opts.View.Config().BackendServer(server)
	if !ok {
		return nil, "", fault.New(fault.KindNoBackend, "the backend server left the configuration", "send the call again").
			WithRun(fault.NotRun)
	}
	id := w.x.id + ".1"
	req, err := call.request(pool.WithBounds(ctx, pool.Bounds{FirstByte: s.firstByte(w), Gap: s.limits.StreamGap}), b, id)
	if err != nil {
		return nil, "", err
	}
	resp, err := s.opts.Pools.SingleUse(server).RoundTrip(req)
	if err == nil {
		s.report(server, true)
		return resp, id, nil
	}
	s.report(server, false)
	var pe *pool.Error
	if errors.As(err, &pe) && !pe.MayHaveSent {
		return nil, "", fault.Wrap(err, fault.KindNoBackend, "the backend server could not be reached and nothing was sent",
			"send the call again with the same Idempotency-Key").WithRun(fault.NotRun).After(time.Second)
	}
	return nil, "", outcomeUnknown(err)
}

// answerOnce passes the answer on and keeps it. A small answer is kept before
// the caller sees it; the caller waits for the record at most a bound.
func (s *Server) answerOnce(ctx context.Context, x *exchange, resp *http.Response, begin *apiv1.BeginCall) error {
	if resp.ContentLength < 0 || resp.ContentLength > holdAnswer {
		k, err := s.passAnswer(ctx, x, resp)
		s.keepAnswer(ctx, begin, k)
		return err
	}
	k := &kept{status: resp.StatusCode, header: sanitize.Response(resp.Header)}
	body, err := readAll(resp.Body, resp.ContentLength)
	if err != nil {
		s.keepAnswer(ctx, begin, k)
		return cutAnswer(ctx, err)
	}
	k.body, k.whole = body, true
	recorded := make(chan struct{})
	s.background.run(func() {
		defer close(recorded)
		s.keepAnswer(ctx, begin, k)
	})
	timer := time.NewTimer(finishWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
	return x.passHeld(k)
}

// keepAnswer finishes the record with what was seen of the answer.
func (s *Server) keepAnswer(ctx context.Context, begin *apiv1.BeginCall, k *kept) {
	if !k.whole {
		s.finishRecord(ctx, begin, apiv1.CallState_CALL_STATE_UNKNOWN, nil, false)
		return
	}
	answer := &apiv1.Answer{Status: int32(k.status), Body: k.body, Truncated: k.truncated}
	for _, name := range slices.Sorted(maps.Keys(k.header)) {
		for _, v := range k.header[name] {
			answer.Headers = append(answer.Headers, &apiv1.Header{Name: name, Value: v})
		}
	}
	s.finishRecord(ctx, begin, apiv1.CallState_CALL_STATE_FINISHED, answer, false)
}
