package entry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// A request that crashes each engine must be quarantined, while the requests
// that were beside it are served.
func TestCrashQuarantine(t *testing.T) {
	run(t, options{engines: 3}, func(f *fleet) {
		for _, e := range f.engines {
			e.SetFaults(standin.Faults{CrashMarker: "poison"})
		}
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				f.post("/v1/completions", keyRed, completion("a:1", fmt.Sprint("innocent", i), 100, false))
			})
		}
		time.Sleep(400 * time.Millisecond) // the first tokens have arrived
		f.mute()
		poison := completion("a:1", "poison", 5, false)
		r := f.post("/v1/completions", keyRed, poison)
		must.Eq(t, "backend_server_failed", r.reason(), must.Sprint(r.body))
		must.Eq(t, "outcome_unknown", r.run())
		synctest.Wait()
		crashes := 0
		for _, e := range f.engines {
			crashes += e.State().Restarts
		}
		must.Eq(t, 1, crashes, must.Sprint("the crashing request was retried"))
		wg.Wait()
		marks := f.s.Report().GetCrashes()
		fingerprints := map[string]bool{}
		for _, m := range marks {
			must.Eq(t, marks[0].GetBackendServer(), m.GetBackendServer())
			fingerprints[string(m.GetFingerprint())] = true
		}
		must.Greater(t, 1, len(fingerprints), must.Sprint("requests beside the crashing one have no mark"))
		must.Len(t, len(marks), f.s.Report().GetCrashes(), must.Sprint("marks of an unanswered report are lost"))
		var fp []byte
		f.apply(func(resp *apiv1.ReportResponse) {
			fp = fingerprint("red", "v1", "a:1", []byte(poison))
			resp.Quarantined = append(resp.Quarantined, &apiv1.Quarantined{Fingerprint: fp, RemainingMs: 200})
		})
		must.SliceEmpty(t, f.s.Report().GetCrashes())
		r = f.post("/v1/completions", keyRed, poison)
		must.Eq(t, 422, r.status)
		must.Eq(t, "quarantined", r.reason())
		must.Eq(t, "not_run", r.run())
		must.Eq(t, 200, f.post("/v1/completions", keyRed, completion("a:1", "innocent0", 5, false)).status)
	})
}

// Two crash suspects on one engine would leave it open which of them crashes it.
func TestSuspectsApart(t *testing.T) {
	run(t, options{engines: 2}, func(f *fleet) {
		f.mute()
		f.apply(func(resp *apiv1.ReportResponse) {
			for i := range 3 {
				resp.Suspects = append(resp.Suspects, &apiv1.Suspect{
					Fingerprint: fingerprint("red", "v1", "a:1", []byte(completion("a:1", fmt.Sprint(i), 40, false)))})
			}
		})
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() {
				must.Eq(t, 200, f.post("/v1/completions", keyRed, completion("a:1", fmt.Sprint(i), 40, false)).status)
			})
		}
		time.Sleep(400 * time.Millisecond) // the first tokens have arrived
		for name, e := range f.engines {
			must.Eq(t, 1, e.State().Running, must.Sprint(name))
		}
		wg.Wait()
	})
}

// A request that starts on a slot which the host reported as draining could be
// evicted while it runs.
func TestNoStartOnDrainingSlot(t *testing.T) {
	run(t, options{engines: 2}, func(f *fleet) {
		f.mute()
		seed := uint64(7)
		t.Log("seed ", seed)
		rng := rand.New(rand.NewPCG(seed, seed))
		var wg sync.WaitGroup
		for i := range 200 {
			at := time.Duration(rng.IntN(3000)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(at)
				f.post("/v1/completions", keyRed, completion("a:1", fmt.Sprint(i), 1+i%10, i%2 == 0))
			})
		}
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			drained := "e" + fmt.Sprint(rng.IntN(2))
			f.apply(func(resp *apiv1.ReportResponse) {
				for _, row := range resp.Engines {
					for _, slot := range row.Slots {
						if row.Name == drained {
							slot.State = apiv1.SlotState_SLOT_STATE_DRAINING
						}
					}
				}
			})
			acknowledged := f.s.Report()
			must.Eq(t, f.version, acknowledged.GetFleetVersion())
			running := count(acknowledged, drained)
			for range 5 {
				time.Sleep(10 * time.Millisecond)
				now := count(f.s.Report(), drained)
				must.LessEq(t, running, now, must.Sprint("a request started on a draining slot"))
				running = now
			}
		}
		f.apply(nil)
		wg.Wait()
	})
}

