package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// endlessBackend answers with bodies of the same byte that do not end by themselves.
type endlessBackend struct {
	status int
	// arrived waits until all requests have arrived.
	arrived sync.WaitGroup

	mu sync.Mutex
	// open is the number of bytes read of the bodies that are not closed, and peak its maximum.
	open, peak int
}

func (e *endlessBackend) add(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open += n
	e.peak = max(e.peak, e.open)
}

// endlessBody is a body of endlessBackend. It ends after mostEndless bytes, so that a test
// without a limit ends.
type endlessBody struct {
	b    *endlessBackend
	read int
}

const mostEndless = 40 << 20

func (e *endlessBody) Read(p []byte) (int, error) {
	if e.read == 0 {
		e.b.arrived.Done()
		e.b.arrived.Wait()
	}
	if e.read >= mostEndless {
		return 0, io.ErrUnexpectedEOF
	}
	for i := range p {
		p[i] = 'x'
	}
	e.read += len(p)
	e.b.add(len(p))
	return len(p), nil
}

func (e *endlessBody) Close() error {
	e.b.add(-e.read)
	return nil
}

func (e *endlessBackend) Send(context.Context, *Request, Attempt) (*Response, error) {
	return &Response{Status: e.status, Header: http.Header{}, Length: -1, Body: &endlessBody{b: e}, FromBackend: true}, nil
}

func (e *endlessBackend) Reachable(context.Context, string) bool { return true }

// Servers that send bodies without end must not take a host's memory: all requests
// together buffer no more than the limit, and the next request is served.
func TestEndlessBodies(t *testing.T) {
	const requests = 20
	const memory = 16 << 20
	for _, tc := range []struct {
		name, route string
		status      int
	}{{"plain", "unsafe", 200}, {"error", "unsafe", 500}, {"stream", "once", 200}} {
		t.Run(tc.name, func(t *testing.T) {
			start(t, func(h *harness) {
				b := &endlessBackend{status: tc.status}
				b.arrived.Add(requests)
				h.g.opts.Backend = b
				for _, s := range h.view.Servers {
					s.Slots = requests
				}
				var callers sync.WaitGroup
				for range requests {
					callers.Go(func() {
						c, err := h.ask(tc.route, nil)
						must.Eq(t, fault.OutcomeUnknown, runOf(t, err))
						must.False(t, c.started)
					})
				}
				callers.Wait()
				h.g.Wait()
				must.LessEq(t, memory, b.peak)
				h.g.opts.Backend = h
				h.respond = func(int, Attempt) reply { return reply{status: 200, body: &body{pieces: []string{"ok"}}} }
				c, err := h.ask("unsafe", nil)
				must.NoError(t, err)
				must.Eq(t, "ok", c.String())
			})
		})
	}
}

// A stalled stream that sends a byte now and then, but no event, must end at the caller's deadline and free its place at the
// engine; a slow one whose events come must not be cut before it.
func TestTricklingStreams(t *testing.T) {
	trickle := make([]string, 400)
	for i := range trickle {
		trickle[i] = "x"
	}
	trickle[0] = event("1") + "id: 2\ndata: "
	for _, route := range []string{"stream", "once"} {
		start(t, func(h *harness) {
			h.respond = func(int, Attempt) reply {
				return reply{status: 200, body: &body{pieces: append([]string{}, trickle...), gap: 300 * time.Millisecond}}
			}
			began := time.Now()
			c, err := h.ask(route, nil)
			must.NoError(t, err)
			must.True(t, c.aborted)
			must.LessEq(t, 2500*time.Millisecond, time.Since(began))
			for instance := range h.g.usage.servers {
				must.Zero(t, h.g.usage.servers[instance].inFlight)
			}
		})
		start(t, func(h *harness) {
			h.respond = func(int, Attempt) reply {
				return reply{status: 200, body: &body{pieces: []string{event("1"), event("2"), event("3")}, gap: 900 * time.Millisecond}}
			}
			c, err := h.ask(route, nil)
			must.NoError(t, err)
			must.False(t, c.aborted)
			must.Eq(t, event("1")+event("2")+event("3"), c.String())
		})
	}
}
