package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request asks for an engine on which an adapter is resident.
type Request struct {
	Service string
	Ref     Ref
	// Avoid names the instances to exclude. Missing names the instances that reported
	// the adapter as not resident.
	Avoid, Missing []string
	PromptTokens   int
}

// Choice is the engine for a request. When Instance is empty, no engine can load
// the adapter, and Reason says why.
type Choice struct {
	Instance string
	Version  uint64
	ReadyIn  time.Duration
	// Load is true when the adapter must be loaded first.
	Load   bool
	Reason string
}

const (
	// preferenceStep is the cost, as time, of each rank in the adapter's preference order
	// of engines. It keeps an adapter where its cached weights and prompt prefixes
	// are, unless that engine is busier by more than the cost. maxPreferenceCost limits
	// the cost to less than the time of a cold load.
	preferenceStep    = 40 * time.Millisecond
	maxPreferenceCost = 200 * time.Millisecond
	// inFlightCost is the time that each request in flight adds to the wait. It is
	// small, because a batch step takes only a little longer with each request.
	inFlightCost = 2 * time.Millisecond
)

// Acquire chooses the engine for an adapter: one on which it is resident, or else
// the one where a load delays the request least.
func (t *Table) Acquire(r Request, now time.Time) Choice {
	t.applyMissing(r, now)
	choice := t.Preview(r, now)
	if choice.Instance == "" {
		return choice
	}
	e := t.engines[choice.Instance]
	if !choice.Load {
		res := e.residents[r.Ref]
		res.lastUse = now
		t.unretire(e, res)
	}
	// Count the request in the engine's backlog until the hosts report it.
	e.pendingTokens += r.PromptTokens
	return choice
}

// Preview returns what Acquire would choose for a request, and changes nothing.
func (t *Table) Preview(r Request, now time.Time) Choice {
	engines := t.usable(r, now)
	if len(engines) == 0 {
		return Choice{Reason: "no_engine"}
	}
	if best, in := t.bestWithResident(engines, r.Ref, now); best != nil {
		return Choice{Instance: best.Instance, Version: best.residents[r.Ref].version, ReadyIn: in}
	}
	// Counting the loads looks at all residents, so that it is done once for each request.
	loads := t.coldLoads(now)
	best := t.bestForLoadBeside(loads, engines, r.Ref, now)
	if best == nil {
		return Choice{Reason: "no_place_" + t.commonRefusal(loads, engines, r.Ref, now)}
	}
	return Choice{Instance: best.Instance, Version: t.newest[r.Ref], Load: true, ReadyIn: t.loadTime(best, r.Ref, t.coldLoadTimeBeside(loads, now))}
}

// applyMissing corrects the table for engines that rejected requests because the
// adapter is not resident. A load that nobody has confirmed takes longer than estimated; otherwise
// the engine's report decides.
func (t *Table) applyMissing(r Request, now time.Time) {
	for _, instance := range r.Missing {
		e := t.engines[instance]
		if e == nil || e.residents[r.Ref] == nil {
			continue
		}
		res := e.residents[r.Ref]
		if res.confirmed {
			t.doubt(e, res, now)
			continue
		}
		t.observeLate(e, res, now)
	}
}

// observeLate postpones the time at which a late load is expected.
func (t *Table) observeLate(e *Engine, res *resident, now time.Time) {
	if res.readyAt.After(now) {
		return
	}
	if res.cold {
		loads := (res.loadsAtOrder + t.coldLoads(now) + 1) / 2
		t.crowding.observeLate(now.Sub(res.orderedAt), loads, t.maxColdLoads(), t.opts.ColdLoad, now)
	}
	res.readyAt = now.Add(t.opts.ColdLoad / lateLoadDivisor)
	if now.Sub(res.orderedAt) >= overdueLoad {
		e.checkWanted = true
	}
	t.markChanged(e)
}

// overdueLoad is the time after a load's order from which requests that find it missing have the
// engine's report read.
const overdueLoad = time.Second

// usable returns the engines of the service that hold the adapter's model, in the
// adapter's order of preference.
func (t *Table) usable(r Request, now time.Time) []*Engine {
	var out []*Engine
	for _, e := range t.Engines() {
		model := e.residents[Ref{Model: r.Ref.Model}]
		if e.Service != r.Service || t.isClosed(e) || model == nil || model.readyAt.After(now) || slices.Contains(r.Avoid, e.Instance) {
			continue
		}
		out = append(out, e)
	}
	return t.byPreference(out, r.Ref)
}

