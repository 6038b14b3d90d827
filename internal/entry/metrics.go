package entry

import (
	"expvar"
	"sync"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/counter"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// maxTeamLabels limits the number of teams with their own counters; the others
// share the label "other".
const maxTeamLabels = 64

// metrics holds the host's counters. They are per server and not global, so that
// several servers can run in one process.
type metrics struct {
	group counter.Group
	// outcomes counts requests by outcome, as reasonOf returns it.
	outcomes *expvar.Map
	requests *expvar.Int
	// stalls counts dispatched requests whose adapter was ready on no engine
	// when they were queued, and stallMs their waiting time: the measure "load
	// stalls".
	stalls, stallMs *expvar.Int
	// batchSum divided by batchSamples is the mean batch size of busy engines:
	// the measure "batch efficiency".
	batchSum, batchSamples *expvar.Int
	// waitMs, waits and waitMaxMs by team: the measure "worst-served team".
	waitMs, waits, waitMaxMs *expvar.Map
	// withinRate counts refusals for another reason than the team's rate, by
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

// teamLabel returns the metric label of a team.
func (m *metrics) teamLabel(name string) string {
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

// recordWait records the time from a request's admission to its dispatch or
// refusal.
func (m *metrics) recordWait(team string, d time.Duration) {
	label := m.teamLabel(team)
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

// recordRefusal counts a refusal unless the team's rate is its reason.
func (m *metrics) recordRefusal(team string, kind fault.Kind) {
	if kind != fault.KindRateLimited {
		m.withinRate.Add(m.teamLabel(team), 1)
	}
}

// Metrics returns the host's counters for publication under one name.
func (s *Server) Metrics() expvar.Var { return s.metrics.group.Var() }
