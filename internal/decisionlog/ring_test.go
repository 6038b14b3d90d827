package decisionlog

import (
	"strconv"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a ring that returns decisions out of order, which misleads an
// operator, or holds more than its size.
func TestRingKeepsLastInOrder(t *testing.T) {
	r := NewRing(4)
	for i := range 10 {
		r.Add(Decision{RequestID: strconv.Itoa(i % 2), Step: strconv.Itoa(i)})
	}
	var got []string
	for _, d := range r.Find("0") {
		got = append(got, d.Step)
	}
	must.Eq(t, []string{"6", "8"}, got)
	must.SliceEmpty(t, r.Find("none"))
}

// Add is on the request path: an allocation per decision would raise the latency
// added to each request.
func TestAddDoesNotAllocate(t *testing.T) {
	r := NewRing(64)
	d := Decision{RequestID: "a"}
	must.Zero(t, testing.AllocsPerRun(100, func() { r.Add(d) }))
}

// Guards against a data race between requests that add decisions and an operator
// who reads them.
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
