package entry

import (
	"expvar"
	"sync"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/counter"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// maxTeamLabels bounds the number of teams that have counters of their own;
// the others share the label "other".
const maxTeamLabels = 64

// metrics are the host's counters. They belong to the server and not to the
// process, so that several servers can run in one process.
type metrics struct {
	group counter.Group
	// outcomes counts requests by "ok" or the kind of their error.
	outcomes *expvar.Map
	requests *expvar.Int
	// stalls counts requests that found their adapter on no engine, and
	// stallMs their waiting time: the measure "load stalls".
	stalls, stallMs *expvar.Int
	// batchSum over batchSamples is the mean batch size of busy engines: the
	// measure "batch efficiency".
	batchSum, batchSamples *expvar.Int
	// waitMs, waits and waitMaxMs by team: the measure "worst-served team".
	waitMs, waits, waitMaxMs *expvar.Map
	// withinRate counts refusals of requests whose tokens were available, by
	// team: the measure "requests refused although within the rate".
	withinRate *expvar.Map
	retries    *expvar.Int
	resumes    *expvar.Int
	reroutes   *expvar.Int
	ejections  *expvar.Int
	crashes    *expvar.Int
	tokens     *expvar.Map

	mu    sync.Mutex
	teams map[string]string
}

func newMetrics() *metrics {
	m := &metrics{teams: map[string]string{}}
	m.outcomes = m.group.Map("outcomes")
	m.requests = m.group.Int("requests")
	m.stalls = m.group.Int("load_stalls")
	m.stallMs = m.group.Int("load_stall_ms")
	m.batchSum = m.group.Int("engine_batch_sum")
	m.batchSamples = m.group.Int("engine_batch_samples")
	m.waitMs = m.group.Map("team_wait_ms")
	m.waits = m.group.Map("team_waits")
	m.waitMaxMs = m.group.Map("team_wait_max_ms")
	m.withinRate = m.group.Map("refused_within_rate")
	m.retries = m.group.Int("retries")
	m.resumes = m.group.Int("stream_resumes")
	m.reroutes = m.group.Int("adapter_missing_reroutes")
	m.ejections = m.group.Int("ejections")
	m.crashes = m.group.Int("crashes_seen")
	m.tokens = m.group.Map("team_tokens")
	return m
}

// team returns the label of a team.
func (m *metrics) team(name string) string {
	if name == "" {
		name = "open"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if label, ok := m.teams[name]; ok {
		return label
	}
	if len(m.teams) >= maxTeamLabels {
		return "other"
	}
	m.teams[name] = name
	return name
}

// waited records the time that a request spent before it was dispatched.
func (m *metrics) waited(team string, d time.Duration) {
	label := m.team(team)
	ms := d.Milliseconds()
	m.waits.Add(label, 1)
	m.waitMs.Add(label, ms)
	m.mu.Lock()
	defer m.mu.Unlock()
	v, _ := m.waitMaxMs.Get(label).(*expvar.Int)
	if v == nil {
		v = new(expvar.Int)
		m.waitMaxMs.Set(label, v)
	}
	if ms > v.Value() {
		v.Set(ms)
	}
}

// refused records a refusal after the request's tokens were reserved.
func (m *metrics) refused(team string, kind fault.Kind) {
	if kind != fault.KindRateLimited {
		m.withinRate.Add(m.team(team), 1)
	}
}

// Metrics returns the host's counters for publication under one name.
func (s *Server) Metrics() expvar.Var { return s.metrics.group.Var() }
