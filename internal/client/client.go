// Package client calls the control hosts from other processes and fails over
// between them. Any control host serves, since those that do not lead forward
// to the leader.
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

// Endpoint holds the clients of one process.
type Endpoint struct {
	URL       string
	Config    apiv1connect.ConfigServiceClient
	Fleet     apiv1connect.FleetServiceClient
	Rate      apiv1connect.RateServiceClient
	Call      apiv1connect.CallServiceClient
	Operator  apiv1connect.OperatorServiceClient
	Consensus apiv1connect.ConsensusServiceClient
}

// NewEndpoint returns the clients of the process at the base URL.
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

// Control calls one of several control hosts. It stays with the one that
// answered last. It is safe for concurrent use.
type Control struct {
	endpoints []*Endpoint
	preferred atomic.Int64
	// tryTimeout bounds one try, so that a silent control host costs one try.
	tryTimeout time.Duration
}

// NewControl returns a client of the control hosts at the base URLs.
func NewControl(p *peer.Peer, urls []string, tryTimeout time.Duration) *Control {
	var endpoints []*Endpoint
	for _, u := range urls {
		endpoints = append(endpoints, NewEndpoint(p, u))
	}
	return NewControlOf(endpoints, tryTimeout)
}

// NewControlOf returns a client of the control hosts with these clients.
func NewControlOf(endpoints []*Endpoint, tryTimeout time.Duration) *Control {
	return &Control{endpoints: endpoints, tryTimeout: tryTimeout}
}

// Report sends a heartbeat of an entry host.
func (c *Control) Report(ctx context.Context, req *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	return try(ctx, c, func(ctx context.Context, e *Endpoint) (*apiv1.ReportResponse, error) {
		return e.Fleet.Report(ctx, req)
	})
}

// Borrow asks the lender for tokens.
func (c *Control) Borrow(ctx context.Context, req *apiv1.BorrowRequest) (*apiv1.BorrowResponse, error) {
	return try(ctx, c, func(ctx context.Context, e *Endpoint) (*apiv1.BorrowResponse, error) {
		return e.Rate.Borrow(ctx, req)
	})
}

// BeginCall records a non-repeatable call. A resend of the same request by the
// same owner gets the same answer, so that it may be tried on several hosts.
func (c *Control) BeginCall(ctx context.Context, req *apiv1.BeginCallRequest) (*apiv1.BeginCallResponse, error) {
	return try(ctx, c, func(ctx context.Context, e *Endpoint) (*apiv1.BeginCallResponse, error) {
		return e.Call.Begin(ctx, req)
	})
}

// FinishCall records the outcome of a non-repeatable call.
func (c *Control) FinishCall(ctx context.Context, req *apiv1.FinishCallRequest) (*apiv1.FinishCallResponse, error) {
	return try(ctx, c, func(ctx context.Context, e *Endpoint) (*apiv1.FinishCallResponse, error) {
		return e.Call.Finish(ctx, req)
	})
}

// Operator runs an operator's call on a control host that answers.
func Operator[Resp any](ctx context.Context, c *Control, fn func(context.Context, apiv1connect.OperatorServiceClient) (*Resp, error)) (*Resp, error) {
	return try(ctx, c, func(ctx context.Context, e *Endpoint) (*Resp, error) {
		return fn(ctx, e.Operator)
	})
}

// try calls the control hosts in turn, starting with the preferred one, until
// one gives an answer that another host could not better. The first failure
// that leaves the outcome open is returned rather than a later refusal, since
// the request may have been carried out.
func try[Resp any](ctx context.Context, c *Control, fn func(context.Context, *Endpoint) (*Resp, error)) (*Resp, error) {
	if len(c.endpoints) == 0 {
		return nil, fault.New(fault.KindInvalidSetting, "no control host is named", "set -control").At("control")
	}
	first := c.preferred.Load()
	var open, last error
	for i := range int64(len(c.endpoints)) {
		n := (first + i) % int64(len(c.endpoints))
		tryCtx, cancel := context.WithTimeout(ctx, c.tryTimeout)
		resp, err := fn(tryCtx, c.endpoints[n])
		cancel()
		if err == nil {
			c.preferred.Store(n)
			return resp, nil
		}
		last = peer.FromConnect(err)
		if !worthAnotherHost(last) {
			break
		}
		// The next call starts with another host. A silent host may use up the
		// whole time of this call, so that no other host is tried in it.
		c.preferred.CompareAndSwap(n, (n+1)%int64(len(c.endpoints)))
		if open == nil && fault.KindOf(last) != fault.KindNotLeader {
			open = last
		}
		if ctx.Err() != nil {
			break
		}
	}
	if open != nil {
		return nil, open
	}
	return nil, last
}

// worthAnotherHost tells whether another control host may answer. Other typed
// errors are the leader's own answer, and the same on each host.
func worthAnotherHost(err error) bool {
	if e, ok := fault.As(err); ok {
		switch e.Kind {
		case fault.KindNotLeader, fault.KindUnavailable, fault.KindOutcomeUnknown, fault.KindDeadline, fault.KindInternal:
			return true
		}
		return false
	}
	return true
}
