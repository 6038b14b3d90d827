package capacity

import (
	"math"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against fits with missing points or undefined slopes, which would put
// wrong costs on the page, and against tables that the page has no markers for,
// which would be dropped.
func TestQuickRunFillsThePage(t *testing.T) {
	r, err := Run(t.Context(), Options{Quick: true, Dir: t.TempDir(), Progress: func(s string) { t.Log(s) }})
	must.NoError(t, err)
	for _, s := range r.Slopes {
		must.GreaterEq(t, 4, len(s.Points), must.Sprint(s.ID))
		must.False(t, math.IsNaN(s.Slope) || math.IsInf(s.Slope, 0), must.Sprint(s.ID))
	}
	must.Len(t, 4, r.ChangeLatencies, must.Sprint("measurements of change latency"))
	must.Len(t, 3, r.Restarts, must.Sprint("measurements of restarts"))
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	must.NoError(t, err)
	tables := r.Tables(TwoYears())
	text, err := Rewrite(string(page), tables)
	must.NoError(t, err)
	must.Eq(t, len(tables), strings.Count(text, "<!-- table "), must.Sprint("a table of the page is not rewritten"))
	for _, table := range tables {
		must.Positive(t, len(table.Rows), must.Sprint(table.Name))
		must.StrContains(t, text, table.Markdown())
		for _, row := range table.Rows {
			must.Len(t, len(table.Header), row, must.Sprint(table.Name))
		}
	}
	again, err := Rewrite(text, tables)
	must.NoError(t, err)
	must.Eq(t, text, again, must.Sprint("rewriting the page twice changes it"))
	_, err = Rewrite(strings.Replace(text, "<!-- end entry -->", "", 1), tables)
	must.Error(t, err, must.Sprint("a page without an end marker is accepted"))
}

// Guards against a wrong standard error, which would misstate the uncertainty of
// an extrapolation. The expected values follow from the normal equations with
// weights 1, 1/4 and 1/16.
func TestFitError(t *testing.T) {
	s := Fit("x", "", "", "s", []Point{{0, 1}, {1, 2}, {2, 2}, {3, 4}})
	const w, wx, wxx, wy, wxy = 25.0 / 16, 15.0 / 16, 29.0 / 16, 9.0 / 4, 9.0 / 4
	det := w*wxx - wx*wx
	slope, intercept := (w*wxy-wx*wy)/det, (wxx*wy-wx*wxy)/det
	must.InDelta(t, slope, s.Slope, 1e-12)
	must.InDelta(t, intercept, s.Intercept, 1e-12)
	var rr float64
	for _, p := range s.Points {
		r := (p.Y - intercept - slope*p.X) / p.Y
		rr += r * r
	}
	variance := rr / 2
	must.InDelta(t, math.Sqrt(variance*w/det), s.SlopeError, 1e-12)
	must.InDelta(t, math.Sqrt(variance*(wxx-2*10*wx+100*w)/det), s.At(10).Err, 1e-12)
}
