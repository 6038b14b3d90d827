package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/attempts"
	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/openai"
	"github.com/jasminesaddle/jasminesaddle/internal/quarantine"
)

// maxResumes limits the attempts to resume a stream after its last event. Those that an engine had no room for, or that
// did not reach it, are limited by time instead once the stream has begun.
const maxResumes = 3

// stream passes the events of one engine stream on to the caller.
type stream struct {
	a       *attempt
	events  *engine.Stream
	control *http.ResponseController
	// lastSeq is the sequence number of the last event that was passed on.
	lastSeq      uint64
	resumes      int // since the last event
	outputTokens uint64
	buf          []byte
	deadline     time.Time
}

// relayEvents passes a stream on until its end marker. Package engine rejects
// gaps and repeats in the sequence numbers. The response to the caller begins
// with the first event, so that a failure before it can still be retried or
// returned as an error response.
func (s *Server) relayEvents(ctx context.Context, a *attempt, events *engine.Stream) (attemptOutcome, error) {
	st := &stream{a: a, events: events, control: http.NewResponseController(a.request.x.w)}
	defer func() { _ = st.events.Close() }()
	s.recordAnswer(a, quarantine.AnswerStarted)
	received := 0
	for {
		ev, err := st.events.Next()
		if err != nil {
			if outcome, err := s.resumeOrEnd(ctx, st, err); err != nil {
				return outcome, err
			}
			continue
		}
		if received++; received == quarantine.ProgressEvents || ev.Done {
			s.recordAnswer(a, quarantine.AnswerProgressed)
		}
		if err := st.write(s, ev); err != nil {
			s.cancelInBackground(a)
			a.request.usedTokens = st.used()
			return final, errCallerGone(err)
		}
		if ev.Done {
			a.request.usedTokens = st.used()
			s.recordOutcome(a.assignment.server, true)
			return final, nil
		}
	}
}

// used returns the estimated number of tokens that the engine has processed.
func (st *stream) used() uint64 {
	return min(st.a.call.promptTokens+st.outputTokens, st.a.request.tokens)
}

func (st *stream) write(s *Server, ev engine.Event) error {
	x := st.a.request.x
	if !x.started {
		h := x.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		h.Set("X-Accel-Buffering", "no")
		x.writeHeader(http.StatusOK)
		st.a.call.body = nil // not needed: no other attempt can follow
	}
	st.lastSeq = ev.Seq
	st.resumes = 0
	if total, ok := openai.Usage(ev.Data); ok && total > st.a.call.promptTokens {
		st.outputTokens = total - st.a.call.promptTokens
	} else if !ev.Done {
		st.outputTokens++
	}
	st.buf = openai.AppendEvent(st.buf[:0], ev.Seq, ev.Data)
	return st.flush(s)
}

// flush writes the buffer. The connection of a caller that does not read it
// within the write timeout is closed.
func (st *stream) flush(s *Server) error {
	// The deadline is renewed at most four times per timeout, because setting
	// it costs a timer change in the poller.
	if now := time.Now(); st.deadline.Sub(now) < s.limits.WriteTimeout*3/4 {
		st.deadline = now.Add(s.limits.WriteTimeout)
		_ = st.control.SetWriteDeadline(st.deadline)
	}
	if _, err := st.a.request.x.w.Write(st.buf); err != nil {
		return err
	}
	return st.control.Flush()
}

// resumeOrEnd resumes a stream after a failure, or ends it with the error. A nil
// error means that the stream was resumed.
func (s *Server) resumeOrEnd(ctx context.Context, st *stream, cause error) (attemptOutcome, error) {
	a := st.a
	a.request.usedTokens = st.used()
	if ctx.Err() != nil {
		s.cancelInBackground(a)
		return final, s.endStream(st, contextError(ctx, fault.Ran))
	}
	silent := fault.Is(cause, fault.KindBackendSilent)
	if !silent && s.checkCrash(a.assignment, a.client) {
		s.recordOutcome(a.assignment.server, false)
		return final, s.endStream(st, backendFailed(cause, "the engine crashed while it ran the request", fault.OutcomeUnknown))
	}
	brokeAt := s.now()
	c := attempts.Continuation{Deadline: brokeAt.Add(s.limits.StreamGap), LastEvent: brokeAt}
	for tries := st.resumes; st.resumes < maxResumes; tries++ {
		if pause, _ := c.Pause(tries, s.now()); tries > 0 && !sleep(ctx, pause) {
			break
		}
		next, err := a.client.Resume(ctx, a.id, st.lastSeq, s.limits.StreamGap)
		if err == nil {
			_ = st.events.Close()
			st.events = next
			s.metrics.resumes.Add(1)
			st.resumes++
			s.decide(a.request.x, stepResume, string(fault.KindOf(cause)), st.resumes)
			return final, nil
		}
		cause = err
		if !a.request.x.started || !mayAccept(err) || c.TimeLeft(s.now()) == 0 {
			st.resumes++
		}
	}
	s.recordOutcome(a.assignment.server, false)
	s.cancelInBackground(a)
	if ctx.Err() != nil {
		return final, s.endStream(st, contextError(ctx, fault.Ran))
	}
	kind, message := fault.KindStreamCut, "the engine's stream was cut and could not be resumed"
	if silent {
		kind, message = fault.KindBackendSilent, "the engine's stream was silent too long and could not be resumed"
	}
	a.exclude()
	return retryable, s.endStream(st, fault.Wrap(cause, kind, message, "send the request again").WithRun(fault.OutcomeUnknown))
}

// mayAccept reports whether the engine may still accept the resume that failed: it had no room, or was not reached.
func mayAccept(err error) bool {
	return engine.PhaseOf(err) != engine.ResponseStarted || fault.Is(err, fault.KindOverloaded)
}

// endStream writes an error event to a stream that has begun. Before the first
// event it returns err unchanged. It never writes the end marker.
func (s *Server) endStream(st *stream, err error) error {
	x := st.a.request.x
	e, ok := fault.As(err)
	if !x.started || !ok {
		return err
	}
	if e.Run == fault.OutcomeUnknown {
		e = e.WithRun(fault.Ran) // the caller has part of the response
	}
	x.streamError = e.Kind
	st.buf = openai.AppendErrorEvent(st.buf[:0], e, x.id)
	if err := st.flush(s); err != nil {
		return errCallerGone(err)
	}
	return errStreamEnded
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
