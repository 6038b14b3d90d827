// Package retry limits retries, so that a failing pool does not receive a
// multiple of its normal traffic.
package retry

import (
	"sync"
	"time"
)

// Options are the retry limits of one host.
type Options struct {
	// Ratio is the fraction of first attempts that may be retried.
	Ratio float64
	// Floor is the number of retries per second that is always allowed. It
	// lets a host with little traffic retry at all.
	Floor float64
	// Saved is the maximum number of retries earned by Ratio and not yet used.
	Saved float64
}

// Defaults returns the default limits: 10% of first attempts plus three
// retries per second.
func Defaults() Options { return Options{Ratio: 0.1, Floor: 3, Saved: 50} }

// Budget counts first attempts and retries. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	opts   Options
	earned float64
	floor  float64
	last   time.Time
}

// NewBudget returns a budget that starts with one second's worth of the floor.
func NewBudget(opts Options) *Budget {
	return &Budget{opts: opts, floor: opts.Floor}
}

// First records a first attempt.
func (b *Budget) First() {
	b.mu.Lock()
	b.earned = min(b.earned+b.opts.Ratio, b.opts.Saved)
	b.mu.Unlock()
}

// Take reports whether a retry is allowed at now and counts it.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		// A floor below one retry per second accumulates up to one retry.
		b.floor = min(b.floor+b.opts.Floor*now.Sub(b.last).Seconds(), max(b.opts.Floor, 1))
	}
	b.last = now
	switch {
	case b.floor >= 1:
		b.floor--
	// Ten additions of 0.1 in floating point give slightly less than 1.
	case b.earned >= 1-1e-6:
		b.earned = max(b.earned-1, 0)
	default:
		return false
	}
	return true
}

// SetFloor changes the number of retries per second that is always allowed,
// for hosts that divide it among themselves.
func (b *Budget) SetFloor(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts.Floor = perSecond
}
