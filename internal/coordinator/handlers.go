package coordinator

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// hostUse is the last report of one entry host.
type hostUse struct {
	heard time.Time
	loads map[string]*apiv1.HostLoad
}

// acquireWait bounds how long an answer to Acquire waits for the order.
const acquireWait = 400 * time.Millisecond

// Exchange takes the report of an entry host and returns what it lacks.
func (c *Coordinator) Exchange(_ context.Context, req *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error) {
	resp := &apiv1.ExchangeResponse{Leadership: c.Leadership()}
	l := c.leading()
	if l == nil {
		resp.Leadership.Leading = false
		return resp, nil
	}
	resp.Leadership.Term = l.term
	c.metrics.exchanges.Add(1)
	now := c.opts.Now()
	c.markCrashes(l, req, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followStateLocked(now)
	l.takeReport(req, now)
	l.addParts(req, resp, now)
	l.addState(req, resp)
	l.addFleet(req, resp, now)
	resp.Suspects = l.marks.Suspects(now)
	for _, q := range c.machine().Quarantined(time.Now().UnixMilli()) {
		resp.Quarantined = append(resp.Quarantined, &apiv1.Quarantined{
			Fingerprint: q.GetFingerprint(), RemainingMs: q.GetUntilUnixMs() - time.Now().UnixMilli(),
		})
	}
	return resp, nil
}

// markCrashes counts crash marks and quarantines what crashes engines again and
// again.
func (c *Coordinator) markCrashes(l *leader, req *apiv1.ExchangeRequest, now time.Time) {
	for _, m := range req.GetCrashes() {
		crashes, harmful := l.marks.Mark(m, now)
		c.log.Info().Str("event", "crash_mark").Hex("fingerprint", m.GetFingerprint()).Str("backend_server", m.GetBackendServer()).
			Uint32("crashes", crashes).Bool("quarantine", harmful).Msg("request was in flight at a crash")
		if !harmful {
			continue
		}
		cmd := &apiv1.Command{
			UnixMs: time.Now().UnixMilli(),
			Command: &apiv1.Command_PutQuarantine{PutQuarantine: &apiv1.PutQuarantine{
				Fingerprint: m.GetFingerprint(), UntilUnixMs: time.Now().Add(quarantineDuration).UnixMilli(),
			}},
		}
		l.mu.Lock()
		l.background(func() { l.recordQuarantine(cmd) })
		l.mu.Unlock()
	}
}

func (l *leader) recordQuarantine(cmd *apiv1.Command) {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	if _, err := l.c.opts.Log.Propose(ctx, cmd); err != nil {
		l.log.Warn().Err(err).Str("event", "quarantine_not_recorded").Msg("the next crash mark tries again")
	}
}

// takeReport books what the host has in flight and what was asked of it.
func (l *leader) takeReport(req *apiv1.ExchangeRequest, now time.Time) {
	use := &hostUse{heard: now, loads: map[string]*apiv1.HostLoad{}}
	changed := map[string]bool{}
	if old := l.hosts[req.GetHost()]; old != nil {
		for instance := range old.loads {
			changed[instance] = true
		}
	}
	for _, load := range req.GetLoads() {
		use.loads[load.GetInstance()] = load
		changed[load.GetInstance()] = true
	}
	l.hosts[req.GetHost()] = use
	for instance := range changed {
		l.table.SetUsage(instance, l.uses(instance), now)
	}
	for _, d := range req.GetDemand() {
		l.table.RecordArrivals(residency.Ref{Model: d.GetModel(), Adapter: d.GetAdapter()}, int(d.GetArrivals()), now)
	}
}

// uses sums what all hosts have in flight at an engine.
func (l *leader) uses(instance string) residency.EngineUsage {
	u := residency.EngineUsage{Adapters: map[residency.Ref]int{}}
	for _, h := range l.hosts {
		load := h.loads[instance]
		u.InFlight += int(load.GetInFlight())
		u.PendingTokens += int(load.GetPendingTokens())
		for _, a := range load.GetAdapters() {
			u.Adapters[residency.Ref{Model: a.GetModel(), Adapter: a.GetAdapter()}] += int(a.GetInFlight())
		}
	}
	return u
}

func (l *leader) expireHosts(now time.Time) {
	for name, h := range l.hosts {
		if now.Sub(h.heard) <= hostSilent {
			continue
		}
		delete(l.hosts, name)
		for instance := range h.loads {
			l.table.SetUsage(instance, l.uses(instance), now)
		}
		l.log.Info().Str("event", "dependency_lost").Str("dependency", "entry_host").Str("entry_host", name).
			Dur("silent", now.Sub(h.heard)).Msg("entry host is silent")
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

// addFleet adds the rows that changed and what other hosts have in flight.
func (l *leader) addFleet(req *apiv1.ExchangeRequest, resp *apiv1.ExchangeResponse, now time.Time) {
	resp.Hosts = uint32(len(l.hosts))
	if !l.listed {
		return
	}
	since := req.GetFleetEpoch()
	if req.GetTerm() != l.term || since == 0 {
		since, resp.FleetFull = 0, true
	}
	rows, removed := l.table.ChangedSince(since)
	resp.FleetEpoch, resp.Removed = l.table.Epoch(), removed
	for _, e := range rows {
		resp.Servers = append(resp.Servers, encodeServer(e, now))
	}
	own := l.hosts[req.GetHost()]
	for _, e := range l.table.Engines() {
		u, mine := l.uses(e.Instance), own.loads[e.Instance]
		others := &apiv1.HostLoad{
			Instance: e.Instance, InFlight: uint32(u.InFlight) - mine.GetInFlight(),
			PendingTokens: uint32(u.PendingTokens) - mine.GetPendingTokens(),
		}
		if others.InFlight > 0 {
			resp.Loads = append(resp.Loads, others)
		}
	}
}

func encodeServer(e *residency.Engine, now time.Time) *apiv1.FleetServer {
	out := &apiv1.FleetServer{
		Instance: e.Instance, Service: e.Service, Address: e.Address, FailureDomain: e.Domain,
		Slots: uint32(e.Slots), Draining: e.Draining,
	}
	for _, h := range e.Residents(now) {
		out.Held = append(out.Held, &apiv1.HeldAdapter{
			Model: h.Ref.Model, Adapter: h.Ref.Adapter, Version: h.Version, ReadyInMs: uint32(h.ReadyIn.Milliseconds()),
		})
	}
	return out
}

// Acquire finds an engine for an adapter and has it loaded there if need be.
func (c *Coordinator) Acquire(ctx context.Context, req *apiv1.AcquireRequest) (*apiv1.AcquireResponse, error) {
	resp := &apiv1.AcquireResponse{Leadership: c.Leadership()}
	l := c.leading()
	if l == nil {
		resp.Leadership.Leading = false
		return resp, nil
	}
	resp.Leadership.Term = l.term
	c.metrics.acquires.Add(1)
	r := residency.Request{
		Service: req.GetService(), Ref: residency.Ref{Model: req.GetModel(), Adapter: req.GetAdapter()},
		Avoid: req.GetAvoid(), Missing: req.GetMissing(), PromptTokens: int(req.GetPromptTokens()),
	}
	ctx, cancel := context.WithTimeout(ctx, acquireWait)
	defer cancel()
	l.acquire(ctx, r, resp)
	return resp, nil
}

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
		switch {
		case choice.Instance == "":
			resp.Reason, resp.RetryAfterMs = choice.Reason, uint32(noPlaceRetry.Milliseconds())
			return
		case !choice.Load:
			resp.Instance, resp.Version = choice.Instance, choice.Version
			resp.ReadyInMs = uint32(choice.ReadyIn.Milliseconds())
			return
		}
		select {
		case <-ctx.Done():
			l.mu.Lock()
			resp.Reason = "engine_waits_" + l.table.BlockedReason(choice.Instance, l.c.opts.Now())
			l.mu.Unlock()
			resp.RetryAfterMs = uint32(noPlaceRetry.Milliseconds())
			return
		case <-j.done:
			if !j.ok {
				r.Avoid = append(slices.Clone(r.Avoid), choice.Instance)
			}
		}
	}
	resp.Reason, resp.RetryAfterMs = "order_not_answered", uint32(noPlaceRetry.Milliseconds())
}

// noPlaceRetry is when a place is likely to be free: requests run for about half
// a second, and the weight store works off its queue meanwhile.
const noPlaceRetry = 700 * time.Millisecond

// Lend lends tokens to requests that wait at an entry host.
func (c *Coordinator) Lend(_ context.Context, req *apiv1.LendRequest) (*apiv1.LendResponse, error) {
	resp := &apiv1.LendResponse{Leadership: c.Leadership()}
	l := c.leading()
	if l == nil {
		resp.Leadership.Leading = false
		return resp, nil
	}
	wants := make([]quota.Demand, 0, len(req.GetWants()))
	for _, w := range req.GetWants() {
		wants = append(wants, quota.Demand{Team: w.GetTeam(), Waiting: w.GetWaiting()})
	}
	c.metrics.loans.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, loan := range l.divider.Grant(wants, c.opts.Now()) {
		resp.Loans = append(resp.Loans, &apiv1.TeamLoan{
			Team: loan.Team, Tokens: loan.Tokens, WaitMs: uint32(loan.Wait.Milliseconds()),
		})
	}
	return resp, nil
}

// Join takes the offer of a control host.
func (c *Coordinator) Join(_ context.Context, req *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	return c.opts.Log.Join(req), nil
}

// addParts books what the host tells of its parts of the rates and adds the new
// ones.
func (l *leader) addParts(req *apiv1.ExchangeRequest, resp *apiv1.ExchangeResponse, now time.Time) {
	uses := make([]quota.Usage, 0, len(req.GetUses()))
	for _, u := range req.GetUses() {
		uses = append(uses, quota.Usage{Team: u.GetTeam(), Asked: u.GetAsked(), Debt: u.GetDebt(), Fraction: u.GetFraction()})
	}
	for _, p := range l.divider.Report(req.GetHost(), uses, now) {
		resp.Parts = append(resp.Parts, &apiv1.TeamPart{
			Team: p.Team, TokensPerSecond: p.PerSecond, BurstTokens: p.Burst, Fraction: p.Fraction,
			ValidMs: uint32(p.Valid.Milliseconds()),
		})
	}
}
