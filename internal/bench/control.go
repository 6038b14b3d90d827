package bench

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/placement"
)

const (
	loadTime = 250 * time.Millisecond
	// storeStarts loads start per second and storeFull run at once at full speed;
	// beyond slowBeyond loads in flight each takes proportionally longer.
	storeStarts = 3
	storeFull   = 2
	slowBeyond  = 16
	// failOneIn loads fails; damagedOneIn adapters never load.
	failOneIn    = 50
	damagedOneIn = 500
	// silentAfter is when the leader stops waiting for a silent host.
	silentAfter = 8500 * time.Millisecond
	// arrivalHalfLife is how fast old demand is forgotten.
	arrivalHalfLife = 40 * time.Second
)

// store is the weight store: loads beyond its limits queue and share its speed.
type store struct {
	tokens   *bucket
	queue    []*load
	inFlight []*load
}

type load struct {
	engine int
	ref    placement.Ref
	left   time.Duration // at full speed
	begun  time.Time
}

func newStore() *store { return &store{tokens: newBucket(storeStarts, storeStarts)} }

// advance returns the loads that finish within one tick.
func (s *store) advance(now time.Time) []*load {
	for len(s.queue) > 0 && s.tokens.take(1, now) {
		s.inFlight = append(s.inFlight, s.queue[0])
		s.queue = s.queue[1:]
	}
	n := float64(len(s.inFlight))
	speed := min(1, storeFull/n) * min(1, slowBeyond/n)
	var done []*load
	s.inFlight = slices.DeleteFunc(s.inFlight, func(l *load) bool {
		l.left -= time.Duration(speed * float64(tick))
		if l.left <= 0 {
			done = append(done, l)
		}
		return l.left <= 0
	})
	return done
}

// engineView is what hosts learn of an engine.
type engineView struct {
	healthy         bool
	running, queued int
	scraped         time.Time
}

// view is a published fleet state. It is not changed after publication.
type view struct {
	version uint64
	engines []engineView
	ready   map[placement.Ref][]int
}

// planner is the part of placement that a policy replaces.
type planner interface {
	Plan(placement.Snapshot) []placement.Action
}

type demand struct {
	team     string
	arrivals float64
	decayed  time.Time
	waiting  []int // by host
	oldest   []time.Time
}

// control is a small stand-in for the control leader.
type control struct {
	w        *world
	planner  planner
	random   *rand.Rand
	store    *store
	engines  []placement.Engine
	health   []engineView
	drainVer []map[placement.Ref]uint64
	demand   map[placement.Ref]*demand
	order    []placement.Ref // demand in order of first appearance
	failures []placement.Failure
	starts   []time.Time
	version  uint64
	dirty    bool
	view     *view
	heard    []time.Time // by host
	acked    []uint64    // by host
	loads    int
	drains   int
}

func newControl(w *world, p planner) *control {
	d := w.cfg.Deployment
	c := &control{
		w: w, planner: p, random: rand.New(rand.NewPCG(w.cfg.Seed, 11)), store: newStore(),
		demand: map[placement.Ref]*demand{}, health: make([]engineView, d.Engines),
		heard: make([]time.Time, d.Hosts), acked: make([]uint64, d.Hosts),
	}
	for i := range d.Engines {
		c.engines = append(c.engines, placement.Engine{
			Name: engineName(i), FailureDomain: domainName(i % d.FailureDomains), Slots: d.Slots, Healthy: true,
		})
		c.drainVer = append(c.drainVer, map[placement.Ref]uint64{})
	}
	c.dirty = true
	c.publish()
	return c
}

func (c *control) demandOf(ref placement.Ref, team string) *demand {
	d := c.demand[ref]
	if d == nil {
		hosts := len(c.heard)
		d = &demand{team: team, waiting: make([]int, hosts), oldest: make([]time.Time, hosts), decayed: c.w.now}
		c.demand[ref] = d
		c.order = append(c.order, ref)
	}
	return d
}

// rate returns the arrivals per second, decayed to now.
func (d *demand) rate(now time.Time) float64 {
	d.arrivals *= math.Exp2(-float64(now.Sub(d.decayed)) / float64(arrivalHalfLife))
	d.decayed = now
	return d.arrivals * math.Ln2 / arrivalHalfLife.Seconds()
}

// report takes a host's report and returns the view.
func (c *control) report(host int, h *host) *view {
	c.heard[host] = c.w.now
	c.acked[host] = h.view.version
	for _, d := range c.demand {
		d.waiting[host] = 0
	}
	for _, ref := range slices.SortedFunc(maps.Keys(h.arrivals), placement.Ref.Compare) {
		d := c.demandOf(ref, h.arrivals[ref].team)
		d.rate(c.w.now)
		d.arrivals += float64(h.arrivals[ref].count)
	}
	for _, g := range h.waitingGroups() {
		d := c.demandOf(g.ref, g.team)
		d.waiting[host], d.oldest[host] = g.count, g.oldest
	}
	return c.view
}

func (c *control) scrape() {
	for i, e := range c.w.engines {
		up := e.up(c.w.now)
		if !up {
			c.engines[i].Residents = nil
			clear(c.drainVer[i])
		}
		c.engines[i].Healthy = up
		c.health[i] = engineView{up, len(e.running), len(e.queue), c.w.now}
	}
	c.dirty = true
}

