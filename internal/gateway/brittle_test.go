package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/h1"
	"github.com/jasminesaddle/jasminesaddle/internal/places"
)

func brittleReply(status int) reply {
	return reply{status: status, notRun: status == 503, brittle: 3, after: 20 * time.Millisecond, body: &body{pieces: []string{"ok"}}}
}

// Guards against a request to a brittle server at which this host has no place, and a refusal that reads as
// overload of another kind.
func TestNoRequestWithoutPlace(t *testing.T) {
	start(t, func(h *harness) {
		h.view.Brittle = map[string]exchange.BrittleServer{}
		for i, s := range h.view.ByService[plain] {
			h.view.Brittle[s.Instance] = exchange.BrittleServer{
				Fact: places.Fact{Instance: s.Instance, Tolerated: 3, NamedAt: time.Now()}, Places: i, // 0, 1 and 2
			}
		}
		h.respond = func(int, Attempt) reply { return brittleReply(200) }
		refused := 0
		for range 10 {
			go func() {
				if _, err := h.ask("safe", nil); err != nil {
					must.Eq(t, fault.NotRun, runOf(t, err))
					must.StrContains(t, err.Error(), "brittle")
					refused++
				}
			}()
			synctest.Wait()
		}
		time.Sleep(time.Second)
		must.Eq(t, 7, refused)
		must.SliceNotContains(t, h.instances(), plain+"1")
		req := &apiv1.ExchangeRequest{}
		h.g.Report(req)
		must.Len(t, 3, req.GetBrittle())
		for _, b := range req.GetBrittle() {
			must.Eq(t, 3, b.GetTolerated())
			must.Positive(t, b.GetWanted())
		}
	})
}

// Guards against a second request to a brittle server that has just turned one away.
func TestNoRequestAfterRefusal(t *testing.T) {
	start(t, func(h *harness) {
		h.respond = func(_ int, a Attempt) reply {
			if a.Instance == plain+"1" {
				return brittleReply(503)
			}
			return reply{status: 200, body: &body{pieces: []string{"ok"}}}
		}
		tried := func() (n int) {
			for _, instance := range h.instances() {
				if instance == plain+"1" {
					n++
				}
			}
			return n
		}
		for range 20 {
			_, err := h.ask("safe", nil)
			must.NoError(t, err)
		}
		must.Eq(t, 1, tried())
		time.Sleep(time.Second)
		_, err := h.ask("safe", nil)
		must.NoError(t, err)
		must.Eq(t, 2, tried())
	})
}

// Guards against sound requests that are quarantined because they were in flight at servers that fell over.
func TestFallOfBrittleServerIsNoEvidence(t *testing.T) {
	start(t, func(h *harness) {
		h.view.Brittle = map[string]exchange.BrittleServer{}
		for _, s := range h.view.ByService[plain] {
			h.view.Brittle[s.Instance] = exchange.BrittleServer{Fact: places.Fact{Instance: s.Instance, Tolerated: 3, NamedAt: time.Now()}, Places: 2}
			h.crashed[s.Address] = true
		}
		h.respond = func(int, Attempt) reply { return reply{err: h1.NewError(true, false, errReset)} }
		_, _ = h.ask("safe", nil)
		synctest.Wait()
		req := &apiv1.ExchangeRequest{}
		h.g.Report(req)
		must.SliceEmpty(t, req.GetCrashes())
	})
}
