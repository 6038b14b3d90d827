package coordinator

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

const (
	// probeInterval is the time between two probes of a failed holder.
	probeInterval = 200 * time.Millisecond
	// maxOrderDelay is how long after the leader's decision a holder may still send
	// an order.
	maxOrderDelay = 100 * time.Millisecond
	// unlistedRetention is how long the holder of an unlisted engine is retained,
	// since the engine may return under the same name.
	unlistedRetention = time.Minute
	// holderTimeout limits a call to a holder. It is longer than a holder waits for
	// its engine, so that a silent engine is not taken for a failed holder.
	holderTimeout = orderTimeout + 150*time.Millisecond
	// proposeTimeout limits a proposal to the replicated log.
	proposeTimeout = 2 * time.Second
)

// OrderSender sends orders through another control host.
type OrderSender interface {
	Execute(context.Context, *apiv1.ExecuteRequest) (*apiv1.ExecuteResponse, error)
}

// holderTable is what the leader knows of the holders. The leader's mutex guards it.
type holderTable struct {
	byInstance    map[string]*apiv1.EngineHolder
	hosts         map[string]*holderHost
	unlistedSince map[string]time.Time
	proposing     bool
	// reassigning contains the engines whose new holder is being recorded. They get
	// no orders until the record is committed.
	reassigning map[string]bool
}

// holderHost is the state of one control host that may be a holder.
type holderHost struct {
	// failingSince is the time since which it has not answered; zero while it does.
	failingSince time.Time
	probing      bool
	lastProbe    time.Time
	// lastOrderEnd is the time until which it may still send the last order that
	// was passed to it.
	lastOrderEnd time.Time
	// clockOffset is how far its clock is ahead of this host's.
	clockOffset time.Duration
	hasClock    bool
}

func newHolderTable() *holderTable {
	return &holderTable{
		byInstance: map[string]*apiv1.EngineHolder{}, hosts: map[string]*holderHost{}, unlistedSince: map[string]time.Time{},
		reassigning: map[string]bool{},
	}
}

func (t *holderTable) host(address string) *holderHost {
	hh := t.hosts[address]
	if hh == nil {
		hh = &holderHost{}
		t.hosts[address] = hh
	}
	return hh
}

// holderOf returns the holder of an engine and reports whether an order may be
// passed to it. The caller holds mu.
func (l *leader) holderOf(instance string) (*apiv1.EngineHolder, bool) {
	h := l.holders.byInstance[instance]
	return h, h != nil && !l.holders.reassigning[instance] && l.holders.host(h.GetHolder()).failingSince.IsZero()
}

// assignHolders gives a holder to each engine that has none or whose holder has
// failed. The caller holds mu.
func (l *leader) assignHolders(now time.Time) {
	if l.holders.proposing {
		return
	}
	clear(l.holders.byInstance)
	for _, h := range l.c.machine().Holders() {
		l.holders.byInstance[h.GetInstance()] = h
	}
	candidates := l.holderCandidates(now)
	loads := map[string]int{}
	for _, h := range l.holders.byInstance {
		loads[h.GetHolder()]++
	}
	var changes []*apiv1.EngineHolder
	listed := map[string]bool{}
	for _, e := range l.table.Engines() {
		listed[e.Instance] = true
		h, ready := l.holderOf(e.Instance)
		l.table.SetOrderable(e.Instance, ready)
		if h != nil && !l.holders.reassigning[e.Instance] && !l.canReplaceHolder(h.GetHolder(), now) {
			continue
		}
		if next := pickHolder(candidates, loads, e.Domain); next != "" {
			loads[next]++
			changes = append(changes, &apiv1.EngineHolder{Instance: e.Instance, Holder: next})
		}
	}
	changes = append(changes, l.holderRemovals(listed, now)...)
	if len(changes) == 0 {
		return
	}
	l.holders.proposing = true
	for _, h := range changes {
		l.holders.reassigning[h.GetInstance()] = true
	}
	l.background(func() { l.recordHolders(changes) })
}

// canReplaceHolder reports whether a holder has failed and no order has been
// passed to it for OrderPause. A holder that answers within that time keeps its
// engines.
func (l *leader) canReplaceHolder(address string, now time.Time) bool {
	hh := l.holders.host(address)
	return !hh.failingSince.IsZero() && min(now.Sub(hh.failingSince), now.Sub(hh.lastOrderEnd)) >= l.c.opts.OrderPause
}

// holderCandidate is a control host that may become a holder.
type holderCandidate struct{ address, domain string }