// step advances loads, finishes drains and plans.
func (c *control) step(plan bool) {
	for _, l := range c.store.advance(c.w.now) {
		c.finishLoad(l)
	}
	if !plan {
		return
	}
	c.unloadDrained()
	for _, a := range c.planner.Plan(c.snapshot()) {
		c.apply(a)
	}
	c.publish()
}

func (c *control) resident(engine int, ref placement.Ref) *placement.Resident {
	for i := range c.engines[engine].Residents {
		if r := &c.engines[engine].Residents[i]; r.Ref == ref {
			return r
		}
	}
	return nil
}

func (c *control) remove(engine int, ref placement.Ref) {
	e := &c.engines[engine]
	e.Residents = slices.DeleteFunc(e.Residents, func(r placement.Resident) bool { return r.Ref == ref })
	delete(c.drainVer[engine], ref)
	c.dirty = true
}

func damaged(ref placement.Ref) bool {
	n := 0
	for _, b := range []byte(ref.Adapter) {
		n = n*31 + int(b)
	}
	return n%damagedOneIn == 0
}

func (c *control) finishLoad(l *load) {
	r := c.resident(l.engine, l.ref)
	if r == nil || r.State != placement.Loading || !r.Since.Equal(l.begun) {
		return // the engine restarted
	}
	if damaged(l.ref) || c.random.IntN(failOneIn) == 0 {
		c.remove(l.engine, l.ref)
		c.fail(l)
		return
	}
	name := c.engines[l.engine].Name
	c.failures = slices.DeleteFunc(c.failures, func(f placement.Failure) bool { return f.Ref == l.ref && f.Engine == name })
	r.State, r.Since, r.LastUsed = placement.Ready, c.w.now, c.w.now
	c.w.noteReady(l.ref)
	c.dirty = true
}

func (c *control) fail(l *load) {
	name := c.engines[l.engine].Name
	for i := range c.failures {
		if f := &c.failures[i]; f.Ref == l.ref && f.Engine == name {
			f.At = c.w.now
			f.Count++
			return
		}
	}
	c.failures = append(c.failures, placement.Failure{Ref: l.ref, Engine: name, At: c.w.now, Count: 1})
}

// unloadDrained unloads what is draining once every host that is not silent
// has confirmed the drain and nothing runs.
func (c *control) unloadDrained() {
	for i := range c.engines {
		for ref, version := range c.drainVer[i] {
			if c.confirmed(version) && c.w.engines[i].inFlight[ref] == 0 {
				c.remove(i, ref)
			}
		}
	}
}

func (c *control) confirmed(version uint64) bool {
	for h, acked := range c.acked {
		if acked < version && c.w.now.Sub(c.heard[h]) < silentAfter {
			return false
		}
	}
	return true
}

func (c *control) snapshot() placement.Snapshot {
	now := c.w.now
	s := placement.Snapshot{Now: now, Engines: c.engines, Failures: c.failures}
	for i := range c.engines {
		for j := range c.engines[i].Residents {
			r := &c.engines[i].Residents[j]
			if r.InFlight = c.w.engines[i].inFlight[r.Ref]; r.InFlight > 0 {
				r.LastUsed = now
			}
		}
	}
	for _, ref := range c.order {
		d := c.demand[ref]
		pd := placement.Demand{Ref: ref, Team: d.team, Arrivals: d.rate(now)}
		for h, n := range d.waiting {
			if n > 0 && now.Sub(c.heard[h]) < time.Second {
				pd.Waiting += n
				pd.OldestWait = max(pd.OldestWait, now.Sub(d.oldest[h]))
			}
		}
		s.Demand = append(s.Demand, pd)
	}
	c.starts = slices.DeleteFunc(c.starts, func(t time.Time) bool { return now.Sub(t) >= time.Second })
	s.LoadStarts = c.starts
	return s
}

func (c *control) apply(a placement.Action) {
	engine := slices.IndexFunc(c.engines, func(e placement.Engine) bool { return e.Name == a.Engine })
	e := &c.engines[engine]
	c.dirty = true
	switch a.Kind {
	case placement.Load:
		e.Residents = append(e.Residents, placement.Resident{Ref: a.Ref, State: placement.Loading, Since: c.w.now})
		c.store.queue = append(c.store.queue, &load{engine, a.Ref, loadTime, c.w.now})
		c.starts = append(c.starts, c.w.now)
		c.loads++
	case placement.Drain:
		r := c.resident(engine, a.Ref)
		r.State, r.Since = placement.Draining, c.w.now
		c.drainVer[engine][a.Ref] = c.version + 1
		c.drains++
	case placement.Undrain:
		r := c.resident(engine, a.Ref)
		r.State, r.Since = placement.Ready, c.w.now
		delete(c.drainVer[engine], a.Ref)
		c.w.noteReady(a.Ref)
	}
}

func (c *control) publish() {
	if !c.dirty {
		return
	}
	c.dirty = false
	c.version++
	v := &view{version: c.version, engines: slices.Clone(c.health), ready: map[placement.Ref][]int{}}
	for i := range c.engines {
		for _, r := range c.engines[i].Residents {
			if r.State == placement.Ready && c.engines[i].Healthy {
				v.ready[r.Ref] = append(v.ready[r.Ref], i)
			}
		}
	}
	c.view = v
}
