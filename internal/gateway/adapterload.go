package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/balance"
	"github.com/jasminesaddle/jasminesaddle/internal/exchange"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// adapterLoadTime is the assumed time of an adapter load, which the wait at
// the engines that have the adapter is compared with.
const adapterLoadTime = 300 * time.Millisecond

// shouldLoad reports whether another engine should load the adapter of a generation: no engine
// has it, or all that do are so busy that a load elsewhere is quicker.
func (ar *activeRequest) shouldLoad(v *exchange.View, d balance.Decision, eligible []string, now time.Time) bool {
	if !ar.r.Generation || ar.r.Weights.Adapter == "" || ar.loads >= ar.loadLimit || ar.build.Load() != nil && !ar.hasUsableServer(v) {
		return false
	}
	if d.Best == "" {
		return true
	}
	minWait := time.Duration(math.MaxInt64)
	for _, s := range v.ByService[ar.service.Name] {
		if slices.Contains(eligible, s.Instance) || !ar.isUsable(s) {
			continue
		}
		c := balance.Candidate{PendingTokens: s.OthersPendingTokens, InFlight: s.OthersInFlight, Slots: s.Slots, Pace: v.Paces[s.Instance]}
		minWait = min(minWait, balance.EstimateWait(balance.Request{Generation: true, ServiceTime: ar.generationTime()}, &c, ar.g.opts.Balance))
	}
	return minWait < d.Wait-adapterLoadTime
}

// generationTime returns the usual time of a generation after its first event.
func (ar *activeRequest) generationTime() time.Duration {
	if mean, ok := ar.g.usage.generationTime(ar.service.Name); ok {
		return mean
	}
	return generationServiceTime
}

// shouldSpread reports whether the adapter should be loaded on another engine although one that has it can begin the request in
// time: there it would begin sooner. It answers the load of days on which an adapter is suddenly asked for more than the engines
// that hold it take at once, and only where engines tell how fast they are: elsewhere the wait for a batch slot is assumed.
func (ar *activeRequest) shouldSpread(v *exchange.View, d balance.Decision, eligible []string, now time.Time) bool {
	if _, measured := ar.g.usage.generationTime(ar.service.Name); !measured || ar.loads > 0 || ar.begun() {
		return false
	}
	return ar.shouldLoad(v, d, eligible, now)
}

// spread asks the leader for another engine with the adapter. Without one the request goes to those that have it.
func (ar *activeRequest) spread(ctx context.Context, v *exchange.View, eligible []string) {
	ar.loads++
	ar.g.metrics.spread.Add(1)
	_, _ = ar.g.opts.Fleet.Acquire(ctx, ar.acquireRequest(v, eligible))
}

const (
	// maxLoads limits how often one search for a server asks the leader for an engine.
	maxLoads = 4
	// acquireRetryInterval is the time between two requests to the leader for
	// an engine.
	acquireRetryInterval = 120 * time.Millisecond
)

// acquire asks the leader for an engine with the adapter. The engine appears
// in the next view.
func (ar *activeRequest) acquire(ctx context.Context, v *exchange.View, eligible []string) error {
	ar.loads++
	request := ar.acquireRequest(v, eligible)
	clear(ar.missing)
	_, err := ar.g.opts.Fleet.Acquire(ctx, request)
	if err == nil {
		return nil
	}
	if fault.Is(err, fault.KindOverloaded) && !ar.begun() && ar.loads < ar.loadLimit && ar.maxWait(ar.g.opts.Now()) > acquireRetryInterval {
		// An adapter slot may be free soon, and the request can still meet its objective.
		sleep(ctx, acquireRetryInterval)
		return nil
	}
	return err
}

// acquireRequest returns the request for an engine that is none of the eligible ones.
func (ar *activeRequest) acquireRequest(v *exchange.View, eligible []string) residency.Request {
	out := residency.Request{Service: ar.service.Name, Ref: ar.r.Weights, PromptTokens: ar.r.PromptTokens}
	for _, s := range v.ByService[ar.service.Name] {
		if slices.Contains(eligible, s.Instance) || !ar.isUsable(s) {
			out.Avoid = append(out.Avoid, s.Instance)
		}
		if ar.missing[s.Instance] {
			out.Missing = append(out.Missing, s.Instance)
		}
	}
	return out
}

// awaitReady waits until the adapter that is being loaded is ready.
func (ar *activeRequest) awaitReady(ctx context.Context, p placement) (placement, error) {
	wait := p.readyAt.Sub(ar.g.opts.Now())
	if wait <= 0 {
		return p, nil
	}
	if !sleep(ctx, wait) {
		return p, context.Cause(ctx)
	}
	return p, nil
}
