package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// WeightStoreOptions are the limits of a WeightStore. Zero values select the
// defaults.
type WeightStoreOptions struct {
	// PerSecond is the maximum number of loads started per second; default 3.
	PerSecond float64
	// Parallel is the number of loads that run at full speed; default 2. More
	// loads share the total speed of that many.
	Parallel int
}

// WeightStore simulates the store from which engines load the weights of adapters.
type WeightStore struct {
	parallel int
	limiter  *rate.Limiter

	mu         sync.Mutex
	running    int
	maxRunning int
	loads      int
}

// NewWeightStore returns a store with the given limits.
func NewWeightStore(opts WeightStoreOptions) *WeightStore {
	if opts.PerSecond <= 0 {
		opts.PerSecond = 3
	}
	if opts.Parallel <= 0 {
		opts.Parallel = 2
	}
	return &WeightStore{
		parallel: opts.Parallel,
		limiter:  rate.NewLimiter(rate.Limit(opts.PerSecond), opts.Parallel),
	}
}

// loadQuantum is the part of a load, at full speed, after which its speed is
// adjusted to the number of running loads.
const loadQuantum = 25 * time.Millisecond

// Fetch waits for as long as a load takes that needs d at full speed.
func (s *WeightStore) Fetch(ctx context.Context, d time.Duration) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	s.add(1)
	defer s.add(-1)
	for d > 0 {
		part := min(d, loadQuantum)
		slowdown := max(1, float64(s.current())/float64(s.parallel))
		if err := waitFor(ctx, time.Duration(float64(part)*slowdown)); err != nil {
			return err
		}
		d -= part
	}
	return nil
}

func (s *WeightStore) add(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
	s.maxRunning = max(s.maxRunning, s.running)
	s.loads += max(n, 0)
}

func (s *WeightStore) current() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Loads returns the number of started loads and the maximum that ran at once.
func (s *WeightStore) Loads() (started, maxRunning int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.maxRunning
}
