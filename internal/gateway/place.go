package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/balance"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/intake"
)

// placement is where an attempt is sent.
type placement struct {
	server *exchange.Server
	// version is the adapter version that the engine must respond with; 0 for
	// any.
	version uint64
	readyAt time.Time
	// tokens is the number of prompt tokens expected to be processed, expected
	// the expected time to the first event.
	tokens   int
	expected time.Duration
	// booked is true when the prompt was booked.
	booked bool
	// helper is true when the server stands for another entry host that relays the response.
	helper bool
}

const (
	// waitFraction is the fraction of the objective that a request may wait
	// before it begins. The rest is for processing its own prompt.
	waitFraction = 0.8
	// minMaxWait is how long a request may wait that has already missed its
	// objective: it is worth less, and must not keep others from theirs.
	minMaxWait = 200 * time.Millisecond
	// defaultObjective applies to routes without an objective.
	defaultObjective = time.Second
	// defaultServiceTime is the service time of a plain request before any was
	// observed.
	defaultServiceTime = 50 * time.Millisecond
	// versionGrace is how long an older version may still respond after this
	// host has learned of a newer one.
	versionGrace = 2500 * time.Millisecond
	// loadMaxAge is how long a server's own count of requests is used.
	loadMaxAge = 250 * time.Millisecond
	// generationServiceTime is the assumed time of a generation after its first
	// event, which determines the expected wait for a batch slot in a full
	// batch, where none was measured.
	generationServiceTime = 500 * time.Millisecond
)

func (ar *activeRequest) objective() time.Duration {
	if ar.route.Objective == 0 {
		return defaultObjective
	}
	return ar.route.Objective
}

// maxWait returns how long the next attempt may wait before it begins at a server.
func (ar *activeRequest) maxWait(now time.Time) time.Duration {
	if ar.begun() {
		return ar.continuation(ar.lastEvent()).TimeLeft(now)
	}
	return ar.usefulWait(now)
}

// usefulWait returns how long the request may wait at a server without losing its objective, or delaying others if it has
// lost it.
func (ar *activeRequest) usefulWait(now time.Time) time.Duration {
	remaining := time.Duration(float64(ar.objective())*waitFraction) - now.Sub(ar.r.Received)
	return min(max(remaining, minMaxWait), ar.deadline.Sub(now))
}

// placeAttempt chooses the server of the next attempt. A response that has begun waits for one.
func (ar *activeRequest) placeAttempt(ctx context.Context) (placement, error) {
	ar.awaitAfterDecline(ctx)
	for {
		p, err := ar.searchServer(ctx)
		if err == nil || !ar.awaitPlace(ctx, err) {
			return p, err
		}
	}
}

// searchServer chooses a server. It waits for an adapter that has to be loaded.
func (ar *activeRequest) searchServer(ctx context.Context) (placement, error) {
	ar.askedAll = false
	clear(ar.crowded)
	for {
		now := ar.g.opts.Now()
		v := ar.g.opts.Fleet.View()
		p, d, eligible := ar.chooseServer(v, now, ar.maxWait(now))
		if d.Instance != "" {
			if ar.shouldSpread(v, d, eligible, now) {
				ar.spread(ctx, v, eligible)
				continue
			}
			if !ar.g.usage.takeTurn(d.Instance, ar.hosts(v), now) {
				continue // another request took the turn
			}
			if p, ok, err := ar.awaitStart(ctx, v, p, eligible); ok || err != nil {
				return p, err
			}
			continue
		}
		if ar.askAgain() {
			continue
		}
		ar.noneInTime = false
		if !ar.shouldLoad(v, d, eligible, now) {
			ar.noneInTime = d.Best != "" && d.Wait > hopelessFactor*ar.maxWait(now)
			return placement{}, ar.refusalError(v, d, eligible)
		}
		if err := ar.acquire(ctx, v, eligible); err != nil {
			return placement{}, err
		}
	}
}

// awaitStart waits until the adapter is ready and the prompt's turn has come. It reports false when another server
// must be chosen.
func (ar *activeRequest) awaitStart(ctx context.Context, v *exchange.View, p placement, eligible []string) (placement, bool, error) {
	p, err := ar.awaitReady(ctx, p)
	if err != nil {
		return p, false, err
	}
	turn, err := ar.awaitTurn(ctx, v, &p, ar.otherEngines(eligible, p.server.Instance))
	if err != nil || turn != turnNow {
		return p, false, err
	}
	// Meanwhile the server may have said that it leaves, or wants nothing, or its failure domain was evacuated.
	return p, !ar.g.usage.isSilent(p.server, ar.g.opts.Now()) && !ar.g.opts.Fleet.View().Evacuated[p.server.Domain], nil
}

