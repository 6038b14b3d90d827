package residency

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request asks for an engine that holds an adapter.
type Request struct {
	Service string
	Ref     Ref
	// Avoid are instances that the host does not want now. Missing are those that
	// answered that they do not hold the adapter.
	Avoid, Missing []string
	PromptTokens   int
}

// Choice is the engine for a request. An empty Instance means that none can
// take the adapter, for Reason.
type Choice struct {
	Instance string
	Version  uint64
	ReadyIn  time.Duration
	// Load is true when the adapter has to be loaded first.
	Load   bool
	Reason string
}

const (
	// homeStep is what each step away from an adapter's home engines counts, in
	// time. It keeps an adapter where its copies and prefixes are unless the home
	// is busier than that; homeMost bounds it below the time of a cold load.
	homeStep = 40 * time.Millisecond
	homeMost = 200 * time.Millisecond
	// runningCost is what a request in flight adds to the wait, in time: a step
	// of the batch grows little with each.
	runningCost = 2 * time.Millisecond
)

// Acquire chooses the engine for an adapter: one that holds it, or the one where
// a load delays the request least.
func (t *Table) Acquire(r Request, now time.Time) Choice {
	t.noteMissing(r, now)
	engines := t.usable(r, now)
	if len(engines) == 0 {
		return Choice{Reason: "no_engine"}
	}
	if best, in := t.bestHolder(engines, r.Ref, now); best != nil {
		h := best.held[r.Ref]
		h.lastUse = now
		t.revive(best, h)
		best.pending += r.PromptTokens
		return Choice{Instance: best.Instance, Version: h.version, ReadyIn: in}
	}
	best := t.bestPlace(engines, r.Ref, now)
	if best == nil {
		return Choice{Reason: "no_place_" + t.commonRefusal(engines, r.Ref, now)}
	}
	// Until the hosts report it, the request counts as the engine's backlog.
	best.pending += r.PromptTokens
	return Choice{Instance: best.Instance, Version: t.newest[r.Ref], Load: true, ReadyIn: t.loadTime(best, r.Ref)}
}

// noteMissing corrects the table by what engines answered to requests.
func (t *Table) noteMissing(r Request, now time.Time) {
	for _, instance := range r.Missing {
		e := t.engines[instance]
		if e == nil || e.held[r.Ref] == nil {
			continue
		}
		h := e.held[r.Ref]
		if late := h.orderedAt.Add(3 * t.opts.ColdLoad); now.Before(late) {
			// The load takes longer than estimated.
			h.readyAt = maxTime(h.readyAt, minTime(late, now.Add(t.opts.ColdLoad/4)))
			t.touch(e)
			continue
		}
		t.drop(e, r.Ref, now)
	}
}

