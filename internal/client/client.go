// Package client sends RPCs to the control hosts and fails over between them. Any
// control host accepts a request, since those that do not lead forward it to the
// leader.
package client

import (
	"context"
	"sync/atomic"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
)

// Endpoint holds the RPC clients for one process.
type Endpoint struct {
	URL       string
	Config    apiv1connect.ConfigServiceClient
	Fleet     apiv1connect.FleetServiceClient
	Rate      apiv1connect.RateServiceClient
	Call      apiv1connect.CallServiceClient
	Operator  apiv1connect.OperatorServiceClient
	Consensus apiv1connect.ConsensusServiceClient
}

// NewEndpoint returns the RPC clients for the process at the base URL.
func NewEndpoint(p *peer.Peer, url string) *Endpoint {
	hc, opts := p.HTTPClient(), p.ClientOptions()
	return &Endpoint{
		URL:       url,
		Config:    apiv1connect.NewConfigServiceClient(hc, url, opts...),
		Fleet:     apiv1connect.NewFleetServiceClient(hc, url, opts...),
		Rate:      apiv1connect.NewRateServiceClient(hc, url, opts...),
		Call:      apiv1connect.NewCallServiceClient(hc, url, opts...),
		Operator:  apiv1connect.NewOperatorServiceClient(hc, url, opts...),
		Consensus: apiv1connect.NewConsensusServiceClient(hc, url, opts...),
	}
}

// Control is a client of several control hosts. It prefers the one that answered
// lastErr. It is safe for concurrent use.
type Control struct {
	endpoints []*Endpoint
	preferred atomic.Int64
	// attemptTimeout limits one attempt, so that a silent control host delays a
	// request by no more.
	attemptTimeout time.Duration
}

// NewControl returns a client of the control hosts at the base URLs.
func NewControl(p *peer.Peer, urls []string, attemptTimeout time.Duration) *Control {
	var endpoints []*Endpoint
	for _, u := range urls {
		endpoints = append(endpoints, NewEndpoint(p, u))
	}
	return NewControlFromEndpoints(endpoints, attemptTimeout)
}

// NewControlFromEndpoints returns a client of the control hosts with the endpoints.
func NewControlFromEndpoints(endpoints []*Endpoint, attemptTimeout time.Duration) *Control {
	return &Control{endpoints: endpoints, attemptTimeout: attemptTimeout}
}

// Report sends a heartbeat of an entry host.
func (c *Control) Report(ctx context.Context, req *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	return failOver(ctx, c, func(ctx context.Context, e *Endpoint) (*apiv1.ReportResponse, error) {
		return e.Fleet.Report(ctx, req)
	})
}

// Borrow asks the lender for tokens.
func (c *Control) Borrow(ctx context.Context, req *apiv1.BorrowRequest) (*apiv1.BorrowResponse, error) {
	return failOver(ctx, c, func(ctx context.Context, e *Endpoint) (*apiv1.BorrowResponse, error) {
		return e.Rate.Borrow(ctx, req)
	})
}

// BeginCall records the start of a non-repeatable call. It is idempotent for a
// request and its owner, so that it may be retried at other hosts.
func (c *Control) BeginCall(ctx context.Context, req *apiv1.BeginCallRequest) (*apiv1.BeginCallResponse, error) {
	return failOver(ctx, c, func(ctx context.Context, e *Endpoint) (*apiv1.BeginCallResponse, error) {
		return e.Call.Begin(ctx, req)
	})
}

// FinishCall records the outcome of a non-repeatable call.
func (c *Control) FinishCall(ctx context.Context, req *apiv1.FinishCallRequest) (*apiv1.FinishCallResponse, error) {
	return failOver(ctx, c, func(ctx context.Context, e *Endpoint) (*apiv1.FinishCallResponse, error) {
		return e.Call.Finish(ctx, req)
	})
}

// Operator calls fn with the operator client of the control hosts in turn until
// one answers.
func Operator[Resp any](ctx context.Context, c *Control, fn func(context.Context, apiv1connect.OperatorServiceClient) (*Resp, error)) (*Resp, error) {
	return failOver(ctx, c, func(ctx context.Context, e *Endpoint) (*Resp, error) {
		return fn(ctx, e.Operator)
	})
}

// failOver calls the control hosts in turn, starting with the preferred one,
// until one gives a response that is final. A failure with an unknown outcome
// takes precedence over a later refusal, since the request may have been carried
// out.
func failOver[Resp any](ctx context.Context, c *Control, fn func(context.Context, *Endpoint) (*Resp, error)) (*Resp, error) {
	if len(c.endpoints) == 0 {
		return nil, fault.New(fault.KindInvalidSetting, "no control host is named", "set -control").At("control")
	}
	first := c.preferred.Load()
	var firstUnknown, lastErr error
	for i := range int64(len(c.endpoints)) {
		n := (first + i) % int64(len(c.endpoints))
		attemptCtx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
		resp, err := fn(attemptCtx, c.endpoints[n])
		cancel()
		if err == nil {
			c.preferred.Store(n)
			return resp, nil
		}
		lastErr = peer.FromConnect(err)
		if !mayRetryElsewhere(lastErr) {
			break
		}
		// The next request starts with another host: a silent host may use up the
		// whole time of this request, so that no other host is tried for it.
		c.preferred.CompareAndSwap(n, (n+1)%int64(len(c.endpoints)))
		if firstUnknown == nil && fault.KindOf(lastErr) != fault.KindNotLeader {
			firstUnknown = lastErr
		}
		if ctx.Err() != nil {
			break
		}
	}
	if firstUnknown != nil {
		return nil, firstUnknown
	}
	return nil, lastErr
}

// mayRetryElsewhere reports whether another control host may succeed after err.
// Typed errors of other kinds come from the leader and are the same at each host.
func mayRetryElsewhere(err error) bool {
	if e, ok := fault.As(err); ok {
		switch e.Kind {
		case fault.KindNotLeader, fault.KindUnavailable, fault.KindOutcomeUnknown, fault.KindDeadline, fault.KindInternal:
			return true
		}
		return false
	}
	return true
}
