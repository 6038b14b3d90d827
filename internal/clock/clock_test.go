package clock

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A monotonic reading in the time would make time.Sub ignore suspended time.
func TestNowHasNoMonotonicReading(t *testing.T) {
	a := Now()
	must.Eq(t, a, a.Round(0))
	must.False(t, Now().Before(a))
}
