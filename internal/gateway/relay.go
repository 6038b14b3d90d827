package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/h1"
	"github.com/jasminesaddle/jasminesaddle/internal/origin"
)

const (
	// maxHelpers limits the helpers to which one request is sent before its response begins.
	maxHelpers = 2
	// hopMargin is taken off the remaining time for the way to the helper and back.
	hopMargin = 15 * time.Millisecond
	// maxRelayed limits the requests that a helper serves for other hosts at a time.
	maxRelayed = 400
	// otherDomainCost is the number of running requests that weighs as much as another failure domain.
	otherDomainCost = 6
	// helperPause is how long a helper that took no request, or could not be reached, is not chosen while
	// there are others.
	helperPause = time.Second
	// helperRetryAfter is the time after which another helper is likely to be known.
	helperRetryAfter = 300 * time.Millisecond
)

// Handover is what a host that reaches no backend server passes on with a request.
type Handover struct {
	// From is the name of that host.
	From string
	// Remaining is how long the helper may take.
	Remaining time.Duration
	// Origin began the stream that goes on after the request's AfterEvent; empty when it is to be
	// found.
	Origin origin.Origin
	// MaxRuns limits the backend servers that may run the request.
	MaxRuns int
	// Begun is true when the caller has events of the response.
	Begun bool
	// SinceEvent is the time since the caller got its last event of a begun response.
	SinceEvent time.Duration
	// Recorded is true when the leader may have a record of the stream from an earlier attempt.
	Recorded bool
}

// Relay has other entry hosts serve requests. Errors are of type *h1.Error. A response with a Refusal
// has nothing else.
type Relay interface {
	Send(ctx context.Context, helper exchange.Helper, r *Request, h Handover) (*Response, error)
}

// relays counts the requests in flight at each helper.
type relays struct {
	mu       sync.Mutex
	inFlight map[string]int
	// pausedUntil is when a helper that took no request is chosen again.
	pausedUntil map[string]time.Time
	// received is the number of requests that this host serves for others.
	received int
}

func newRelays() relays {
	return relays{inFlight: map[string]int{}, pausedUntil: map[string]time.Time{}}
}

func (r *relays) add(helper string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[helper] += n; r.inFlight[helper] == 0 {
		delete(r.inFlight, helper)
	}
}

// pause has other helpers chosen for a while.
func (r *relays) pause(helper string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausedUntil[helper] = now.Add(helperPause)
}

// receive counts a request of another host, and reports whether there is room for it.
func (r *relays) receive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.received >= maxRelayed {
		return false
	}
	r.received++
	return true
}

func (r *relays) endReceived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received--
}

// choose returns the helper with the lowest load as far as this host knows it, where a helper in another
// failure domain counts as busier. The order of equal ones is random, so that hosts that are cut off together spread.
func (r *relays) choose(helpers []exchange.Helper, domain string, tried map[string]bool, now time.Time) (exchange.Helper, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best exchange.Helper
	lowest, found := 0, false
	for _, i := range rand.Perm(len(helpers)) {
		h := helpers[i]
		cost := h.Running + len(helpers)*r.inFlight[h.Host]
		if h.Domain != domain {
			cost += otherDomainCost
		}
		if now.Before(r.pausedUntil[h.Host]) {
			cost += maxRelayed
		}
		if !tried[h.Host] && (!found || cost < lowest) {
			best, lowest, found = h, cost, true
		}
	}
	return best, found
}

// ErrNotTaken is the cause of errors of a host that did nothing with a relayed request.
var ErrNotTaken = errors.New("the relayed request was not taken")

// ServeRelayed serves a request of a host that reaches no backend server. It never relays it.
func (g *Gateway) ServeRelayed(ctx context.Context, r *Request, w Responder) error {
	refuse := func(message string) error {
		return fault.Wrap(ErrNotTaken, fault.KindUnavailable, message, "send the request to another host").WithRun(fault.NotRun).After(helperRetryAfter)
	}
	if cut, _ := g.reach.CutOff(); cut {
		return refuse("this host reaches no backend server")
	}
	if !g.relays.receive() {
		return refuse("this host serves too many requests of other hosts")
	}
	defer g.relays.endReceived()
	return g.Serve(ctx, r, w)
}

// mustRelay reports whether the request is to be served by another host.
func (ar *activeRequest) mustRelay() bool {
	if ar.r.Handover != nil || ar.g.opts.Relay == nil {
		return false
	}
	cut, _ := ar.g.reach.CutOff()
	return cut || ar.unbound
}