// holderCandidates returns the voters that answer, sorted by address. It probes the
// hosts that do not answer or whose clock is unknown.
func (l *leader) holderCandidates(now time.Time) []holderCandidate {
	status := l.c.opts.Log.Status()
	var candidates []holderCandidate
	known := map[string]bool{}
	for _, m := range status.Members {
		address := m.GetAddress()
		known[address] = true
		hh := l.holders.host(address)
		if silent := status.SinceResponse[m.GetDiskId()]; silent > probeInterval*2 && hh.failingSince.IsZero() {
			hh.failingSince = now.Add(-silent)
		}
		if hh.failingSince.IsZero() && m.GetVoter() {
			candidates = append(candidates, holderCandidate{address, m.GetFailureDomain()})
		}
	}
	for address, hh := range l.holders.hosts {
		if !known[address] && hh.failingSince.IsZero() {
			// A host that is no longer a member must not hold engines.
			hh.failingSince = now
		}
		if !hh.failingSince.IsZero() && !hh.probing && now.Sub(hh.lastProbe) >= probeInterval {
			hh.probing, hh.lastProbe = true, now
			l.background(func() { l.probe(address) })
		}
	}
	for _, h := range candidates {
		if hh := l.holders.host(h.address); !hh.hasClock && !hh.probing && now.Sub(hh.lastProbe) >= probeInterval {
			hh.probing, hh.lastProbe = true, now
			l.background(func() { l.probe(h.address) })
		}
	}
	slices.SortFunc(candidates, func(a, b holderCandidate) int {
		if a.address < b.address {
			return -1
		}
		return 1
	})
	return candidates
}

// pickHolder returns the candidate with the fewest engines. Among equals it prefers
// one in the engine's failure domain.
func pickHolder(candidates []holderCandidate, loads map[string]int, domain string) string {
	best, least := "", 0
	for _, h := range candidates {
		load := 2 * loads[h.address]
		if h.domain != domain {
			load++
		}
		if best == "" || load < least {
			best, least = h.address, load
		}
	}
	return best
}

// holderRemovals returns the entries that remove the holders of engines which have
// been unlisted for unlistedRetention.
func (l *leader) holderRemovals(listed map[string]bool, now time.Time) []*apiv1.EngineHolder {
	var out []*apiv1.EngineHolder
	if !l.listed {
		return nil
	}
	for instance := range l.holders.byInstance {
		if listed[instance] {
			delete(l.holders.unlistedSince, instance)
			continue
		}
		since, ok := l.holders.unlistedSince[instance]
		if !ok {
			l.holders.unlistedSince[instance] = now
			continue
		}
		if now.Sub(since) >= unlistedRetention {
			out = append(out, &apiv1.EngineHolder{Instance: instance})
		}
	}
	return out
}

func (l *leader) recordHolders(changes []*apiv1.EngineHolder) {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	cmd := &apiv1.Command{Command: &apiv1.Command_PutHolders{PutHolders: &apiv1.PutHolders{Holders: changes}}}
	_, err := l.c.opts.Log.Propose(ctx, cmd)
	l.log.Info().Err(err).Str("event", "holders_changed").Int("engines", len(changes)).
		Str("first_engine", changes[0].GetInstance()).Str("first_holder", changes[0].GetHolder()).Msg("new holders of engines proposed")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders.proposing = false
	if err != nil {
		// The record may still be committed later, so the engines get no orders until
		// the next record.
		return
	}
	for _, h := range changes {
		delete(l.holders.reassigning, h.GetInstance())
	}
}

// execute sends an order through the engine's holder.
func (l *leader) execute(ctx context.Context, h *apiv1.EngineHolder, o residency.Order) residency.Result {
	if h.GetHolder() == l.c.opts.Self {
		l.mu.Lock()
		l.holders.host(h.GetHolder()).lastOrderEnd = l.c.opts.Now().Add(orderTimeout)
		l.mu.Unlock()
		return l.c.send(ctx, o, h.GetFence())
	}
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	l.mu.Lock()
	hh := l.holders.host(h.GetHolder())
	clockOffset, hasClock := hh.clockOffset, hh.hasClock
	hh.lastOrderEnd = l.c.opts.Now().Add(holderTimeout)
	l.mu.Unlock()
	if !hasClock {
		l.probe(h.GetHolder())
		return residency.Result{Outcome: residency.Conflict}
	}
	resp, err := l.call(ctx, h.GetHolder(), &apiv1.ExecuteRequest{
		Term: l.term, BeforeNs: l.c.opts.Now().Add(clockOffset + maxOrderDelay).UnixNano(), Fence: h.GetFence(),
		Instance: o.Instance, Address: o.Address, Unload: o.Unload, Model: o.Ref.Model, Adapter: o.Ref.Adapter,
		Version: o.Version, Expect: o.Expect,
	})
	switch {
	case err != nil:
		return residency.Result{Outcome: residency.Unknown}
	case !resp.GetGiven():
		return residency.Result{Outcome: residency.Conflict}
	}
	return residency.Result{
		Outcome: residency.Outcome(resp.GetOutcome()), Quiet: time.Duration(resp.GetQuietMs()) * time.Millisecond,
	}
}

