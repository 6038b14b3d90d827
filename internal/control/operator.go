package control

import (
	"context"
	"math"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
	"github.com/jasminesaddle/jasminesaddle/internal/replica"
)

// maxHistory limits the changes in one response.
const maxHistory = 1000

type operatorHandler struct{ s *Server }

// Apply commits one numbered change.
func (h operatorHandler) Apply(ctx context.Context, req *apiv1.ApplyRequest) (*apiv1.ApplyResponse, error) {
	resp, err := serve(ctx, h.s, "apply", req.GetCluster(),
		func(l *leader) (*apiv1.ApplyResponse, error) {
			return propose[apiv1.ApplyResponse](ctx, l.s, &apiv1.Command{
				UnixMs:  time.Now().UnixMilli(),
				Command: &apiv1.Command_Change{Change: req.GetChange()},
			})
		},
		func(ctx context.Context, e *client.Endpoint) (*apiv1.ApplyResponse, error) {
			return e.Operator.Apply(ctx, req)
		})
	return resp, peer.ToConnect(err)
}

// GetManifest returns the configuration in force.
func (h operatorHandler) GetManifest(ctx context.Context, req *apiv1.GetManifestRequest) (*apiv1.GetManifestResponse, error) {
	resp, err := serve(ctx, h.s, "get_manifest", req.GetCluster(),
		func(l *leader) (*apiv1.GetManifestResponse, error) {
			conf := l.s.machine.Config()
			return &apiv1.GetManifestResponse{
				Revision: conf.Revision,
				Digest:   conf.Digest().Bytes(),
				Manifest: conf.Manifest(),
			}, nil
		},
		func(ctx context.Context, e *client.Endpoint) (*apiv1.GetManifestResponse, error) {
			return e.Operator.GetManifest(ctx, req)
		})
	return resp, peer.ToConnect(err)
}

// History returns accepted changes, sorted by number.
func (h operatorHandler) History(ctx context.Context, req *apiv1.HistoryRequest) (*apiv1.HistoryResponse, error) {
	resp, err := serve(ctx, h.s, "history", req.GetCluster(),
		func(l *leader) (*apiv1.HistoryResponse, error) {
			limit := int(min(req.GetLimit(), maxHistory))
			if limit == 0 {
				limit = maxHistory
			}
			return &apiv1.HistoryResponse{Changes: l.s.machine.History(req.GetFromNumber(), limit)}, nil
		},
		func(ctx context.Context, e *client.Endpoint) (*apiv1.HistoryResponse, error) {
			return e.Operator.History(ctx, req)
		})
	return resp, peer.ToConnect(err)
}

// Status returns the state of the cluster as the leader knows it.
func (h operatorHandler) Status(ctx context.Context, req *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	resp, err := serve(ctx, h.s, "status", req.GetCluster(),
		func(l *leader) (*apiv1.StatusResponse, error) { return l.status(time.Now()), nil },
		func(ctx context.Context, e *client.Endpoint) (*apiv1.StatusResponse, error) {
			return e.Operator.Status(ctx, req)
		})
	return resp, peer.ToConnect(err)
}

func (l *leader) status(now time.Time) *apiv1.StatusResponse {
	st := l.s.replica.Status()
	resp := &apiv1.StatusResponse{
		Cluster:     l.s.opts.Cluster,
		Leader:      l.s.opts.Self.GetHost(),
		Term:        l.term,
		CommitIndex: st.Commit,
		Revision:    l.s.machine.Config().Revision,
		Members:     l.s.memberStatus(st, now),
		Hosts:       l.fleet.Hosts(now),
		Engines:     l.fleet.Engines(now),
		Teams:       l.lender.Status(now),
		CallRecords: uint64(l.s.machine.CallCount()),
		WaitingFor:  l.fleet.PendingDrains(now),
	}
	for _, e := range l.s.machine.Evacuations() {
		resp.Evacuations = append(resp.Evacuations, l.fleet.Evacuation(e))
	}
	for _, q := range l.s.machine.Quarantined(now.UnixMilli()) {
		resp.Quarantined = append(resp.Quarantined, quarantinedMessage(q, now))
	}
	return resp
}

