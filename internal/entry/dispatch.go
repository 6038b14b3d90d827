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

// dispatch decides which waiting request starts on which backend server. The
// server's mutex guards it.
type dispatch struct {
	s        *Server
	cfg      *config.Snapshot
	table    *fleetTable
	models   *fairqueue.Queue[*work] // completions and repeatable service calls
	calls    *fairqueue.Queue[*work] // non-repeatable service calls
	tokens   tokenQueue
	planner  *routing.Planner
	prefixes *routing.PrefixIndex
	outliers *outlier.Detector
	rng      *rand.Rand
	inFlight map[string]*inFlight
	// ownAtReport is the number of own requests on an engine when its load came.
	ownAtReport map[string]int
	demand      map[string]*demand
	blocked     blockedGroups
	pace        pace
	// coldCost is the cost of the queued requests that wait for a load.
	coldCost uint64
	// hot is the number of queued requests that wait for a free engine only.
	hot int
	// missing holds engines that answered that they lack a model which the
	// fleet table lists.
	missing map[missingKey]time.Time
	// cooling holds engines that refused a request as overloaded.
	cooling map[string]time.Time
	buffer  []routing.Candidate
	ticks   uint64
}

type missingKey struct{ server, model string }

// missingTime is how long an engine's answer that it lacks a model outweighs
// the fleet table. It covers several scrapes and reports.
const missingTime = 2 * time.Second

// coolingTime is how long an engine that refused a request gets no other one. It
// is one report period, after which the engine's load is known again. Without it
// an engine that refuses everything looks like the least loaded one.
const coolingTime = 250 * time.Millisecond

func newDispatch(s *Server) *dispatch {
	d := &dispatch{
		s:        s,
		cfg:      s.opts.View.Config(),
		table:    &fleetTable{},
		models:   fairqueue.New[*work](fairqueue.Options{}),
		calls:    fairqueue.New[*work](fairqueue.Options{}),
		planner:  routing.NewPlanner(s.opts.Seed, routing.Options{}),
		prefixes: routing.NewPrefixIndex(routing.PrefixOptions{}),
		outliers: outlier.NewDetector(outlier.Defaults()),
		rng:      rand.New(rand.NewPCG(s.opts.Seed, 1)),
		inFlight: map[string]*inFlight{},

		ownAtReport: map[string]int{},

		demand:  map[string]*demand{},
		missing: map[missingKey]time.Time{},
		cooling: map[string]time.Time{},
	}
	d.tokens.init()
	d.blocked.init()
	return d
}

func (d *dispatch) configChanged(cfg *config.Snapshot, gone []string) {
	d.cfg = cfg
	for _, team := range cfg.Teams() {
		weight := max(team.GetWeight(), 1)
		d.models.SetWeight(team.GetName(), weight)
		d.calls.SetWeight(team.GetName(), weight)
	}
	for _, name := range gone {
		d.outliers.Forget(name)
	}
	d.blocked.clear()
}

