package coordinator

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

const (
	// probeInterval is the time between two questions to a holder that failed.
	probeInterval = 200 * time.Millisecond
	// giveTime is how long an order may wait at its holder before it is given.
	giveTime = 100 * time.Millisecond
	// dropAfter is how long an engine has not been listed when its holder is
	// forgotten. An engine may come back under its name.
	dropAfter = time.Minute
	// holderTimeout bounds the answer of a holder. It is above the time that a
	// holder waits for its engine, so that an engine that does not answer is not
	// taken for a holder that has failed.
	holderTimeout = orderTimeout + 150*time.Millisecond
	// proposeTimeout bounds the record of new holders.
	proposeTimeout = 2 * time.Second
)

// Executor has orders given by another control host.
type Executor interface {
	Execute(context.Context, *apiv1.ExecuteRequest) (*apiv1.ExecuteResponse, error)
}

// holding is what the leader knows of the holders. The leader's mutex guards it.
type holding struct {
	byInstance map[string]*apiv1.EngineHolder
	hosts      map[string]*holderHost
	unlisted   map[string]time.Time
	proposing  bool
	// moving holds the engines for which another holder is being recorded. They
	// get no orders until that is known.
	moving map[string]bool
}

// holderHost is a control host as a holder.
type holderHost struct {
	// failing is since when it has not answered; zero while it answers.
	failing time.Time
	probing bool
	probed  time.Time
	// told is the end of the time in which it may give the last order that it was
	// told of.
	told time.Time
	// ahead is how much its clock is ahead of this host's.
	ahead    time.Duration
	hasClock bool
}

func newHolding() *holding {
	return &holding{
		byInstance: map[string]*apiv1.EngineHolder{}, hosts: map[string]*holderHost{}, unlisted: map[string]time.Time{},
		moving: map[string]bool{},
	}
}

func (h *holding) host(address string) *holderHost {
	hh := h.hosts[address]
	if hh == nil {
		hh = &holderHost{}
		h.hosts[address] = hh
	}
	return hh
}

// holderOf returns the holder of an engine and whether it may be given an order.
// The caller holds mu.
func (l *leader) holderOf(instance string) (*apiv1.EngineHolder, bool) {
	h := l.holding.byInstance[instance]
	return h, h != nil && !l.holding.moving[instance] && l.holding.host(h.GetHolder()).failing.IsZero()
}

// assignHolders gives each engine a holder, and another one to the engines of a
// holder that has failed. The caller holds mu.
func (l *leader) assignHolders(now time.Time) {
	if l.holding.proposing {
		return
	}
	clear(l.holding.byInstance)
	for _, h := range l.c.machine().Holders() {
		l.holding.byInstance[h.GetInstance()] = h
	}
	live := l.liveHosts(now)
	loads := map[string]int{}
	for _, h := range l.holding.byInstance {
		loads[h.GetHolder()]++
	}
	var changes []*apiv1.EngineHolder
	listed := map[string]bool{}
	for _, e := range l.table.Engines() {
		listed[e.Instance] = true
		h, ready := l.holderOf(e.Instance)
		l.table.SetOrderable(e.Instance, ready)
		if h != nil && !l.holding.moving[e.Instance] && !l.holderLost(h.GetHolder(), now) {
			continue
		}
		if next := pickHolder(live, loads, e.Domain); next != "" {
			loads[next]++
			changes = append(changes, &apiv1.EngineHolder{Instance: e.Instance, Holder: next})
		}
	}
	changes = append(changes, l.unlistedHolders(listed, now)...)
	if len(changes) == 0 {
		return
	}
	l.holding.proposing = true
	for _, h := range changes {
		l.holding.moving[h.GetInstance()] = true
	}
	l.background(func() { l.recordHolders(changes) })
}

// holderLost tells whether a holder has been told of no order for the pause between
// two holders, because it fails. A holder that answers before keeps its engines.
func (l *leader) holderLost(address string, now time.Time) bool {
	hh := l.holding.host(address)
	return !hh.failing.IsZero() && min(now.Sub(hh.failing), now.Sub(hh.told)) >= l.c.opts.OrderPause
}

// liveHost is a control host that may hold engines.
type liveHost struct{ address, domain string }

// liveHosts returns the voters that answer, and probes the holders that do not.
func (l *leader) liveHosts(now time.Time) []liveHost {
	status := l.c.opts.Log.Status()
	var live []liveHost
	known := map[string]bool{}
	for _, m := range status.Members {
		address := m.GetAddress()
		known[address] = true
		hh := l.holding.host(address)
		if silent := status.Silent[m.GetDiskId()]; silent > probeInterval*2 && hh.failing.IsZero() {
			hh.failing = now.Add(-silent)
		}
		if hh.failing.IsZero() && m.GetVoter() {
			live = append(live, liveHost{address, m.GetFailureDomain()})
		}
	}
	for address, hh := range l.holding.hosts {
		if !known[address] && hh.failing.IsZero() {
			// A host that is no member any more holds nothing.
			hh.failing = now
		}
		if !hh.failing.IsZero() && !hh.probing && now.Sub(hh.probed) >= probeInterval {
			hh.probing, hh.probed = true, now
			l.background(func() { l.probe(address) })
		}
	}
	for _, h := range live {
		if hh := l.holding.host(h.address); !hh.hasClock && !hh.probing && now.Sub(hh.probed) >= probeInterval {
			hh.probing, hh.probed = true, now
			l.background(func() { l.probe(h.address) })
		}
	}
	slices.SortFunc(live, func(a, b liveHost) int {
		if a.address < b.address {
			return -1
		}
		return 1
	})
	return live
}

