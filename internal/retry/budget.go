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
	// MinRate is the number of retries per second that is always allowed. It
	// lets a host with little traffic retry at all.
	MinRate float64
	// MaxSaved is the maximum number of retries earned by Ratio and not yet used.
	MaxSaved float64
	// Reserved is the number of saved retries that only TakeReserved uses.
	Reserved float64
}

// Defaults returns the default limits: 10% of first attempts plus three
// retries per second.
func Defaults() Options { return Options{Ratio: 0.1, MinRate: 3, MaxSaved: 50} }

// Budget counts first attempts and retries. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	opts       Options
	earned     float64
	guaranteed float64
	last       time.Time
}

// NewBudget returns a budget that starts with one second's worth of MinRate.
func NewBudget(opts Options) *Budget {
	return &Budget{opts: opts, guaranteed: opts.MinRate}
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst() {
	b.mu.Lock()
	b.earned = min(b.earned+b.opts.Ratio, b.opts.MaxSaved)
	b.mu.Unlock()
}

// Take reports whether a retry is allowed at now and counts it.
func (b *Budget) Take(now time.Time) bool { return b.take(now, b.opts.Reserved) }

// TakeReserved is Take for a request that cannot be refused any more, which may also use the reserved retries.
func (b *Budget) TakeReserved(now time.Time) bool { return b.take(now, 0) }

func (b *Budget) take(now time.Time, reserved float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		// A minimum rate below one retry per second accumulates up to one retry.
		b.guaranteed = min(b.guaranteed+b.opts.MinRate*now.Sub(b.last).Seconds(), max(b.opts.MinRate, 1))
	}
	b.last = now
	switch {
	case b.guaranteed >= 1:
		b.guaranteed--
	// Ten additions of 0.1 in floating point give slightly less than 1.
	case b.earned >= reserved+1-1e-6:
		b.earned = max(b.earned-1, 0)
	default:
		return false
	}
	return true
}

// SetMinRate changes the number of retries per second that is always allowed,
// for hosts that divide it among themselves.
func (b *Budget) SetMinRate(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts.MinRate = perSecond
}