func (d *dispatch) applyFleet(resp *apiv1.ReportResponse, received time.Time) {
	next, touched := d.table.apply(resp, received)
	if next == d.table {
		return
	}
	d.forgetRestarted(resp)
	d.table = next
	d.acknowledge()
	for _, model := range touched {
		d.blocked.unblock(model)
	}
	for _, st := range resp.GetEngines() {
		d.noteOwn(st.GetName())
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

// noteOwn keeps the host's own part of an engine's reported load, so that what
// is left is the part of other hosts.
func (d *dispatch) noteOwn(name string) {
	delete(d.ownAtReport, name)
	if load := d.inFlight[name]; load != nil && load.total > 0 {
		d.ownAtReport[name] = load.total
	}
}

// forgetRestarted drops the prefixes believed cached on engines that started
// anew.
func (d *dispatch) forgetRestarted(resp *apiv1.ReportResponse) {
	for _, st := range resp.GetEngines() {
		old, ok := d.table.engines.Get(st.GetName())
		if ok && old.status.GetStartId() != st.GetStartId() {
			d.prefixes.Forget(st.GetName())
		}
	}
}

// tick serves what depends on time only.
func (d *dispatch) tick(now time.Time) {
	d.ticks++
	d.tokens.poll(d, now)
	for _, q := range []*fairqueue.Queue[*work]{d.models, d.calls} {
		for _, item := range q.Expired(now) {
			d.expire(item.Value, now)
		}
	}
	if d.ticks%5 == 0 {
		// Ejections, stale loads and answers about missing adapters end by time.
		d.blocked.clear()
		for key, until := range d.missing {
			if !now.Before(until) {
				delete(d.missing, key)
			}
		}
		for name, until := range d.cooling {
			if !now.Before(until) {
				delete(d.cooling, name)
			}
		}
	}
	if now.Sub(d.table.received) > maxRunningAge {
		d.stopAdapters()
	}
	d.pump(now)
	d.pace.observe(now, d.hot > 0)
}

// stopAdapters cancels the requests that run on adapters. The control leader
// may evict an adapter from under a host that has been silent for this long.
func (d *dispatch) stopAdapters() {
	for _, load := range d.inFlight {
		for sh := range load.shares {
			if sh.w.ref != nil {
				sh.w.f.stop(fault.New(fault.KindStaleView,
					"this entry host lost contact with the control leader and cannot hold the adapter",
					"send the request again").After(time.Second))
			}
		}
	}
}

func (d *dispatch) expire(w *work, now time.Time) {
	waited := now.Sub(w.enqueued).Round(time.Millisecond)
	switch {
	case w.model != "" && !d.anyHolds(w):
		w.refuse(fault.Newf(fault.KindNoBackend, "send the request again",
			"no engine had %s ready within %s", w.model, waited).WithRun(fault.NotRun).After(time.Second))
	case w.model == "" && len(d.cfg.Pool(w.pool)) == 0:
		w.refuse(fault.Newf(fault.KindNoBackend, "add a backend server to the pool or send the request again",
			"pool %s has no backend server", w.pool).WithRun(fault.NotRun).After(time.Second))
	default:
		w.refuse(fault.Newf(fault.KindDeadline, "send the request again",
			"no backend server was free within %s", waited).WithRun(fault.NotRun).After(time.Second))
	}
}

// anyHolds reports whether an engine has the model ready, free or not.
func (d *dispatch) anyHolds(w *work) bool {
	if w.ref == nil {
		return slices.ContainsFunc(d.cfg.Pool(w.pool), func(b *apiv1.BackendServer) bool {
			return b.GetBaseModel() == w.baseModel && !b.GetLeaving()
		})
	}
	list, _ := d.table.ready.Get(w.model)
	return len(list) > 0
}

// pump starts the waiting requests that can start, in the order of the queues.
// It costs nothing when no request came and nothing changed for those that wait.
func (d *dispatch) pump(now time.Time) {
	if !d.blocked.changed {
		return
	}
	d.blocked.changed = false
	d.pumpQueue(d.calls, now)
	d.pumpQueue(d.models, now)
	d.pace.observe(now, d.hot > 0)
}

func (d *dispatch) pumpQueue(q *fairqueue.Queue[*work], now time.Time) {
	var chosen routing.Decision
	ready := func(item *fairqueue.Item[*work]) bool {
		if d.blocked.has(item.Group) {
			return false
		}
		var ok bool
		if chosen, ok = d.choose(item.Value, now); !ok {
			d.blocked.add(item.Group, item.Value.resource())
		}
		return ok
	}
	for {
		// The item that Pop returns is the one that ready was asked about last.
		item, ok := q.Pop(now, ready)
		if !ok {
			return
		}
		d.start(item.Value, chosen, now)
	}
}

// choose returns where the request may start now. The planner alone decides
// whether a candidate is full: with a second rule here, a request could leave
// the queue and then be refused.
func (d *dispatch) choose(w *work, now time.Time) (routing.Decision, bool) {
	request := routing.Request{Suspect: w.suspect, PromptTokens: int(w.promptTokens), FailureDomain: d.s.opts.FailureDomain}
	return d.planner.Choose(request, d.candidates(w, now, maxCandidates))
}

func (d *dispatch) start(w *work, decision routing.Decision, now time.Time) {
	load := d.loadOf(decision.Engine)
	sh := &share{server: decision.Engine, w: w, generation: load.generation, started: now}
	if row, ok := d.table.engines.Get(decision.Engine); ok {
		sh.startID = row.status.GetStartId()
	}
	load.add(sh)
	d.setWaiting(w, false)
	w.share, w.state = sh, workRunning
	w.reason, w.considered = decision.Reason, decision.Considered
	if w.prefix != nil {
		d.prefixes.Add(decision.Engine, w.prefix, now)
	}
	d.pace.served(w.cost)
	w.grant()
}

// giveBack returns a share. The caller pumps.
func (d *dispatch) giveBack(sh *share) {
	if sh == nil || sh.returned {
		return
	}
	sh.returned = true
	load := d.inFlight[sh.server]
	load.remove(sh)
	if load.total == 0 && load.generation == 0 {
		delete(d.inFlight, sh.server)
	}
	d.freed(sh.server)
}

// freed unblocks the requests that wait for the backend server.
func (d *dispatch) freed(server string) {
	if d.blocked.empty() {
		return
	}
	b, _ := d.cfg.BackendServer(server)
	d.blocked.unblock(b.GetBaseModel())
	d.blocked.unblock("pool " + b.GetPool())
	if row, ok := d.table.engines.Get(server); ok {
		for _, slot := range row.status.GetSlots() {
			d.blocked.unblock(modelName(slot.GetRef()))
		}
	}
}
