package entry

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/rs/zerolog"

	"github.com/jasminesaddle/jasminesaddle/internal/decisionlog"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Steps of the decisions in the decision log.
const (
	stepDispatch = "dispatch"
	stepRetry    = "retry"
	stepResume   = "resume"
	stepReroute  = "reroute"
	stepCall     = "call_record"
	stepAnswer   = "answer"
	stepRefuse   = "refuse"
)

// decide writes one decision to the logger and the decision log. A decision
// never contains a key or a body.
func (s *Server) decide(x *exchange, step, reason string, considered int) {
	d := decisionlog.Decision{
		RequestID: x.id, Step: step, Team: x.team, Route: x.routeName(), Adapter: x.adapter,
		BackendServer: x.backend, Reason: reason, Considered: considered, At: s.now(),
	}
	if s.opts.Decisions != nil {
		s.opts.Decisions.Add(d)
	}
	s.logDecision(d, nil, 0)
}

func (s *Server) logDecision(d decisionlog.Decision, err error, took time.Duration) {
	var e *zerolog.Event
	if fault.Is(err, fault.KindInternal) {
		e = s.opts.Logger.Error()
	} else {
		e = s.opts.Logger.Info()
	}
	if !e.Enabled() {
		return
	}
	e.Str("request", d.RequestID).Str("step", d.Step).Str("team", d.Team).Str("route", d.Route).
		Str("adapter", d.Adapter).Str("backend_server", d.BackendServer).Str("reason", d.Reason).
		Int("candidates", d.Considered)
	if took > 0 {
		e.Dur("took_ms", took)
	}
	if err != nil {
		e.AnErr("error", err)
	}
	e.Msg("decision")
}

// logging records the last decision of each request.
func (s *Server) logging(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		x := request.(*exchange)
		_, err := next(ctx, request)
		now := s.now()
		d := decisionlog.Decision{
			RequestID: x.id, Step: stepAnswer, Team: x.team, Route: x.routeName(), Adapter: x.adapter,
			BackendServer: x.backend, Reason: reasonOf(x, err), At: now,
		}
		if err != nil && !x.started {
			d.Step = stepRefuse
		}
		if s.opts.Decisions != nil {
			s.opts.Decisions.Add(d)
		}
		s.logDecision(d, err, now.Sub(x.received))
		return nil, err
	}
}

// counting counts each request by its outcome.
func (s *Server) counting(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		s.metrics.requests.Add(1)
		_, err := next(ctx, request)
		s.metrics.outcomes.Add(reasonOf(request.(*exchange), err), 1)
		return nil, err
	}
}

// reasonOf returns the outcome of a request as a label with a fixed set of
// values.
func reasonOf(x *exchange, err error) string {
	var gone callerGone
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &gone):
		return "caller_gone"
	case errors.Is(err, errStreamEnded):
		return string(x.streamError)
	default:
		return string(fault.KindOf(err))
	}
}
