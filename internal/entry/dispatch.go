package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fairqueue"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/outlier"
	"github.com/jasminesaddle/jasminesaddle/internal/routing"
)

// dispatch decides which waiting request starts on which backend server. It is
// guarded by Server.mu, which comments here call the dispatch lock.
type dispatch struct {
	s        *Server
	cfg      *config.Snapshot
	table    *fleetTable
	models   *fairqueue.Queue[*admittedRequest] // completions and repeatable service calls
	calls    *fairqueue.Queue[*admittedRequest] // non-repeatable service calls
	tokens   tokenQueue
	planner  *routing.Planner
	prefixes *routing.PrefixIndex
	outliers *outlier.Detector
	rng      *rand.Rand
	inFlight map[string]*serverLoad
	// ownAtReport is the number of this host's requests in flight on an engine
	// when the engine's load was last received.
	ownAtReport map[string]int
	demand      map[string]*demand
	blocked     blockedGroups
	throughput  throughput
	// coldCost is the cost of the queued requests that wait for an adapter to
	// be loaded.
	coldCost uint64
	// warmCount is the number of queued requests that wait only for a free
	// backend server.
	warmCount int
	// missing holds the expiry of responses that an engine lacks a model which
	// the fleet table lists as ready there.
	missing map[missingKey]time.Time
	// cooldowns holds the end of the cooldown of engines that refused a request
	// as overloaded.
	cooldowns map[string]time.Time
	// evacuated holds the failure domains whose backend servers get nothing new.
	evacuated map[string]bool
	buffer    []routing.Candidate
	ticks     uint64
}

type missingKey struct{ server, model string }

// missingModelTTL is how long an engine's response that it lacks a model takes
// precedence over the fleet table. It covers several scrapes and reports.
const missingModelTTL = 2 * time.Second

// cooldown is how long an engine that refused a request as overloaded gets no
// other one. It is one report period, after which the engine's load is known
// again. Without it an engine that refuses everything looks least loaded.
const cooldown = 250 * time.Millisecond

func newDispatch(s *Server) *dispatch {
	d := &dispatch{
		s:        s,
		cfg:      s.opts.View.Config(),
		table:    &fleetTable{},
		models:   fairqueue.New[*admittedRequest](fairqueue.Options{}),
		calls:    fairqueue.New[*admittedRequest](fairqueue.Options{}),
		planner:  routing.NewPlanner(s.opts.Seed, routing.Options{}),
		prefixes: routing.NewPrefixIndex(routing.PrefixOptions{}),
		outliers: outlier.NewDetector(outlier.Defaults()),
		rng:      rand.New(rand.NewPCG(s.opts.Seed, 1)),
		inFlight: map[string]*serverLoad{},

		ownAtReport: map[string]int{},
		demand:      map[string]*demand{},
		missing:     map[missingKey]time.Time{},
		cooldowns:   map[string]time.Time{},
	}
	d.tokens.init()
	d.blocked.init()
	return d
}

func (d *dispatch) configChanged(cfg *config.Snapshot, removed []string) {
	d.cfg = cfg
	for _, team := range cfg.Teams() {
		weight := max(team.GetWeight(), 1)
		d.models.SetWeight(team.GetName(), weight)
		d.calls.SetWeight(team.GetName(), weight)
	}
	for _, name := range removed {
		d.outliers.Forget(name)
	}
	d.blocked.clear()
}

func (d *dispatch) applyFleet(resp *apiv1.ReportResponse, received time.Time) {
	next, changedModels := d.table.apply(resp, received)
	if next == d.table {
		return
	}
	d.forgetRestartedEngines(resp)
	d.table = next
	d.setEvacuated(resp.GetEvacuatedDomains())
	d.acknowledge()
	for _, model := range changedModels {
		d.blocked.unblock(model)
	}
	for _, st := range resp.GetEngines() {
		d.recordOwnLoad(st.GetName())
		b, _ := d.cfg.BackendServer(st.GetName())
		d.blocked.unblock(b.GetBaseModel())
		if n := st.GetRunning(); n > 0 {
			d.s.metrics.batchSum.Add(int64(n))
			d.s.metrics.batchSamples.Add(1)
		}
	}
	if resp.GetFull() {
		d.blocked.clear()
	}
}

