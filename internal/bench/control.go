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
	// At most storeLoadsPerSecond loads start per second. storeParallelLoads loads
	// run at full speed, and more share the total speed of that many. With more
	// than slowdownThreshold loads in flight, that speed falls in inverse proportion
	// to their number.
	storeLoadsPerSecond = 3
	storeParallelLoads  = 2
	slowdownThreshold   = 16
	// One in failOneIn loads fails, and one in damagedOneIn adapters can never be
	// loaded.
	failOneIn    = 50
	damagedOneIn = 500
	// silentAfter is the time after its last report when the leader stops waiting
	// for a host.
	silentAfter = 8500 * time.Millisecond
	// arrivalHalfLife is the half-life of the arrival counts.
	arrivalHalfLife = 40 * time.Second
)

// store simulates the weight store. Loads beyond its start rate queue, and running
// loads share its speed.
type store struct {
	starts   *bucket
	queue    []*load
	inFlight []*load
}

type load struct {
	engine    int
	ref       placement.Ref
	remaining time.Duration // time to finish at full speed
	started   time.Time
}

func newStore() *store { return &store{starts: newBucket(storeLoadsPerSecond, storeLoadsPerSecond)} }

// advance simulates one tick and returns the loads that finish in it.
func (s *store) advance(now time.Time) []*load {
	for len(s.queue) > 0 && s.starts.take(1, now) {
		s.inFlight = append(s.inFlight, s.queue[0])
		s.queue = s.queue[1:]
	}
	n := float64(len(s.inFlight))
	speed := min(1, storeParallelLoads/n) * min(1, slowdownThreshold/n)
	var done []*load
	s.inFlight = slices.DeleteFunc(s.inFlight, func(l *load) bool {
		l.remaining -= time.Duration(speed * float64(tick))
		if l.remaining <= 0 {
			done = append(done, l)
		}
		return l.remaining <= 0
	})
	return done
}

// engineView is the status of an engine as published to the hosts.
type engineView struct {
	healthy         bool
	running, queued int
	scraped         time.Time
}

// view is a published fleet state. It is immutable.
type view struct {
	version uint64
	engines []engineView
	ready   map[placement.Ref][]int
}

// planner is a placement policy.
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

// control simulates the control leader.
type control struct {
	sim           *simulation
	planner       planner
	rng           *rand.Rand
	store         *store
	engines       []placement.Engine
	health        []engineView
	drainVersions []map[placement.Ref]uint64
	demand        map[placement.Ref]*demand
	demandOrder   []placement.Ref // demand in order of first appearance
	failures      []placement.Failure
	starts        []time.Time
	version       uint64
	dirty         bool
	view          *view
	lastSeen      []time.Time // by host
	acked         []uint64    // by host
	loads         int
	drains        int
}

func newControl(sim *simulation, p planner) *control {
	d := sim.cfg.Deployment
	c := &control{
		sim: sim, planner: p, rng: rand.New(rand.NewPCG(sim.cfg.Seed, 11)), store: newStore(),
		demand: map[placement.Ref]*demand{}, health: make([]engineView, d.Engines),
		lastSeen: make([]time.Time, d.Hosts), acked: make([]uint64, d.Hosts),
	}
	for i := range d.Engines {
		c.engines = append(c.engines, placement.Engine{
			Name: engineName(i), FailureDomain: domainName(i % d.FailureDomains), Slots: d.Slots, Healthy: true,
		})
		c.drainVersions = append(c.drainVersions, map[placement.Ref]uint64{})
	}
	c.dirty = true
	c.publish()
	return c
}

func (c *control) demandOf(ref placement.Ref, team string) *demand {
	d := c.demand[ref]
	if d == nil {
		hosts := len(c.lastSeen)
		d = &demand{team: team, waiting: make([]int, hosts), oldest: make([]time.Time, hosts), decayed: c.sim.now}
		c.demand[ref] = d
		c.demandOrder = append(c.demandOrder, ref)
	}
	return d
}

// rate returns the arrivals per second, decayed to now.
func (d *demand) rate(now time.Time) float64 {
	d.arrivals *= math.Exp2(-float64(now.Sub(d.decayed)) / float64(arrivalHalfLife))
	d.decayed = now
	return d.arrivals * math.Ln2 / arrivalHalfLife.Seconds()
}