func count(r *apiv1.ReportRequest, server string) uint32 {
	var n uint32
	for _, row := range r.GetInFlight() {
		if row.GetEngine() == server {
			n += row.GetCount()
		}
	}
	return n
}

// A cold adapter must be reported as wanted, its requests must start when it is
// loaded, and be refused truthfully when it is not.
func TestColdAdapter(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		done := make(chan reply)
		go func() { done <- f.post("/v1/completions", keyRed, completion("cold", "x", 4, false)) }()
		time.Sleep(500 * time.Millisecond)
		demand := f.s.Report().GetDemand()
		must.Len(t, 1, demand)
		must.Eq(t, "cold", demand[0].GetRef().GetAdapter())
		must.Eq(t, 1, demand[0].GetWaiting())
		must.Eq(t, "red", demand[0].GetTeam())
		f.load("e0", "cold:1")
		must.Eq(t, 200, (<-done).status)
		must.Positive(t, f.s.metrics.stallMs.Value())

		f.engines["e0"].Restart()
		time.Sleep(600 * time.Millisecond) // the reports know of the restart
		r := f.post("/v1/completions", keyRed, completion("cold", "x", 4, false))
		must.Eq(t, "no_backend_server", r.reason())
		must.Eq(t, "not_run", r.run())
	})
}

// Retries belong to requests that did not run or are repeatable, and an engine
// that lacks an adapter costs only another choice.
func TestRetries(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(f *fleet)
		retries int64
		moved   int64
	}{
		"connect refused": {func(f *fleet) {
			f.mute()
			f.refuseDial(address(0), true)
			f.engines["e0"].Restart() // loses the connections that are open already
		}, 1, 0},
		"refused with 503": {func(f *fleet) {
			f.engines["e0"].SetFaults(standin.Faults{Refuse: -1, RefuseStatus: 503})
		}, 1, 0},
		"connection lost": {func(f *fleet) { f.engines["e0"].SetFaults(standin.Faults{LoseAnswer: -1}) }, 1, 0},
		"adapter missing": {func(f *fleet) {
			f.mute()
			f.engines["e0"].Restart()
		}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, options{engines: 2}, func(f *fleet) {
				tc.prepare(f)
				// The chance that e0 is never chosen is 2^-40.
				for i := 0; i < 40 && f.s.metrics.retries.Value()+f.s.metrics.reroutes.Value() == 0; i++ {
					r := f.post("/v1/completions", keyRed, completion("a:1", "x", 3, false))
					must.Eq(t, 200, r.status, must.Sprint(r.body))
					time.Sleep(20 * time.Millisecond)
				}
				must.GreaterEq(t, tc.retries, f.s.metrics.retries.Value())
				must.GreaterEq(t, tc.moved, f.s.metrics.reroutes.Value())
				if tc.retries == 0 {
					must.Zero(t, f.s.metrics.retries.Value())
				}
			})
		})
	}
}

