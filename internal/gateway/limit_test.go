package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
	"github.com/jasminesaddle/jasminesaddle/internal/serverlimit"
)

// TestAdapterAtLimitedServer guards against requests that are refused, or sent beyond the limit, because the only server
// with their adapter has named one.
func TestAdapterAtLimitedServer(t *testing.T) {
	start(t, func(h *harness) {
		only := residency.Ref{Model: "m", Adapter: "a2"}
		h.view.Servers["llm1"].Residents[only] = exchange.Resident{Version: 1, ReadyAt: time.Now()}
		h.view.Limits = map[string]serverlimit.Limit{"llm1": {Instance: "llm1", PerSecond: 2, Share: 0.5, NamedAt: time.Now()}}
		h.acquire = func(r residency.Request) (exchange.Acquired, error) {
			must.SliceContains(t, r.Avoid, "llm1", must.Sprint("the leader would choose the limited server again"))
			h.view.Servers["llm2"].Residents[only] = exchange.Resident{Version: 1, ReadyAt: time.Now()}
			return exchange.Acquired{Instance: "llm2"}, nil
		}
		h.respond = func(_ int, a Attempt) reply {
			rep := reply{status: 200, body: &body{pieces: []string{event("1")}}}
			if a.Instance == "llm1" {
				rep.limit = 2
			}
			return rep
		}
		ask := func() error {
			_, err := h.ask("stream", func(r *Request) { r.Weights = only })
			return err
		}
		for range 5 {
			must.NoError(t, ask())
		}
		must.SliceNotContains(t, h.instances(), "llm1")
		time.Sleep(3 * time.Second)
		h.view.Confirmed = time.Now()
		h.view.ByService[llm] = h.view.ByService[llm][:1]
		must.NoError(t, ask(), must.Sprint("the limited server is left idle"))
		before := len(h.sent)
		began := time.Now()
		h.acquire = func(residency.Request) (exchange.Acquired, error) {
			return exchange.Acquired{}, fault.New(fault.KindOverloaded, "no place", "retry").WithRun(fault.NotRun).After(time.Second)
		}
		err := ask()
		must.Eq(t, fault.KindOverloaded, fault.KindOf(err))
		must.Eq(t, fault.NotRun, runOf(t, err))
		must.Less(t, 500*time.Millisecond, time.Since(began))
		must.Eq(t, before, len(h.sent))
		req := &apiv1.ExchangeRequest{}
		h.g.Report(req)
		must.Len(t, 1, req.GetLimits(), must.Sprint("the leader does not learn of the limit"))
	})
}
