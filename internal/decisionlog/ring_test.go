package decisionlog

import (
	"strconv"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// A ring that loses its order or keeps more than its bound would show an
// operator the wrong decisions or grow without limit.
func TestRingKeepsLastInOrder(t *testing.T) {
	r := NewRing(4)
	for i := range 10 {
		r.Add(Decision{RequestID: strconv.Itoa(i % 2), Step: strconv.Itoa(i)})
	}
	var steps []string
	for _, d := range r.Find("0") {
		steps = append(steps, d.Step)
	}
	must.Eq(t, []string{"6", "8"}, steps)
	must.SliceEmpty(t, r.Find("none"))
}

// Add is on the request path: an allocation per decision would show in the
// time added per request.
func TestAddDoesNotAllocate(t *testing.T) {
	r := NewRing(64)
	d := Decision{RequestID: "a"}
	must.Zero(t, testing.AllocsPerRun(100, func() { r.Add(d) }))
}

// Concurrent requests write while an operator reads.
func TestConcurrentUse(t *testing.T) {
	r := NewRing(32)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 100 {
				r.Add(Decision{RequestID: "a"})
				r.Find("a")
			}
		})
	}
	wg.Wait()
	must.Len(t, 32, r.Find("a"))
}
