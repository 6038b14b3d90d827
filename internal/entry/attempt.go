package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/attempts"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/openai"
	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
)

// modelCall is the part of a completion request that an attempt sends to an
// engine.
type modelCall struct {
	path         string
	body         []byte
	stream       bool
	promptTokens uint64
}

// attemptOutcome is what may follow a failed attempt.
type attemptOutcome int

const (
	// final ends the request.
	final attemptOutcome = iota
	// retryable allows another attempt within the retry budget.
	retryable
	// reroute allows another attempt without using the retry budget: the engine
	// did not have the adapter, so that the attempt cost it nothing.
	reroute
)

// confirmAfter is the time without a response after which a new connection is
// used to ask the engine for the stream: several times the first-token target
// of 0.34 s, so that a healthy engine is rarely asked.
const confirmAfter = 2 * time.Second

// runAttempts makes attempts until one succeeds or no other is allowed.
func (s *Server) runAttempts(ctx context.Context, ar *admittedRequest, call *modelCall) error {
	tries := attempts.New(attempts.Limits{Attempts: s.limits.Attempts, Runs: s.limits.Attempts})
	for {
		tries.RecordAttempt()
		outcome, err := s.attempt(ctx, ar, call, tries.Count())
		if err == nil || outcome == final || ar.x.started {
			return tries.FinalError(err)
		}
		tries.RecordFailure(err)
		next := attempts.Next{
			Repeatable: true, Remaining: s.firstByteRemaining(ar), Free: outcome == reroute,
			HasOther: func() bool { return s.hasOther(ar) },
		}
		if !tries.MayRetry(next, s.budget, s.now()) {
			return tries.FinalError(err)
		}
		step := stepRetry
		if outcome == reroute {
			step = stepReroute
			s.metrics.reroutes.Add(1)
		} else {
			s.metrics.retries.Add(1)
		}
		s.decide(ar.x, step, string(fault.KindOf(err)), tries.Count())
		if err := s.requeue(ctx, ar); err != nil {
			return tries.FinalError(err)
		}
	}
}

// firstByteRemaining returns the remaining time to the first byte.
func (s *Server) firstByteRemaining(ar *admittedRequest) time.Duration {
	return s.firstByteTimeout(ar) - s.now().Sub(ar.x.received)
}

// attempt is one attempt on the engine that the request is assigned to.
type attempt struct {
	request    *admittedRequest
	call       *modelCall
	id         string
	assignment *assignment
	client     *engine.Client
}

func (s *Server) attempt(ctx context.Context, ar *admittedRequest, call *modelCall, n int) (attemptOutcome, error) {
	b, ok := s.opts.View.Config().BackendServer(ar.assignment.server)
	if !ok {
		return reroute, fault.New(fault.KindNoBackend, "the engine is no longer configured", "send the request again").
			WithRun(fault.NotRun)
	}
	remaining := s.firstByteRemaining(ar)
	if remaining <= 0 {
		return final, fault.New(fault.KindDeadline, "the timeout for the first byte has passed", "send the request again").
			WithRun(fault.NotRun)
	}
	a := &attempt{request: ar, call: call, id: ar.x.id + "." + strconv.Itoa(n), assignment: ar.assignment, client: s.clients.get(s, b).engine}
	// The full reservation counts as used until the response gives a better
	// figure.
	ar.usedTokens = ar.tokens
	firstByte := remaining
	if call.stream {
		firstByte = min(remaining, confirmAfter)
	}
	response, err := a.client.Do(ctx, engine.Request{
		Path: call.path, AttemptID: a.id, Model: ar.model, Body: call.body, Stream: call.stream,
		Priority: int(ar.class), FirstByte: firstByte, Gap: s.limits.StreamGap,
	})
	if call.stream && firstByte < remaining && fault.Is(err, fault.KindBackendSilent) {
		return s.confirmStream(ctx, a, remaining-firstByte, err)
	}
	if err != nil {
		return s.handleFailure(ctx, a, err)
	}
	if err := a.client.Refusal(response); err != nil {
		return s.handleRefusal(a, response.Status, err)
	}
	if response.Stream != nil {
		return s.relayEvents(ctx, a, response.Stream)
	}
	s.recordAnswer(a, quarantine.AnswerProgressed)
	return final, s.relayComplete(a, response)
}

// confirmStream asks over a new connection whether the engine has the stream of
// a silent attempt. A slow engine continues the stream there. When the engine
// responds that it has no such stream, the request was lost on a dead
// connection: the open connections are replaced, as others may be dead too, and
// no failure of the engine is recorded. This ends the attempt long before the
// timeout that a slow engine needs.
func (s *Server) confirmStream(ctx context.Context, a *attempt, remaining time.Duration, silence error) (attemptOutcome, error) {
	events, err := a.client.Resume(ctx, a.id, 0, max(remaining, s.limits.StreamGap))
	if err == nil {
		s.metrics.resumes.Add(1)
		s.decide(a.request.x, stepResume, "no_first_byte", 1)
		return s.relayEvents(ctx, a, events)
	}
	if ctx.Err() != nil || engine.PhaseOf(err) != engine.ResponseStarted {
		return s.handleFailure(ctx, a, silence)
	}
	s.opts.Pools.ReportSilent(a.assignment.server)
	return retryable, silentEngine(silence)
}

