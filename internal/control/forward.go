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

// forwardTimeout bounds a forwarded request, so that the caller still has time
// to ask another control host.
const forwardTimeout = 900 * time.Millisecond

// forwardedHeader marks a request that another control host forwarded. It is
// not forwarded again, so that two hosts that disagree on the leader make no loop.
const forwardedHeader = "Jasmine-Forwarded"

// serve answers with local on the leader, and forwards otherwise.
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
	if l := s.leading(); l != nil {
		s.metrics.requests.Add(method, 1)
		return local(l)
	}
	to := s.replica.Leader()
	info, _ := connect.CallInfoForHandlerContext(ctx)
	if info != nil && info.RequestHeader().Get(forwardedHeader) != "" || to == nil || s.isSelf(to) {
		return nil, s.notLeader(to)
	}
	s.metrics.forwarded.Add(1)
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	ctx, out := connect.NewClientContext(ctx)
	out.RequestHeader().Set(forwardedHeader, s.opts.Self.GetHost())
	return remote(ctx, s.endpoint(to.GetAddress()))
}

func (s *Server) isSelf(m *apiv1.Member) bool { return m.GetHost() == s.opts.Self.GetHost() }

func (s *Server) notLeader(to *apiv1.Member) error {
	remedy := "try another control host, or try again once a leader is elected"
	if to != nil && !s.isSelf(to) {
		remedy = "ask the leader " + to.GetHost() + " at " + to.GetAddress()
	}
	return fault.New(fault.KindNotLeader, "host "+s.opts.Self.GetHost()+" does not lead", remedy)
}

func (s *Server) checkCluster(cluster string) error {
	if cluster == s.opts.Cluster {
		return nil
	}
	return fault.Newf(fault.KindWrongCluster, "set the same cluster name on both sides",
		"the request is for cluster %q and this host belongs to %q", cluster, s.opts.Cluster).At("cluster")
}

func joinClose(err, closeErr error) error {
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return errors.CombineErrors(err, closeErr)
}
