package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Table is a table of the page, which is enclosed by markers with its name.
type Table struct {
	Name   string
	Header []string
	Rows   [][]string
}

// Markdown returns the table in Markdown.
func (t Table) Markdown() string {
	var b strings.Builder
	writeRow := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	writeRow(t.Header)
	b.WriteString(strings.Repeat("|---", len(t.Header)) + "|\n")
	for _, r := range t.Rows {
		writeRow(r)
	}
	return b.String()
}

func markers(name string) (begin, end string) {
	return "<!-- table " + name + " -->\n", "<!-- end " + name + " -->\n"
}

// Rewrite replaces the tables of a page between their markers. It returns an error
// if a table has no markers, so that no table is silently dropped.
func Rewrite(page string, tables []Table) (string, error) {
	for _, t := range tables {
		begin, end := markers(t.Name)
		head, rest, ok := strings.Cut(page, begin)
		_, tail, closed := strings.Cut(rest, end)
		if !ok || !closed {
			return "", fault.Newf(fault.KindInvalidSetting, "add the lines "+strings.TrimSpace(begin)+" and "+strings.TrimSpace(end),
				"page has no markers for table %q", t.Name).At("page")
		}
		page = head + begin + t.Markdown() + end + tail
	}
	return page, nil
}

// formatNumber formats v with three significant digits, and as an integer from 100.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case v == math.Trunc(v) && a < 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

// unitStep is a unit of measurement and its size in the base unit.
type unitStep struct {
	size float64
	name string
}

var unitSteps = map[string][]unitStep{
	"bytes": {{1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}, {1, "B"}},
	"s":     {{1, "s"}, {1e-3, "ms"}, {1e-6, "µs"}, {1e-9, "ns"}},
}

// formatScaled formats v, given in bytes or s, with the largest unit not above it.
func formatScaled(v float64, unit string) string {
	steps := unitSteps[unit]
	for i, s := range steps {
		if math.Abs(v) >= s.size || i == len(steps)-1 {
			return formatNumber(v/s.size) + " " + s.name
		}
	}
	return formatNumber(v)
}

func (v Value) format(unit string) string {
	if v.Err == 0 {
		return formatScaled(v.Y, unit)
	}
	return formatScaled(v.Y, unit) + " ± " + formatScaled(v.Err, unit)
}

func (v Value) formatPercent() string {
	return formatNumber(100*v.Y) + "% ± " + formatNumber(100*v.Err) + "%"
}
