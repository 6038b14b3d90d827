package control

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/calls"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
)

type consensusHandler struct{ s *Server }

// Step passes messages of another control host to the replicated log.
func (h consensusHandler) Step(ctx context.Context, req *apiv1.StepRequest) (*apiv1.StepResponse, error) {
	if err := h.s.checkCluster(req.GetCluster()); err != nil {
		return nil, peer.ToConnect(err)
	}
	if err := h.s.replica.Step(ctx, req); err != nil {
		return nil, peer.ToConnect(err)
	}
	h.s.lastSeen.record(req.GetFromDiskId(), time.Now())
	return &apiv1.StepResponse{}, nil
}

type fleetHandler struct{ s *Server }

// Report processes an entry host's heartbeat.
func (h fleetHandler) Report(ctx context.Context, req *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	resp, err := serve(ctx, h.s, "report", req.GetCluster(),
		func(l *leader) (*apiv1.ReportResponse, error) { return l.report(req) },
		func(ctx context.Context, e *client.Endpoint) (*apiv1.ReportResponse, error) {
			return e.Fleet.Report(ctx, req)
		})
	return resp, peer.ToConnect(err)
}

func (l *leader) report(req *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	if req.GetHost() == "" {
		return nil, fault.New(fault.KindInvalidMessage, "the report has no host", "set the host").At("host")
	}
	now := time.Now()
	l.applyCrashMarks(req.GetCrashes(), now)
	l.parts.Record(nil, req.GetAnsweredParts(), now)
	resp := l.fleet.Report(req, now)
	l.addSuspects(req, resp, now)
	return resp, nil
}

// addSuspects adds the suspects and quarantined fingerprints to the response
// unless the host's digest shows that it has them. They rarely change, and
// would otherwise be the largest part of every response for an hour after a crash.
func (l *leader) addSuspects(req *apiv1.ReportRequest, resp *apiv1.ReportResponse, now time.Time) {
	suspects, parts := l.marks.Suspects(now), l.parts.Suspects(now)
	quarantines := l.s.machine.Quarantined(now.UnixMilli())
	resp.SuspectsDigest = suspectsDigest(suspects, parts, quarantines)
	if req.GetSuspectsDigest() == resp.GetSuspectsDigest() {
		return
	}
	resp.Suspects, resp.SuspectParts = suspects, parts
	for _, q := range quarantines {
		resp.Quarantined = append(resp.Quarantined, quarantinedMessage(q, now))
	}
}

// suspectsDigest returns a hash of the lists, which must be sorted. It is never
// 0, the value that a host without lists sends.
func suspectsDigest(suspects []*apiv1.Suspect, parts [][]byte, quarantines []*apiv1.PutQuarantine) uint64 {
	h := xxhash.New()
	for _, s := range suspects {
		_, _ = h.Write(s.GetFingerprint())
	}
	for _, p := range parts {
		_, _ = h.Write([]byte("part"))
		_, _ = h.Write(p)
	}
	for _, q := range quarantines {
		_, _ = h.Write(q.GetFingerprint())
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(q.GetUntilUnixMs())))
	}
	return max(h.Sum64(), 1)
}

func quarantinedMessage(q *apiv1.PutQuarantine, now time.Time) *apiv1.Quarantined {
	return &apiv1.Quarantined{
		Fingerprint: q.GetFingerprint(),
		RemainingMs: q.GetUntilUnixMs() - now.UnixMilli(),
		Crashes:     q.GetCrashes(),
	}
}

type rateHandler struct{ s *Server }

// Borrow leases tokens to an entry host.
func (h rateHandler) Borrow(ctx context.Context, req *apiv1.BorrowRequest) (*apiv1.BorrowResponse, error) {
	resp, err := serve(ctx, h.s, "borrow", req.GetCluster(),
		func(l *leader) (*apiv1.BorrowResponse, error) { return l.lender.Borrow(req, time.Now()), nil },
		func(ctx context.Context, e *client.Endpoint) (*apiv1.BorrowResponse, error) {
			return e.Rate.Borrow(ctx, req)
		})
	return resp, peer.ToConnect(err)
}

type callHandler struct{ s *Server }

// Begin records the start of a non-repeatable call.
func (h callHandler) Begin(ctx context.Context, req *apiv1.BeginCallRequest) (*apiv1.BeginCallResponse, error) {
	resp, err := serve(ctx, h.s, "begin", req.GetCluster(),
		func(l *leader) (*apiv1.BeginCallResponse, error) { return l.beginCall(ctx, req.GetCall()) },
		func(ctx context.Context, e *client.Endpoint) (*apiv1.BeginCallResponse, error) {
			return e.Call.Begin(ctx, req)
		})
	return resp, peer.ToConnect(err)
}

func (l *leader) beginCall(ctx context.Context, call *apiv1.BeginCall) (*apiv1.BeginCallResponse, error) {
	if err := calls.Validate(call); err != nil {
		return nil, err
	}
	now := time.Now()
	resp, err := propose[apiv1.BeginCallResponse](ctx, l.s, &apiv1.Command{
		UnixMs:  now.UnixMilli(),
		Command: &apiv1.Command_BeginCall{BeginCall: call},
	})
	if err != nil {
		return nil, err
	}
	if !resp.GetBegun() && resp.GetState() == apiv1.CallState_CALL_STATE_STARTED {
		resp.OwnerLive = l.fleet.HostLive(resp.GetOwner(), resp.GetOwnerIncarnation(), now)
	}
	return resp, nil
}

// Finish records the outcome of a non-repeatable call.
func (h callHandler) Finish(ctx context.Context, req *apiv1.FinishCallRequest) (*apiv1.FinishCallResponse, error) {
	resp, err := serve(ctx, h.s, "finish", req.GetCluster(),
		func(l *leader) (*apiv1.FinishCallResponse, error) {
			return propose[apiv1.FinishCallResponse](ctx, l.s, &apiv1.Command{
				UnixMs:  time.Now().UnixMilli(),
				Command: &apiv1.Command_FinishCall{FinishCall: req.GetCall()},
			})
		},
		func(ctx context.Context, e *client.Endpoint) (*apiv1.FinishCallResponse, error) {
			return e.Call.Finish(ctx, req)
		})
	return resp, peer.ToConnect(err)
}

// propose commits a command and returns its result, which must be a *Resp.
func propose[Resp any](ctx context.Context, s *Server, cmd *apiv1.Command) (*Resp, error) {
	result, err := s.replica.Propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	resp, ok := result.(*Resp)
	if !ok {
		return nil, fault.Newf(fault.KindInternal, "report this as a defect", "a command returned a result of unexpected type %T", result)
	}
	return resp, nil
}
