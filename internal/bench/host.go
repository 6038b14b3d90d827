package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fairqueue"
	"github.com/jasminesaddle/jasminesaddle/internal/placement"
	"github.com/jasminesaddle/jasminesaddle/internal/routing"
)

// queueBound bounds the queue of an entry host.
const queueBound = 2000

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

// host is a stand-in for an entry host: the product's queue, account and
// routing without HTTP.
type host struct {
	w        *world
	index    int
	lost     bool
	queue    *fairqueue.Queue[*request]
	rates    rates
	router   *routing.Planner
	prefixes *routing.PrefixIndex
	view     *view
	own      []int // in flight by engine
	others   []int // in flight from other hosts at the last report
	arrivals map[placement.Ref]arrivalCount
	lacking  []uint64 // queued tokens of each team that lack a reservation
	tokens   []uint64 // queued tokens by team
	buffer   []routing.Candidate
	nextRep  time.Time
	nextAsk  time.Time
}

func newHost(w *world, i int) *host {
	d := w.cfg.Deployment
	h := &host{
		w: w, index: i, view: w.control.view, own: make([]int, d.Engines), others: make([]int, d.Engines),
		queue:    fairqueue.New[*request](fairqueue.Options{MaxItems: queueBound, MaxTeamItems: queueBound / 2}),
		router:   routing.NewPlanner(w.cfg.Seed*31+uint64(i), routing.Options{}),
		prefixes: routing.NewPrefixIndex(routing.PrefixOptions{BlockBytes: 4 * blockTokens}),
		arrivals: map[placement.Ref]arrivalCount{},
		lacking:  make([]uint64, len(teamSizes)), tokens: make([]uint64, len(teamSizes)),
	}
	h.rates = newRates(w, i)
	for _, t := range w.teams {
		h.queue.SetWeight(t.GetName(), t.GetWeight())
	}
	phase := time.Duration(i) * reportEvery / time.Duration(d.Hosts)
	h.nextRep, h.nextAsk = epoch.Add(phase), epoch.Add(phase)
	return h
}

// accept queues a new request.
func (h *host) accept(r *request) {
	count := h.arrivals[r.ref]
	h.arrivals[r.ref] = arrivalCount{teamName(r.team), count.count + 1}
	item := fairqueue.Item[*request]{
		Team: teamName(r.team), Class: r.class, Group: r.ref.Adapter, Cost: r.tokens(),
		Enqueued: r.arrived, Deadline: r.arrived.Add(r.deadline()), Value: r,
	}
	if h.w.cfg.Policy.FirstCome {
		item.Team, item.Class = "", fairqueue.Interactive
	}
	if _, ok := h.queue.Push(item); !ok {
		h.w.refuse(r, refusedFull)
		return
	}
	h.tokens[r.team] += r.tokens()
}

// dispatch sends what is ready and refuses what has expired.
func (h *host) dispatch() {
	clear(h.lacking)
	for {
		var d routing.Decision
		item, ok := h.queue.Pop(h.w.now, func(it *fairqueue.Item[*request]) bool {
			return h.ready(it.Value, &d)
		})
		if !ok {
			break
		}
		h.send(item.Value, engineIndex(d.Engine))
	}
	for _, item := range h.queue.Expired(h.w.now) {
		r := item.Value
		h.tokens[r.team] -= r.tokens()
		why := refusedDeadline
		if h.lacking[r.team] > 0 && len(h.view.ready[r.ref]) > 0 {
			why = refusedRate
		}
		h.w.refuse(r, why)
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

// ready chooses an engine and reserves tokens.
func (h *host) ready(r *request, d *routing.Decision) bool {
	candidates := h.candidates(r)
	if len(candidates) == 0 {
		return false
	}
	var ok bool
	if h.w.cfg.Policy.LeastLoaded {
		*d, ok = leastLoaded(candidates)
	} else {
		*d, ok = h.router.Choose(routing.Request{PromptTokens: r.prompt, FailureDomain: domainName(h.index % h.w.cfg.Deployment.FailureDomains)}, candidates)
	}
	if !ok {
		return false
	}
	if !h.rates.reserve(r, h.w.now) {
		h.lacking[r.team] += r.tokens()
		return false
	}
	return true
}

func (h *host) candidates(r *request) []routing.Candidate {
	h.buffer = h.buffer[:0]
	for _, i := range h.view.ready[r.ref] {
		e := h.view.engines[i]
		if !e.healthy {
			continue
		}
		h.buffer = append(h.buffer, routing.Candidate{
			Engine: h.w.names[i], FailureDomain: domainName(i % h.w.cfg.Deployment.FailureDomains),
			Own: h.own[i], Others: h.others[i], Running: e.running, Queued: e.queued, MaxBatch: maxBatch,
			ReportAge: h.w.now.Sub(e.scraped), PrefixTokens: h.prefixes.Tokens(h.w.names[i], r.prefix, h.w.now),
		})
	}
	return h.buffer
}

func (h *host) send(r *request, engine int) {
	h.tokens[r.team] -= r.tokens()
	e := h.w.engines[engine]
	r.stall = h.w.stall(r)
	h.w.reference.admit(r, h.w.now)
	if !e.up(h.w.now) {
		h.rates.settle(r, 0, h.w.now)
		h.w.reference.settle(r, 0, h.w.now)
		r.outcome = failed
		return
	}
	r.engine, r.outcome, r.started = engine, running, h.w.now
	h.own[engine]++
	h.prefixes.Add(h.w.names[engine], r.prefix, h.w.now)
	e.submit(r, h.w.now)
}

func (h *host) finished(r *request) {
	h.own[r.engine]--
	h.rates.settle(r, r.used(), h.w.now)
	h.w.reference.settle(r, r.used(), h.w.now)
}

// waitingGroups lists the groups without a ready engine.
func (h *host) waitingGroups() []waitingGroup {
	var out []waitingGroup
	for _, g := range h.queue.Groups() {
		ref := placement.Ref{Adapter: g.Group, Version: "1"}
		if len(h.view.ready[ref]) == 0 && h.lacking[teamIndex(h.w.teamOf(ref))] == 0 {
			out = append(out, waitingGroup{ref, h.w.teamOf(ref), g.Waiting, g.Oldest})
		}
	}
	slices.SortFunc(out, func(a, b waitingGroup) int { return cmp.Compare(a.ref.Adapter, b.ref.Adapter) })
	return out
}

// step runs the host's systems for one tick.
func (h *host) step() {
	if h.lost {
		return
	}
	if !h.w.now.Before(h.nextRep) {
		h.nextRep = h.nextRep.Add(reportEvery)
		h.view = h.w.control.report(h.index, h)
		clear(h.arrivals)
		for i, e := range h.view.engines {
			h.others[i] = max(0, e.running+e.queued-h.own[i])
		}
	}
	h.borrow()
	h.dispatch()
}

// borrow asks the lender in each period, and sooner when requests lack tokens.
func (h *host) borrow() {
	urgent := false
	for t, lacking := range h.lacking {
		h.rates.want(t, lacking)
		urgent = urgent || lacking > 0
	}
	if !h.w.now.Before(h.nextAsk) || urgent && !h.w.now.Before(h.nextAsk.Add(urgentEvery-reportEvery)) {
		h.nextAsk = h.w.now.Add(reportEvery)
		h.rates.borrow(h.w.now)
	}
}

// urgentEvery is the least time between two Borrow calls.
const urgentEvery = 50 * time.Millisecond
