package capacity

import (
	"fmt"
	"strings"
)

// Tables returns the tables of the page.
func (r *Report) Tables(t Target) []Table {
	all := scenarios(t)
	return []Table{
		r.slopeTable(), r.targetTable(t), r.requestTable(t), r.entryTable(t, all), r.relayTable(t, all),
		r.controlTable(t, all), r.hostsTable(t, all), r.inForceTable(), r.restartTable(), r.failureTable(t, all),
	}
}

func (r *Report) slopeTable() Table {
	t := Table{Name: "slopes", Header: []string{"slope", "of", "measured (size: cost)", "fit", "error of slope", "R²"}}
	for _, s := range r.Slopes {
		var points []string
		for _, p := range s.Points {
			points = append(points, number(p.X)+": "+scaled(p.Y, s.Unit))
		}
		t.Rows = append(t.Rows, []string{
			"`" + s.ID + "` " + s.What, s.Of, strings.Join(points, ", "),
			scaled(s.Intercept, s.Unit) + " + " + scaled(s.Slope, s.Unit) + " × n",
			"± " + scaled(s.SlopeError, s.Unit), fmt.Sprintf("%.3f", s.R2),
		})
	}
	return t
}

func (r *Report) targetTable(t Target) Table {
	row := func(what, value, source string) []string { return []string{what, value, source} }
	return Table{Name: "target", Header: []string{"figure", "value", "source"}, Rows: [][]string{
		row("requests per second and host", number(t.hostRequests()), "56,000 / 1,200"),
		row("tokens per request", number(t.tokensPerRequest()), "19 M / 56,000, all taken as streamed"),
		row("engine and adapter pairs in flight per host", number(t.hostPairs()), "requests/s × (0.34 s + tokens × 28 ms), no pair twice"),
		row("changes per second", number(t.changesPerSecond()), "54,000 a day"),
		row("adapters in demand", number(t.activeAdapters()), "14% of 28,000"),
		row("loads and unloads per second", number(t.activeAdapters()/3600), "14% of 28,000 in an hour, one engine each"),
		row("teams; keys per team", fmt.Sprintf("%d; %d", t.Teams, t.KeysPerTeam), "assumed"),
		row("slots per engine", fmt.Sprint(t.Slots), "assumed"),
		row("share of non-repeatable calls", number(100*t.CallShare)+"%", "assumed"),
		row("cores of a control host, used to half", fmt.Sprint(t.ControlCores), "assumed"),
	}}
}

func (r *Report) requestTable(t Target) Table {
	cpu := r.byID["request.cpu"]
	one := cpu.At(t.tokensPerRequest())
	return Table{Name: "requests", Header: []string{"what", "processor time"}, Rows: [][]string{
		{"per request, without its tokens", Value{cpu.Intercept, cpu.At(0).Err}.in("s")},
		{"per streamed token", Value{cpu.Slope, cpu.SlopeError}.in("s")},
		{"per request of " + number(t.tokensPerRequest()) + " tokens", one.in("s")},
		{"cores of an entry host at " + number(t.hostRequests()) + " requests/s", number(one.Y*t.hostRequests()) + " ± " + number(one.Err*t.hostRequests())},
	}}
}

func costRow(scenario string, c Cost) []string {
	return []string{scenario, c.What, number(c.Messages), c.Bytes.in("bytes"), c.Core.percent(), c.Memory.in("bytes")}
}

var costHeader = []string{"scenario", "item", "messages/s", "bytes/s", "of a core", "memory"}

func verdict(fits bool) string {
	if fits {
		return "fits"
	}
	return "**does not fit**"
}

func (r *Report) entryTable(t Target, all []Scenario) Table {
	out := Table{Name: "entry", Header: costHeader}
	for _, s := range all {
		costs := r.entryCosts(t, s)
		for _, c := range costs {
			out.Rows = append(out.Rows, costRow(s.Name, c))
		}
		total := sum("**sum**", costs)
		out.Rows = append(out.Rows, costRow(s.Name, total), []string{
			s.Name, "limit", "", "3 KB " + verdict(total.Bytes.Y <= t.MaxBytes),
			"2.2% " + verdict(total.Core.Y <= t.MaxCore), "256 MB " + verdict(total.Memory.Y <= t.MaxMemory),
		})
	}
	return out
}

func (r *Report) relayTable(t Target, all []Scenario) Table {
	out := Table{Name: "relay", Header: append(append([]string{}, costHeader...), "subscribers within 2.2% of a core", "within 3 KB/s")}
	for _, s := range all {
		c := r.relayCosts(t, s)
		own := sum("", r.entryCosts(t, s))
		out.Rows = append(out.Rows, append(costRow(s.Name, c),
			number(max(0, (t.MaxCore-own.Core.Y)/c.Core.Y)), number(max(0, (t.MaxBytes-own.Bytes.Y)/c.Bytes.Y))))
	}
	return out
}

func (r *Report) controlTable(t Target, all []Scenario) Table {
	out := Table{Name: "control", Header: costHeader}
	for _, s := range all {
		for _, c := range append(append(r.shardCosts(t, s), r.logCosts(t, s)...), r.lenderCosts(t, s)...) {
			out.Rows = append(out.Rows, costRow(s.Name, c))
		}
	}
	return out
}
