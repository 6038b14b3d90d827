package capacity

import (
	"fmt"
	"strings"
)

// Tables returns the tables of docs/CAPACITY.md for the target.
func (r *Report) Tables(t Target) []Table {
	all := scenarios(t)
	return []Table{
		r.slopeTable(), r.targetTable(t), scenarioTable(t, all), r.requestTable(t), r.entryTable(t, all), r.relayTable(t, all),
		r.controlTable(t, all), r.hostsTable(t, all), r.changeLatencyTable(), r.restartTable(), r.failureTable(t, all),
	}
}

func (r *Report) slopeTable() Table {
	t := Table{Name: "slopes", Header: []string{"slope", "of", "measured (size: cost)", "fit", "error of slope", "residual", "R²"}}
	for _, s := range r.Slopes {
		var points []string
		for _, p := range s.Points {
			points = append(points, formatNumber(p.X)+": "+formatScaled(p.Y, s.CostUnit))
		}
		t.Rows = append(t.Rows, []string{
			"`" + s.ID + "` " + s.Description, s.SizeUnit, strings.Join(points, ", "),
			formatScaled(s.Intercept, s.CostUnit) + " + " + formatScaled(s.Slope, s.CostUnit) + " × n",
			"± " + formatScaled(s.SlopeError, s.CostUnit), formatNumber(100*s.Residual) + "%", fmt.Sprintf("%.3f", s.R2),
		})
	}
	return t
}

func (r *Report) targetTable(t Target) Table {
	row := func(figure, value, source string) []string { return []string{figure, value, source} }
	return Table{Name: "target", Header: []string{"figure", "value", "source"}, Rows: [][]string{
		row("requests per second and host", formatNumber(t.requestsPerHost()), "56,000 / 1,200"),
		row("tokens per request", formatNumber(t.tokensPerRequest()), "19 M / 56,000, all taken as streamed"),
		row("engine and adapter pairs in flight per host", formatNumber(t.pairsPerHost()), "requests/s × (0.34 s + tokens × 28 ms), no pair twice"),
		row("changes per second", formatNumber(t.changesPerSecond()), "54,000 a day"),
		row("adapters in demand", formatNumber(t.activeAdapters()), "14% of 28,000"),
		row("loads and unloads per second", formatNumber(t.activeAdapters()/3600), "14% of 28,000 in an hour, one engine each"),
		row("teams; keys per team", fmt.Sprintf("%d; %d", t.Teams, t.KeysPerTeam), "assumed"),
		row("slots per engine", fmt.Sprint(t.AdapterSlots), "assumed"),
		row("non-repeatable calls per second", formatNumber(t.callsPerSecond()), "what fills 100,000 records in 24 h"),
		row("cores of a control host, used to half", fmt.Sprint(t.ControlCores), "assumed"),
	}}
}

func scenarioTable(t Target, all []Scenario) Table {
	out := Table{Name: "scenarios", Header: []string{"setting"}}
	settings := []struct {
		name  string
		value func(s Scenario) float64
	}{
		{"Reports per second to each shard", func(s Scenario) float64 { return s.Reports }},
		{"Borrows per second to each lender", func(s Scenario) float64 { return s.Borrows }},
		{"Syncs per second without a change", func(s Scenario) float64 { return s.Syncs }},
		{"scrapes per second and engine", func(s Scenario) float64 { return s.Scrapes }},
		{"plans per second", func(s Scenario) float64 { return s.Plans }},
		{"placement shards", func(s Scenario) float64 { return float64(s.Shards) }},
		{"shards that a host reports to", func(s Scenario) float64 { return float64(s.ShardsPerHost) }},
		{"engines that a host knows", func(s Scenario) float64 { return s.enginesPerHost(t) }},
		{"engines whose load one answer names", func(s Scenario) float64 { return s.loadsPerReport(t) }},
		{"share of pairs in flight that reports name", func(s Scenario) float64 { return s.ReportedPairs }},
		{"share of arrivals that reports count", func(s Scenario) float64 { return s.ReportedArrivals }},
		{"lenders", func(s Scenario) float64 { return float64(s.Lenders) }},
		{"teams that a host borrows for", func(s Scenario) float64 { return s.BorrowTeams }},
		{"subscribers of a relay (0: all at the voters)", func(s Scenario) float64 { return float64(s.RelaySubscribers) }},
	}
	for _, s := range all {
		out.Header = append(out.Header, s.Name)
	}
	for _, setting := range settings {
		row := []string{setting.name}
		for _, s := range all {
			row = append(row, formatNumber(setting.value(s)))
		}
		out.Rows = append(out.Rows, row)
	}
	return out
}

func (r *Report) requestTable(t Target) Table {
	cpu := r.byID["request.cpu"]
	one := cpu.At(t.tokensPerRequest())
	return Table{Name: "requests", Header: []string{"what", "processor time"}, Rows: [][]string{
		{"per request, without its tokens", Value{cpu.Intercept, cpu.At(0).Err}.format("s")},
		{"per streamed token", Value{cpu.Slope, cpu.SlopeError}.format("s")},
		{"per request of " + formatNumber(t.tokensPerRequest()) + " tokens", one.format("s")},
		{"cores of an entry host at " + formatNumber(t.requestsPerHost()) + " requests/s", formatNumber(one.Y*t.requestsPerHost()) + " ± " + formatNumber(one.Err*t.requestsPerHost())},
	}}
}

func costRow(scenario string, c Cost) []string {
	return []string{scenario, c.Item, formatNumber(c.Messages), c.Bytes.format("bytes"), c.Cores.formatPercent(), c.Memory.format("bytes")}
}

var costHeader = []string{"scenario", "item", "messages/s", "bytes/s", "of a core", "memory"}

// verdict compares a value with its limit. Within two standard errors of the
// limit the comparison is uncertain: another run may give the opposite result.
func verdict(v Value, limit float64) string {
	switch {
	case v.Y+2*v.Err <= limit:
		return "fits"
	case v.Y-2*v.Err > limit:
		return "**does not fit**"
	default:
		return "**not certain**"
	}
}

func (r *Report) entryTable(t Target, all []Scenario) Table {
	out := Table{Name: "entry", Header: costHeader}
	for _, s := range all {
		costs := r.entryCosts(t, s)
		for _, c := range costs {
			out.Rows = append(out.Rows, costRow(s.Name, c))
		}
		total := sumCosts("**sum**", costs)
		out.Rows = append(out.Rows, costRow(s.Name, total), []string{
			s.Name, "limit", "", "3 KB " + verdict(total.Bytes, t.MaxBytesPerSecond),
			"2.2% " + verdict(total.Cores, t.MaxCores), "256 MB " + verdict(total.Memory, t.MaxMemoryBytes),
		})
	}
	return out
}

func (r *Report) relayTable(t Target, all []Scenario) Table {
	out := Table{Name: "relay", Header: append(append([]string{}, costHeader...), "subscribers within 2.2% of a core", "within 3 KB/s")}
	for _, s := range all {
		c := r.relayCosts(t, s)
		entryTotal := sumCosts("", r.entryCosts(t, s))
		out.Rows = append(out.Rows, append(costRow(s.Name, c),
			formatNumber(max(0, (t.MaxCores-entryTotal.Cores.Y)/c.Cores.Y)), formatNumber(max(0, (t.MaxBytesPerSecond-entryTotal.Bytes.Y)/c.Bytes.Y))))
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
