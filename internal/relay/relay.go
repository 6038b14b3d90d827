// Package relay passes callers' requests from an entry host that reaches no backend server to one that
// does, and the responses back as they arrive.
//
// Invariants:
//   - A request is relayed at most once: the receiver serves it or refuses it.
//   - A response looks complete to the sender only if the receiver said so.
//   - An error says "not run" only if no byte of the request was sent, or if the receiver says so.
package relay

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/gateway"
	"github.com/jasminesaddle/jasminesaddle/internal/h1"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

func encodeRequest(from string, r *gateway.Request, h gateway.Handover) *apiv1.RelayRequest {
	out := &apiv1.RelayRequest{
		Id: r.ID, Method: r.Method, Target: r.Target, Host: r.Host, ApiKey: r.APIKey, Body: r.Body,
		RemainingMs: milliseconds(h.Remaining), TimeoutMs: milliseconds(r.Timeout), AfterEvent: r.AfterEvent, Resumes: r.Resumes,
		Generation: r.Generation, Model: r.Weights.Model, Adapter: r.Weights.Adapter,
		PromptTokens: uint32(r.PromptTokens), OutputTokens: uint32(r.OutputTokens),
		Service: h.Origin.Service, Build: h.Origin.Build, MaxRuns: uint32(h.MaxRuns), From: from, Recorded: h.Recorded,
		Begun: h.Begun, SinceEventMs: milliseconds(h.SinceEvent),
	}
	for _, f := range r.Fields {
		out.Fields = append(out.Fields, &apiv1.RelayField{Name: f.Name, Value: f.Value})
	}
	for _, p := range r.Parts {
		out.Parts = append(out.Parts, &apiv1.RelayPromptPart{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	return out
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func decodeRequest(m *apiv1.RelayRequest, received time.Time) *gateway.Request {
	path, _, _ := cutQuery(m.GetTarget())
	r := &gateway.Request{
		ID: m.GetId(), Method: m.GetMethod(), Target: m.GetTarget(), Path: path, Host: m.GetHost(), APIKey: m.GetApiKey(), Body: m.GetBody(),
		Timeout: time.Duration(m.GetTimeoutMs()) * time.Millisecond, AfterEvent: m.GetAfterEvent(), Resumes: m.GetResumes(),
		Generation: m.GetGeneration(), Weights: residency.Ref{Model: m.GetModel(), Adapter: m.GetAdapter()},
		PromptTokens: int(m.GetPromptTokens()), OutputTokens: int(m.GetOutputTokens()), Received: received,
		Handover: &gateway.Handover{
			From: m.GetFrom(), Remaining: time.Duration(m.GetRemainingMs()) * time.Millisecond,
			Origin: origin.Origin{Service: m.GetService(), Build: m.GetBuild()}, MaxRuns: int(m.GetMaxRuns()), Recorded: m.GetRecorded(),
			Begun: m.GetBegun(), SinceEvent: time.Duration(m.GetSinceEventMs()) * time.Millisecond,
		},
	}
	for _, f := range m.GetFields() {
		r.Fields = append(r.Fields, h1.Field{Name: f.GetName(), Value: f.GetValue()})
	}
	for _, p := range m.GetParts() {
		r.Parts = append(r.Parts, gateway.PromptPart{ID: p.GetId(), Tokens: int(p.GetTokens())})
	}
	return r
}

func encodeHeader(h http.Header) []*apiv1.RelayField {
	var out []*apiv1.RelayField
	for name, values := range h {
		for _, v := range values {
			out = append(out, &apiv1.RelayField{Name: name, Value: v})
		}
	}
	return out
}

func decodeHeader(fields []*apiv1.RelayField) http.Header {
	out := http.Header{}
	for _, f := range fields {
		out[f.GetName()] = append(out[f.GetName()], f.GetValue())
	}
	return out
}

// encodeEnd encodes the end of a response; err is nil for a complete one.
func encodeEnd(err error) *apiv1.RelayResponse {
	end := &apiv1.RelayEnd{}
	if err != nil {
		e, ok := fault.As(err)
		if !ok {
			e = fault.Wrap(err, fault.KindInternal, "the request failed", "send the request again").WithRun(fault.OutcomeUnknown)
		}
		end.ErrorKind, end.Message, end.Remedy, end.Run = string(e.Kind), e.Message, e.Remedy, string(e.Run)
		end.RetryAfterMs, end.NotTaken = milliseconds(e.RetryAfter), errors.Is(err, gateway.ErrNotTaken)
	}
	return &apiv1.RelayResponse{Part: &apiv1.RelayResponse_End{End: end}}
}

// decodeEnd returns the error of a response, nil for a complete one. Without a clear statement a request may
// have run.
func decodeEnd(end *apiv1.RelayEnd) *fault.Error {
	if end.GetErrorKind() == "" {
		return nil
	}
	run := fault.OutcomeUnknown
	if end.GetRun() == string(fault.NotRun) {
		run = fault.NotRun
	}
	return fault.New(fault.Kind(end.GetErrorKind()), end.GetMessage(), end.GetRemedy()).WithRun(run).
		After(time.Duration(end.GetRetryAfterMs()) * time.Millisecond)
}
