package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/config"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// runningKey is the hash of a key, or zero for requests without a key.
type runningKey = config.KeyHash

// flight is a request between authentication and its end.
type flight struct {
	x      *exchange
	key    runningKey
	cancel context.CancelCauseFunc
	// uncancelable is set once a non-repeatable call was sent: cancelling it
	// would only lose its outcome.
	uncancelable atomic.Bool
}

func (f *flight) stop(e *fault.Error) {
	if !f.uncancelable.Load() {
		f.cancel(e)
	}
}

// runningSet holds the flights by key, so that a change of the keys costs one
// lookup per key in use and not one per request.
type runningSet struct {
	mu    sync.Mutex
	byKey map[runningKey]map[*flight]struct{}
	count int
}

func (r *runningSet) add(ctx context.Context, x *exchange) (context.Context, *flight) {
	ctx, cancel := context.WithCancelCause(ctx)
	f := &flight{x: x, cancel: cancel}
	if x.keyed {
		f.key = x.keyHash
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.byKey[f.key]
	if set == nil {
		set = map[*flight]struct{}{}
		r.byKey[f.key] = set
	}
	set[f] = struct{}{}
	r.count++
	return ctx, f
}

func (r *runningSet) remove(f *flight) {
	f.cancel(context.Canceled)
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.byKey[f.key]
	if delete(set, f); len(set) == 0 {
		delete(r.byKey, f.key)
	}
	r.count--
}

// stopKeyed cancels the keyed requests whose key matches.
func (r *runningSet) stopKeyed(match func(runningKey) bool, e *fault.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, set := range r.byKey {
		if key == (runningKey{}) || !match(key) {
			continue
		}
		for f := range set {
			f.stop(e)
		}
	}
}

// byRoute counts the running requests per route.
func (r *runningSet) byRoute() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for _, set := range r.byKey {
		for f := range set {
			counts[f.x.routeName()]++
		}
	}
	return counts
}

// cancelWithdrawn cancels the requests whose key is no longer valid.
func (s *Server) cancelWithdrawn(cfg *config.Snapshot) {
	s.running.stopKeyed(func(key runningKey) bool {
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
	s.running.stopKeyed(func(runningKey) bool { return true },
		fault.New(fault.KindStaleView, "this entry host lost contact and cannot tell whether the key is still valid",
			"send the request again").After(time.Second))
}
