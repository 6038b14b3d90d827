package balance

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The server with the lowest cost must be chosen, for each of the factors.
func TestChoose(t *testing.T) {
	generation := Request{Generation: true, PromptTokens: 3_000, MaxWait: time.Second}
	plain := Request{ServiceTime: 50 * time.Millisecond, MaxWait: time.Second}
	for name, tc := range map[string]struct {
		request    Request
		candidates []Candidate
		want       string
	}{
		"shorter backlog":        {generation, []Candidate{{Instance: "a", PendingTokens: 9_000}, {Instance: "b", PendingTokens: 3_000}}, "b"},
		"cached prefix":          {generation, []Candidate{{Instance: "a"}, {Instance: "b", CachedTokens: 2_500}}, "b"},
		"cached, but too busy":   {generation, []Candidate{{Instance: "a", CachedTokens: 2_500, PendingTokens: 9_000}, {Instance: "b"}}, "b"},
		"adapter already loaded": {generation, []Candidate{{Instance: "a", ReadyIn: 200 * time.Millisecond}, {Instance: "b", PendingTokens: 2_000}}, "b"},
		"slow engine":            {generation, []Candidate{{Instance: "a", LatencyFactor: 5}, {Instance: "b", PendingTokens: 5_000}}, "b"},
		"full batch":             {generation, []Candidate{{Instance: "a", Slots: 4, InFlight: 12}, {Instance: "b", Slots: 4, InFlight: 3}}, "b"},
		"free slot":              {plain, []Candidate{{Instance: "a", Slots: 6, InFlight: 6}, {Instance: "b", Slots: 6, InFlight: 5}}, "b"},
		"failing server":         {plain, []Candidate{{Instance: "a", Slots: 6, FailureRate: 0.4}, {Instance: "b", Slots: 6, InFlight: 5}}, "b"},
		"local domain":           {plain, []Candidate{{Instance: "a", Slots: 6}, {Instance: "b", Slots: 6, Local: true}}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.want, Choose(tc.request, tc.candidates, Options{}).Instance)
		})
	}
}

// A request that cannot begin in time must be refused at once, with the time
// after which it can.
func TestRefuses(t *testing.T) {
	r := Request{Generation: true, PromptTokens: 500, MaxWait: 400 * time.Millisecond}
	d := Choose(r, []Candidate{{Instance: "a", PendingTokens: 30_000}}, Options{})
	must.Eq(t, "", d.Instance)
	must.Eq(t, "a", d.Best)
	must.Greater(t, 500*time.Millisecond, d.RetryAfter)
	must.Less(t, time.Second, d.RetryAfter)
	must.Eq(t, "", Choose(r, nil, Options{}).Instance)
}

// completion is the end of a request at an engine, in ms.
type completion struct{ at float64 }

// completions is a heap of completions, the earliest first.
type completions []completion

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// overload simulates prompts that arrive at a multiple of the rate at which
// the engines can process them. It returns the fraction of all requests whose
// prompt is processed within the objective.
func overload(seed uint64, load float64, maxWait time.Duration) float64 {
	const engines, speed, objective = 9, 30.0, 500.0
	rng := rand.New(rand.NewPCG(seed, 1))
	free := make([]float64, engines) // when each engine has read its backlog, in ms
	inTime, all := 0, 0
	finished := make([]completions, engines)
	for now := 0.0; now < 20_000; {
		now += rng.ExpFloat64() * 700 / (engines * speed * load)
		tokens := int(200 + rng.ExpFloat64()*500)
		candidates := make([]Candidate, engines)
		for i := range candidates {
			for len(finished[i]) > 0 && finished[i][0].at <= now {
				heap.Pop(&finished[i])
			}
			candidates[i] = Candidate{
				Instance: string(rune('a' + i)), Slots: 64, InFlight: len(finished[i]),
				PendingTokens: int(max(0, free[i]-now) * speed),
			}
		}
		all++
		d := Choose(Request{Generation: true, PromptTokens: tokens, MaxWait: maxWait}, candidates, Options{TokensPerMS: speed})
		if d.Instance == "" {
			continue
		}
		i := int(d.Instance[0] - 'a')
		free[i] = max(free[i], now) + float64(tokens)/speed
		heap.Push(&finished[i], completion{free[i] + 400})
		if free[i]-now <= objective {
			inTime++
		}
	}
	return float64(inTime) / float64(all)
}

// Under overload, accepting every request makes every response late. Refusing
// requests that cannot meet their objective must leave most of the engines'
// time to responses in time.
func TestOverload(t *testing.T) {
	for seed := range uint64(3) {
		t.Log("seed ", seed)
		const load = 1.6
		refusing := overload(seed, load, 400*time.Millisecond)
		acceptingAll := overload(seed, load, time.Hour)
		must.Greater(t, 0.85/load, refusing)
		must.Less(t, refusing/3, acceptingAll)
	}
	must.Greater(t, 0.97, overload(9, 0.6, 400*time.Millisecond))
}
