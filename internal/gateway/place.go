package gateway

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminesaddle/jasminesaddle/internal/balance"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// place is where an attempt goes.
type place struct {
	server *exchange.Server
	// version of the adapter that the engine holds; 0 when it is not known.
	version uint64
	readyAt time.Time
	// tokens of the prompt that are expected to be read, and the expected time
	// until the first event.
	tokens   int
	expected time.Duration
}

const (
	// objectivePart is the part of the objective that a request may wait before
	// it begins. The rest is for its own prompt.
	objectivePart = 0.8
	// leastPatience is how long a request may wait that has missed its objective
	// already: it is worth less, and must not keep others from theirs.
	leastPatience = 200 * time.Millisecond
	// defaultObjective serves routes without an objective.
	defaultObjective = time.Second
	// defaultWork is the time of a plain request before any was observed.
	defaultWork = 50 * time.Millisecond
	// versionGrace is how long an older version may still answer after this host
	// has learned of a newer one.
	versionGrace = 2500 * time.Millisecond
	// loadFresh is how long a server's own count of requests is used.
	loadFresh = 250 * time.Millisecond
	// generationWork is the usual time of a generation after its first event,
	// which decides how long a place in a full batch is waited for.
	generationWork = 500 * time.Millisecond
)

func (f *flight) objective() time.Duration {
	if f.route.Objective == 0 {
		return defaultObjective
	}
	return f.route.Objective
}

// patience is how long the request may wait before it begins at a server.
func (f *flight) patience(now time.Time) time.Duration {
	left := time.Duration(float64(f.objective())*objectivePart) - now.Sub(f.r.Received)
	return min(max(left, leastPatience), f.deadline.Sub(now))
}

// choose places the next attempt. It waits for an adapter that has to be loaded.
func (f *flight) choose(ctx context.Context) (place, error) {
	for {
		now := f.g.opts.Now()
		v := f.g.opts.Fleet.View()
		p, d, holders := f.among(v, now)
		if d.Instance != "" {
			return f.awaitReady(ctx, p)
		}
		if !f.r.Generation || f.r.Weights.Adapter == "" || !f.worthLoading(v, d, holders, now) {
			return place{}, f.refusal(v, d, holders)
		}
		if err := f.acquire(ctx, v, holders); err != nil {
			return place{}, err
		}
	}
}

// among chooses between the servers that hold what the request needs.
func (f *flight) among(v *exchange.View, now time.Time) (place, balance.Decision, []string) {
	servers := f.holders(v, now)
	candidates := f.candidates(v, servers, now)
	request := balance.Request{
		Generation: f.r.Generation, PromptTokens: f.r.PromptTokens, ServiceTime: generationWork, MaxWait: f.patience(now),
	}
	if !f.r.Generation {
		request.ServiceTime = f.g.use.workOf(instances(servers))
		if request.ServiceTime == 0 {
			request.ServiceTime = defaultWork
		}
	}
	d := balance.Choose(request, candidates, f.g.opts.Balance)
	p := place{tokens: d.Tokens, expected: d.Wait}
	for _, s := range servers {
		if s.Instance == d.Instance {
			held := s.Residents[f.r.Weights]
			p.server, p.version, p.readyAt = s, f.version(v, held, now), held.ReadyAt
		}
	}
	if f.r.Generation {
		p.expected += time.Duration(float64(d.Tokens) / f.g.opts.Balance.TokensPerMS * float64(time.Millisecond))
	}
	return p, d, instances(servers)
}

func instances(servers []*exchange.Server) []string {
	out := make([]string, len(servers))
	for i, s := range servers {
		out[i] = s.Instance
	}
	return out
}

// version returns the version that the engine must answer with, 0 for any.
func (f *flight) version(v *exchange.View, h exchange.Resident, now time.Time) uint64 {
	newest, ok := v.Newest[f.r.Weights]
	if !ok || h.Version < newest.Version {
		return 0
	}
	return newest.Version
}

// holders returns the servers that could take the request now, the request's
// home first: all hosts send prompts with the same shared part to the same
// engine, where it is cached.
func (f *flight) holders(v *exchange.View, now time.Time) []*exchange.Server {
	var out []*exchange.Server
	for _, s := range v.ByService[f.service.Name] {
		if !s.Draining && !f.refused[s.Instance] && f.holds(v, s, now) {
			out = append(out, s)
		}
	}
	if f.r.Generation {
		part := f.r.sharedPart()
		slices.SortFunc(out, func(a, b *exchange.Server) int {
			return strings.Compare(homeKey(b.Instance, part), homeKey(a.Instance, part))
		})
		return out
	}
	return out
}

// homeKey orders engines for a shared part of a prompt by rendezvous hashing.
func homeKey(instance, part string) string {
	h := xxhash.Sum64String(instance + "\x00" + part)
	var b [8]byte
	for i := range b {
		b[i] = byte(h >> (56 - 8*i))
	}
	return string(b[:])
}

