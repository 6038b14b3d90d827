package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fairqueue"
	"github.com/jasminesaddle/jasminesaddle/internal/placement"
	"github.com/jasminesaddle/jasminesaddle/internal/routing"
)

// maxQueued is the capacity of an entry host's queue, in requests.
const maxQueued = 2000

type arrivalCount struct {
	team  string
	count int
}

type waitingGroup struct {
	ref    placement.Ref
	team   string
	count  int
	oldest time.Time
}

// host simulates an entry host: the real queue, rate account and routing, without
// HTTP.
type host struct {
	sim            *simulation
	index          int
	lost           bool
	queue          *fairqueue.Queue[*request]
	rates          rates
	router         *routing.Planner
	prefixes       *routing.PrefixIndex
	view           *view
	ownInFlight    []int // requests of this host in flight, by engine
	othersInFlight []int // requests of other hosts in flight at the last report, by engine
	arrivals       map[placement.Ref]arrivalCount
	unmetDemand    []uint64 // queued tokens that could not be reserved, by team
	queuedTokens   []uint64 // queued tokens by team
	candidateBuf   []routing.Candidate
	nextReport     time.Time
	nextBorrow     time.Time
}

func newHost(sim *simulation, i int) *host {
	d := sim.cfg.Deployment
	h := &host{
		sim: sim, index: i, view: sim.control.view, ownInFlight: make([]int, d.Engines), othersInFlight: make([]int, d.Engines),
		queue:       fairqueue.New[*request](fairqueue.Options{MaxItems: maxQueued, MaxTeamItems: maxQueued / 2}),
		router:      routing.NewPlanner(sim.cfg.Seed*31+uint64(i), routing.Options{}),
		prefixes:    routing.NewPrefixIndex(routing.PrefixOptions{BlockBytes: 4 * blockTokens}),
		arrivals:    map[placement.Ref]arrivalCount{},
		unmetDemand: make([]uint64, len(teamSizes)), queuedTokens: make([]uint64, len(teamSizes)),
	}
	h.rates = newRates(sim, i)
	for _, t := range sim.teams {
		h.queue.SetWeight(t.GetName(), t.GetWeight())
	}
	phase := time.Duration(i) * reportInterval / time.Duration(d.Hosts)
	h.nextReport, h.nextBorrow = epoch.Add(phase), epoch.Add(phase)
	return h
}

// enqueue queues a new request, or refuses it when the queue is full.
func (h *host) enqueue(r *request) {
	count := h.arrivals[r.ref]
	h.arrivals[r.ref] = arrivalCount{teamName(r.team), count.count + 1}
	item := fairqueue.Item[*request]{
		Team: teamName(r.team), Class: r.class, Group: r.ref.Adapter, Cost: r.tokens(),
		Enqueued: r.arrived, Deadline: r.arrived.Add(r.deadline()), Value: r,
	}
	if h.sim.cfg.Policy.FirstCome {
		item.Team, item.Class = "", fairqueue.Interactive
	}
	if _, ok := h.queue.Push(item); !ok {
		h.sim.refuse(r, refusedFull)
		return
	}
	h.queuedTokens[r.team] += r.tokens()
}

// dispatch sends the queued requests that can run now and refuses those whose
// deadline has passed.
func (h *host) dispatch() {
	clear(h.unmetDemand)
	for {
		var d routing.Decision
		item, ok := h.queue.Pop(h.sim.now, func(it *fairqueue.Item[*request]) bool {
			return h.prepare(it.Value, &d)
		})
		if !ok {
			break
		}
		h.send(item.Value, engineIndex(d.Engine))
	}
	for _, item := range h.queue.RemoveExpired(h.sim.now) {
		r := item.Value
		h.queuedTokens[r.team] -= r.tokens()
		why := refusedDeadline
		if h.unmetDemand[r.team] > 0 && len(h.view.ready[r.ref]) > 0 {
			why = refusedRate
		}
		h.sim.refuse(r, why)
	}
}

func teamIndex(name string) int { return int(name[len(name)-1] - '0') }

func engineIndex(name string) int {
	n := 0
	for _, c := range name[len("engine-"):] {
		n = n*10 + int(c-'0')
	}
	return n
}

