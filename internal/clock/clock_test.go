package clock

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a monotonic reading in the result, with which time.Sub would
// ignore suspended time.
func TestNowHasNoMonotonicReading(t *testing.T) {
	first := Now()
	must.Eq(t, first, first.Round(0))
	must.False(t, Now().Before(first), must.Sprint("a later reading is before the first"))
}
