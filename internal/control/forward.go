package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// forwardTimeout limits a forwarded request, so that the caller still has time
// to try another control host.
const forwardTimeout = 900 * time.Millisecond

// forwardedHeader marks a request that another control host forwarded. Such a
// request is not forwarded again, which prevents a loop between two hosts that
// take each other for the leader.
const forwardedHeader = "Jasmine-Forwarded"

// serve handles a request with local when this host is the leader, and forwards
// it to the leader with remote otherwise.
func serve[Resp any](
	ctx context.Context,
	s *Server,
	method, cluster string,
	local func(*leader) (*Resp, error),
	remote func(context.Context, *client.Endpoint) (*Resp, error),
) (*Resp, error) {
	if err := s.checkCluster(cluster); err != nil {
		return nil, err
	}
	if l := s.activeLeader(); l != nil {
		s.metrics.requests.Add(method, 1)
		return local(l)
	}
	leaderMember := s.replica.Leader()
	info, _ := connect.CallInfoForHandlerContext(ctx)
	if info != nil && info.RequestHeader().Get(forwardedHeader) != "" || leaderMember == nil || s.isSelf(leaderMember) {
		return nil, s.notLeader(leaderMember)
	}
	s.metrics.forwarded.Add(1)
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	ctx, out := connect.NewClientContext(ctx)
	out.RequestHeader().Set(forwardedHeader, s.opts.Self.GetHost())
	return remote(ctx, s.endpoint(leaderMember.GetAddress()))
}

func (s *Server) isSelf(m *apiv1.Member) bool { return m.GetHost() == s.opts.Self.GetHost() }

func (s *Server) notLeader(leaderMember *apiv1.Member) error {
	remedy := "try another control host, or retry once a leader is elected"
	if leaderMember != nil && !s.isSelf(leaderMember) {
		remedy = "ask the leader " + leaderMember.GetHost() + " at " + leaderMember.GetAddress()
	}
	return fault.New(fault.KindNotLeader, "host "+s.opts.Self.GetHost()+" is not the leader", remedy)
}

func (s *Server) checkCluster(cluster string) error {
	if cluster == s.opts.Cluster {
		return nil
	}
	return fault.Newf(fault.KindWrongCluster, "set the same cluster name on both sides",
		"the request is for cluster %q, this host belongs to %q", cluster, s.opts.Cluster).At("cluster")
}

// joinClose combines the errors of a run and of the close after it. A canceled
// context is a regular stop and no error.
func joinClose(err, closeErr error) error {
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return errors.CombineErrors(err, closeErr)
}
