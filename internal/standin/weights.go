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
	// PerSecond is how many loads start per second; default 3.
	PerSecond float64
	// Parallel is how many loads run at full speed; default 2. More loads share
	// that speed.
	Parallel int
}

// WeightStore is the store that several engines load adapters from.
type WeightStore struct {
	parallel int
	limiter  *rate.Limiter

	mu      sync.Mutex
	running int
	most    int
	loads   int
}

// NewWeightStore returns a store with the limits.
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

// loadQuantum is how often a load adapts to the number of other loads.
const loadQuantum = 25 * time.Millisecond

// Fetch takes as long as a load that needs d at full speed.
func (s *WeightStore) Fetch(ctx context.Context, d time.Duration) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	s.add(1)
	defer s.add(-1)
	for d > 0 {
		part := min(d, loadQuantum)
		share := max(1, float64(s.current())/float64(s.parallel))
		if err := waitFor(ctx, time.Duration(float64(part)*share)); err != nil {
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
	s.most = max(s.most, s.running)
	s.loads += max(n, 0)
}

func (s *WeightStore) current() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Loads returns how many loads have started and how many ran at once at most.
func (s *WeightStore) Loads() (started, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.most
}