func (f *flight) holds(v *exchange.View, s *exchange.Server, now time.Time) bool {
	if !f.r.Generation {
		return true
	}
	model, ok := s.Residents[residency.Ref{Model: f.r.Weights.Model}]
	if !ok || model.ReadyAt.After(now) {
		return false
	}
	if f.r.Weights.Adapter == "" {
		return true
	}
	held, ok := s.Residents[f.r.Weights]
	if !ok || f.missing[s.Instance] {
		return false
	}
	newest := v.Newest[f.r.Weights]
	return held.Version >= newest.Version || now.Sub(newest.Since) < versionGrace
}

func (f *flight) candidates(v *exchange.View, servers []*exchange.Server, now time.Time) []balance.Candidate {
	u := f.g.use
	u.mu.Lock()
	defer u.mu.Unlock()
	shared := f.r.sharedTokens()
	out := make([]balance.Candidate, 0, len(servers))
	for i, s := range servers {
		own := u.server(s.Instance)
		if now.Before(own.avoidUntil) {
			continue
		}
		c := balance.Candidate{
			Instance: s.Instance, Local: s.Domain == f.g.opts.FailureDomain, Slots: s.Slots,
			InFlight: own.inFlight + s.OthersInFlight, PendingTokens: own.pending + s.OthersPending,
			LatencyFactor: own.slowness, FailureRate: own.failures,
		}
		if now.Sub(own.loadAt) < loadFresh && own.loadAt.After(v.Confirmed) {
			c.InFlight = max(own.inFlight, own.load.Running+own.load.Waiting+own.inFlight-own.own)
		}
		if f.r.Generation {
			c.ReadyIn = max(0, s.Residents[f.r.Weights].ReadyAt.Sub(now))
			if i == 0 {
				c.CachedTokens = shared
			}
		}
		out = append(out, c)
	}
	return out
}

// coldLoad is the time of an adapter load, against which the wait at the engines
// that hold it is weighed.
const coldLoad = 300 * time.Millisecond

// worthLoading tells whether another engine should load the adapter: none holds
// it, or all that do are so busy that a load elsewhere is quicker.
func (f *flight) worthLoading(v *exchange.View, d balance.Decision, holders []string, now time.Time) bool {
	if f.loads >= maxLoads {
		return false
	}
	if d.Best == "" {
		return true
	}
	least := time.Duration(math.MaxInt64)
	for _, s := range v.ByService[f.service.Name] {
		if s.Draining || slices.Contains(holders, s.Instance) {
			continue
		}
		c := balance.Candidate{PendingTokens: s.OthersPending, InFlight: s.OthersInFlight, Slots: s.Slots}
		least = min(least, balance.EstimateWait(balance.Request{Generation: true, ServiceTime: generationWork}, &c, f.g.opts.Balance))
	}
	return least < d.Wait-coldLoad
}

const (
	// maxLoads bounds how often one request asks for a load.
	maxLoads = 4
	// placePause is the time between two questions for a place.
	placePause = 120 * time.Millisecond
)

// acquire asks for an engine with the adapter. The answer is in the next view.
func (f *flight) acquire(ctx context.Context, v *exchange.View, holders []string) error {
	f.loads++
	var avoid, missing []string
	for _, s := range v.ByService[f.service.Name] {
		if f.refused[s.Instance] || slices.Contains(holders, s.Instance) {
			avoid = append(avoid, s.Instance)
		}
		if f.missing[s.Instance] {
			missing = append(missing, s.Instance)
		}
	}
	clear(f.missing)
	_, err := f.g.opts.Fleet.Acquire(ctx, residency.Request{
		Service: f.service.Name, Ref: f.r.Weights, Avoid: avoid, Missing: missing, PromptTokens: f.r.PromptTokens,
	})
	if err == nil {
		return nil
	}
	if fault.Is(err, fault.KindOverloaded) && f.loads < maxLoads && f.patience(f.g.opts.Now()) > placePause {
		// A place may be free soon, and the request can still make its objective.
		pause(ctx, placePause)
		return nil
	}
	return err
}

// awaitReady waits until the adapter on its way is there.
func (f *flight) awaitReady(ctx context.Context, p place) (place, error) {
	wait := p.readyAt.Sub(f.g.opts.Now())
	if wait <= 0 {
		return p, nil
	}
	if !pause(ctx, wait) {
		return p, context.Cause(ctx)
	}
	return p, nil
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// refusal says why no server takes the request.
func (f *flight) refusal(v *exchange.View, d balance.Decision, holders []string) error {
	if len(v.ByService[f.service.Name]) == 0 || len(holders) == 0 {
		return fault.Newf(fault.KindNoBackend, "send the request again",
			"no backend server of %s can take the request now", f.service.Name).WithRun(fault.NotRun).After(retryNoServer)
	}
	return fault.Newf(fault.KindOverloaded, "send the request again",
		"the request would wait %s", d.Wait.Round(time.Millisecond)).WithRun(fault.NotRun).After(d.RetryAfter)
}

// retryNoServer is when a server is likely to be back or listed.
const retryNoServer = 500 * time.Millisecond
