package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A budget that allows more than 10% plus 3/s would turn a failing pool into
// an overloaded one.
func TestBudgetBounds(t *testing.T) {
	for _, tc := range []struct {
		name        string
		first, want int
		seconds     int
	}{
		{name: "no traffic", first: 0, seconds: 10, want: 3 + 27},
		{name: "ten percent", first: 100, seconds: 1, want: 3 + 10},
		{name: "saved limit", first: 10_000, seconds: 1, want: 3 + 50},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBudget(Defaults())
			now := time.Unix(0, 0)
			for range tc.first {
				b.RecordFirst()
			}
			got := 0
			for range tc.seconds {
				for range 1000 {
					if b.Take(now) {
						got++
					}
				}
				now = now.Add(time.Second)
			}
			must.InDelta(t, float64(tc.want), float64(got), 0.5)
		})
	}
}

// A minimum rate below one retry per second must still allow an occasional retry, or
// a host with little traffic never retries.
func TestSmallFloorAccumulates(t *testing.T) {
	b := NewBudget(Options{MinRate: 0.25})
	now := time.Unix(100, 0)
	allowed := 0
	for range 40 {
		if b.Take(now) {
			allowed++
		}
		now = now.Add(time.Second)
	}
	must.Eq(t, 10, allowed)
}

// Requests that can be refused must leave the reserved retries to those that cannot, and both together must not exceed the limit.
func TestReservedRetries(t *testing.T) {
	b := NewBudget(Options{Ratio: 0.1, MaxSaved: 10, Reserved: 4})
	now := time.Unix(0, 0)
	for range 1000 {
		b.RecordFirst()
	}
	taken, reserved := 0, 0
	for b.Take(now) {
		taken++
	}
	for b.TakeReserved(now) {
		reserved++
	}
	must.Eq(t, 6, taken)
	must.Eq(t, 4, reserved)
}
