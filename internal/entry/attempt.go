package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/attempts"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/openai"
)

// modelCall is what an attempt sends to an engine.
type modelCall struct {
	path         string
	body         []byte
	stream       bool
	promptTokens uint64
}

// verdict says what may follow a failed attempt.
type verdict int

const (
	// final ends the request.
	final verdict = iota
	// retryable allows another attempt within the retry budget.
	retryable
	// reroute puts the request back into the queue: the engine did not have the
	// adapter, so the attempt cost it nothing.
	reroute
)

// confirmAfter is the time without an answer after which a streamed attempt is
// looked for over a new connection: several times the first-token target of
// 0.34 s, so that a healthy engine is rarely asked.
const confirmAfter = 2 * time.Second

// attempts runs the request until an attempt succeeds or its failure is final.
func (s *Server) attempts(ctx context.Context, w *work, call *modelCall) error {
	tries := attempts.New(attempts.Limits{Sends: s.limits.Attempts, Runs: s.limits.Attempts})
	for {
		tries.RecordAttempt()
		v, err := s.attempt(ctx, w, call, tries.Count())
		if err == nil || v == final || w.x.started {
			return tries.FinalError(err)
		}
		tries.RecordFailure(err)
		next := attempts.Next{
			Repeatable: true, Remaining: s.firstByteLeft(w), Free: v == reroute,
			HasOther: func() bool { return s.hasOther(w) },
		}
		if !tries.MayRetry(next, s.budget, s.now()) {
			return tries.FinalError(err)
		}
		step := stepRetry
		if v == reroute {
			step = stepReroute
			s.metrics.reroutes.Add(1)
		} else {
			s.metrics.retries.Add(1)
		}
		s.decide(w.x, step, string(fault.KindOf(err)), tries.Count())
		if err := s.requeue(ctx, w); err != nil {
			return tries.FinalError(err)
		}
	}
}

// firstByteLeft returns what is left of the time to the first byte.
func (s *Server) firstByteLeft(w *work) time.Duration {
	return s.firstByte(w) - s.now().Sub(w.x.received)
}

// attempt is one attempt on the engine that the request has a share of.
type attempt struct {
	w      *work
	call   *modelCall
	id     string
	share  *share
	client *engine.Client
}

func (s *Server) attempt(ctx context.Context, w *work, call *modelCall, n int) (verdict, error) {
	b, ok := s.opts.View.Config().BackendServer(w.share.server)
	if !ok {
		return reroute, fault.New(fault.KindNoBackend, "the engine left the configuration", "send the request again").
			WithRun(fault.NotRun)
	}
	left := s.firstByteLeft(w)
	if left <= 0 {
		return final, fault.New(fault.KindDeadline, "the time to the first byte is used up", "send the request again").
			WithRun(fault.NotRun)
	}
	a := &attempt{w: w, call: call, id: w.x.id + "." + strconv.Itoa(n), share: w.share, client: s.clients.get(s, b).engine}
	// Until the engine's answer tells more, the whole reservation counts as used.
	w.used = w.tokens
	bound := left
	if call.stream {
		bound = min(left, confirmAfter)
	}
	answer, err := a.client.Do(ctx, engine.Request{
		Path: call.path, AttemptID: a.id, Model: w.model, Body: call.body, Stream: call.stream,
		Priority: int(w.class), FirstByte: bound, Gap: s.limits.StreamGap,
	})
	if call.stream && bound < left && fault.Is(err, fault.KindBackendSilent) {
		return s.confirm(ctx, a, left-bound, err)
	}
	if err != nil {
		return s.failed(ctx, a, err)
	}
	if err := a.client.Refusal(answer); err != nil {
		return s.refused(a, answer.Status, err)
	}
	if answer.Stream != nil {
		return s.pass(ctx, a, answer.Stream)
	}
	return final, s.whole(a, answer)
}

// confirm asks over a new connection whether the engine has the stream of a
// silent attempt. A slow engine goes on with it there. Where the engine answers
// that it has no such stream, the open connection was lost on the way: the
// others may be as well, so that they are replaced, and the engine itself is as
// good as before. This ends the attempt long before the bound of a slow engine.
func (s *Server) confirm(ctx context.Context, a *attempt, left time.Duration, silence error) (verdict, error) {
	events, err := a.client.Resume(ctx, a.id, 0, max(left, s.limits.StreamGap))
	if err == nil {
		s.metrics.resumes.Add(1)
		s.decide(a.w.x, stepResume, "no_first_byte", 1)
		return s.pass(ctx, a, events)
	}
	if ctx.Err() != nil || engine.PhaseOf(err) != engine.Answered {
		return s.failed(ctx, a, silence)
	}
	s.opts.Pools.ReportSilent(a.share.server)
	return retryable, silentEngine(silence)
}

func silentEngine(cause error) *fault.Error {
	return fault.Wrap(cause, fault.KindBackendSilent, "the engine did not answer in time", "send the request again").
		WithRun(fault.OutcomeUnknown)
}