// chooseServer chooses between the servers that have what the request needs.
func (ar *activeRequest) chooseServer(v *exchange.View, now time.Time, maxWait time.Duration) (placement, balance.Decision, []string) {
	servers := ar.eligibleServers(v, now)
	candidates, _ := ar.candidates(v, servers, now, (*intake.Gate).Check)
	d := balance.Choose(ar.balanceRequest(servers, maxWait), candidates, ar.g.opts.Balance)
	p := placement{tokens: d.Tokens, expected: d.Wait}
	for _, s := range servers {
		if s.Instance == d.Instance {
			resident := s.Residents[ar.r.Weights]
			p.server, p.version, p.readyAt = s, ar.version(v, resident, now), resident.ReadyAt
		}
	}
	if ar.r.Generation {
		p.expected += time.Duration(float64(d.Tokens) / ar.g.opts.Balance.TokensPerMS * float64(time.Millisecond))
	}
	return p, d, instances(servers)
}

// balanceRequest returns what the choice between the servers has to know of the request.
func (ar *activeRequest) balanceRequest(servers []*exchange.Server, maxWait time.Duration) balance.Request {
	out := balance.Request{
		Generation: ar.r.Generation, PromptTokens: ar.r.PromptTokens, ServiceTime: ar.generationTime(), MaxWait: maxWait,
		AnyInTime: ar.begun(),
	}
	if !ar.r.Generation {
		out.ServiceTime = ar.g.usage.meanServiceTime(instances(servers))
		if out.ServiceTime == 0 {
			out.ServiceTime = defaultServiceTime
		}
	}
	return out
}

// otherEngines returns the number of the eligible engines that were not asked to read the prompt, besides the
// instance.
func (ar *activeRequest) otherEngines(eligible []string, instance string) int {
	n := 0
	for _, other := range eligible {
		if other != instance && !ar.crowded[other] {
			n++
		}
	}
	return n
}

func instances(servers []*exchange.Server) []string {
	out := make([]string, len(servers))
	for i, s := range servers {
		out[i] = s.Instance
	}
	return out
}

// version returns the version that the engine must respond with, 0 for any.
func (ar *activeRequest) version(v *exchange.View, resident exchange.Resident, now time.Time) uint64 {
	newest, ok := v.Newest[ar.r.Weights]
	if !ok || resident.Version < newest.Version {
		return 0
	}
	return newest.Version
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// refusalError returns the reason why no server takes the request.
func (ar *activeRequest) refusalError(v *exchange.View, d balance.Decision, eligible []string) error {
	if len(v.ByService[ar.service.Name]) == 0 || len(eligible) == 0 {
		return fault.Newf(fault.KindNoBackend, "send the request again",
			"no backend server of %s can take the request now", ar.service.Name).WithRun(fault.NotRun).After(noServerRetryAfter)
	}
	if d.Best == "" && ar.anyBrittle(eligible) {
		return fault.Newf(fault.KindOverloaded, "send the request again",
			"this host has no place at the backend servers of %s, which are brittle", ar.service.Name).
			WithRun(fault.NotRun).After(noPlaceRetryAfter)
	}
	if turnIn := ar.turnIn(v, eligible); d.Best == "" && turnIn > 0 {
		return fault.Newf(fault.KindOverloaded, "send the request again",
			"the backend servers of %s take no more requests now: they named limits or asked to wait", ar.service.Name).
			WithRun(fault.NotRun).After(min(turnIn, maxTurnRetryAfter))
	}
	return fault.Newf(fault.KindOverloaded, "send the request again",
		"the request would wait %s", d.Wait.Round(time.Millisecond)).WithRun(fault.NotRun).After(d.RetryAfter)
}

// maxTurnRetryAfter limits the retry-after time of requests that found all servers at their
// limits. Limits end, and other entry hosts may have turns left.
const maxTurnRetryAfter = 2 * time.Second

// noPlaceRetryAfter is the time after which a host that found no place at brittle servers may have one.
const noPlaceRetryAfter = 400 * time.Millisecond

// anyBrittle reports whether one of the servers is brittle.
func (ar *activeRequest) anyBrittle(eligible []string) bool {
	u := ar.g.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.ContainsFunc(eligible, func(instance string) bool { return u.server(instance).gate.Brittle() })
}

// turnIn returns the time until one of the servers that are at their limits, or have asked to wait, takes a request
// of this host; 0 when there is none.
func (ar *activeRequest) turnIn(v *exchange.View, eligible []string) time.Duration {
	now, u := ar.g.opts.Now(), ar.g.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	var first time.Duration
	for _, instance := range eligible {
		if wait := u.server(instance).gate.OpenIn(ar.hosts(v), now); wait > 0 && (first == 0 || wait < first) {
			first = wait
		}
	}
	return first
}

// hosts returns the number of entry hosts.
func (ar *activeRequest) hosts(v *exchange.View) int { return max(v.Hosts, assumedHosts) }

// noServerRetryAfter is the time after which a server is likely to be back or
// listed.
const noServerRetryAfter = 500 * time.Millisecond
