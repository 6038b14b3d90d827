package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ref(name string) Ref { return Ref{name, "1"} }

// engine returns an engine with 2 slots whose adapters are ready, idle and were
// loaded a minute ago.
func engine(name string, adapters ...string) Engine {
	e := Engine{Name: name, FailureDomain: "d-" + name, Slots: 2, Healthy: true}
	for _, a := range adapters {
		e.Residents = append(e.Residents, Resident{Ref: ref(a), State: Ready, LastUsed: epoch, Since: epoch.Add(-time.Minute)})
	}
	return e
}

func waitingDemand(name, team string, n int, age time.Duration) Demand {
	return Demand{Ref: ref(name), Team: team, Waiting: n, OldestWait: age, Arrivals: 1}
}

func arrivingDemand(name, team string, rate float64) Demand {
	return Demand{Ref: ref(name), Team: team, Arrivals: rate}
}

func formatActions(actions []Action) string {
	var out []string
	for _, a := range actions {
		out = append(out, fmt.Sprint(a.Kind, " ", a.Ref.Adapter, "@", a.Engine))
	}
	return strings.Join(out, ", ")
}

// Guards against wrong decisions in single situations, one per case.
func TestDecisions(t *testing.T) {
	busy := engine("e1", "x", "y")
	busy.Residents[0].InFlight = 1
	recentlyLoaded := engine("e1", "x", "y")
	recentlyLoaded.Residents[0].Since = epoch.Add(-time.Second)
	draining := engine("e1", "x", "y")
	draining.Residents[0].State = Draining
	loading := engine("e1", "x", "y")
	loading.Residents[0].State, loading.Residents[1].State = Loading, Loading
	leaving := engine("e1")
	leaving.Leaving = true
	superseded := engine("e1")
	superseded.Residents = []Resident{
		{Ref: Ref{"a", "1"}, State: Ready, LastUsed: epoch.Add(-time.Minute), Since: epoch.Add(-time.Hour)},
		{Ref: Ref{"a", "2"}, State: Ready, LastUsed: epoch, Since: epoch.Add(-time.Minute)},
	}
	supersededBusy := engine("e1")
	supersededBusy.Residents = slices.Clone(superseded.Residents)
	supersededBusy.Residents[0].InFlight = 1
	second := time.Second
	twoTeams, other := manyWaiting("t", ""), engine("e2")
	twoTeams = append(twoTeams, waitingDemand("b", "u", 1, 0))
	for i := range 10 {
		twoTeams = append(twoTeams, arrivingDemand(fmt.Sprint("u", i), "u", 1))
	}
	twoBaseModels := manyWaiting("t", "")
	twoBaseModels = append(twoBaseModels, waitingDemand("b", "t", 1, 0))
	other.BaseModel, twoBaseModels[len(twoBaseModels)-1].BaseModel = "m2", "m2"
	sameDomain := engine("e2")
	sameDomain.FailureDomain = "d-e1"
	for name, c := range map[string]struct {
		s    Snapshot
		want string
	}{
		"waiting request starts a load":                  {Snapshot{Engines: []Engine{engine("e1")}, Demand: []Demand{waitingDemand("a", "t", 1, 0)}}, "load a@e1"},
		"no load on a leaving engine":                    {Snapshot{Engines: []Engine{leaving, engine("e2")}, Demand: []Demand{waitingDemand("a", "t", 1, 0)}}, "load a@e2"},
		"least demand is drained":                        {Snapshot{Engines: []Engine{engine("e1", "x", "y")}, Demand: []Demand{waitingDemand("a", "t", 1, 0), arrivingDemand("x", "t", 2), arrivingDemand("y", "t", 1)}}, "drain y@e1"},
		"busy adapter is not drained":                    {Snapshot{Engines: []Engine{busy}, Demand: []Demand{waitingDemand("a", "t", 1, 0), arrivingDemand("y", "t", 9)}}, "drain y@e1"},
		"recently loaded is not drained":                 {Snapshot{Engines: []Engine{recentlyLoaded}, Demand: []Demand{waitingDemand("a", "t", 1, 0), arrivingDemand("y", "t", 9)}}, "drain y@e1"},
		"drain is canceled":                              {Snapshot{Engines: []Engine{draining}, Demand: []Demand{waitingDemand("x", "t", 1, 0)}}, "undrain x@e1"},
		"no second drain beside a running one":           {Snapshot{Engines: []Engine{draining}, Demand: []Demand{waitingDemand("a", "t", 1, 0)}}, ""},
		"limit of loads in flight":                       {Snapshot{Engines: []Engine{loading, engine("e2")}, Demand: []Demand{waitingDemand("a", "t", 1, 0)}}, ""},
		"limit of load starts":                           {Snapshot{Engines: []Engine{engine("e1")}, Demand: []Demand{waitingDemand("a", "t", 1, 0)}, LoadStarts: []time.Time{epoch, epoch, epoch}}, ""},
		"other engine after a failed load":               {Snapshot{Engines: []Engine{engine("e1"), engine("e2")}, Demand: []Demand{waitingDemand("a", "t", 1, 0)}, Failures: []Failure{{ref("a"), "e1", epoch, 1}}}, "load a@e2"},
		"fleet-wide backoff":                             {Snapshot{Engines: []Engine{engine("e1"), engine("e2"), engine("e3")}, Demand: []Demand{waitingDemand("a", "t", 1, 0)}, Failures: []Failure{{ref("a"), "e1", epoch, 3}, {ref("a"), "e2", epoch, 1}}}, ""},
		"retry after the backoff":                        {Snapshot{Engines: []Engine{engine("e1")}, Demand: []Demand{waitingDemand("a", "t", 1, 0)}, Failures: []Failure{{ref("a"), "e1", epoch.Add(-second), 1}}}, "load a@e1"},
		"replica in another failure domain":              {Snapshot{Engines: []Engine{engine("e1", "a"), engine("e2"), engine("e3")}, Demand: []Demand{arrivingDemand("a", "t", 6)}}, "load a@e2"},
		"replica before rarely used adapter":             {Snapshot{Engines: []Engine{engine("e1", "a"), loadingEngine("e2", "z"), engine("e3")}, Demand: []Demand{arrivingDemand("a", "t", 6), waitingDemand("b", "t", 1, second), arrivingDemand("z", "t", 1)}}, "load a@e3"},
		"replica by running requests":                    {Snapshot{Engines: []Engine{overloadedEngine(), engine("e2")}, Demand: []Demand{arrivingDemand("a", "t", 1)}}, "load a@e2"},
		"refills in order of demand":                     {Snapshot{Engines: []Engine{engine("e1"), engine("e2")}, Demand: []Demand{arrivingDemand("a", "t", 0.2), arrivingDemand("b", "t", 0.4)}}, "load b@e1, load a@e2"},
		"hysteresis without waiting requests":            {Snapshot{Engines: []Engine{engine("e1", "x", "y")}, Demand: []Demand{arrivingDemand("a", "t", 1), arrivingDemand("x", "t", 0.9), arrivingDemand("y", "t", 0.9)}}, ""},
		"unused superseded version is drained":           {Snapshot{Engines: []Engine{superseded}, Demand: []Demand{{Ref: Ref{"a", "2"}, Arrivals: 1}}}, "drain a@e1"},
		"busy superseded version is not drained":         {Snapshot{Engines: []Engine{supersededBusy}, Demand: []Demand{{Ref: Ref{"a", "2"}, Arrivals: 1}}}, ""},
		"team at its limit drains its own adapter":       {Snapshot{Engines: []Engine{engine("e1", "x"), engine("e2", "y")}, Teams: []Team{{"t", 1}}, Demand: []Demand{waitingDemand("a", "t", 1, 0), arrivingDemand("x", "u", 0.1), arrivingDemand("y", "t", 3)}}, "drain y@e2"},
		"team with fewest recent loads first":            {Snapshot{Engines: []Engine{engine("e1"), engine("e2"), loadingEngine("e3", "z")}, Demand: []Demand{waitingDemand("a", "t", 9, second), waitingDemand("b", "u", 1, 0), arrivingDemand("z", "t", 1)}}, "load b@e1"},
		"most waiting requests first":                    {Snapshot{Engines: []Engine{engine("e1"), loadingEngine("e3", "z")}, Demand: []Demand{waitingDemand("a", "t", 1, 0), waitingDemand("b", "t", 5, 0), arrivingDemand("z", "t", 1)}}, "load b@e1"},
		"busy adapter is drained after a long wait":      {Snapshot{Engines: []Engine{busyEngine()}, Demand: []Demand{waitingDemand("a", "t", 1, 3*second), arrivingDemand("x", "t", 2), arrivingDemand("y", "t", 1)}}, "drain y@e1"},
		"team at its limit delays no other team":         {Snapshot{Engines: []Engine{engineWithRecentLoads("u"), engine("e2", "y")}, Teams: []Team{{"t", 1}}, Demand: append(twoTeams, arrivingDemand("y", "t", 1))}, "load b@e2, drain y@e2"},
		"full base model delays no other base model":     {Snapshot{Engines: []Engine{recentlyLoadedEngine(), other}, Demand: twoBaseModels}, "load b@e2"},
		"replica in another failure domain, busy engine": {Snapshot{Engines: []Engine{engine("e1", "a"), sameDomain, overloadedEngine3()}, Demand: []Demand{arrivingDemand("a", "t", 6)}}, "load a@e3"},
		"adapter with waiting requests is not drained":   {Snapshot{Engines: []Engine{engine("e1", "x", "y")}, Demand: []Demand{waitingDemand("a", "t", 1, 0), waitingDemand("x", "t", 1, 0), arrivingDemand("y", "t", 9)}}, "drain y@e1"},
	} {
		t.Run(name, func(t *testing.T) {
			c.s.Now = epoch
			must.Eq(t, c.want, formatActions(NewPlanner(Options{Spare: -1}).Plan(c.s)))
		})
	}
}