// byPreference sorts the engines by their rendezvous hash for the adapter, the highest first.
func (t *Table) byPreference(engines []*Engine, ref Ref) []*Engine {
	type ranked struct {
		engine *Engine
		hash   uint64
	}
	list := make([]ranked, len(engines))
	name := "\x00" + ref.String()
	for i, e := range engines {
		list[i] = ranked{e, t.rendezvousHash(e.Instance, name)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), strings.Compare(a.engine.Instance, b.engine.Instance))
	})
	for i, r := range list {
		engines[i] = r.engine
	}
	return engines
}

// rendezvousHash returns the rendezvous hash of an engine for an adapter; the highest is
// preferred. The order of the remaining engines does not change when others join
// or leave.
func (t *Table) rendezvousHash(instance, name string) uint64 {
	t.examined++
	return xxhash.Sum64String(instance + name)
}

// backlog estimates the time that a new request waits at the engine. At an engine with a limit
// it waits for its turn.
func (t *Table) backlog(e *Engine) time.Duration {
	wait := t.queued(e)
	if e.limit > 0 {
		wait += time.Duration(float64(time.Second) / e.limit)
	}
	return wait
}

func (t *Table) queued(e *Engine) time.Duration {
	wait := time.Duration(float64(e.pendingTokens)/t.opts.TokensPerMS*float64(time.Millisecond)) + time.Duration(e.inFlight)*inFlightCost
	if e.pace > 0 {
		wait = time.Duration(float64(wait) * e.pace)
	}
	return wait + t.slowness(e)
}

// slowCost is the cost, as time, of an engine at which work takes twice as long as usual: it delays each request that its
// adapters bring.
const slowCost = 100 * time.Millisecond

// slowness returns the cost of the engine's pace.
func (t *Table) slowness(e *Engine) time.Duration {
	if e.pace <= 1 {
		return 0
	}
	return time.Duration((e.pace - 1) * float64(slowCost))
}

func (t *Table) bestWithResident(engines []*Engine, ref Ref, now time.Time) (*Engine, time.Duration) {
	var best *Engine
	var bestIn, bestCost time.Duration
	for _, e := range engines {
		res := e.residents[ref]
		if res == nil || res.unloading || res.doubted || res.version < t.newest[ref] {
			continue
		}
		in := max(0, res.readyAt.Sub(now))
		if cost := in + t.backlog(e); best == nil || cost < bestCost {
			best, bestIn, bestCost = e, in, cost
		}
	}
	return best, bestIn
}

func (t *Table) bestForLoad(engines []*Engine, ref Ref, now time.Time) *Engine {
	return t.bestForLoadBeside(t.coldLoads(now), engines, ref, now)
}

// bestForLoadBeside returns the best engine for a load beside those that are running.
func (t *Table) bestForLoadBeside(loads int, engines []*Engine, ref Ref, now time.Time) *Engine {
	var best *Engine
	var bestCost time.Duration
	storeBusy, cold := loads >= t.maxColdLoads(), t.coldLoadTimeBeside(loads, now)
	for i, e := range engines {
		cost := t.loadTime(e, ref, cold) + t.backlog(e) + min(time.Duration(i)*preferenceStep, maxPreferenceCost)
		if best != nil && cost >= bestCost || t.refusal(e, ref, storeBusy, now) != "" {
			continue
		}
		best, bestCost = e, cost
	}
	return best
}

// canLoad reports whether the engine can load the adapter, if need be after an
// unload that frees a slot.
func (t *Table) canLoad(e *Engine, ref Ref, now time.Time) bool {
	return t.refusal(e, ref, t.storeBusy(now), now) == ""
}

// storeBusy reports whether the weight store serves no further load at full speed.
func (t *Table) storeBusy(now time.Time) bool {
	return t.coldLoads(now) >= t.maxColdLoads()
}

// maxColdLoads returns the number of loads from the weight store that are ordered at once.
func (t *Table) maxColdLoads() int { return max(t.opts.MaxColdLoads, len(t.engines)) }

// refusal returns why the engine cannot load the adapter now, or "" if it can. storeBusy
// is passed in, because it costs as much as looking at all engines.
func (t *Table) refusal(e *Engine, ref Ref, storeBusy bool, now time.Time) string {
	if waits := t.BlockedReason(e.Instance, now); waits != "" && waits != "order_on_its_way" {
		return waits
	}
	if res := e.residents[ref]; res != nil {
		// A newer version replaces the resident one in the same slot.
		if res.unloading {
			return "unloading"
		}
		if res.doubted {
			return "doubted"
		}
		return ""
	}
	switch {
	case t.loadingCount(e, now) >= t.opts.MaxLoading:
		return "engine_loads"
	case storeBusy && !slices.Contains(e.cached, ref):
		return "store_loads"
	case t.freeSlots(e, now) <= 0 && t.victim(e, now) == (Ref{}):
		return "all_in_use"
	}
	return ""
}

