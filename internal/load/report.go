package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Refusal is the reason why a request was refused, and whether it ran.
type Refusal struct {
	Reason string `json:"reason"`
	Run    string `json:"run"`
}

// Report is the result of a load run. Sent is the sum of Answered, Wrong,
// Unknown, Aborted and all Refused.
type Report struct {
	Sent, Answered int
	// Wrong counts complete responses whose text is not the expected one.
	Wrong int
	// Unknown counts requests without a complete response.
	Unknown int
	// Aborted counts requests that were cancelled with the context of the run.
	Aborted int
	Refused map[Refusal]int
	Tokens  int
	Elapsed time.Duration
	// Problems describes the first maxProblems failures.
	Problems []string
	// The histograms are in microseconds.
	FirstToken, BetweenTokens, Total *hdrhistogram.Histogram
}

// maxProblems is the maximum number of failures that a report describes.
const maxProblems = 10

// maxLatency is the largest latency that a histogram can record.
const maxLatency = time.Hour

func newReport() *Report {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), 2) }
	return &Report{Refused: map[Refusal]int{}, FirstToken: h(), BetweenTokens: h(), Total: h()}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds()))
}

func (r *Report) addProblem(problem string) {
	if len(r.Problems) < maxProblems {
		r.Problems = append(r.Problems, problem)
	}
}

func (r *Report) merge(o *Report) {
	r.Sent += o.Sent
	r.Answered += o.Answered
	r.Wrong += o.Wrong
	r.Unknown += o.Unknown
	r.Aborted += o.Aborted
	r.Tokens += o.Tokens
	for k, n := range o.Refused {
		r.Refused[k] += n
	}
	for _, p := range o.Problems {
		r.addProblem(p)
	}
	r.FirstToken.Merge(o.FirstToken)
	r.BetweenTokens.Merge(o.BetweenTokens)
	r.Total.Merge(o.Total)
}

// refusals returns the refusals in a fixed order.
func (r *Report) refusals() []Refusal {
	keys := make([]Refusal, 0, len(r.Refused))
	for k := range r.Refused {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Run, b.Run))
	})
	return keys
}

type countLine struct {
	Count string `json:"count"`
	Value int    `json:"value"`
	*Refusal
}

type timeLine struct {
	Time   string  `json:"time"`
	Count  int64   `json:"count"`
	MeanMs float64 `json:"mean_ms"`
	P50Ms  float64 `json:"p50_ms"`
	P95Ms  float64 `json:"p95_ms"`
	P99Ms  float64 `json:"p99_ms"`
	MaxMs  float64 `json:"max_ms"`
}

func (r *Report) counts() []countLine {
	lines := []countLine{
		{Count: "sent", Value: r.Sent}, {Count: "answered", Value: r.Answered}, {Count: "wrong", Value: r.Wrong},
		{Count: "unknown", Value: r.Unknown}, {Count: "aborted", Value: r.Aborted},
	}
	for _, k := range r.refusals() {
		lines = append(lines, countLine{Count: "refused", Value: r.Refused[k], Refusal: &k})
	}
	return append(lines, countLine{Count: "tokens", Value: r.Tokens},
		countLine{Count: "elapsed_ms", Value: int(r.Elapsed.Milliseconds())})
}

func (r *Report) times() []timeLine {
	line := func(name string, h *hdrhistogram.Histogram) timeLine {
		ms := func(v int64) float64 { return float64(v) / 1000 }
		return timeLine{
			Time: name, Count: h.TotalCount(), MeanMs: h.Mean() / 1000, P50Ms: ms(h.ValueAtQuantile(50)),
			P95Ms: ms(h.ValueAtQuantile(95)), P99Ms: ms(h.ValueAtQuantile(99)), MaxMs: ms(h.Max()),
		}
	}
	return []timeLine{
		line("first_token", r.FirstToken), line("between_tokens", r.BetweenTokens), line("total", r.Total),
	}
}

// WriteJSON writes one JSON line per counter and per latency histogram.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	for _, l := range r.counts() {
		if err := enc.Encode(l); err != nil {
			return err
		}
	}
	for _, l := range r.times() {
		if err := enc.Encode(l); err != nil {
			return err
		}
	}
	return nil
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, l := range r.counts() {
		name := l.Count
		if l.Refusal != nil {
			name += " " + l.Reason + " (" + l.Run + ")"
		}
		fmt.Fprintf(t, "%s\t%d\n", name, l.Value)
	}
	fmt.Fprintf(t, "\ntime in ms\tcount\tmean\tp50\tp95\tp99\tmax\n")
	for _, l := range r.times() {
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", l.Time, l.Count, l.MeanMs, l.P50Ms, l.P95Ms, l.P99Ms, l.MaxMs)
	}
	for _, p := range r.Problems {
		fmt.Fprintf(t, "problem\t%s\n", p)
	}
	return t.Flush()
}
