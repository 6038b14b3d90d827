package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/engine"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/openai"
)

// resumeTries bounds the tries to resume a stream since its last event.
const resumeTries = 3

// stream passes the events of one engine stream on to the caller.
type stream struct {
	a       *attempt
	events  *engine.Stream
	control *http.ResponseController
	// last is the sequence number of the last event passed on.
	last     uint64
	resumes  int // since the last event
	tokens   uint64
	buf      []byte
	deadline time.Time
}

// pass passes a stream on until its end marker. Package engine refuses gaps and
// repeats in the sequence numbers. The answer begins with the
// first event, so that a failure before it can still be retried or refused.
func (s *Server) pass(ctx context.Context, a *attempt, events *engine.Stream) (verdict, error) {
	st := &stream{a: a, events: events, control: http.NewResponseController(a.w.x.w)}
	defer func() { _ = st.events.Close() }()
	for {
		ev, err := st.events.Next()
		if err != nil {
			if v, err := s.recover(ctx, st, err); err != nil {
				return v, err
			}
			continue
		}
		if err := st.write(s, ev); err != nil {
			s.abandonLater(a)
			a.w.used = st.used()
			return final, errCallerGone(err)
		}
		if ev.Done {
			a.w.used = st.used()
			s.report(a.share.server, true)
			return final, nil
		}
	}
}

// used is the estimate of the tokens that the engine spent so far.
func (st *stream) used() uint64 {
	return min(st.a.call.promptTokens+st.tokens, st.a.w.tokens)
}

func (st *stream) write(s *Server, ev engine.Event) error {
	x := st.a.w.x
	if !x.started {
		h := x.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		h.Set("X-Accel-Buffering", "no")
		x.begin(http.StatusOK)
		st.a.call.body = nil // no further attempt needs it
	}
	st.last = ev.Seq
	st.resumes = 0
	if total, ok := openai.Usage(ev.Data); ok && total > st.a.call.promptTokens {
		st.tokens = total - st.a.call.promptTokens
	} else if !ev.Done {
		st.tokens++
	}
	st.buf = openai.AppendEvent(st.buf[:0], ev.Seq, ev.Data)
	return st.flush(s)
}

// flush writes the buffer. A caller that leaves it unread for the write bound
// loses its connection.
func (st *stream) flush(s *Server) error {
	// The deadline is renewed at most four times per bound: setting it costs a
	// timer change in the poller.
	if now := time.Now(); st.deadline.Sub(now) < s.limits.WriteTime*3/4 {
		st.deadline = now.Add(s.limits.WriteTime)
		_ = st.control.SetWriteDeadline(st.deadline)
	}
	if _, err := st.a.w.x.w.Write(st.buf); err != nil {
		return err
	}
	return st.control.Flush()
}

// recover continues a stream after a cut, or ends it with the truth. A nil
// error means that the stream goes on.
func (s *Server) recover(ctx context.Context, st *stream, cause error) (verdict, error) {
	a := st.a
	a.w.used = st.used()
	if ctx.Err() != nil {
		s.abandonLater(a)
		return final, s.endStream(st, ended(ctx, fault.Ran))
	}
	silent := fault.Is(cause, fault.KindBackendSilent)
	if !silent && s.crashed(a.share, a.client) {
		s.report(a.share.server, false)
		return final, s.endStream(st, backendFailed(cause, "the engine crashed while it ran the request", fault.OutcomeUnknown))
	}
	for ; st.resumes < resumeTries; st.resumes++ {
		if st.resumes > 0 && !sleep(ctx, time.Duration(st.resumes)*100*time.Millisecond) {
			break
		}
		next, err := a.client.Resume(ctx, a.id, st.last, s.limits.StreamGap)
		if err == nil {
			_ = st.events.Close()
			st.events = next
			s.metrics.resumes.Add(1)
			st.resumes++
			s.decide(a.w.x, stepResume, string(fault.KindOf(cause)), st.resumes)
			return final, nil
		}
		cause = err
	}
	s.report(a.share.server, false)
	s.abandonLater(a)
	if ctx.Err() != nil {
		return final, s.endStream(st, ended(ctx, fault.Ran))
	}
	kind, message := fault.KindStreamCut, "the engine's stream was cut and could not be resumed"
	if silent {
		kind, message = fault.KindBackendSilent, "the engine's stream fell silent and could not be resumed"
	}
	a.exclude()
	return retryable, s.endStream(st, fault.Wrap(cause, kind, message, "send the request again").WithRun(fault.OutcomeUnknown))
}

// endStream ends a stream that has begun with an error event. Before the first
// event the error is returned as it is. Either way no end marker is written.
func (s *Server) endStream(st *stream, err error) error {
	x := st.a.w.x
	e, ok := fault.As(err)
	if !x.started || !ok {
		return err
	}
	if e.Run == fault.OutcomeUnknown {
		e = e.WithRun(fault.Ran) // the caller has part of the answer
	}
	x.endedBy = e.Kind
	st.buf = openai.AppendErrorEvent(st.buf[:0], e, x.id)
	if err := st.flush(s); err != nil {
		return errCallerGone(err)
	}
	return errEnded
}

// sleep waits for d and reports false when ctx ended before.
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
