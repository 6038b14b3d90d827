package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/h1"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// simRelay passes requests to other hosts of a simulated fleet.
type simRelay struct{ s *fleetSim }

func (r simRelay) Send(ctx context.Context, helper exchange.Helper, req *Request, h Handover) (*Response, error) {
	time.Sleep(simRoundTrip)
	n, _ := strconv.Atoi(strings.TrimPrefix(helper.Host, "host"))
	var to *simHost
	r.s.locked(func() { to = r.s.hosts[n] })
	if to == nil {
		return nil, h1.NewError(false, false, errReset)
	}
	relayed := *req
	relayed.Handover, relayed.Received = &h, time.Now()
	w := newSimPipe()
	ctx, cancel := context.WithCancel(ctx)
	lost := context.AfterFunc(to.ctx, cancel)
	go func() {
		to.awaitThaw()
		err := to.gateway.ServeRelayed(ctx, &relayed, w)
		w.end(err)
		lost()
		cancel()
	}()
	<-w.begun
	if !w.started {
		if e, ok := fault.As(w.err); ok && to.ctx.Err() == nil {
			return &Response{Refusal: e, NotTaken: errors.Is(w.err, ErrNotTaken)}, nil
		}
		return nil, h1.NewError(true, false, errReset)
	}
	return &Response{Status: w.status, Header: http.Header{}, Length: -1, FromBackend: true, Body: w.reader, Origin: w.origin}, nil
}

// simPipe carries a response from the helper to the host that relays it.
type simPipe struct {
	reader  *io.PipeReader
	writer  *io.PipeWriter
	begun   chan struct{}
	once    sync.Once
	started bool
	status  int
	origin  origin.Origin
	err     error
}

func newSimPipe() *simPipe {
	r, w := io.Pipe()
	return &simPipe{reader: r, writer: w, begun: make(chan struct{})}
}

func (p *simPipe) SetOrigin(o origin.Origin) { p.origin = o }

func (p *simPipe) Start(status int, _ http.Header, _ int64) {
	p.started, p.status = true, status
	p.once.Do(func() { close(p.begun) })
}

func (p *simPipe) Write(b []byte) (int, error) { return p.writer.Write(b) }
func (p *simPipe) Flush() error                { return nil }
func (p *simPipe) Abort()                      { _ = p.writer.CloseWithError(errReset) }

func (p *simPipe) end(err error) {
	p.err = err
	p.once.Do(func() { close(p.begun) })
	_ = p.writer.Close()
}

// triesCount counts first attempts at the cut hosts and at the others.
type triesCount struct{ cutServed, cutSent, otherServed, otherSent atomic.Int64 }

// try makes one attempt at a host.
func (s *fleetSim) try(i int, cut bool, count *triesCount) {
	id := ""
	var h *simHost
	s.locked(func() {
		s.attempts++
		id, h = fmt.Sprint("try", s.attempts), s.hosts[i]
	})
	r := &Request{
		ID: id, Method: "POST", Target: "/stream/x", Path: "/stream/x", Host: "h", APIKey: "k", Generation: true,
		Weights: residency.Ref{Model: "m"}, PromptTokens: 50, OutputTokens: 10, Timeout: simPatience, Received: time.Now(),
	}
	c := &caller{}
	err := h.gateway.Serve(h.ctx, r, c)
	served := int64(0)
	if err == nil && !c.aborted && bytes.Count(c.Bytes(), []byte("id: ")) == streamEvents {
		served = 1
	}
	if cut {
		count.cutSent.Add(1)
		count.cutServed.Add(served)
		return
	}
	count.otherSent.Add(1)
	count.otherServed.Add(served)
}

// TestCutOffHostsShareHelpers guards against hosts that are cut off together and overload or find no helper, and against
// helpers whose own callers pay for it.
func TestCutOffHostsShareHelpers(t *testing.T) {
	for name, tc := range map[string]struct {
		hosts, cut int
		leaderLost bool
	}{
		"1 of 6": {6, 1, false}, "3 of 6": {6, 3, false}, "5 of 6": {6, 5, false}, "40 of 75": {75, 40, false},
		"a whole failure domain of 75": {75, 25, false}, "3 of 6 without a leader": {6, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			var count triesCount
			playFleet(t, 1, tc.hosts, func(s *fleetSim) {
				cut := map[int]bool{}
				for i := range tc.cut {
					// Every third host is in the same failure domain.
					n := i
					if strings.HasPrefix(name, "a whole") {
						n = 3 * i
					}
					cut[n] = true
				}
				var calls sync.WaitGroup
				traffic := func(d time.Duration, into *triesCount) {
					for began := time.Now(); time.Since(began) < d; {
						s.pause(simRate)
						i := 0
						s.locked(func() { i = s.rng.IntN(tc.hosts) })
						calls.Go(func() { s.try(i, cut[i], into) })
					}
				}
				traffic(2*time.Second, &triesCount{})
				for i := range cut {
					s.hosts[i].cutOff.Store(true)
				}
				if tc.leaderLost {
					s.locked(func() { s.leader = -1 })
				}
				traffic(3*time.Second, &triesCount{}) // contact_ms of the deployments
				traffic(5*time.Second, &count)
				calls.Wait()
			})
			t.Logf("first attempts served: %d of %d at cut hosts, %d of %d at the others",
				count.cutServed.Load(), count.cutSent.Load(), count.otherServed.Load(), count.otherSent.Load())
			must.GreaterEq(t, 2*count.otherServed.Load()*count.cutSent.Load(), 3*count.cutServed.Load()*count.otherSent.Load())
			must.GreaterEq(t, count.otherSent.Load()*95/100, count.otherServed.Load())
		})
	}
}