// loadingEngine returns an engine that loads one adapter beside a ready one.
func loadingEngine(name, adapter string) Engine {
	e := engine(name, adapter, adapter+"2")
	e.Residents[0].State = Loading
	return e
}

func overloadedEngine3() Engine {
	e := engine("e3", "h")
	e.Residents[0].InFlight = 9
	return e
}

// engineWithRecentLoads returns an engine with ten busy adapters of the team that
// were just loaded.
func engineWithRecentLoads(team string) Engine {
	e := Engine{Name: "e1", Slots: 10, Healthy: true}
	for i := range e.Slots {
		e.Residents = append(e.Residents, Resident{Ref: ref(fmt.Sprint(team, i)), State: Ready, InFlight: 1, Since: epoch})
	}
	return e
}

func recentlyLoadedEngine() Engine {
	e := engine("e1", "x", "y")
	e.Residents[0].Since, e.Residents[1].Since = epoch, epoch
	return e
}

// manyWaiting returns more demand than the planner considers in one call.
func manyWaiting(team, base string) []Demand {
	var out []Demand
	for i := range 40 {
		d := waitingDemand(fmt.Sprint("w", i), team, 5, 0)
		d.BaseModel = base
		out = append(out, d)
	}
	return out
}

func overloadedEngine() Engine {
	e := engine("e1", "a")
	e.Residents[0].InFlight = 9
	return e
}

