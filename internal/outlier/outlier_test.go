package outlier

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A fault of the host's own network makes every backend server fail; ejecting
// all of them would leave no candidate.
func TestNeverEjectsMoreThanAThird(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 9, 10} {
		d := NewDetector(Defaults())
		now := time.Unix(0, 0)
		for range 10 {
			for i := range size {
				d.Failure(strconv.Itoa(i), "p", size, now)
			}
		}
		must.Eq(t, size/3, d.Ejections("p", now), must.Sprint("pool size ", size))
		must.Zero(t, d.Ejections("p", now.Add(time.Hour)))
	}
}

// An ejection that never ends, or that a success does not end, would lose the
// backend server's capacity.
func TestEjectionEnds(t *testing.T) {
	d := NewDetector(Options{Failures: 2, Base: time.Second, Max: 3 * time.Second})
	now := time.Unix(0, 0)
	eject := func() {
		for range 2 {
			d.Failure("a", "p", 3, now)
		}
		must.True(t, d.Ejected("a", now))
	}
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second} {
		eject()
		must.True(t, d.Ejected("a", now.Add(want-1)))
		now = now.Add(want)
		must.False(t, d.Ejected("a", now))
	}
	eject()
	d.Success("a")
	must.False(t, d.Ejected("a", now))
	must.Zero(t, d.Ejections("p", now))
}
