// Package fleet holds the control leader's volatile tables of entry hosts,
// engines, residency and demand, and decides when an order is safe to send.
//
// Invariants:
//   - An adapter slot is unloaded only after each live host has confirmed the fleet
//     version in which it is draining and has reported no request in flight there.
//   - A host that is silent for MaxSilence has no request running on an
//     engine, because it cancels them when its own fleet table is 8 s old.
//   - No slot is unloaded in the first MaxSilence of a term, since a host
//     that has not reported to the new leader yet may still run requests.
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
	// MaxSilence is the time after which a silent host has no request running
	// on engines: the hosts' limit of 8 s plus 0.5 s for clock drift.
	MaxSilence = 8500 * time.Millisecond
	// LivenessTimeout is the time after which a silent host counts as not live.
	LivenessTimeout = 3 * time.Second
	// hostRetention is the time after which a silent host is removed, so that the
	// host table stays small when hosts are replaced under new names.
	hostRetention = 10 * time.Minute
	// unhealthyAfter is the number of consecutive failed scrapes that make an
	// engine unhealthy.
	unhealthyAfter = 2
	// demandHalfLife is the half-life of the decayed arrival rate. With 10 s,
	// adapters requested twice a minute looked idle and were drained.
	demandHalfLife = 40 * time.Second
	// minArrivals is the number of arrivals per second below which a demand entry
	// without waiting requests is dropped.
	minArrivals = 0.001
	// expireInterval is the time between two removals of idle demand, each of
	// which costs time proportional to the number of resident adapters.
	expireInterval = time.Second
	// failureRetention is how long load failures are retained for the backoff.
	failureRetention = 5 * time.Minute
	// loadStartWindow is how long the start of a load counts against the weight
	// store's load rate.
	loadStartWindow = 10 * time.Second
)

// Ref names one version of an adapter.
type Ref struct {
	Adapter string
	Version string
}

func refOf(r *apiv1.AdapterRef) Ref {
	return Ref{Adapter: r.GetAdapter(), Version: r.GetVersion()}
}

// Proto returns the reference as a protobuf message.
func (r Ref) Proto() *apiv1.AdapterRef {
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
	// loadVersion counts the changes of engine load, which do not create a fleet
	// version.
	loadVersion uint64
	conf        *config.Snapshot
	hosts       map[string]*host
	engines     map[string]*engine
	// inFlight is the number of running requests of all hosts by slot. The sums
	// keep the cost of a plan from growing with slots times hosts.
	inFlight map[slotKey]uint32
	demand   map[Ref]*demand
	// demandExpiredAt is the time at which idle demand was last dropped.
	demandExpiredAt time.Time
	failures        map[failureKey]*failure
	loadStarts      []time.Time
	// leaving holds the backend servers that the platform's host list reports as
	// leaving.
	leaving map[string]bool
	// evacuated holds the failure domains whose engines get nothing new.
	evacuated map[string]bool
}

type failureKey struct {
	ref    Ref
	engine string
}

type failure struct {
	at    time.Time
	count int
}

// New returns the table of a leader whose term began at start.
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

// SetConfig applies the backend servers and adapters of the configuration.
// Slots of versions that the configuration no longer contains start draining.
func (t *Table) SetConfig(conf *config.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conf = conf
	configured := map[string]bool{}
	for _, b := range conf.BackendServers() {
		if b.GetKind() != apiv1.BackendKind_BACKEND_KIND_ENGINE {
			continue
		}
		configured[b.GetName()] = true
		t.putEngine(b)
	}
	for name := range t.engines {
		if !configured[name] {
			t.removeEngine(name)
		}
	}
	t.drainUnknownVersions()
}

// SetLeaving replaces the set of backend servers that the platform's host list
// reports as leaving.
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

// SetDrain asks the running process of a host to leave, or cancels that request.
// It reports whether the host is known. The request does not apply to a process
// that starts under the same name later.
func (t *Table) SetDrain(name string, drain bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts[name]
	if ok {
		h.drain = drain
	}
	return ok
}

// nextVersion starts and returns a new fleet version, which hosts confirm in
// their reports.
func (t *Table) nextVersion() uint64 {
	t.version++
	return t.version
}

// Tick removes expired entries. Its cost is proportional to the number of
// entries in the table, not to the size of the configuration.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.hosts {
		if now.Sub(h.lastSeen) > hostRetention {
			t.removeHost(h)
		}
	}
	if now.Sub(t.demandExpiredAt) >= expireInterval {
		t.demandExpiredAt = now
		t.expireDemand(now)
	}
	for k, f := range t.failures {
		if now.Sub(f.at) > failureRetention {
			delete(t.failures, k)
		}
	}
	t.loadStarts = slices.DeleteFunc(t.loadStarts, func(at time.Time) bool {
		return now.Sub(at) > loadStartWindow
	})
}

// HostLive reports whether the incarnation of a host still sends reports. A host
// that has not reported in this term counts as live for the first LivenessTimeout
// of the term; otherwise the calls that it runs would be declared lost after each
// election.
func (t *Table) HostLive(name string, incarnation uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts[name]
	if !ok {
		return now.Sub(t.start) <= LivenessTimeout
	}
	return h.incarnation == incarnation && now.Sub(h.lastSeen) <= LivenessTimeout
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
