package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// acquireWait limits how long Acquire waits for the outcome of an order.
const acquireWait = 400 * time.Millisecond

// Exchange applies the report of an entry host and returns what changed since its
// last one.
func (c *Coordinator) Exchange(ctx context.Context, req *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error) {
	defer c.work.begin(ctx, dutyExchange)()
	resp := &apiv1.ExchangeResponse{Leadership: c.Leadership()}
	l := c.currentLeader()
	if l == nil {
		resp.Leadership.Leading = false
		return resp, nil
	}
	resp.Leadership.Term = l.term
	c.metrics.exchanges.Add(1)
	now := c.opts.Now()
	c.recordCrashes(l, req, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncStateLocked(now)
	l.applyReport(req, now)
	l.exchangeLimits(req, resp, now)
	l.exchangeBrittle(req, resp, now)
	l.exchangePauses(req, resp, now)
	l.exchangeTrials(req, resp, now)
	l.exchangeCold(req, resp, now)
	l.exchangePaces(req, resp, now)
	resp.EvacuatedDomains = slices.Sorted(maps.Keys(l.evacuated))
	l.addAllocations(req, resp, now)
	l.addState(req, resp)
	l.addFleet(req, resp, now)
	l.addBuilds(resp)
	resp.Lost = l.lostHosts(req.GetKept(), now)
	if req.GetWantsHelpers() {
		resp.Helpers = l.helpers(req.GetHost(), req.GetFailureDomain())
	}
	resp.Suspects, resp.SuspectParts = l.marks.Repeated(now), l.parts.Suspects(now)
	for _, q := range c.machine().Quarantined(time.Now().UnixMilli()) {
		resp.Quarantined = append(resp.Quarantined, &apiv1.Quarantined{
			Fingerprint: q.GetFingerprint(), RemainingMs: q.GetUntilUnixMs() - time.Now().UnixMilli(),
		})
	}
	return resp, nil
}

// applyReport records what the host has in flight and the requests that arrived
// at it.
func (l *leader) applyReport(req *apiv1.ExchangeRequest, now time.Time) {
	l.setUsage(l.hosts.record(req.GetHost(), req.GetLoads(), now), now)
	l.recordHost(req)
	for _, s := range req.GetLeaving() {
		if l.table.SetLeaving(s.GetInstance(), s.GetStartUnixMs()) {
			l.log.Info().Str("event", "server_leaving").Str("server", s.GetInstance()).Str("entry_host", req.GetHost()).
				Msg("backend server has said that it leaves")
		}
	}
	for _, d := range req.GetDemand() {
		l.table.RecordArrivals(residency.Ref{Model: d.GetModel(), Adapter: d.GetAdapter()}, int(d.GetArrivals()), now)
	}
}

// setUsage updates the usage of the instances in the table.
func (l *leader) setUsage(instances map[string]bool, now time.Time) {
	for instance := range instances {
		l.table.SetUsage(instance, l.hosts.total(instance), now)
	}
}

// expireHosts removes entry hosts that have sent no report for hostTimeout.
func (l *leader) expireHosts(now time.Time) {
	for name, h := range l.hosts.reports {
		if now.Sub(h.lastSeen) <= hostTimeout {
			continue
		}
		l.setUsage(l.hosts.remove(name), now)
		delete(l.cutOff, name)
		l.log.Info().Str("event", "dependency_lost").Str("dependency", "entry_host").Str("entry_host", name).
			Dur("silent", now.Sub(h.lastSeen)).Msg("entry host is silent")
	}
}

// addState adds the catalog and the adapter versions that the host lacks.
func (l *leader) addState(req *apiv1.ExchangeRequest, resp *apiv1.ExchangeResponse) {
	if l.document != nil {
		resp.HasDocument = true
		if !req.GetHasDocument() || req.GetDocumentRevision() < l.document.GetRevision() {
			resp.Document = l.document
		}
	}
	since := req.GetVersionsEpoch()
	if req.GetTerm() != l.term {
		since = 0
	}
	resp.Versions, resp.VersionsEpoch = l.c.machine().VersionsSince(since)
}

// addFleet adds the engines that changed and what other hosts have in flight.
func (l *leader) addFleet(req *apiv1.ExchangeRequest, resp *apiv1.ExchangeResponse, now time.Time) {
	resp.Hosts = uint32(len(l.hosts.reports))
	if !l.listed {
		return
	}
	since := req.GetFleetEpoch()
	if req.GetTerm() != l.term || since == 0 {
		since, resp.FleetFull = 0, true
	}
	if req.GetTakesChanges() {
		l.changes.addTo(resp, since, l.table, now)
	} else {
		l.addServers(resp, since, now)
	}
	for _, e := range l.table.Engines() {
		u, ownLoad := l.hosts.total(e.Instance), l.hosts.load(req.GetHost(), e.Instance)
		others := &apiv1.HostLoad{
			Instance: e.Instance, InFlight: uint32(u.InFlight) - ownLoad.GetInFlight(),
			PendingTokens: uint32(u.PendingTokens) - ownLoad.GetPendingTokens(),
		}
		if others.InFlight > 0 {
			resp.Loads = append(resp.Loads, others)
		}
	}
}

// addServers adds the servers that changed, as a whole, for hosts of earlier releases.
func (l *leader) addServers(resp *apiv1.ExchangeResponse, since uint64, now time.Time) {
	engines, removed := l.table.ChangedSince(since)
	resp.FleetEpoch, resp.Removed = l.table.Epoch(), removed
	for _, e := range engines {
		resp.Servers = append(resp.Servers, encodeServer(e, now))
	}
}

func encodeServer(e *residency.Engine, now time.Time) *apiv1.FleetServer {
	out := &apiv1.FleetServer{
		Instance: e.Instance, Service: e.Service, Address: e.Address, FailureDomain: e.Domain,
		Slots: uint32(e.Slots), Draining: e.Draining, Build: e.Build,
		StartUnixMs: e.StartUnixMs(),
	}
	for _, r := range e.Residents(now) {
		out.Held = append(out.Held, encodeResident(r))
	}
	return out
}

func encodeResident(r residency.ResidentStatus) *apiv1.HeldAdapter {
	return &apiv1.HeldAdapter{
		Model: r.Ref.Model, Adapter: r.Ref.Adapter, Version: r.Version, ReadyInMs: uint32(r.ReadyIn.Milliseconds()),
	}
}

// Acquire finds an engine for an adapter and has the adapter loaded there if
// necessary.
func (c *Coordinator) Acquire(ctx context.Context, req *apiv1.AcquireRequest) (*apiv1.AcquireResponse, error) {
	defer c.work.begin(ctx, dutyAcquire)()
	resp := &apiv1.AcquireResponse{Leadership: c.Leadership()}
	l := c.currentLeader()
	if l == nil {
		resp.Leadership.Leading = false
		return resp, nil
	}
	resp.Leadership.Term = l.term
	c.metrics.acquires.Add(1)
	ctx, cancel := context.WithTimeout(ctx, acquireWait)
	defer cancel()
	l.acquire(ctx, decodeAcquire(req), resp)
	return resp, nil
}

// PreviewAcquire returns what Acquire would, and changes nothing.
func (c *Coordinator) PreviewAcquire(_ context.Context, req *apiv1.AcquireRequest) (*apiv1.AcquireResponse, error) {
	resp := &apiv1.AcquireResponse{Leadership: c.Leadership()}
	l := c.currentLeader()
	if l == nil {
		resp.Leadership.Leading = false
		return resp, nil
	}
	resp.Leadership.Term = l.term
	l.mu.Lock()
	defer l.mu.Unlock()
	setChoice(resp, l.table.Preview(decodeAcquire(req), c.opts.Now()))
	return resp, nil
}

func decodeAcquire(req *apiv1.AcquireRequest) residency.Request {
	return residency.Request{
		Service: req.GetService(), Ref: residency.Ref{Model: req.GetModel(), Adapter: req.GetAdapter()},
		Avoid: req.GetAvoid(), Missing: req.GetMissing(), PromptTokens: int(req.GetPromptTokens()),
	}
}

// setChoice fills in the response with an engine, or with the reason why there is none.
func setChoice(resp *apiv1.AcquireResponse, choice residency.Choice) {
	if choice.Instance == "" {
		resp.Reason, resp.RetryAfterMs = choice.Reason, uint32(noSlotRetryDelay.Milliseconds())
		return
	}
	resp.Instance, resp.Version, resp.ReadyInMs = choice.Instance, choice.Version, uint32(choice.ReadyIn.Milliseconds())
	resp.Load = choice.Load
}

// acquire fills in the response with an engine, or with the reason why there is
// none. After a failed load it tries another engine.
func (l *leader) acquire(ctx context.Context, r residency.Request, resp *apiv1.AcquireResponse) {
	for ctx.Err() == nil {
		now := l.c.opts.Now()
		l.mu.Lock()
		choice := l.table.Acquire(r, now)
		var j *job
		if choice.Load {
			j = l.startJob(jobKey{choice.Instance, r.Ref}, "demand")
		}
		l.mu.Unlock()
		if !choice.Load {
			setChoice(resp, choice)
			return
		}
		select {
		case <-ctx.Done():
			l.mu.Lock()
			resp.Reason = "engine_waits_" + l.table.BlockedReason(choice.Instance, l.c.opts.Now())
			l.mu.Unlock()
			resp.RetryAfterMs = uint32(noSlotRetryDelay.Milliseconds())
			return
		case <-j.done:
			if !j.resident {
				r.Avoid = append(slices.Clone(r.Avoid), choice.Instance)
			}
		}
	}
	resp.Reason, resp.RetryAfterMs = "order_not_answered", uint32(noSlotRetryDelay.Milliseconds())
}

// noSlotRetryDelay is the time after which an adapter slot is likely to be free:
// requests run for about half a second, and the weight store works off its queue
// in that time.
const noSlotRetryDelay = 700 * time.Millisecond

// Lend grants tokens to requests that wait at an entry host.
func (c *Coordinator) Lend(ctx context.Context, req *apiv1.LendRequest) (*apiv1.LendResponse, error) {
	defer c.work.begin(ctx, dutyGrant)()
	resp := &apiv1.LendResponse{Leadership: c.Leadership()}
	l := c.currentLeader()
	if l == nil {
		resp.Leadership.Leading = false
		return resp, nil
	}
	demands := make([]quota.Demand, 0, len(req.GetWants()))
	for _, w := range req.GetWants() {
		demands = append(demands, quota.Demand{Team: w.GetTeam(), Waiting: w.GetWaiting()})
	}
	c.metrics.grants.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, grant := range l.allocator.Grant(demands, c.opts.Now()) {
		resp.Loans = append(resp.Loans, &apiv1.TeamLoan{
			Team: grant.Team, Tokens: grant.Tokens, WaitMs: uint32(grant.Wait.Milliseconds()),
		})
	}
	return resp, nil
}

// Join handles the request of a control host to join the group.
func (c *Coordinator) Join(_ context.Context, req *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	return c.opts.Log.Join(req), nil
}

// addAllocations records the host's usage of the teams' rates and adds its new
// allocations.
func (l *leader) addAllocations(req *apiv1.ExchangeRequest, resp *apiv1.ExchangeResponse, now time.Time) {
	usage := make([]quota.Usage, 0, len(req.GetUses()))
	for _, u := range req.GetUses() {
		usage = append(usage, quota.Usage{Team: u.GetTeam(), Asked: u.GetAsked(), Debt: u.GetDebt(), Fraction: u.GetFraction()})
	}
	for _, a := range l.allocator.Report(req.GetHost(), usage, now) {
		resp.Parts = append(resp.Parts, &apiv1.TeamPart{
			Team: a.Team, TokensPerSecond: a.PerSecond, BurstTokens: a.Burst, Fraction: a.Fraction,
			ValidMs: uint32(a.Validity.Milliseconds()),
		})
	}
}
