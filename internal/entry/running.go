package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// runningKey is the hash of a request's key, or zero for a request without a
// key.
type runningKey = config.KeyHash

// runningRequest is a request between authentication and its end.
type runningRequest struct {
	x      *exchange
	key    runningKey
	cancel context.CancelCauseFunc
	// uncancelable is set before a non-repeatable call is sent: cancelling the
	// call would only lose its outcome.
	uncancelable atomic.Bool
}

func (rr *runningRequest) cancelWith(e *fault.Error) {
	if !rr.uncancelable.Load() {
		rr.cancel(e)
	}
}

// runningSet holds the running requests by key, so that a change of the keys
// costs one lookup per key in use and not one per request.
type runningSet struct {
	mu    sync.Mutex
	byKey map[runningKey]map[*runningRequest]struct{}
	count int
}

func (r *runningSet) add(ctx context.Context, x *exchange) (context.Context, *runningRequest) {
	ctx, cancel := context.WithCancelCause(ctx)
	rr := &runningRequest{x: x, cancel: cancel}
	if x.keyed {
		rr.key = x.keyHash
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.byKey[rr.key]
	if set == nil {
		set = map[*runningRequest]struct{}{}
		r.byKey[rr.key] = set
	}
	set[rr] = struct{}{}
	r.count++
	return ctx, rr
}

func (r *runningSet) remove(rr *runningRequest) {
	rr.cancel(context.Canceled)
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.byKey[rr.key]
	if delete(set, rr); len(set) == 0 {
		delete(r.byKey, rr.key)
	}
	r.count--
}

// cancelKeyed cancels the requests whose key matches.
func (r *runningSet) cancelKeyed(match func(runningKey) bool, e *fault.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, set := range r.byKey {
		if key == (runningKey{}) || !match(key) {
			continue
		}
		for rr := range set {
			rr.cancelWith(e)
		}
	}
}

// countByRoute counts the running requests per route.
func (r *runningSet) countByRoute() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for _, set := range r.byKey {
		for rr := range set {
			counts[rr.x.routeName()]++
		}
	}
	return counts
}

// cancelRequestsOfRemovedKeys cancels the requests whose key is no longer valid.
func (s *Server) cancelRequestsOfRemovedKeys(cfg *config.Snapshot) {
	s.running.cancelKeyed(func(key runningKey) bool {
		entry, ok := cfg.KeyByHash(key)
		if ok {
			_, ok = cfg.Team(entry.GetTeam())
		}
		return !ok
	}, fault.New(fault.KindKeyWithdrawn, "the key was withdrawn while the request ran", "use a valid key"))
}

// checkFreshness cancels keyed requests when the host can no longer tell
// whether their keys are valid.
func (s *Server) checkFreshness(now time.Time) {
	age := s.opts.View.Age(now)
	if age <= maxRunningAge {
		return
	}
	s.running.cancelKeyed(func(runningKey) bool { return true },
		fault.New(fault.KindStaleView, "this entry host lost contact and cannot tell whether the key is still valid",
			"send the request again").After(time.Second))
}
