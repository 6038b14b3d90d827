package entry

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/standin"
)

// Requests of a team over its rate must wait for tokens and then be refused as
// not run. Another team must not be affected.
func TestRateLimit(t *testing.T) {
	run(t, options{rate: 400, limits: Limits{MaxInteractiveWait: 2 * time.Second}}, func(f *fleet) {
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

// max_concurrent must limit the requests of one team on a host.
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

// Without a limit on connections, idle callers could exhaust a host's memory.
func TestConnectionBound(t *testing.T) {
	run(t, options{limits: Limits{Connections: 1}}, func(f *fleet) {
		resp, r := f.openStream(f.t.Context(), "/v1/completions", keyRed, "a:1", 50)
		must.Error(t, f.do(f.request(f.t.Context(), "GET", "/healthz", "", "")).err)
		_, whole := textOf(t, readRest(t, resp, r))
		must.True(t, whole)
		must.Eq(t, 200, f.do(f.request(f.t.Context(), "GET", "/healthz", "", "")).status)
	})
}

// During a drain the health check must fail at once, new requests must be served
// until the balancer delay has passed, running requests must complete, and
// WaitingFor must list them.
func TestDrain(t *testing.T) {
	run(t, options{limits: Limits{BalancerDelay: 3 * time.Second}, service: standin.ServiceOptions{Delay: 4800 * time.Millisecond}}, func(f *fleet) {
		body := completion("a:1", "x", 3, false)
		health := func() int { return f.do(f.request(f.t.Context(), "GET", "/healthz", "", "")).status }
		must.Eq(t, 200, health())
		resp, r := f.openStream(f.t.Context(), "/v1/completions", keyRed, "a:1", 400) // 8 s
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
		_, whole := textOf(t, readRest(t, resp, r))
		must.True(t, whole)
		synctest.Wait()
		must.SliceEmpty(t, f.s.WaitingFor())
	})
}

// Requests above the engines' batch size must wait in the fair queue, not at the
// engines, and must not be refused before their deadline.
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
			must.LessEq(t, 4, e.State().Waiting, must.Sprint("requests wait at engine ", name))
		}
		wg.Wait()
	})
}

// The reservation of a request that did not run must be returned; otherwise it
// would count against the team's rate.
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

// A request that cannot meet its deadline must be refused at once, and requests
// that can meet theirs must be served.
func TestEarlyRefusal(t *testing.T) {
	run(t, options{limits: Limits{MaxInteractiveWait: 2 * time.Second}}, func(f *fleet) {
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
		for range 40 { // little traffic must not count as low throughput
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
