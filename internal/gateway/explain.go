package gateway

import (
	"context"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/balance"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/intake"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// PreviewAcquire returns the engine that the leader would choose for an adapter, and has nothing loaded.
type PreviewAcquire func(ctx context.Context, r residency.Request) (exchange.Acquired, error)

// Explain returns where a request of the team would go now, and why. It uses the checks and the choice of requests that are
// served; nothing is sent, and no tokens, turns or places are taken.
func (g *Gateway) Explain(ctx context.Context, r *Request, team string, preview PreviewAcquire) *apiv1.ExplainResponse {
	v, now := g.opts.Fleet.View(), g.opts.Now()
	ar, err := g.admitNamed(r, v, team, now)
	out := &apiv1.ExplainResponse{EntryHost: g.opts.Host, ViewAgeMs: milliseconds(ar.viewAge)}
	out.Revision = ar.revision
	if ar.route != nil {
		out.Route, out.ObjectiveMs, out.Priority = ar.route.Name, milliseconds(ar.objective()), uint32(ar.priority())
	}
	if err == nil {
		err = ar.explainTokens(out, now)
	}
	if err != nil {
		out.Refusal = explainRefusal(err)
		return out
	}
	for _, s := range ar.route.Split {
		service, _ := g.admitNamed(r, v, team, now)
		out.Services = append(out.Services, service.explainService(ctx, v, s.Service, s.Weight, preview))
	}
	return out
}

// admitNamed is admit for a caller that is given by the name of its team. It leaves r unchanged.
func (g *Gateway) admitNamed(r *Request, v *exchange.View, team string, now time.Time) (*activeRequest, error) {
	received := *r
	received.Received = now
	ar := newActiveRequest(g, &received, nil)
	ar.viewAge = v.Age(now)
	if err := ar.findRoute(v); err != nil {
		return ar, err
	}
	if ar.needsTeam(v) {
		var ok bool
		if ar.team, ok = v.Catalog.Team(team); !ok {
			return ar, fault.Newf(fault.KindUnauthorized, "name a team of the configuration", "there is no team %q", team).WithRun(fault.NotRun)
		}
	}
	return ar, ar.setDeadline(now)
}

// explainTokens adds what the request counts against its team's rate, and returns the refusal of one that would get no tokens
// in time.
func (ar *activeRequest) explainTokens(out *apiv1.ExplainResponse, now time.Time) error {
	if !ar.team.Limited() {
		return nil
	}
	out.Cost = ar.team.Cost(ar.r.Tokens())
	ok, wait := ar.g.opts.Rates.Available(ar.team.Name, out.Cost, now)
	if ok {
		return nil
	}
	out.TokenWaitMs = milliseconds(wait)
	if wait > ar.maxTokenWait() {
		ar.tokens = tokensNoneInTime
		return ar.noTokensError()
	}
	return nil
}

// explainService explains the choice between the servers of one service.
func (ar *activeRequest) explainService(ctx context.Context, v *exchange.View, name string, weight float64, preview PreviewAcquire) *apiv1.ExplainedService {
	now := ar.g.opts.Now()
	out := &apiv1.ExplainedService{Service: name, Weight: weight, MaxWaitMs: milliseconds(ar.maxWait(now))}
	err := ar.setService(v, name)
	if err == nil {
		err = ar.checkQuarantine(v, now)
	}
	if err == nil {
		err = ar.trialRefusal(v)
	}
	if err == nil {
		err = ar.explainChoice(ctx, v, now, out, preview)
	}
	if err != nil {
		out.Refusal = explainRefusal(err)
	}
	return out
}

// explainChoice adds the servers and the chosen one, or returns the refusal.
func (ar *activeRequest) explainChoice(ctx context.Context, v *exchange.View, now time.Time, out *apiv1.ExplainedService, preview PreviewAcquire) error {
	servers := ar.eligibleServers(v, now)
	candidates, closed := ar.candidates(v, servers, now, (*intake.Gate).Preview)
	request := ar.balanceRequest(servers, ar.maxWait(now))
	out.Servers = ar.explainServers(v, now, request, candidates, closed)
	d, eligible := balance.Choose(request, candidates, ar.g.opts.Balance), instances(servers)
	out.Instance, out.WaitMs = d.Instance, milliseconds(d.Wait)
	switch {
	case d.Instance != "" && !ar.shouldSpread(v, d, eligible, now):
		return nil
	case d.Instance == "" && !ar.shouldLoad(v, d, eligible, now):
		return ar.refusalError(v, d, eligible)
	}
	engine, err := preview(ctx, ar.acquireRequest(v, eligible))
	if err != nil && d.Instance != "" {
		return nil // spread sends the request on without an engine, too
	}
	if err != nil {
		return err
	}
	out.Instance, out.Load, out.WaitMs = engine.Instance, engine.Load, milliseconds(max(0, engine.ReadyAt.Sub(now)))
	return nil
}

// explainServers returns all servers of the service with their estimates, or why they are not considered.
func (ar *activeRequest) explainServers(v *exchange.View, now time.Time, request balance.Request, candidates []balance.Candidate, closed closedGates) []*apiv1.ExplainedServer {
	considered := make(map[string]*balance.Candidate, len(candidates))
	for i := range candidates {
		considered[candidates[i].Instance] = &candidates[i]
	}
	var out []*apiv1.ExplainedServer
	for _, s := range v.ByService[ar.service.Name] {
		e := &apiv1.ExplainedServer{Instance: s.Instance, FailureDomain: s.Domain, Excluded: ar.exclusion(v, s, now)}
		if state, ok := closed[s.Instance]; ok {
			e.Excluded = state.String()
		}
		if c := considered[s.Instance]; c != nil {
			wait, cost := balance.Estimate(request, c, ar.g.opts.Balance)
			e.Slots, e.InFlight, e.PendingTokens = uint32(c.Slots), uint32(max(0, c.InFlight)), uint32(max(0, c.PendingTokens))
			e.CachedTokens, e.Pace, e.WaitMs, e.CostMs = uint32(c.CachedTokens), c.Factor(), inMilliseconds(wait), inMilliseconds(cost)
		}
		out = append(out, e)
	}
	return out
}

func explainRefusal(err error) *apiv1.ExplainedRefusal {
	e, ok := fault.As(err)
	if !ok {
		return &apiv1.ExplainedRefusal{ErrorKind: string(fault.KindInternal), Message: err.Error()}
	}
	return &apiv1.ExplainedRefusal{ErrorKind: string(e.Kind), Message: e.Message, Remedy: e.Remedy, RetryAfterMs: milliseconds(e.RetryAfter)}
}

// milliseconds returns a duration for a message, at most an hour.
func milliseconds(d time.Duration) uint32 { return uint32(min(max(d, 0), time.Hour).Milliseconds()) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