// whole passes a whole answer on.
func (s *Server) whole(a *attempt, answer *engine.Response) error {
	if total, ok := openai.Usage(answer.Body); ok {
		a.w.used = min(total, a.w.tokens)
	}
	s.report(a.share.server, true)
	contentType := answer.Header.Get("Content-Type")
	if contentType == "" {
		contentType = "application/json"
	}
	return a.w.x.answer(answer.Status, contentType, answer.Body)
}

// failed decides what a failed attempt means.
func (s *Server) failed(ctx context.Context, a *attempt, err error) (verdict, error) {
	phase := engine.PhaseOf(err)
	if ctx.Err() != nil {
		return final, s.abandon(ctx, a, phase)
	}
	switch {
	case phase == engine.NotSent:
		a.w.used = 0
		s.report(a.share.server, false)
		a.exclude()
		return retryable, backendFailed(err, "the engine could not be reached", fault.NotRun)
	case fault.Is(err, fault.KindAnswerMismatch):
		s.report(a.share.server, false)
		s.abandonLater(a)
		return final, fault.Wrap(err, fault.KindAnswerMismatch, "the engine answered another request", "send the request again").
			WithRun(fault.OutcomeUnknown)
	case fault.Is(err, fault.KindBackendSilent):
		s.report(a.share.server, false)
		s.abandonLater(a)
		a.exclude()
		return retryable, silentEngine(err)
	}
	s.report(a.share.server, false)
	if s.crashed(a.share, a.client) {
		return final, backendFailed(err, "the engine crashed while it ran the request", fault.OutcomeUnknown)
	}
	s.abandonLater(a)
	a.exclude()
	return retryable, backendFailed(err, "the connection to the engine broke", fault.OutcomeUnknown)
}

func backendFailed(cause error, message string, run fault.Run) *fault.Error {
	return fault.Wrap(cause, fault.KindBackendFailed, message, "send the request again").WithRun(run)
}

// refused decides what the status of an engine's answer means. Engines send
// these refusals before they run anything.
func (s *Server) refused(a *attempt, status int, err error) (verdict, error) {
	run := attempts.RunOf(err)
	if run == fault.NotRun {
		a.w.used = 0
	}
	switch fault.KindOf(err) {
	case fault.KindUnknownAdapter:
		s.lacksModel(a)
		return reroute, fault.Wrap(err, fault.KindNoBackend, "the engine does not have the adapter", "send the request again").
			WithRun(run).After(time.Second)
	case fault.KindOverloaded:
		s.cool(a.share.server)
		return retryable, fault.Wrap(err, fault.KindOverloaded, "the engine refused the request", "send the request again").
			WithRun(run).After(time.Second)
	case fault.KindInvalidRequest:
		s.report(a.share.server, true)
		return final, fault.Wrap(err, fault.KindInvalidRequest, "the engine refused the request with status "+strconv.Itoa(status),
			"correct the request").WithRun(run)
	}
	s.report(a.share.server, false)
	return final, backendFailed(err, "the engine failed with status "+strconv.Itoa(status), fault.OutcomeUnknown)
}

func (a *attempt) exclude() { a.w.excluded = append(a.w.excluded, a.share.server) }

// report tells the outlier detector how a backend server did.
func (s *Server) report(server string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.d.outliers.Success(server)
		return
	}
	b, known := s.d.cfg.BackendServer(server)
	if known && s.d.outliers.Failure(server, b.GetPool(), len(s.d.cfg.Pool(b.GetPool())), s.now()) {
		s.metrics.ejections.Add(1)
		s.opts.Logger.Warn().Str("backend_server", server).Msg("ejected after repeated failures")
	}
}

// lacksModel remembers that an engine does not have a model which the fleet
// table lists as ready there.
func (s *Server) lacksModel(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.missing[missingKey{a.share.server, a.w.model}] = s.now().Add(missingTime)
}

// cool keeps further requests off an engine that refused one as overloaded.
func (s *Server) cool(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.cooling[server] = s.now().Add(coolingTime)
}

// abandon ends an attempt whose request was cancelled or whose caller has gone.
func (s *Server) abandon(ctx context.Context, a *attempt, phase engine.Phase) error {
	run := fault.OutcomeUnknown
	if phase == engine.NotSent {
		run = fault.NotRun
		a.w.used = 0
	} else {
		s.abandonLater(a)
	}
	return ended(ctx, run)
}

// cancelTime bounds the cancellation of an attempt at its engine.
const cancelTime = 2 * time.Second

// abandonLater cancels the attempt at the engine. The share stays in the
// in-flight count until the engine has confirmed or the bound has passed, as the
// engine may run the request until then.
func (s *Server) abandonLater(a *attempt) {
	s.mu.Lock()
	sh := a.w.share
	a.w.share = nil
	s.mu.Unlock()
	if sh == nil {
		return
	}
	s.background.run(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
		defer cancel()
		if err := a.client.Cancel(ctx, a.id); err != nil {
			s.opts.Logger.Debug().Str("request", a.w.x.id).Str("backend_server", sh.server).Err(err).Msg("cancel failed")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.d.giveBack(sh)
		s.d.pump(s.now())
	})
}
