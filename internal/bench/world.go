package bench

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/placement"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
)

// world is the state of one run.
type world struct {
	cfg       Config
	now       time.Time
	ticks     int
	teams     []*apiv1.Team
	names     []string
	requests  []*request
	next      int
	engines   []*fakeEngine
	control   *control
	lender    *rate.Lender
	reference reference
	hosts     []*host
	crashes   map[int]time.Time // engine to time
	lostHost  int
	lostAt    time.Time
	// readySince is when an adapter version last became ready after it was not.
	readySince map[placement.Ref]time.Time
	teamsByRef map[placement.Ref]string
}

func newWorld(cfg Config) *world {
	w := &world{
		cfg: cfg, now: epoch, teams: teams(cfg.Deployment),
		readySince: map[placement.Ref]time.Time{}, teamsByRef: map[placement.Ref]string{},
	}
	at := func(share float64) time.Time { return epoch.Add(time.Duration(share * float64(cfg.Duration))) }
	w.lostHost, w.lostAt = int(cfg.Seed)%cfg.Deployment.Hosts, at(0.6)
	first := int(cfg.Seed) % cfg.Deployment.Engines
	w.crashes = map[int]time.Time{first: at(0.35), (first + 4) % cfg.Deployment.Engines: at(0.75)}
	w.requests = newCallers(cfg).requests(w.lostHost, w.lostAt)
	for _, r := range w.requests {
		w.teamsByRef[r.ref] = teamName(r.team)
	}
	// An earlier lender's tokens expired before the run.
	w.lender = rate.NewLender(1, epoch.Add(-time.Minute))
	w.reference = newJudge(w.teams)
	w.lender.SetTeams(w.teams, epoch.Add(-time.Minute))
	for i := range cfg.Deployment.Engines {
		w.names = append(w.names, engineName(i))
		w.engines = append(w.engines, newFakeEngine(i, w.finish))
	}
	w.control = newControl(w, newPlacement(cfg.Policy))
	for i := range cfg.Deployment.Hosts {
		w.hosts = append(w.hosts, newHost(w, i))
	}
	return w
}

func (w *world) teamOf(ref placement.Ref) string { return w.teamsByRef[ref] }

func (w *world) step() {
	w.faults()
	for ; w.next < len(w.requests) && !w.requests[w.next].arrived.After(w.now); w.next++ {
		r := w.requests[w.next]
		w.hosts[r.host].accept(r)
	}
	for _, e := range w.engines {
		e.advance(w.now)
	}
	if w.ticks%int(reportEvery/tick) == 0 {
		w.control.scrape()
		w.lender.Tick(w.now)
	}
	w.control.step(w.ticks%int(planEvery/tick) == 0)
	for _, h := range w.hosts {
		h.step()
	}
	w.ticks++
	w.now = w.now.Add(tick)
}

// faults restarts engines and loses one entry host.
func (w *world) faults() {
	for i, e := range w.engines {
		if at, ok := w.crashes[i]; ok && w.now.Equal(at) {
			for _, r := range e.crash(w.now) {
				r.outcome = failed
				w.hosts[r.host].finished(r)
			}
		}
	}
	if h := w.hosts[w.lostHost]; !h.lost && !w.now.Before(w.lostAt) {
		h.lost = true
		for _, e := range w.engines {
			for _, r := range e.drop(w.lostHost) {
				r.outcome = failed
			}
		}
		for _, r := range w.requests[:w.next] {
			if r.host == w.lostHost && r.outcome == waiting {
				r.outcome = failed
			}
		}
	}
}

func (w *world) finish(r *request) {
	r.outcome = served
	w.hosts[r.host].finished(r)
}

func (w *world) refuse(r *request, why outcome) {
	r.outcome = why
	r.stall = w.stall(r)
	r.wrongful = w.reference.refuse(r, w.now)
}

func (w *world) noteReady(ref placement.Ref) {
	if w.readyOn(ref) == 1 {
		w.readySince[ref] = w.now
	}
}

func (w *world) readyOn(ref placement.Ref) int {
	n := 0
	for i := range w.control.engines {
		if r := w.control.resident(i, ref); r != nil && r.State == placement.Ready {
			n++
		}
	}
	return n
}

// stall returns how long the request waited while no engine had its adapter.
func (w *world) stall(r *request) time.Duration {
	until := w.now
	if w.readyOn(r.ref) > 0 {
		until = w.readySince[r.ref]
	}
	return max(0, until.Sub(r.arrived))
}

// result computes the measures.
func (w *world) result() Result {
	res := Result{
		Deployment: w.cfg.Deployment.Name, Policy: w.cfg.Policy.Name, Seed: w.cfg.Seed,
		RefusedBy: map[string]int{}, InTime: map[string]float64{},
		Loads: w.control.loads, Drains: w.control.drains,
	}
	var stalls, ttft []float64
	inTime, within := make([]int, len(teamSizes)), make([]int, len(teamSizes))
	refused := 0
	for _, r := range w.requests {
		if r.arrived.Sub(epoch) < warmUp {
			continue
		}
		res.Requests++
		if r.wrongful || r.outcome == served || r.outcome == failed {
			stalls = append(stalls, float64(r.stall)/1e6)
		}
		switch r.outcome {
		case served:
			res.Served++
			ttft = append(ttft, float64(r.firstToken.Sub(r.arrived))/1e6)
		case failed:
			res.Failed++
		}
		if r.withinRate {
			within[r.team]++
		}
		if r.inTime() {
			inTime[r.team]++
		}
		if r.wrongful {
			refused++
			res.RefusedBy[refusals[r.outcome]]++
		}
	}
	w.shares(&res, inTime, within, refused)
	res.StallMs = stat.Mean(stalls, nil)
	slices.Sort(ttft)
	if len(ttft) > 0 {
		res.TTFTP50Ms = stat.Quantile(0.50, stat.Empirical, ttft, nil)
		res.TTFTP95Ms = stat.Quantile(0.95, stat.Empirical, ttft, nil)
		res.TTFTP99Ms = stat.Quantile(0.99, stat.Empirical, ttft, nil)
	}
	return res
}

var refusals = map[outcome]string{refusedRate: "rate", refusedDeadline: "deadline", refusedFull: "queue_full"}

func (w *world) shares(res *Result, inTime, within []int, refused int) {
	res.WorstTeam = 1
	for t := range teamSizes {
		res.WithinRate += within[t]
		share := min(1, float64(inTime[t])/float64(max(within[t], 1)))
		res.InTime[teamName(t)] = share
		if share < res.WorstTeam {
			res.WorstTeam, res.WorstTeamName = share, teamName(t)
		}
	}
	res.Refused = float64(refused) / float64(max(res.WithinRate, 1))
	busy, tokens := time.Duration(0), 0
	for _, e := range w.engines {
		busy += e.busy
		tokens += e.tokens
	}
	res.BatchEfficiency = float64(tokens) / (busy.Seconds() * fullRate)
}
