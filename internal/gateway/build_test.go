package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// setBuilds sets the builds of the engines.
func (h *harness) setBuilds(builds ...string) {
	for i, s := range h.view.ByService[llm] {
		s.Build = builds[i]
	}
}

func (h *harness) buildOf(instance string) string { return h.view.Servers[instance].Build }

// Guards against a broken stream that goes on at an engine of another build.
func TestBrokenStreamStaysAtBuild(t *testing.T) {
	for name, tc := range map[string]struct {
		builds []string
		goesOn bool
	}{
		"another engine of the build":  {[]string{"v1", "v1", "v1"}, true},
		"two builds with two engines":  {[]string{"v2", "v2", "v1"}, false},
		"all engines of three builds":  {[]string{"v1", "v2", "v3"}, false},
		"builds that order as numbers": {[]string{"1.10", "1.9", "1.1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			start(t, func(h *harness) {
				h.setBuilds(tc.builds...)
				h.acquire = func(residency.Request) (exchange.Acquired, error) {
					return exchange.Acquired{}, fault.New(fault.KindOverloaded, "no adapter slot", "again").WithRun(fault.NotRun)
				}
				h.respond = func(_ int, a Attempt) reply {
					if a.AfterEvent == "" {
						return reply{status: 200, body: &body{pieces: []string{event("1")}, end: errReset}}
					}
					return reply{status: 200, body: &body{pieces: []string{event("2")}}}
				}
				for range 12 {
					h.sent = nil
					c, err := h.ask("stream", nil)
					must.NoError(t, err)
					for _, s := range h.sent {
						must.Eq(t, h.buildOf(h.sent[0].instance), h.buildOf(s.instance), must.Sprint("streams were joined: ", h.instances()))
					}
					if tc.goesOn {
						must.Eq(t, event("1")+event("2"), c.String())
					}
					if len(h.sent) == 1 {
						must.True(t, c.aborted, must.Sprint("a partial response looks complete"))
					}
				}
			})
		})
	}
}

// Guards against a request that is held to a build although the caller has no event of it yet.
func TestRetryBeforeFirstEventAtAnyBuild(t *testing.T) {
	start(t, func(h *harness) {
		h.setBuilds("v1", "v2", "v3")
		h.respond = func(n int, _ Attempt) reply {
			if n == 0 {
				return reply{status: 200, body: &body{pieces: []string{"id: 1\nda"}, end: errReset}}
			}
			return reply{status: 200, body: &body{pieces: []string{event("1")}}}
		}
		c, err := h.ask("stream", nil)
		must.NoError(t, err)
		must.Eq(t, event("1"), c.String())
	})
}

// Guards against a silent stream that is ended although no other engine of its build can go on with it.
func TestSilenceEndsNoStreamOfSoleBuild(t *testing.T) {
	start(t, func(h *harness) {
		h.setBuilds("v1", "v2", "v3")
		h.acquire = func(residency.Request) (exchange.Acquired, error) {
			return exchange.Acquired{}, fault.New(fault.KindOverloaded, "no adapter slot", "again").WithRun(fault.NotRun)
		}
		h.respond = func(int, Attempt) reply {
			return reply{status: 200, body: &body{pieces: []string{event("1"), event("2")}, gap: 1300 * time.Millisecond}}
		}
		c, err := h.ask("stream", func(r *Request) { r.Timeout = 3 * time.Second })
		must.NoError(t, err)
		must.False(t, c.aborted)
		must.Eq(t, event("1")+event("2"), c.String())
	})
}