func silentEngine(cause error) *fault.Error {
	return fault.Wrap(cause, fault.KindBackendSilent, "the engine did not answer in time", "send the request again").
		WithRun(fault.OutcomeUnknown)
}

// relayComplete passes a complete response on.
func (s *Server) relayComplete(a *attempt, response *engine.Response) error {
	if total, ok := openai.Usage(response.Body); ok {
		a.request.usedTokens = min(total, a.request.tokens)
	}
	s.recordOutcome(a.assignment.server, true)
	contentType := response.Header.Get("Content-Type")
	if contentType == "" {
		contentType = "application/json"
	}
	return a.request.x.respond(response.Status, contentType, response.Body)
}

// handleFailure handles an attempt that failed without a usable response.
func (s *Server) handleFailure(ctx context.Context, a *attempt, err error) (attemptOutcome, error) {
	phase := engine.PhaseOf(err)
	if ctx.Err() != nil {
		return final, s.abandon(ctx, a, phase)
	}
	switch {
	case phase == engine.NotSent:
		a.request.usedTokens = 0
		s.recordOutcome(a.assignment.server, false)
		a.exclude()
		return retryable, backendFailed(err, "the engine could not be reached", fault.NotRun)
	case fault.Is(err, fault.KindAnswerMismatch):
		s.recordOutcome(a.assignment.server, false)
		s.cancelInBackground(a)
		return final, fault.Wrap(err, fault.KindAnswerMismatch, "the engine answered another request", "send the request again").
			WithRun(fault.OutcomeUnknown)
	case fault.Is(err, fault.KindBackendSilent):
		s.recordOutcome(a.assignment.server, false)
		s.cancelInBackground(a)
		a.exclude()
		return retryable, silentEngine(err)
	}
	s.recordOutcome(a.assignment.server, false)
	if s.checkCrash(a.assignment, a.client) {
		return final, backendFailed(err, "the engine crashed while it ran the request", fault.OutcomeUnknown)
	}
	s.cancelInBackground(a)
	a.exclude()
	return retryable, backendFailed(err, "the connection to the engine broke", fault.OutcomeUnknown)
}

func backendFailed(cause error, message string, run fault.Run) *fault.Error {
	return fault.Wrap(cause, fault.KindBackendFailed, message, "send the request again").WithRun(run)
}

// handleRefusal handles an error status of an engine. An engine refuses a request
// before it runs any of it; after another error status the outcome is unknown.
func (s *Server) handleRefusal(a *attempt, status int, err error) (attemptOutcome, error) {
	run := attempts.RunOf(err)
	if run == fault.NotRun {
		a.request.usedTokens = 0
	}
	switch fault.KindOf(err) {
	case fault.KindUnknownAdapter:
		s.recordMissingModel(a)
		return reroute, fault.Wrap(err, fault.KindNoBackend, "the engine does not have the adapter", "send the request again").
			WithRun(run).After(time.Second)
	case fault.KindOverloaded:
		s.startCooldown(a.assignment.server)
		return retryable, fault.Wrap(err, fault.KindOverloaded, "the engine refused the request", "send the request again").
			WithRun(run).After(time.Second)
	case fault.KindInvalidRequest:
		s.recordOutcome(a.assignment.server, true)
		return final, fault.Wrap(err, fault.KindInvalidRequest, "the engine refused the request with status "+strconv.Itoa(status),
			"correct the request").WithRun(run)
	}
	s.recordOutcome(a.assignment.server, false)
	return final, backendFailed(err, "the engine failed with status "+strconv.Itoa(status), fault.OutcomeUnknown)
}

func (a *attempt) exclude() { a.request.excluded = append(a.request.excluded, a.assignment.server) }

// recordOutcome passes the success or failure of an attempt to the outlier
// detector.
func (s *Server) recordOutcome(server string, ok bool) {
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

// recordMissingModel records that an engine lacks a model which the fleet table
// lists as ready there.
func (s *Server) recordMissingModel(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.missing[missingKey{a.assignment.server, a.request.model}] = s.now().Add(missingModelTTL)
}

// startCooldown excludes an engine that refused a request as overloaded for the
// duration of the cooldown.
func (s *Server) startCooldown(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.cooldowns[server] = s.now().Add(cooldown)
}

// abandon ends an attempt whose request was cancelled or whose caller has
// disconnected.
func (s *Server) abandon(ctx context.Context, a *attempt, phase engine.Phase) error {
	run := fault.OutcomeUnknown
	if phase == engine.NotSent {
		run = fault.NotRun
		a.request.usedTokens = 0
	} else {
		s.cancelInBackground(a)
	}
	return contextError(ctx, run)
}

// cancelTimeout limits the cancellation of an attempt at its engine.
const cancelTimeout = 2 * time.Second

// cancelInBackground cancels the attempt at the engine. The assignment stays in
// the in-flight count until the engine has confirmed or cancelTimeout has passed,
// as the engine may run the request until then.
func (s *Server) cancelInBackground(a *attempt) {
	s.mu.Lock()
	assigned := a.request.assignment
	a.request.assignment = nil
	s.mu.Unlock()
	if assigned == nil {
		return
	}
	s.background.start(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := a.client.Cancel(ctx, a.id); err != nil {
			s.opts.Logger.Debug().Str("request", a.request.x.id).Str("backend_server", assigned.server).Err(err).Msg("cancel failed")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.d.release(assigned)
		s.d.startReady(s.now())
	})
}