// setEvacuated replaces the set of evacuated failure domains. Requests that wait for a server there are checked again.
func (d *dispatch) setEvacuated(domains []string) {
	if len(domains) == len(d.evacuated) && !slices.ContainsFunc(domains, func(name string) bool { return !d.evacuated[name] }) {
		return
	}
	d.evacuated = make(map[string]bool, len(domains))
	for _, name := range domains {
		d.evacuated[name] = true
	}
	d.blocked.clear()
}

// isClosed reports whether the backend server gets nothing new, because it leaves or its failure domain is evacuated.
func (d *dispatch) isClosed(b *apiv1.BackendServer) bool {
	return b.GetLeaving() || d.evacuated[b.GetFailureDomain()]
}

// recordOwnLoad records this host's requests in flight on an engine whose load
// was received. Subtracting them gives the load from other hosts.
func (d *dispatch) recordOwnLoad(name string) {
	delete(d.ownAtReport, name)
	if load := d.inFlight[name]; load != nil && load.total > 0 {
		d.ownAtReport[name] = load.total
	}
}

// forgetRestartedEngines removes the prefixes assumed to be cached on engines
// that have restarted.
func (d *dispatch) forgetRestartedEngines(resp *apiv1.ReportResponse) {
	for _, st := range resp.GetEngines() {
		old, ok := d.table.engines.Get(st.GetName())
		if ok && old.status.GetStartId() != st.GetStartId() {
			d.prefixes.Forget(st.GetName())
		}
	}
}

// tick does the periodic work.
func (d *dispatch) tick(now time.Time) {
	d.ticks++
	d.tokens.poll(d, now)
	for _, q := range []*fairqueue.Queue[*admittedRequest]{d.models, d.calls} {
		for _, item := range q.RemoveExpired(now) {
			d.expire(item.Value, now)
		}
	}
	if d.ticks%5 == 0 {
		// Ejections, stale loads, missing models and cooldowns end with time,
		// so that blocked groups are checked again.
		d.blocked.clear()
		for key, until := range d.missing {
			if !now.Before(until) {
				delete(d.missing, key)
			}
		}
		for name, until := range d.cooldowns {
			if !now.Before(until) {
				delete(d.cooldowns, name)
			}
		}
	}
	if now.Sub(d.table.received) > maxRunningAge {
		d.cancelAdapterRequests()
	}
	d.startReady(now)
	d.throughput.setWaiting(now, d.warmCount > 0)
}

// cancelAdapterRequests cancels the requests that run on adapters. After
// maxRunningAge without contact, the control leader may evict an adapter without
// the host's confirmation.
func (d *dispatch) cancelAdapterRequests() {
	for _, load := range d.inFlight {
		for assigned := range load.assignments {
			if assigned.request.ref != nil {
				assigned.request.running.cancelWith(fault.New(fault.KindStaleView,
					"this entry host lost contact with the control leader, and the adapter may be evicted",
					"send the request again").After(time.Second))
			}
		}
	}
}

func (d *dispatch) expire(ar *admittedRequest, now time.Time) {
	waited := now.Sub(ar.enqueued).Round(time.Millisecond)
	switch {
	case ar.model != "" && !d.anyReady(ar):
		ar.refuse(fault.Newf(fault.KindNoBackend, "send the request again",
			"no engine had %s ready within %s", ar.model, waited).WithRun(fault.NotRun).After(time.Second))
	case ar.model == "" && len(d.cfg.Pool(ar.pool)) == 0:
		ar.refuse(fault.Newf(fault.KindNoBackend, "add a backend server to the pool or send the request again",
			"pool %s has no backend server", ar.pool).WithRun(fault.NotRun).After(time.Second))
	default:
		ar.refuse(fault.Newf(fault.KindDeadline, "send the request again",
			"no backend server was free within %s", waited).WithRun(fault.NotRun).After(time.Second))
	}
}

