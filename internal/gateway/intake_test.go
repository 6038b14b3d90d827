package gateway

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// Any answer of a server that leaves must keep later requests from it, of every kind: refusals, errors, streams that are
// resumed, and requests that were placed there before it said so.
func TestAnyAnswerSaysThatServerLeaves(t *testing.T) {
	for name, tc := range map[string]struct {
		route string
		reply reply
	}{
		"success":       {"safe", reply{status: 200}},
		"refused":       {"unsafe", reply{status: 503, notRun: true}},
		"not found":     {"safe", reply{status: 404}},
		"server error":  {"unsafe", reply{status: 500}},
		"misdirected":   {"stream", reply{status: 421, misdirected: true}},
		"broken stream": {"stream", reply{status: 200, body: &body{pieces: []string{event("1")}, end: errReset}}},
	} {
		t.Run(name, func(t *testing.T) {
			start(t, func(h *harness) {
				said := ""
				h.acquire = func(residency.Request) (exchange.Acquired, error) { return exchange.Acquired{}, nil }
				h.respond = func(n int, a Attempt) reply {
					if n == 0 {
						said = a.Instance
						tc.reply.leaving = true
						return tc.reply
					}
					must.NotEq(t, said, a.Instance)
					return reply{status: 200, body: &body{pieces: []string{event("2")}}}
				}
				for range 12 {
					_, _ = h.ask(tc.route, nil)
				}
				must.Greater(t, 6, len(h.sent))
				must.Eq(t, 1, len(h.g.usageReport().GetLeaving()), must.Sprint("the leader must be told"))
			})
		})
	}
}

// A request that waits for its adapter at a server must go elsewhere when the server says meanwhile that it leaves, or
// wants nothing.
func TestWaitingRequestLeavesSilentServer(t *testing.T) {
	for name, said := range map[string]reply{
		"leaves": {status: 200, leaving: true, body: &body{pieces: []string{event("1")}}},
		"quiet":  {status: 503, notRun: true, quiet: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			start(t, func(h *harness) {
				for _, instance := range []string{"llm2", "llm3"} {
					delete(h.view.Servers[instance].Residents, adapter)
				}
				loading := residency.Ref{Model: "m", Adapter: "a2"}
				h.view.Servers["llm1"].Residents[loading] = exchange.Resident{Version: 1, ReadyAt: time.Now().Add(300 * time.Millisecond)}
				h.acquire = func(residency.Request) (exchange.Acquired, error) { return exchange.Acquired{}, nil }
				h.view.Servers["llm2"].Residents[loading] = exchange.Resident{Version: 1, ReadyAt: time.Now().Add(400 * time.Millisecond)}
				h.respond = func(_ int, a Attempt) reply {
					if a.Instance == "llm1" {
						return said
					}
					return reply{status: 200, body: &body{pieces: []string{event("1")}}}
				}
				var calls sync.WaitGroup
				for range 5 {
					calls.Go(func() {
						c, err := h.ask("stream", func(r *Request) { r.Weights = loading })
						must.NoError(t, err)
						must.Eq(t, 200, c.status)
					})
				}
				synctest.Wait()
				_, _ = h.ask("stream", nil)
				calls.Wait()
				atSilent := 0
				for _, instance := range h.instances() {
					if instance == "llm1" {
						atSilent++
					}
				}
				must.Eq(t, 1, atSilent)
			})
		})
	}
}

// When all servers of a service have asked for quiet, callers must be refused at once and told when there is room, and must
// be served again then.
func TestAllServersQuiet(t *testing.T) {
	start(t, func(h *harness) {
		quiet := true
		h.respond = func(int, Attempt) reply {
			if quiet {
				return reply{status: 503, notRun: true, quiet: 1500 * time.Millisecond}
			}
			return reply{status: 200}
		}
		_, err := h.ask("unsafe", nil)
		must.Eq(t, fault.NotRun, runOf(t, err))
		must.Len(t, 3, h.sent)
		asked := time.Now()
		_, err = h.ask("unsafe", nil)
		refusal, _ := fault.As(err)
		must.Len(t, 3, h.sent)
		must.Zero(t, time.Since(asked))
		must.GreaterEq(t, 1500*time.Millisecond, refusal.RetryAfter, must.Sprint("callers return before there is room"))
		must.LessEq(t, 3*time.Second, refusal.RetryAfter)
		quiet = false
		time.Sleep(refusal.RetryAfter)
		_, err = h.ask("unsafe", nil)
		must.NoError(t, err)
	})
}