// commonRefusal returns the most frequent reason for which the engines cannot load
// the adapter. It is logged.
func (t *Table) commonRefusal(loads int, engines []*Engine, ref Ref, now time.Time) string {
	counts := map[string]int{}
	best, storeBusy := "", loads >= t.maxColdLoads()
	for _, e := range engines {
		why := t.refusal(e, ref, storeBusy, now)
		counts[why]++
		if counts[why] > counts[best] || best == "" {
			best = why
		}
	}
	return best
}

// loadingCount returns the number of adapters that the engine is loading.
func (t *Table) loadingCount(e *Engine, now time.Time) int {
	n := 0
	for ref, res := range e.residents {
		t.examined++
		if ref.Adapter != "" && res.isLoading(now) {
			n++
		}
	}
	return n
}

// isLoading reports whether the engine may still be loading the resident.
func (res *resident) isLoading(now time.Time) bool { return res.readyAt.After(now) }

// coldLoads returns the number of adapters that are loading from the weight store.
func (t *Table) coldLoads(now time.Time) int {
	n := 0
	for _, e := range t.engines {
		for _, res := range e.residents {
			t.examined++
			if res.cold && res.isLoading(now) {
				n++
			}
		}
	}
	return n
}

// freeSlots returns the number of slots that are neither occupied nor reserved by a load,
// limited by the engine's free memory.
func (t *Table) freeSlots(e *Engine, now time.Time) int {
	s := t.services[e.Service]
	if s == nil || s.Engine == nil {
		return 0
	}
	n := s.Engine.AdapterSlots
	memory := s.Engine.MemoryMB
	largest := 0.0
	for ref := range e.residents {
		t.examined++
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
	return n - e.reservedSlots(now)
}

// minResidence is the time after its last use or load during which an adapter is not
// unloaded: requests for which it was loaded may arrive that hosts have not reported yet.
const minResidence = 400 * time.Millisecond

// victim returns the adapter to unload for another one, or an empty Ref when all are
// in use. It prefers an adapter that has been retired for long enough, and otherwise
// takes the least recently used one.
func (t *Table) victim(e *Engine, now time.Time) Ref {
	if ref := t.leastRecentlyUsed(e, func(res *resident) bool {
		return !res.retiredAt.IsZero() && res.confirmed && !res.doubted && now.Sub(res.retiredAt) >= minRetirement && res.inFlight == 0
	}); ref != (Ref{}) {
		return ref
	}
	return t.leastRecentlyUsed(e, func(res *resident) bool { return t.idle(res, now) })
}

// idle reports whether no request is known to use the adapter or to wait for it. An adapter that is still being
// loaded arrives even if it is unloaded, so that it must be confirmed.
func (t *Table) idle(res *resident, now time.Time) bool {
	return res.confirmed && !res.doubted && res.inFlight == 0 && !res.unloading && !res.readyAt.After(now) && now.Sub(res.lastUse) >= minResidence
}

// leastRecentlyUsed returns the least recently used adapter that eligible accepts.
func (t *Table) leastRecentlyUsed(e *Engine, eligible func(*resident) bool) Ref {
	var victim Ref
	var at time.Time
	for ref, res := range e.residents {
		t.examined++
		if ref.Adapter == "" || res.unloading || !eligible(res) {
			continue
		}
		if victim == (Ref{}) || res.lastUse.Before(at) || res.lastUse.Equal(at) && ref.Adapter < victim.Adapter {
			victim, at = ref, res.lastUse
		}
	}
	return victim
}

// loadTime estimates how long the engine takes to load the adapter, if a load from the weight store takes
// the time cold.
func (t *Table) loadTime(e *Engine, ref Ref, cold time.Duration) time.Duration {
	if slices.Contains(e.cached, ref) {
		return t.opts.WarmLoad
	}
	return cold
}

// coldLoadTime estimates how long a load from the weight store takes beside those that are running.
func (t *Table) coldLoadTime(now time.Time) time.Duration {
	return t.coldLoadTimeBeside(t.coldLoads(now), now)
}

func (t *Table) coldLoadTimeBeside(loads int, now time.Time) time.Duration {
	return t.crowding.loadTime(loads+1, t.maxColdLoads(), t.opts.ColdLoad, now)
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