// attemptByRelay has another host serve the request, and relays its response.
func (ar *activeRequest) attemptByRelay(ctx context.Context, last *errorResponse) (step, bool) {
	ar.awaitAfterDecline(ctx)
	helper, v, ok := ar.chooseHelper(ctx)
	if !ok {
		return step{failure: fault.New(fault.KindNoBackend, "this host reaches no backend server, and no other host serves the request for it",
			"send the request to another host").WithRun(fault.NotRun).After(helperRetryAfter)}, false
	}
	ar.helpers[helper.Host] = true
	ar.g.relays.add(helper.Host, 1)
	defer ar.g.relays.add(helper.Host, -1)
	ar.tries.RecordAttempt()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := ar.g.opts.Now()
	st := step{server: helper.Host, errResp: last}
	resp, err := ar.g.opts.Relay.Send(ctx, helper, ar.relayedRequest(), ar.handover(now))
	ar.recordSent = ar.recordSent || mayHaveRecorded(resp, err)
	switch {
	case err != nil:
		st.outcome, st.failure = ar.handleRelayError(ctx, err)
	case resp.Refusal != nil:
		st.outcome, st.failure = ar.handleRefusal(helper, resp.Refusal)
	default:
		defer resp.Body.Close()
		if resp.LeavingServer != nil {
			ar.g.usage.markLeaving(*resp.LeavingServer, now)
		}
		ar.tries.MayHaveRun()
		st.build = resp.Origin.Build
		if st.build != "" {
			if err := ar.setService(v, resp.Origin.Service); err != nil {
				return step{failure: err}, false
			}
			ar.unbound = false
		}
		p := placement{server: &exchange.Server{Instance: helper.Host, Service: resp.Origin.Service, Build: resp.Origin.Build}, helper: true}
		st.outcome, st.errResp, st.failure = ar.handleResponse(ctx, p, nil, resp, last, now)
	}
	if st.outcome == notRun {
		ar.g.relays.pause(helper.Host, ar.g.opts.Now())
	}
	return st, true
}

// chooseHelper returns the helper of the next attempt, and the view that lists it. A response that has begun waits for one
// that takes it.
func (ar *activeRequest) chooseHelper(ctx context.Context) (exchange.Helper, *exchange.View, bool) {
	for {
		v := ar.g.opts.Fleet.View()
		helper, ok := ar.g.relays.choose(v.Helpers, ar.g.opts.FailureDomain, ar.helpers, ar.g.opts.Now())
		switch {
		case ok && (ar.begun() || len(ar.helpers) < maxHelpers):
			return helper, v, true
		case !ar.begun() || !ar.pause(ctx):
			return exchange.Helper{}, v, false
		}
		clear(ar.helpers)
	}
}

// mayHaveRecorded reports whether a helper may have recorded the stream, also if it then refused the request.
func mayHaveRecorded(resp *Response, err error) bool {
	var he *h1.Error
	if err != nil {
		return !errors.As(err, &he) || he.Sent
	}
	return !resp.NotTaken
}

// relayedRequest returns the request as the helper gets it.
func (ar *activeRequest) relayedRequest() *Request {
	r := *ar.r
	// The helper may choose another service of the route.
	r.Generation = r.Weights.Model != ""
	if ar.events.lastID != "" {
		r.AfterEvent = ar.events.lastID
	}
	return &r
}

func (ar *activeRequest) handover(now time.Time) Handover {
	h := Handover{
		Remaining: ar.deadline.Sub(now) - hopMargin, MaxRuns: ar.tries.RunsLeft(), Recorded: ar.recordSent, Begun: ar.begun(),
	}
	if h.Begun {
		h.SinceEvent = now.Sub(ar.lastEvent())
	}
	if ar.build.Load() != nil {
		h.Origin = ar.origin()
	}
	return h
}

// handleRelayError handles a relay without a response.
func (ar *activeRequest) handleRelayError(ctx context.Context, err error) (attemptOutcome, error) {
	var he *h1.Error
	sent := !errors.As(err, &he) || he.Sent
	if sent {
		ar.tries.MayHaveRun()
	}
	if ctx.Err() != nil && ar.deadlinePassed(ctx) {
		return final, ar.noResponseError(ctx, sent)
	}
	if !sent {
		ar.retryPrepaid.Store(true)
		return notRun, fault.Wrap(err, fault.KindNoBackend, "the host that serves the request for this one cannot be reached",
			"send the request again").WithRun(fault.NotRun).After(helperRetryAfter)
	}
	return incomplete, ar.incompleteError(err)
}

// handleRefusal handles a helper's own error. Another helper is asked only if this one takes no
// requests, or has another catalog than this host, which found the route and the team, or if the response has begun.
func (ar *activeRequest) handleRefusal(helper exchange.Helper, refusal *fault.Error) (attemptOutcome, error) {
	switch {
	case refusal.Run != fault.NotRun:
		ar.tries.MayHaveRun()
		if ar.begun() {
			return incomplete, refusal
		}
		return final, refusal
	case refusal.Kind == fault.KindUnknownRoute, refusal.Kind == fault.KindUnauthorized:
		refusal = fault.Wrap(refusal, fault.KindStaleView, "the host that serves the request for this one has another catalog",
			"send the request again").WithRun(fault.NotRun).After(helperRetryAfter)
		ar.retryPrepaid.Store(true)
		return notRun, refusal
	case refusal.Kind == fault.KindUnavailable:
		ar.declined[helper.Host] = true
		ar.retryPrepaid.Store(true)
		return notRun, refusal
	case ar.begun() && refusal.Kind != fault.KindQuarantined:
		// The helper may have sent the request to servers that declined it.
		ar.declined[helper.Host] = true
		return notRun, refusal
	}
	return final, refusal
}