// memberStatus returns the status of the control hosts; this host is the leader.
func (s *Server) memberStatus(st replica.Status, now time.Time) []*apiv1.MemberStatus {
	var out []*apiv1.MemberStatus
	for _, m := range st.Members {
		self := m.GetDiskId() == st.Self.GetDiskId()
		member := &apiv1.MemberStatus{
			Host:          m.GetHost(),
			Address:       m.GetAddress(),
			FailureDomain: m.GetFailureDomain(),
			DiskId:        m.GetDiskId(),
			Voter:         m.GetVoter(),
			Leader:        self,
			MatchIndex:    st.Match[m.GetDiskId()],
		}
		if !self {
			member.LastHeardMs = uint32(min(s.lastSeen.since(m.GetDiskId(), now).Milliseconds(), math.MaxUint32))
		}
		out = append(out, member)
	}
	return out
}

// ChangeMember adds or removes one control host.
func (h operatorHandler) ChangeMember(ctx context.Context, req *apiv1.ChangeMemberRequest) (*apiv1.ChangeMemberResponse, error) {
	resp, err := serve(ctx, h.s, "change_member", req.GetCluster(),
		func(l *leader) (*apiv1.ChangeMemberResponse, error) { return l.changeMember(ctx, req) },
		func(ctx context.Context, e *client.Endpoint) (*apiv1.ChangeMemberResponse, error) {
			return e.Operator.ChangeMember(ctx, req)
		})
	return resp, peer.ToConnect(err)
}

func (l *leader) changeMember(ctx context.Context, req *apiv1.ChangeMemberRequest) (*apiv1.ChangeMemberResponse, error) {
	var err error
	switch c := req.GetChange().(type) {
	case *apiv1.ChangeMemberRequest_Add:
		err = l.s.replica.AddMember(ctx, c.Add)
	case *apiv1.ChangeMemberRequest_RemoveDiskId:
		err = l.s.replica.RemoveMember(ctx, c.RemoveDiskId)
	default:
		err = fault.New(fault.KindInvalidMessage, "the request has no change", "set add or remove_disk_id").At("change")
	}
	if err != nil {
		return nil, err
	}
	resp := &apiv1.ChangeMemberResponse{}
	for _, m := range l.s.replica.Status().Members {
		resp.Members = append(resp.Members, &apiv1.Member{
			Host: m.GetHost(), Address: m.GetAddress(), FailureDomain: m.GetFailureDomain(),
			DiskId: m.GetDiskId(), Voter: m.GetVoter(),
		})
	}
	return resp, nil
}

// DrainHost asks an entry host to leave the cluster, or cancels that request.
func (h operatorHandler) DrainHost(ctx context.Context, req *apiv1.DrainHostRequest) (*apiv1.DrainHostResponse, error) {
	resp, err := serve(ctx, h.s, "drain_host", req.GetCluster(),
		func(l *leader) (*apiv1.DrainHostResponse, error) {
			if !l.fleet.SetDrain(req.GetHost(), !req.GetCancel()) {
				return nil, fault.Newf(fault.KindInvalidRequest, "name an entry host that status lists",
					"no host %q reports to the leader", req.GetHost()).At("host")
			}
			l.logger.Info().Str("decision", "drain").Str("drained_host", req.GetHost()).Bool("cancel", req.GetCancel()).Msg("drain")
			return &apiv1.DrainHostResponse{}, nil
		},
		func(ctx context.Context, e *client.Endpoint) (*apiv1.DrainHostResponse, error) {
			return e.Operator.DrainHost(ctx, req)
		})
	return resp, peer.ToConnect(err)
}
