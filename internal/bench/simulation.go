package bench

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/placement"
	"github.com/jasminesaddle/jasminesaddle/internal/rate"
)

// simulation is the state of one run.
type simulation struct {
	cfg         Config
	now         time.Time
	ticks       int
	teams       []*apiv1.Team
	engineNames []string
	requests    []*request
	nextRequest int
	engines     []*fakeEngine
	control     *control
	lender      *rate.Lender
	reference   reference
	hosts       []*host
	crashTimes  map[int]time.Time // by engine
	lostHost    int
	lostAt      time.Time
	// readySince is the last time when an adapter version became ready while it was
	// ready on no engine.
	readySince map[placement.Ref]time.Time
	teamsByRef map[placement.Ref]string
}

func newSimulation(cfg Config) *simulation {
	sim := &simulation{
		cfg: cfg, now: epoch, teams: teams(cfg.Deployment),
		readySince: map[placement.Ref]time.Time{}, teamsByRef: map[placement.Ref]string{},
	}
	at := func(fraction float64) time.Time { return epoch.Add(time.Duration(fraction * float64(cfg.Duration))) }
	sim.lostHost, sim.lostAt = int(cfg.Seed)%cfg.Deployment.Hosts, at(0.6)
	first := int(cfg.Seed) % cfg.Deployment.Engines
	sim.crashTimes = map[int]time.Time{first: at(0.35), (first + 4) % cfg.Deployment.Engines: at(0.75)}
	sim.requests = newWorkload(cfg).requests(sim.lostHost, sim.lostAt)
	for _, r := range sim.requests {
		sim.teamsByRef[r.ref] = teamName(r.team)
	}
	// The lender starts a minute before the run, so that tokens leased by an earlier
	// lender have expired by the start of the run.
	sim.lender = rate.NewLender(1, epoch.Add(-time.Minute))
	sim.reference = newReference(sim.teams)
	sim.lender.SetTeams(sim.teams, epoch.Add(-time.Minute))
	for i := range cfg.Deployment.Engines {
		sim.engineNames = append(sim.engineNames, engineName(i))
		sim.engines = append(sim.engines, newFakeEngine(i, sim.finish))
	}
	sim.control = newControl(sim, newPlacement(cfg.Policy))
	for i := range cfg.Deployment.Hosts {
		sim.hosts = append(sim.hosts, newHost(sim, i))
	}
	return sim
}

func (sim *simulation) teamOf(ref placement.Ref) string { return sim.teamsByRef[ref] }

// step simulates one tick.
func (sim *simulation) step() {
	sim.injectFaults()
	for ; sim.nextRequest < len(sim.requests) && !sim.requests[sim.nextRequest].arrived.After(sim.now); sim.nextRequest++ {
		r := sim.requests[sim.nextRequest]
		sim.hosts[r.host].enqueue(r)
	}
	for _, e := range sim.engines {
		e.advance(sim.now)
	}
	if sim.ticks%int(reportInterval/tick) == 0 {
		sim.control.scrape()
		sim.lender.Tick(sim.now)
	}
	sim.control.step(sim.ticks%int(planInterval/tick) == 0)
	for _, h := range sim.hosts {
		h.step()
	}
	sim.ticks++
	sim.now = sim.now.Add(tick)
}

// injectFaults crashes engines and one entry host at their scheduled times.
func (sim *simulation) injectFaults() {
	for i, e := range sim.engines {
		if at, ok := sim.crashTimes[i]; ok && sim.now.Equal(at) {
			for _, r := range e.crash(sim.now) {
				r.outcome = failed
				sim.hosts[r.host].finished(r)
			}
		}
	}
	if h := sim.hosts[sim.lostHost]; !h.lost && !sim.now.Before(sim.lostAt) {
		h.lost = true
		for _, e := range sim.engines {
			for _, r := range e.dropHost(sim.lostHost) {
				r.outcome = failed
			}
		}
		for _, r := range sim.requests[:sim.nextRequest] {
			if r.host == sim.lostHost && r.outcome == waiting {
				r.outcome = failed
			}
		}
	}
}

func (sim *simulation) finish(r *request) {
	r.outcome = served
	sim.hosts[r.host].finished(r)
}

func (sim *simulation) refuse(r *request, why outcome) {
	r.outcome = why
	r.stall = sim.stall(r)
	r.refusedWithinRate = sim.reference.chargeRefusal(r, sim.now)
}

func (sim *simulation) recordReady(ref placement.Ref) {
	if sim.countReady(ref) == 1 {
		sim.readySince[ref] = sim.now
	}
}

func (sim *simulation) countReady(ref placement.Ref) int {
	n := 0
	for i := range sim.control.engines {
		if r := sim.control.resident(i, ref); r != nil && r.State == placement.Ready {
			n++
		}
	}
	return n
}

// stall returns how long the request waited while its adapter was not ready on any
// engine.
func (sim *simulation) stall(r *request) time.Duration {
	until := sim.now
	if sim.countReady(r.ref) > 0 {
		until = sim.readySince[r.ref]
	}
	return max(0, until.Sub(r.arrived))
}

// result computes the measures of the run.
func (sim *simulation) result() Result {
	res := Result{
		Deployment: sim.cfg.Deployment.Name, Policy: sim.cfg.Policy.Name, Seed: sim.cfg.Seed,
		RefusedBy: map[string]int{}, InTime: map[string]float64{},
		Loads: sim.control.loads, Drains: sim.control.drains,
	}
	var stalls, ttft []float64
	inTime, withinRate := make([]int, len(teamSizes)), make([]int, len(teamSizes))
	refused := 0
	for _, r := range sim.requests {
		if r.arrived.Sub(epoch) < warmUp {
			continue
		}
		res.Requests++
		if r.refusedWithinRate || r.outcome == served || r.outcome == failed {
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
			withinRate[r.team]++
		}
		if r.inTime() {
			inTime[r.team]++
		}
		if r.refusedWithinRate {
			refused++
			res.RefusedBy[refusalReasons[r.outcome]]++
		}
	}
	sim.aggregate(&res, inTime, withinRate, refused)
	res.StallMs = stat.Mean(stalls, nil)
	slices.Sort(ttft)
	if len(ttft) > 0 {
		res.TTFTP50Ms = stat.Quantile(0.50, stat.Empirical, ttft, nil)
		res.TTFTP95Ms = stat.Quantile(0.95, stat.Empirical, ttft, nil)
		res.TTFTP99Ms = stat.Quantile(0.99, stat.Empirical, ttft, nil)
	}
	return res
}

var refusalReasons = map[outcome]string{refusedRate: "rate", refusedDeadline: "deadline", refusedFull: "queue_full"}

// aggregate computes the measures per team and over the engines.
func (sim *simulation) aggregate(res *Result, inTime, withinRate []int, refused int) {
	res.WorstTeam = 1
	for t := range teamSizes {
		res.WithinRate += withinRate[t]
		share := min(1, float64(inTime[t])/float64(max(withinRate[t], 1)))
		res.InTime[teamName(t)] = share
		if share < res.WorstTeam {
			res.WorstTeam, res.WorstTeamName = share, teamName(t)
		}
	}
	res.RefusedWithinRate = float64(refused) / float64(max(res.WithinRate, 1))
	busy, tokens := time.Duration(0), 0
	for _, e := range sim.engines {
		busy += e.busy
		tokens += e.tokens
	}
	res.BatchEfficiency = float64(tokens) / (busy.Seconds() * fullRate)
}