// probe asks a holder for its clock.
func (l *leader) probe(address string) {
	ctx, cancel := context.WithTimeout(l.ctx, holderTimeout)
	defer cancel()
	if address == l.c.opts.Self {
		l.recordHolderResponse(address, &apiv1.ExecuteResponse{NowNs: l.c.opts.Now().UnixNano(), Copies: l.c.cacheHistory.encode()}, nil)
		return
	}
	_, _ = l.call(ctx, address, &apiv1.ExecuteRequest{Term: l.term})
}

func (l *leader) call(ctx context.Context, address string, req *apiv1.ExecuteRequest) (*apiv1.ExecuteResponse, error) {
	resp, err := l.c.opts.Connect(address).Execute(ctx, req)
	l.recordHolderResponse(address, resp, err)
	return resp, err
}

// recordHolderResponse applies the response of a holder, or records that it failed.
func (l *leader) recordHolderResponse(address string, resp *apiv1.ExecuteResponse, err error) {
	now := l.c.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	hh := l.holders.host(address)
	hh.probing = false
	if err != nil {
		if hh.failingSince.IsZero() && l.ctx.Err() == nil {
			hh.failingSince = now
			l.log.Warn().Err(err).Str("event", "dependency_lost").Str("dependency", "engine_holder").Str("holder", address).
				Msg("holder does not answer; its engines get no orders")
		}
		return
	}
	if !hh.failingSince.IsZero() {
		l.log.Info().Str("event", "dependency_regained").Str("dependency", "engine_holder").Str("holder", address).
			Dur("failed", now.Sub(hh.failingSince)).Msg("holder answers again")
	}
	hh.failingSince = time.Time{}
	hh.clockOffset, hh.hasClock = time.Unix(0, resp.GetNowNs()).Sub(now), true
	for _, c := range resp.GetCopies() {
		l.table.SetCached(c.GetInstance(), decodeRefs(c.GetAdapters()))
	}
}

// Execute sends an order that the leader has decided, unless the order arrived too
// late or this host knows of a later term.
func (c *Coordinator) Execute(ctx context.Context, req *apiv1.ExecuteRequest) (*apiv1.ExecuteResponse, error) {
	defer c.work.begin(ctx, dutyOrder)()
	now := c.opts.Now()
	resp := &apiv1.ExecuteResponse{NowNs: now.UnixNano()}
	if req.GetBeforeNs() == 0 {
		resp.Copies = c.cacheHistory.encode()
		return resp, nil
	}
	if now.UnixNano() >= req.GetBeforeNs() || req.GetTerm() < c.Leadership().GetTerm() {
		return resp, nil
	}
	o := residency.Order{
		Instance: req.GetInstance(), Address: req.GetAddress(), Unload: req.GetUnload(),
		Ref:     residency.Ref{Model: req.GetModel(), Adapter: req.GetAdapter()},
		Version: req.GetVersion(), Expect: req.GetExpect(),
	}
	result := c.send(ctx, o, req.GetFence())
	resp.Outcome, resp.Given, resp.QuietMs = uint32(result.Outcome), true, uint32(result.Quiet.Milliseconds())
	resp.NowNs = c.opts.Now().UnixNano()
	return resp, nil
}

// send sends an order to its engine and records what the engine then has cached. It sends nothing to an engine
// that wants nothing of this host.
func (c *Coordinator) send(ctx context.Context, o residency.Order, fence uint64) residency.Result {
	if left := c.quiet.left(o.Instance, c.opts.Now()); left > 0 {
		return residency.Result{Outcome: residency.Conflict, Quiet: left}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result := c.opts.Engines.Order(ctx, o, fence)
	c.quiet.record(o.Instance, result.Quiet, c.opts.Now())
	c.cacheHistory.record(o, result.Outcome)
	return result
}
