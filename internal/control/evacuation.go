package control

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
)

// SetEvacuated begins or ends the evacuation of a failure domain. It returns once a quorum has the order.
func (h operatorHandler) SetEvacuated(ctx context.Context, req *apiv1.SetEvacuatedRequest) (*apiv1.SetEvacuatedResponse, error) {
	resp, err := serve(ctx, h.s, "set_evacuated", req.GetCluster(),
		func(l *leader) (*apiv1.SetEvacuatedResponse, error) { return l.setEvacuated(ctx, req) },
		func(ctx context.Context, e *client.Endpoint) (*apiv1.SetEvacuatedResponse, error) {
			return e.Operator.SetEvacuated(ctx, req)
		})
	return resp, peer.ToConnect(err)
}

func (l *leader) setEvacuated(ctx context.Context, req *apiv1.SetEvacuatedRequest) (*apiv1.SetEvacuatedResponse, error) {
	if known := l.failureDomains(); !known[req.GetFailureDomain()] {
		return nil, fault.Newf(fault.KindInvalidRequest, "name one of "+strings.Join(slices.Sorted(maps.Keys(known)), ", "),
			"no backend server is in failure domain %q", req.GetFailureDomain()).At("failure_domain")
	}
	result, err := propose[apiv1.PutResult](ctx, l.s, &apiv1.Command{
		UnixMs: time.Now().UnixMilli(),
		Command: &apiv1.Command_PutEvacuation{PutEvacuation: &apiv1.PutEvacuation{
			FailureDomain: req.GetFailureDomain(), Evacuated: req.GetEvacuated(),
		}},
	})
	if err != nil {
		return nil, err
	}
	return &apiv1.SetEvacuatedResponse{Applied: result.GetApplied()}, nil
}

// failureDomains returns those of the configured backend servers and those with an earlier order: an evacuation must be possible to
// end after its last backend server was removed.
func (l *leader) failureDomains() map[string]bool {
	known := map[string]bool{}
	for _, b := range l.s.machine.Config().BackendServers() {
		if b.GetFailureDomain() != "" {
			known[b.GetFailureDomain()] = true
		}
	}
	for _, e := range l.s.machine.Evacuations() {
		known[e.GetFailureDomain()] = true
	}
	return known
}

// syncEvacuations applies the committed evacuations to the leader's tables.
func (l *leader) syncEvacuations() {
	domains := map[string]bool{}
	for _, e := range l.s.machine.Evacuations() {
		if e.GetEvacuated() {
			domains[e.GetFailureDomain()] = true
		}
	}
	if l.fleet.SetEvacuated(domains) {
		l.logger.Info().Str("event", "evacuation").Strs("failure_domains", slices.Sorted(maps.Keys(domains))).
			Msg("the evacuated failure domains changed")
	}
}