// An engine that refuses everything answers fastest and looks idle; it must not
// draw the requests that the others could serve.
func TestRefusingEngine(t *testing.T) {
	run(t, options{engines: 4}, func(f *fleet) {
		f.engines["e0"].SetFaults(standin.Faults{Refuse: -1, RefuseStatus: 503})
		for range 100 {
			r := f.post("/v1/completions", keyRed, completion("a:1", "x", 3, false))
			must.Eq(t, 200, r.status, must.Sprint(r.body))
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// A refusal of a later attempt must not hide that an earlier one may have run.
func TestRunStateOfEarlierAttempt(t *testing.T) {
	run(t, options{engines: 2}, func(f *fleet) {
		f.engines["e0"].SetFaults(standin.Faults{LoseAnswer: -1})
		f.engines["e1"].SetFaults(standin.Faults{Refuse: -1, RefuseStatus: 503})
		ran := 0
		for range 12 {
			r := f.post("/v1/completions", keyRed, completion("a:1", "x", 3, false))
			must.NotEq(t, 200, r.status)
			if now := f.engines["e0"].State().Record.Executions; now > ran {
				ran = now
				must.Eq(t, "outcome_unknown", r.run(), must.Sprint(r.body))
			}
			time.Sleep(400 * time.Millisecond)
		}
		must.Positive(t, ran)
	})
}

// Without a bound on retries, a failing pool would get a multiple of its load.
func TestRetryBudget(t *testing.T) {
	run(t, options{engines: 2}, func(f *fleet) {
		for _, e := range f.engines {
			e.SetFaults(standin.Faults{Refuse: -1, RefuseStatus: 503})
		}
		start := time.Now()
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() {
				r := f.post("/v1/completions", keyRed, completion("a:1", "x", 3, false))
				must.Eq(t, 503, r.status)
				must.Eq(t, "not_run", r.run())
			})
		}
		wg.Wait()
		must.Less(t, 5*time.Second, time.Since(start), must.Sprint("a retry waited although no engine was left"))
		must.LessEq(t, 100/10+3+3*5, f.s.metrics.retries.Value())
	})
}

// A team over its rate must wait for tokens and then be refused truthfully;
// another team must not notice.
func TestRateLimit(t *testing.T) {
	run(t, options{rate: 400, limits: Limits{InteractiveWait: 2 * time.Second}}, func(f *fleet) {
		var mu sync.Mutex
		outcomes := map[string]int{}
		var wg sync.WaitGroup
		for range 30 {
			wg.Go(func() {
				r := f.post("/v1/completions", keyRed, completion("a:1", "x", 100, false))
				mu.Lock()
				defer mu.Unlock()
				outcomes[fmt.Sprint(r.status, r.reason(), r.run())]++
				if r.status == 429 {
					must.NotEq(t, "", r.header.Get("Retry-After"))
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 200, f.post("/v1/completions", keyBlue, completion("a:1", "x", 20, false)).status)
		wg.Wait()
		must.Eq(t, 30, outcomes["200"]+outcomes["429rate_limitednot_run"], must.Sprint(outcomes))
		must.Positive(t, outcomes["200"], must.Sprint(outcomes))
		must.Positive(t, outcomes["429rate_limitednot_run"], must.Sprint(outcomes))
		must.Eq(t, 0, len(f.s.metrics.withinRate.String())-len("{}"), must.Sprint(f.s.metrics.withinRate.String()))
	})
}

// max_concurrent bounds what one team holds of a host.
func TestTeamConcurrency(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				must.Eq(t, 200, f.post("/v1/completions", keyBlue, completion("a:1", "x", 50, false)).status)
			})
		}
		time.Sleep(100 * time.Millisecond)
		r := f.post("/v1/completions", keyBlue, completion("a:1", "x", 50, false))
		must.Eq(t, 429, r.status)
		must.Eq(t, "not_run", r.run())
		wg.Wait()
		must.Eq(t, 200, f.post("/v1/completions", keyBlue, completion("a:1", "x", 5, false)).status)
	})
}

// Without a bound on connections, idle callers could use up a host's memory.
func TestConnectionBound(t *testing.T) {
	run(t, options{limits: Limits{Connections: 1}}, func(f *fleet) {
		resp, r := f.open(f.t.Context(), "/v1/completions", keyRed, "a:1", 50)
		must.Error(t, f.do(f.request(f.t.Context(), "GET", "/healthz", "", "")).err)
		_, whole := textOf(t, rest(t, resp, r))
		must.True(t, whole)
		must.Eq(t, 200, f.do(f.request(f.t.Context(), "GET", "/healthz", "", "")).status)
	})
}

// A drain must fail the health check first, serve until the balancer has
// noticed, cut no running request, and say what it waits for.
func TestDrain(t *testing.T) {
	run(t, options{limits: Limits{BalancerDelay: 3 * time.Second}, service: standin.ServiceOptions{Delay: 4800 * time.Millisecond}}, func(f *fleet) {
		body := completion("a:1", "x", 3, false)
		health := func() int { return f.do(f.request(f.t.Context(), "GET", "/healthz", "", "")).status }
		must.Eq(t, 200, health())
		resp, r := f.open(f.t.Context(), "/v1/completions", keyRed, "a:1", 400) // 8 s
		paid := make(chan reply)
		go func() { paid <- f.pay(f.t.Context(), "k1", "x") }()
		time.Sleep(time.Second)
		f.s.Drain()
		must.Eq(t, 503, health())
		must.True(t, f.s.Report().GetLeaving())
		during := f.post("/v1/completions", keyRed, body)
		must.Eq(t, 200, during.status)
		must.True(t, during.closed)
		time.Sleep(3100 * time.Millisecond)
		after := f.post("/v1/completions", keyRed, body)
		must.Eq(t, 503, after.status)
		must.Eq(t, "draining", after.reason())
		must.Eq(t, "not_run", after.run())
		must.Eq(t, []string{"route pay: 1 requests", "route v1: 1 requests"}, f.s.WaitingFor())
		must.Eq(t, 200, (<-paid).status)
		_, whole := textOf(t, rest(t, resp, r))
		must.True(t, whole)
		synctest.Wait()
		must.SliceEmpty(t, f.s.WaitingFor())
	})
}

