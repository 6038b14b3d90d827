package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// Table is a table of the page between the markers of its name.
type Table struct {
	Name   string
	Header []string
	Rows   [][]string
}

// Markdown returns the table as text.
func (t Table) Markdown() string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(t.Header)
	b.WriteString(strings.Repeat("|---", len(t.Header)) + "|\n")
	for _, r := range t.Rows {
		line(r)
	}
	return b.String()
}

func markers(name string) (begin, end string) {
	return "<!-- table " + name + " -->\n", "<!-- end " + name + " -->\n"
}

// Rewrite replaces the tables of a page between their markers. A page that
// lacks a table is refused, so that no figure is dropped in silence.
func Rewrite(page string, tables []Table) (string, error) {
	for _, t := range tables {
		begin, end := markers(t.Name)
		head, rest, ok := strings.Cut(page, begin)
		_, tail, closed := strings.Cut(rest, end)
		if !ok || !closed {
			return "", fault.Newf(fault.KindInvalidSetting, "add the lines "+strings.TrimSpace(begin)+" and "+strings.TrimSpace(end),
				"the page has no place for the table %q", t.Name).At("page")
		}
		page = head + begin + t.Markdown() + end + tail
	}
	return page, nil
}

// number prints three significant digits.
func number(v float64) string {
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

type unitStep struct {
	size float64
	name string
}

var unitSteps = map[string][]unitStep{
	"bytes": {{1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}, {1, "B"}},
	"s":     {{1, "s"}, {1e-3, "ms"}, {1e-6, "µs"}, {1e-9, "ns"}},
}

// scaled prints a figure in a unit that keeps it short.
func scaled(v float64, unit string) string {
	steps := unitSteps[unit]
	for i, s := range steps {
		if math.Abs(v) >= s.size || i == len(steps)-1 {
			return number(v/s.size) + " " + s.name
		}
	}
	return number(v)
}

func (v Value) in(unit string) string {
	if v.Err == 0 {
		return scaled(v.Y, unit)
	}
	return scaled(v.Y, unit) + " ± " + scaled(v.Err, unit)
}

func (v Value) percent() string {
	return number(100*v.Y) + "% ± " + number(100*v.Err) + "%"
}