// report applies a host's report and returns the current view.
func (c *control) report(host int, h *host) *view {
	c.lastSeen[host] = c.sim.now
	c.acked[host] = h.view.version
	for _, d := range c.demand {
		d.waiting[host] = 0
	}
	for _, ref := range slices.SortedFunc(maps.Keys(h.arrivals), placement.Ref.Compare) {
		d := c.demandOf(ref, h.arrivals[ref].team)
		d.rate(c.sim.now)
		d.arrivals += float64(h.arrivals[ref].count)
	}
	for _, g := range h.waitingGroups() {
		d := c.demandOf(g.ref, g.team)
		d.waiting[host], d.oldest[host] = g.count, g.oldest
	}
	return c.view
}

func (c *control) scrape() {
	for i, e := range c.sim.engines {
		up := e.up(c.sim.now)
		if !up {
			c.engines[i].Residents = nil
			clear(c.drainVersions[i])
		}
		c.engines[i].Healthy = up
		c.health[i] = engineView{up, len(e.running), len(e.queue), c.sim.now}
	}
	c.dirty = true
}

// step advances the loads by one tick. If plan is set, it also unloads drained
// adapters, runs the planner and publishes the view.
func (c *control) step(plan bool) {
	for _, l := range c.store.advance(c.sim.now) {
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
	delete(c.drainVersions[engine], ref)
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
	if r == nil || r.State != placement.Loading || !r.Since.Equal(l.started) {
		return // the engine restarted
	}
	if damaged(l.ref) || c.rng.IntN(failOneIn) == 0 {
		c.remove(l.engine, l.ref)
		c.fail(l)
		return
	}
	name := c.engines[l.engine].Name
	c.failures = slices.DeleteFunc(c.failures, func(f placement.Failure) bool { return f.Ref == l.ref && f.Engine == name })
	r.State, r.Since, r.LastUsed = placement.Ready, c.sim.now, c.sim.now
	c.sim.recordReady(l.ref)
	c.dirty = true
}

func (c *control) fail(l *load) {
	name := c.engines[l.engine].Name
	for i := range c.failures {
		if f := &c.failures[i]; f.Ref == l.ref && f.Engine == name {
			f.At = c.sim.now
			f.Count++
			return
		}
	}
	c.failures = append(c.failures, placement.Failure{Ref: l.ref, Engine: name, At: c.sim.now, Count: 1})
}

// unloadDrained unloads each draining adapter that has no request in flight and
// whose drain every host has confirmed, except hosts that are silent.
func (c *control) unloadDrained() {
	for i := range c.engines {
		for ref, version := range c.drainVersions[i] {
			if c.confirmed(version) && c.sim.engines[i].inFlight[ref] == 0 {
				c.remove(i, ref)
			}
		}
	}
}

func (c *control) confirmed(version uint64) bool {
	for h, acked := range c.acked {
		if acked < version && c.sim.now.Sub(c.lastSeen[h]) < silentAfter {
			return false
		}
	}
	return true
}

func (c *control) snapshot() placement.Snapshot {
	now := c.sim.now
	s := placement.Snapshot{Now: now, Engines: c.engines, Failures: c.failures}
	for i := range c.engines {
		for j := range c.engines[i].Residents {
			r := &c.engines[i].Residents[j]
			if r.InFlight = c.sim.engines[i].inFlight[r.Ref]; r.InFlight > 0 {
				r.LastUsed = now
			}
		}
	}
	for _, ref := range c.demandOrder {
		d := c.demand[ref]
		pd := placement.Demand{Ref: ref, Team: d.team, Arrivals: d.rate(now)}
		for h, n := range d.waiting {
			if n > 0 && now.Sub(c.lastSeen[h]) < time.Second {
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
		e.Residents = append(e.Residents, placement.Resident{Ref: a.Ref, State: placement.Loading, Since: c.sim.now})
		c.store.queue = append(c.store.queue, &load{engine, a.Ref, loadTime, c.sim.now})
		c.starts = append(c.starts, c.sim.now)
		c.loads++
	case placement.Drain:
		r := c.resident(engine, a.Ref)
		r.State, r.Since = placement.Draining, c.sim.now
		c.drainVersions[engine][a.Ref] = c.version + 1
		c.drains++
	case placement.Undrain:
		r := c.resident(engine, a.Ref)
		r.State, r.Since = placement.Ready, c.sim.now
		delete(c.drainVersions[engine], a.Ref)
		c.sim.recordReady(a.Ref)
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
