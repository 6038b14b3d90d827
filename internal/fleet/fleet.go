// Package fleet holds the control leader's volatile tables of entry hosts,
// engines, residency and demand, and decides when an order is safe to send.
//
// Invariants:
//   - A slot is unloaded only after each live host confirmed the fleet version
//     in which it is draining and reported nothing in flight there.
//   - A host that is silent for SilenceBound has no request running on an
//     engine, because it cancels them when its own fleet table is 8 s old.
//   - No slot is unloaded in the first SilenceBound of a term, since a host
//     that the new leader has not heard of may still run requests.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/config"
)

const (
	// SilenceBound is the time after which a silent host runs nothing on
	// engines: the hosts' own bound of 8 s and 0.5 s for drifting clocks.
	SilenceBound = 8500 * time.Millisecond
	// LiveBound is the time after which a silent host is shown as not live.
	LiveBound = 3 * time.Second
	// forgetHostAfter bounds the host table when hosts are replaced under new names.
	forgetHostAfter = 10 * time.Minute
	// unhealthyAfter is the number of failed scrapes in a row that make an engine unhealthy.
	unhealthyAfter = 2
	// demandHalfLife is the half-life of the decayed arrival rate. With 10 s,
	// adapters that are asked for twice a minute looked idle and were drained.
	demandHalfLife = 40 * time.Second
	// minArrivals is the rate, per second, below which idle demand is dropped.
	minArrivals = 0.001
	// expireInterval is the time between two removals of idle demand, whose cost
	// follows the number of resident adapters.
	expireInterval = time.Second
	// failureKept is how long load failures are remembered for backoff.
	failureKept = 5 * time.Minute
	// loadStartsKept is how long the start of a load counts against the store's rate.
	loadStartsKept = 10 * time.Second
)

// Ref names one version of an adapter.
type Ref struct {
	Adapter string
	Version string
}

func refOf(r *apiv1.AdapterRef) Ref {
	return Ref{Adapter: r.GetAdapter(), Version: r.GetVersion()}
}

// Message returns the reference as a message.
func (r Ref) Message() *apiv1.AdapterRef {
	return &apiv1.AdapterRef{Adapter: r.Adapter, Version: r.Version}
}

func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
}

// Table is the leader's view of the fleet during one term. It is safe for
// concurrent use.
type Table struct {
	term  uint64
	start time.Time

	mu      sync.Mutex
	version uint64
	// loadVersion numbers changes of load, which do not make a fleet version.
	loadVersion uint64
	conf        *config.Snapshot
	hosts       map[string]*host
	engines     map[string]*engine
	// inFlight sums the running requests of all hosts by slot, so that a plan
	// does not cost the number of slots times the number of hosts.
	inFlight map[slotKey]uint32
	demand   map[Ref]*demand
	// demandExpired is when idle demand was last dropped.
	demandExpired time.Time
	failures      map[failureKey]*failure
	starts        []time.Time
	// leaving holds the backend servers that the platform's list calls leaving.
	leaving map[string]bool
}

type failureKey struct {
	ref    Ref
	engine string
}

type failure struct {
	at    time.Time
	count int
}

// New returns the tables of a leader whose term began at start.
func New(term uint64, start time.Time, conf *config.Snapshot) *Table {
	t := &Table{
		term:     term,
		start:    start,
		hosts:    map[string]*host{},
		engines:  map[string]*engine{},
		inFlight: map[slotKey]uint32{},
		demand:   map[Ref]*demand{},
		failures: map[failureKey]*failure{},
		leaving:  map[string]bool{},
	}
	t.SetConfig(conf)
	return t
}

// SetConfig makes the table follow the backend servers and adapters of the
// configuration. Slots of versions that are gone start draining.
func (t *Table) SetConfig(conf *config.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conf = conf
	wanted := map[string]bool{}
	for _, b := range conf.BackendServers() {
		if b.GetKind() != apiv1.BackendKind_BACKEND_KIND_ENGINE {
			continue
		}
		wanted[b.GetName()] = true
		t.putEngine(b)
	}
	for name := range t.engines {
		if !wanted[name] {
			t.removeEngine(name)
		}
	}
	t.drainUnknownVersions()
}

// SetLeaving replaces the set of backend servers that the platform's list
// calls leaving.
func (t *Table) SetLeaving(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = map[string]bool{}
	for _, n := range names {
		t.leaving[n] = true
	}
	for _, e := range t.engines {
		t.refreshLeaving(e)
	}
}

// SetDrain asks the running process of a host to leave, or takes that back. It
// returns false when no such host reports. The order does not hold for a process
// that is started under the name later.
func (t *Table) SetDrain(name string, drain bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts[name]
	if ok {
		h.drain = drain
	}
	return ok
}

// bump starts a new fleet version, which hosts confirm in their reports.
func (t *Table) bump() uint64 {
	t.version++
	return t.version
}

// Tick drops what has expired. Its cost follows the number of entries that are
// kept, not the size of the configuration.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.hosts {
		if now.Sub(h.lastHeard) > forgetHostAfter {
			t.forgetHost(h)
		}
	}
	if now.Sub(t.demandExpired) >= expireInterval {
		t.demandExpired = now
		t.expireDemand(now)
	}
	for k, f := range t.failures {
		if now.Sub(f.at) > failureKept {
			delete(t.failures, k)
		}
	}
	t.starts = slices.DeleteFunc(t.starts, func(at time.Time) bool {
		return now.Sub(at) > loadStartsKept
	})
}

// HostLive tells whether the incarnation of a host still sends reports. Until
// each live host has had time to report in this term, one that has not is taken
// for live: a call that it runs is otherwise called lost after each election.
func (t *Table) HostLive(name string, incarnation uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts[name]
	if !ok {
		return now.Sub(t.start) <= LiveBound
	}
	return h.incarnation == incarnation && now.Sub(h.lastHeard) <= LiveBound
}

// Hosts returns the status of all known hosts sorted by name.
func (t *Table) Hosts(now time.Time) []*apiv1.HostStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*apiv1.HostStatus
	for _, name := range slices.Sorted(maps.Keys(t.hosts)) {
		out = append(out, t.hosts[name].status(now))
	}
	return out
}

// Engines returns the status of all engines sorted by name.
func (t *Table) Engines(now time.Time) []*apiv1.EngineStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*apiv1.EngineStatus
	for _, name := range slices.Sorted(maps.Keys(t.engines)) {
		out = append(out, t.engines[name].status(now, true))
	}
	return out
}