// usable returns the engines of the service that hold the adapter's model, the
// adapter's home first.
func (t *Table) usable(r Request, now time.Time) []*Engine {
	var out []*Engine
	for _, e := range t.Engines() {
		model := e.held[Ref{Model: r.Ref.Model}]
		if e.Service != r.Service || e.Draining || model == nil || model.readyAt.After(now) || slices.Contains(r.Avoid, e.Instance) {
			continue
		}
		out = append(out, e)
	}
	slices.SortStableFunc(out, func(a, b *Engine) int {
		x, y := homeRank(a.Instance, r.Ref), homeRank(b.Instance, r.Ref)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return out
}

// homeRank orders the engines for an adapter by rendezvous hashing: the order
// stays the same for the engines that remain when others come or go.
func homeRank(instance string, ref Ref) uint64 {
	return xxhash.Sum64String(instance + "\x00" + ref.String())
}

// backlog is the time that a new request waits at the engine, roughly.
func (t *Table) backlog(e *Engine) time.Duration {
	return time.Duration(float64(e.pending)/t.opts.TokensPerMS*float64(time.Millisecond)) + time.Duration(e.inFlight)*runningCost
}

func (t *Table) bestHolder(engines []*Engine, ref Ref, now time.Time) (*Engine, time.Duration) {
	var best *Engine
	var bestIn, bestCost time.Duration
	for _, e := range engines {
		h := e.held[ref]
		if h == nil || h.unloading || h.version < t.newest[ref] {
			continue
		}
		in := max(0, h.readyAt.Sub(now))
		if cost := in + t.backlog(e); best == nil || cost < bestCost {
			best, bestIn, bestCost = e, in, cost
		}
	}
	return best, bestIn
}

func (t *Table) bestPlace(engines []*Engine, ref Ref, now time.Time) *Engine {
	var best *Engine
	var bestCost time.Duration
	for i, e := range engines {
		if !t.mayLoad(e, ref, now) {
			continue
		}
		cost := t.loadTime(e, ref) + t.backlog(e) + min(time.Duration(i)*homeStep, homeMost)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// mayLoad tells whether the engine has or can make a place for the adapter.
func (t *Table) mayLoad(e *Engine, ref Ref, now time.Time) bool { return t.refusal(e, ref, now) == "" }

// refusal says why the engine cannot load the adapter now; empty when it can.
func (t *Table) refusal(e *Engine, ref Ref, now time.Time) string {
	if waits := t.BlockedReason(e.Instance, now); waits != "" && waits != "order_on_its_way" {
		return waits
	}
	if h := e.held[ref]; h != nil {
		// Another version of it is replaced in its place.
		if h.unloading {
			return "unloading"
		}
		return ""
	}
	switch {
	case t.transit(e, now) >= t.opts.Transit:
		return "engine_loads"
	case !slices.Contains(e.recent, ref) && t.coldLoads(now) >= max(t.opts.Parallel, len(t.engines)):
		return "store_loads"
	case t.free(e) <= 0 && t.victim(e, now) == (Ref{}):
		return "all_in_use"
	}
	return ""
}

// commonRefusal returns the reason that most engines have, for the log.
func (t *Table) commonRefusal(engines []*Engine, ref Ref, now time.Time) string {
	counts := map[string]int{}
	best := ""
	for _, e := range engines {
		why := t.refusal(e, ref, now)
		counts[why]++
		if counts[why] > counts[best] || best == "" {
			best = why
		}
	}
	return best
}

// transit counts the adapters on their way to the engine.
func (t *Table) transit(e *Engine, now time.Time) int {
	n := 0
	for ref, h := range e.held {
		if ref.Adapter != "" && h.readyAt.After(now) {
			n++
		}
	}
	return n
}

// coldLoads counts the adapters on their way from the weight store.
func (t *Table) coldLoads(now time.Time) int {
	n := 0
	for _, e := range t.engines {
		for _, h := range e.held {
			if h.cold && h.readyAt.After(now) {
				n++
			}
		}
	}
	return n
}

// free returns the places that nothing can claim.
func (t *Table) free(e *Engine) int {
	s := t.services[e.Service]
	if s == nil || s.Engine == nil {
		return 0
	}
	n := s.Engine.AdapterSlots
	memory := s.Engine.MemoryMB
	largest := 0.0
	for ref := range e.held {
		m, _ := s.Model(ref.Model)
		switch {
		case m == nil:
		case ref.Adapter == "":
			memory -= m.MB
			largest = max(largest, m.AdapterMB)
		default:
			n--
			memory -= m.AdapterMB
		}
	}
	if largest > 0 {
		n = min(n, int(memory/largest))
	}
	return n
}

// keepTime is how long an adapter stays after its last use or its load, so that
// the requests for which it was loaded reach it before hosts report them.
const keepTime = 400 * time.Millisecond

// victim returns the adapter to give up for another one, or nothing when all are
// in use: one that has retired for long enough, else the one that was not used
// for the longest time.
func (t *Table) victim(e *Engine, now time.Time) Ref {
	if ref := oldest(e, func(h *held) bool {
		return !h.retiredAt.IsZero() && now.Sub(h.retiredAt) >= retireTime && h.uses == 0
	}); ref != (Ref{}) {
		return ref
	}
	return oldest(e, func(h *held) bool { return t.idle(h, now) })
}

// idle tells whether nobody is known to use the copy or to wait for it.
func (t *Table) idle(h *held, now time.Time) bool {
	sure := h.confirmed || now.Sub(h.orderedAt) >= surelyLoaded
	return sure && h.uses == 0 && !h.unloading && !h.readyAt.After(now) && now.Sub(h.lastUse) >= keepTime
}

// surelyLoaded is how long after its order a copy is there, also when the store
// is slow.
const surelyLoaded = 2 * time.Second

// oldest returns the adapter that fits and was not used for the longest time.
func oldest(e *Engine, fits func(*held) bool) Ref {
	var victim Ref
	var at time.Time
	for ref, h := range e.held {
		if ref.Adapter == "" || h.unloading || !fits(h) {
			continue
		}
		if victim == (Ref{}) || h.lastUse.Before(at) || h.lastUse.Equal(at) && ref.Adapter < victim.Adapter {
			victim, at = ref, h.lastUse
		}
	}
	return victim
}

// loadTime estimates how long a load of the adapter takes at the engine.
func (t *Table) loadTime(e *Engine, ref Ref) time.Duration {
	if slices.Contains(e.recent, ref) {
		return t.opts.WarmLoad
	}
	return t.opts.ColdLoad
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