func busyEngine() Engine {
	e := engine("e1", "x", "y")
	e.Residents[0].InFlight, e.Residents[1].InFlight = 1, 1
	return e
}

func randomSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{Now: epoch, Teams: []Team{{"t0", rapid.IntRange(0, 3).Draw(t, "limit")}}}
	n := func(name string, high int) int { return rapid.IntRange(0, high).Draw(t, name) }
	for i := range 12 {
		d := Demand{Ref: ref(fmt.Sprint("a", i)), Team: fmt.Sprint("t", i%3), BaseModel: fmt.Sprint("m", i%2)}
		d.Waiting, d.OldestWait, d.Arrivals = n("waiting", 3), time.Duration(n("wait ms", 4000))*time.Millisecond, float64(n("arrivals", 9))
		s.Demand = append(s.Demand, d)
	}
	for i := range n("engines", 5) {
		e := Engine{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%2), BaseModel: fmt.Sprint("m", i%2), Slots: n("slots", 4), Healthy: n("unhealthy", 4) > 0, Leaving: n("leaving", 4) == 0}
		for j := i % 2; len(e.Residents) < e.Slots && j < 12; j += 2 {
			if n("resident", 2) == 0 {
				e.Residents = append(e.Residents, Resident{Ref: s.Demand[j].Ref, State: State(1 + n("state", 2)), InFlight: n("in flight", 1), Since: epoch.Add(-time.Duration(n("age", 9)) * time.Second), LastUsed: epoch})
			}
		}
		s.Engines = append(s.Engines, e)
	}
	for range n("starts", 3) {
		s.LoadStarts = append(s.LoadStarts, epoch.Add(-time.Duration(n("start ms", 1500))*time.Millisecond))
	}
	return s
}