// An engine that is leaving gets no new work.
func TestLeavingEngine(t *testing.T) {
	run(t, options{engines: 2}, func(f *fleet) {
		b, _ := f.view.Config().BackendServer("e0")
		leaving := &apiv1.BackendServer{Name: b.GetName(), Address: b.GetAddress(), Kind: b.GetKind(), Pool: b.GetPool(),
			BaseModel: b.GetBaseModel(), MaxBatch: b.GetMaxBatch(), Leaving: true}
		f.view.change(&apiv1.Op{Op: &apiv1.Op_PutBackendServer{PutBackendServer: leaving}})
		synctest.Wait()
		for range 20 {
			must.Eq(t, 200, f.post("/v1/completions", keyRed, completion("a:1", "x", 2, false)).status)
		}
		must.Zero(t, f.engines["e0"].State().Record.Executions)
	})
}

// More requests than the engines batch must wait in the fair queue and must not
// be refused while their deadline allows them to wait.
func TestFullEngines(t *testing.T) {
	run(t, options{engines: 2}, func(f *fleet) {
		var wg sync.WaitGroup
		for range 200 {
			wg.Go(func() {
				r := f.post("/v1/completions", keyRed, completion("a:1", "x", 10, false))
				must.Eq(t, 200, r.status, must.Sprint(r.body))
			})
		}
		time.Sleep(400 * time.Millisecond)
		for name, e := range f.engines {
			must.LessEq(t, 4, e.State().Waiting, must.Sprint(name, " queues requests itself"))
		}
		wg.Wait()
	})
}

// Arrivals that a lost report named must be reported again, and none twice.
func TestArrivals(t *testing.T) {
	run(t, options{}, func(f *fleet) {
		f.mute()
		must.Eq(t, 200, f.post("/v1/completions", keyRed, completion("a:1", "x", 2, false)).status)
		for range 2 {
			demand := f.s.Report().GetDemand()
			must.Len(t, 1, demand)
			must.Eq(t, 1, demand[0].GetArrivals())
		}
		f.apply(nil)
		must.SliceEmpty(t, f.s.Report().GetDemand())
	})
}

// A reservation that is not returned would use up the team's rate without work.
func TestReservationReturned(t *testing.T) {
	run(t, options{rate: 1000}, func(f *fleet) {
		f.engines["e0"].SetFaults(standin.Faults{Refuse: -1, RefuseStatus: 400})
		start := time.Now()
		for range 10 {
			r := f.post("/v1/completions", keyRed, completion("a:1", "x", 900, false))
			must.Eq(t, 400, r.status, must.Sprint(r.body))
			must.Eq(t, "not_run", r.run())
		}
		must.Less(t, 2*time.Second, time.Since(start), must.Sprint("9,000 tokens take 9 s at the team's rate"))
	})
}

// A request whose deadline cannot be met must be refused at once and not after
// it has waited in vain, and must not push out those that can be served.
func TestEarlyRefusal(t *testing.T) {
	run(t, options{limits: Limits{InteractiveWait: 2 * time.Second}}, func(f *fleet) {
		var mu sync.Mutex
		outcomes := map[string]int{}
		send := func(n int) {
			var wg sync.WaitGroup
			for range n {
				wg.Go(func() {
					start := time.Now()
					r := f.post("/v1/completions", keyRed, completion("a:1", "x", 10, false))
					when := "late"
					if time.Since(start) < 500*time.Millisecond {
						when = "at once"
					}
					mu.Lock()
					defer mu.Unlock()
					if r.status == 200 {
						when = ""
					} else {
						must.Eq(t, "not_run", r.run())
						must.NotEq(t, "", r.header.Get("Retry-After"))
					}
					outcomes[fmt.Sprint(r.status, r.reason(), when)]++
				})
			}
			wg.Wait()
		}
		for range 40 { // little traffic says nothing about what can be served
			send(1)
			time.Sleep(200 * time.Millisecond)
		}
		send(100) // about 80 requests/s
		must.Eq(t, 140, outcomes["200"], must.Sprint(outcomes))
		clear(outcomes)
		send(500)
		t.Log(outcomes)
		must.Greater(t, 200, outcomes["503deadline_exceededat once"], must.Sprint(outcomes))
		must.Greater(t, 100, outcomes["200"], must.Sprint(outcomes))
		clear(outcomes)
		var cold sync.WaitGroup
		for range 100 {
			cold.Go(func() {
				r := f.post("/v1/completions", keyRed, completion("cold", "x", 500, false))
				must.Eq(t, "no_backend_server", r.reason())
			})
		}
		time.Sleep(400 * time.Millisecond)
		send(20)
		must.Eq(t, 20, outcomes["200"], must.Sprint("requests behind a load were refused: ", outcomes))
		cold.Wait()
	})
}