// prepare chooses an engine for the request and reserves its tokens. It reports
// whether both succeeded.
func (h *host) prepare(r *request, d *routing.Decision) bool {
	candidates := h.candidates(r)
	if len(candidates) == 0 {
		return false
	}
	var ok bool
	if h.sim.cfg.Policy.LeastLoaded {
		*d, ok = leastLoaded(candidates)
	} else {
		*d, ok = h.router.Choose(routing.Request{PromptTokens: r.prompt, FailureDomain: domainName(h.index % h.sim.cfg.Deployment.FailureDomains)}, candidates)
	}
	if !ok {
		return false
	}
	if !h.rates.reserve(r, h.sim.now) {
		h.unmetDemand[r.team] += r.tokens()
		return false
	}
	return true
}

func (h *host) candidates(r *request) []routing.Candidate {
	h.candidateBuf = h.candidateBuf[:0]
	for _, i := range h.view.ready[r.ref] {
		e := h.view.engines[i]
		if !e.healthy {
			continue
		}
		h.candidateBuf = append(h.candidateBuf, routing.Candidate{
			Engine: h.sim.engineNames[i], FailureDomain: domainName(i % h.sim.cfg.Deployment.FailureDomains),
			OwnInFlight: h.ownInFlight[i], OthersInFlight: h.othersInFlight[i], Running: e.running, Queued: e.queued, MaxBatch: maxBatch,
			ReportAge: h.sim.now.Sub(e.scraped), PrefixTokens: h.prefixes.CachedTokens(h.sim.engineNames[i], r.prefix, h.sim.now),
		})
	}
	return h.candidateBuf
}

func (h *host) send(r *request, engine int) {
	h.queuedTokens[r.team] -= r.tokens()
	e := h.sim.engines[engine]
	r.stall = h.sim.stall(r)
	h.sim.reference.admit(r, h.sim.now)
	if !e.up(h.sim.now) {
		h.rates.settle(r, 0, h.sim.now)
		h.sim.reference.settle(r, 0, h.sim.now)
		r.outcome = failed
		return
	}
	r.engine, r.outcome, r.started = engine, running, h.sim.now
	h.ownInFlight[engine]++
	h.prefixes.Add(h.sim.engineNames[engine], r.prefix, h.sim.now)
	e.submit(r, h.sim.now)
}

func (h *host) finished(r *request) {
	h.ownInFlight[r.engine]--
	h.rates.settle(r, r.used(), h.sim.now)
	h.sim.reference.settle(r, r.used(), h.sim.now)
}

// waitingGroups returns the queued groups whose adapter is not ready on any engine,
// except those of teams that lack tokens.
func (h *host) waitingGroups() []waitingGroup {
	var out []waitingGroup
	for _, g := range h.queue.Groups() {
		ref := placement.Ref{Adapter: g.Group, Version: "1"}
		if len(h.view.ready[ref]) == 0 && h.unmetDemand[teamIndex(h.sim.teamOf(ref))] == 0 {
			out = append(out, waitingGroup{ref, h.sim.teamOf(ref), g.Waiting, g.Oldest})
		}
	}
	slices.SortFunc(out, func(a, b waitingGroup) int { return cmp.Compare(a.ref.Adapter, b.ref.Adapter) })
	return out
}

// step simulates one tick.
func (h *host) step() {
	if h.lost {
		return
	}
	if !h.sim.now.Before(h.nextReport) {
		h.nextReport = h.nextReport.Add(reportInterval)
		h.view = h.sim.control.report(h.index, h)
		clear(h.arrivals)
		for i, e := range h.view.engines {
			h.othersInFlight[i] = max(0, e.running+e.queued-h.ownInFlight[i])
		}
	}
	h.borrow()
	h.dispatch()
}

// borrow calls the lender once per reportInterval, or after minBorrowInterval when
// queued requests lack tokens.
func (h *host) borrow() {
	urgent := false
	for t, tokens := range h.unmetDemand {
		h.rates.setDemand(t, tokens)
		urgent = urgent || tokens > 0
	}
	if !h.sim.now.Before(h.nextBorrow) || urgent && !h.sim.now.Before(h.nextBorrow.Add(minBorrowInterval-reportInterval)) {
		h.nextBorrow = h.sim.now.Add(reportInterval)
		h.rates.borrow(h.sim.now)
	}
}

// minBorrowInterval is the minimum time between two Borrow calls.
const minBorrowInterval = 50 * time.Millisecond