// Guards, with random snapshots, against loads beyond the weight store's limits,
// the free slots or a team's limit, against drains of adapters that have waiting
// requests or were just loaded, against actions on unusable engines and against
// plans that depend on the iteration order of maps.
func TestPlanRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomSnapshot(t)
		p := NewPlanner(Options{Spare: 2})
		p.Plan(randomSnapshot(t)) // the reused memory must not affect the next plan
		plan := p.Plan(s)
		must.Eq(t, plan, NewPlanner(Options{Spare: 2}).Plan(s))
		used, loading, starts, teamSlots := map[string]int{}, 0, 0, 0
		engines := map[string]Engine{}
		residents := map[string]Resident{}
		for _, e := range s.Engines {
			used[e.Name] = len(e.Residents)
			engines[e.Name] = e
			for _, r := range e.Residents {
				residents[e.Name+r.Ref.Adapter] = r
				if r.State == Loading {
					loading++
				}
			}
		}
		for _, start := range s.LoadStarts {
			if epoch.Sub(start) < time.Second {
				starts++
			}
		}
		demand := map[Ref]Demand{}
		for _, d := range s.Demand {
			demand[d.Ref] = d
		}
		for _, r := range residents {
			if demand[r.Ref].Team == "t0" {
				teamSlots++
			}
		}
		for _, a := range plan {
			r, resident := residents[a.Engine+a.Ref.Adapter]
			must.True(t, engines[a.Engine].Healthy && !engines[a.Engine].Leaving)
			switch a.Kind {
			case Load:
				used[a.Engine]++
				loading++
				starts++
				must.False(t, resident)
				must.LessEq(t, engines[a.Engine].Slots, used[a.Engine])
				must.True(t, loading <= 2 && starts <= 3)
				must.Eq(t, demand[a.Ref].BaseModel, engines[a.Engine].BaseModel)
				if a.Team == "t0" && s.Teams[0].MaxSlots > 0 {
					teamSlots++
					must.LessEq(t, s.Teams[0].MaxSlots, teamSlots)
				}
			case Drain:
				must.Eq(t, Ready, r.State)
				must.Eq(t, 0, demand[a.Ref].Waiting)
				must.GreaterEq(t, 4*time.Second, epoch.Sub(r.Since))
			case Undrain:
				must.Eq(t, Draining, r.State)
			}
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{12, 100, 1000} {
		for _, adapters := range []int{3000, 28_000} {
			b.Run(fmt.Sprintf("%d engines/%d adapters", engines, adapters), func(b *testing.B) {
				s := benchSnapshot(engines, adapters)
				p := NewPlanner(Options{})
				b.ReportAllocs()
				for b.Loop() {
					p.Plan(s)
				}
			})
		}
	}
}

func benchSnapshot(engines, adapters int) Snapshot {
	r := rand.New(rand.NewPCG(1, 1))
	s := Snapshot{Now: epoch}
	for i := range adapters {
		s.Demand = append(s.Demand, Demand{Ref: ref(fmt.Sprint("a", i)), Team: fmt.Sprint("t", i%5), Arrivals: r.ExpFloat64() / 10})
		if i%100 == 0 {
			s.Demand[i].Waiting = 1
		}
	}
	for i := range engines {
		e := Engine{Name: fmt.Sprintf("e%04d", i), FailureDomain: fmt.Sprint("d", i%8), Slots: 8, Healthy: true}
		for j := range e.Slots {
			e.Residents = append(e.Residents, Resident{Ref: s.Demand[(i*8+j)%adapters].Ref, State: Ready, InFlight: r.IntN(2), Since: epoch.Add(-time.Minute)})
		}
		s.Engines = append(s.Engines, e)
	}
	return s
}

// Guards against draining every idle adapter of a base model with few slots to
// keep slots free, and against a base model with many slots but none free for the
// next load.
func TestSpareSlots(t *testing.T) {
	must.Eq(t, "", formatActions(NewPlanner(Options{}).Plan(Snapshot{Now: epoch, Engines: []Engine{engine("e1", "x")}})))
	var engines []Engine
	for i := range 8 {
		engines = append(engines, engine(fmt.Sprint("e", i), fmt.Sprint("x", i), fmt.Sprint("y", i)))
	}
	must.Len(t, 2, NewPlanner(Options{}).Plan(Snapshot{Now: epoch, Engines: engines}))
}