// anyReady reports whether an engine has the model ready, free or not.
func (d *dispatch) anyReady(ar *admittedRequest) bool {
	if ar.ref == nil {
		return slices.ContainsFunc(d.cfg.Pool(ar.pool), func(b *apiv1.BackendServer) bool {
			return b.GetBaseModel() == ar.baseModel && !d.isClosed(b)
		})
	}
	list, _ := d.table.ready.Get(ar.model)
	return len(list) > 0
}

// startReady starts the waiting requests that can start, in the order of the
// queues. It returns at once when no request arrived and nothing changed for the
// waiting ones.
func (d *dispatch) startReady(now time.Time) {
	if !d.blocked.changed {
		return
	}
	d.blocked.changed = false
	d.startReadyFrom(d.calls, now)
	d.startReadyFrom(d.models, now)
	d.throughput.setWaiting(now, d.warmCount > 0)
}

func (d *dispatch) startReadyFrom(q *fairqueue.Queue[*admittedRequest], now time.Time) {
	var chosen routing.Decision
	ready := func(item *fairqueue.Item[*admittedRequest]) bool {
		if d.blocked.contains(item.Group) {
			return false
		}
		var ok bool
		if chosen, ok = d.choose(item.Value, now); !ok {
			d.blocked.add(item.Group, item.Value.resource())
		}
		return ok
	}
	for {
		// Pop returns the item of its last call of ready, so that chosen is the
		// decision for it.
		item, ok := q.Pop(now, ready)
		if !ok {
			return
		}
		d.start(item.Value, chosen, now)
	}
}

// choose returns the backend server on which the request may start now. Only the
// planner decides whether a candidate is full: with a second rule here, a request
// could leave the queue and then be refused.
func (d *dispatch) choose(ar *admittedRequest, now time.Time) (routing.Decision, bool) {
	request := routing.Request{Suspect: ar.suspect, PromptTokens: int(ar.promptTokens), FailureDomain: d.s.opts.FailureDomain}
	return d.planner.Choose(request, d.candidates(ar, now, maxCandidates))
}

func (d *dispatch) start(ar *admittedRequest, decision routing.Decision, now time.Time) {
	load := d.loadOf(decision.Engine)
	assigned := &assignment{server: decision.Engine, request: ar, generation: load.generation, started: now}
	if entry, ok := d.table.engines.Get(decision.Engine); ok {
		assigned.startID = entry.status.GetStartId()
	}
	load.add(assigned)
	d.setWaiting(ar, false)
	ar.assignment, ar.state = assigned, stateRunning
	ar.reason, ar.considered = decision.Reason, decision.Considered
	if ar.prefix != nil {
		d.prefixes.Add(decision.Engine, ar.prefix, now)
	}
	d.throughput.recordStart(ar.cost)
	ar.notify()
}

// release ends an assignment. The caller must call startReady.
func (d *dispatch) release(assigned *assignment) {
	if assigned == nil || assigned.released {
		return
	}
	assigned.released = true
	load := d.inFlight[assigned.server]
	load.remove(assigned)
	if load.total == 0 && load.generation == 0 {
		delete(d.inFlight, assigned.server)
	}
	d.unblockServer(assigned.server)
}

// unblockServer unblocks the groups that wait for the backend server.
func (d *dispatch) unblockServer(server string) {
	if d.blocked.empty() {
		return
	}
	b, _ := d.cfg.BackendServer(server)
	d.blocked.unblock(b.GetBaseModel())
	d.blocked.unblock("pool " + b.GetPool())
	if entry, ok := d.table.engines.Get(server); ok {
		for _, slot := range entry.status.GetSlots() {
			d.blocked.unblock(modelName(slot.GetRef()))
		}
	}
}