// pickHolder returns the live host with the fewest engines, in the engine's
// failure domain if that costs no more than one engine.
func pickHolder(live []liveHost, loads map[string]int, domain string) string {
	best, least := "", 0
	for _, h := range live {
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

// unlistedHolders returns the removal of holders whose engines are gone.
func (l *leader) unlistedHolders(listed map[string]bool, now time.Time) []*apiv1.EngineHolder {
	var out []*apiv1.EngineHolder
	if !l.listed {
		return nil
	}
	for instance := range l.holding.byInstance {
		if listed[instance] {
			delete(l.holding.unlisted, instance)
			continue
		}
		since, ok := l.holding.unlisted[instance]
		if !ok {
			l.holding.unlisted[instance] = now
			continue
		}
		if now.Sub(since) >= dropAfter {
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
		Str("first_engine", changes[0].GetInstance()).Str("first_holder", changes[0].GetHolder()).Msg("engines have new holders")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding.proposing = false
	if err != nil {
		// The record may still come into force, so that the engines wait for the
		// next one.
		return
	}
	for _, h := range changes {
		delete(l.holding.moving, h.GetInstance())
	}
}

// execute has an order given by the engine's holder.
func (l *leader) execute(ctx context.Context, h *apiv1.EngineHolder, o residency.Order) residency.Outcome {
	if h.GetHolder() == l.c.opts.Self {
		l.mu.Lock()
		l.holding.host(h.GetHolder()).told = l.c.opts.Now().Add(orderTimeout)
		l.mu.Unlock()
		return l.c.give(ctx, o, h.GetFence())
	}
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	l.mu.Lock()
	hh := l.holding.host(h.GetHolder())
	ahead, hasClock := hh.ahead, hh.hasClock
	hh.told = l.c.opts.Now().Add(holderTimeout)
	l.mu.Unlock()
	if !hasClock {
		l.probe(h.GetHolder())
		return residency.Conflict
	}
	resp, err := l.call(ctx, h.GetHolder(), &apiv1.ExecuteRequest{
		Term: l.term, BeforeNs: l.c.opts.Now().Add(ahead + giveTime).UnixNano(), Fence: h.GetFence(),
		Instance: o.Instance, Address: o.Address, Unload: o.Unload, Model: o.Ref.Model, Adapter: o.Ref.Adapter,
		Version: o.Version, Expect: o.Expect,
	})
	switch {
	case err != nil:
		return residency.Unknown
	case !resp.GetGiven():
		return residency.Conflict
	}
	return residency.Outcome(resp.GetOutcome())
}

// probe asks a holder for its clock.
func (l *leader) probe(address string) {
	ctx, cancel := context.WithTimeout(l.ctx, holderTimeout)
	defer cancel()
	if address == l.c.opts.Self {
		l.heardHolder(address, &apiv1.ExecuteResponse{NowNs: l.c.opts.Now().UnixNano(), Copies: l.c.memory.all()}, nil)
		return
	}
	_, _ = l.call(ctx, address, &apiv1.ExecuteRequest{Term: l.term})
}

func (l *leader) call(ctx context.Context, address string, req *apiv1.ExecuteRequest) (*apiv1.ExecuteResponse, error) {
	resp, err := l.c.opts.Connect(address).Execute(ctx, req)
	l.heardHolder(address, resp, err)
	return resp, err
}

// heardHolder books the answer of a holder, or that there was none.
func (l *leader) heardHolder(address string, resp *apiv1.ExecuteResponse, err error) {
	now := l.c.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	hh := l.holding.host(address)
	hh.probing = false
	if err != nil {
		if hh.failing.IsZero() && l.ctx.Err() == nil {
			hh.failing = now
			l.log.Warn().Err(err).Str("event", "dependency_lost").Str("dependency", "engine_holder").Str("holder", address).
				Msg("holder does not answer, its engines get no orders")
		}
		return
	}
	if !hh.failing.IsZero() {
		l.log.Info().Str("event", "dependency_regained").Str("dependency", "engine_holder").Str("holder", address).
			Dur("failed", now.Sub(hh.failing)).Msg("holder answers")
	}
	hh.failing = time.Time{}
	hh.ahead, hh.hasClock = time.Unix(0, resp.GetNowNs()).Sub(now), true
	for _, c := range resp.GetCopies() {
		l.table.SetCached(c.GetInstance(), decodeRefs(c.GetAdapters()))
	}
}

// Execute gives an order that the leader has decided, unless it was held up on
// the way or a later leader stands.
func (c *Coordinator) Execute(ctx context.Context, req *apiv1.ExecuteRequest) (*apiv1.ExecuteResponse, error) {
	now := c.opts.Now()
	resp := &apiv1.ExecuteResponse{NowNs: now.UnixNano()}
	if req.GetBeforeNs() == 0 {
		resp.Copies = c.memory.all()
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
	resp.Outcome, resp.Given = uint32(c.give(ctx, o, req.GetFence())), true
	resp.NowNs = c.opts.Now().UnixNano()
	return resp, nil
}

// give sends an order to its engine.
func (c *Coordinator) give(ctx context.Context, o residency.Order, fence uint64) residency.Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome := c.opts.Engines.Order(ctx, o, fence)
	c.memory.note(o, outcome)
	return outcome
}
