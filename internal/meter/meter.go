// Package meter provides the counters, gauges and latency histograms of one
// process and exports them in the Prometheus text format. The counters are
// expvar values, so that /debug/vars can show them too.
package meter

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Set is a set of named metrics. It is safe for concurrent use.
type Set struct {
	prefix string

	mu    sync.Mutex
	names []string
	// writers export each metric; their argument is the name with the prefix.
	writers map[string]func(io.Writer, string)
}

// NewSet returns an empty set whose metric names all get the prefix.
func NewSet(prefix string) *Set {
	return &Set{prefix: prefix, writers: map[string]func(io.Writer, string){}}
}

func (s *Set) add(name string, write func(io.Writer, string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names = append(s.names, name)
	sort.Strings(s.names)
	s.writers[name] = write
}

// Counter adds a counter.
func (s *Set) Counter(name string) *expvar.Int {
	v := new(expvar.Int)
	s.add(name, func(w io.Writer, fullName string) { fmt.Fprintf(w, "%s %d\n", fullName, v.Value()) })
	return v
}

// Gauge adds a gauge whose value is read at each export.
func (s *Set) Gauge(name string, read func() float64) {
	s.add(name, func(w io.Writer, fullName string) {
		fmt.Fprintf(w, "%s %s\n", fullName, strconv.FormatFloat(read(), 'g', -1, 64))
	})
}

// Counters adds a family of counters with one label. The caller must bound the
// number of label values.
func (s *Set) Counters(name, label string) *expvar.Map {
	v := new(expvar.Map)
	s.add(name, func(w io.Writer, fullName string) {
		v.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%s{%s=%q} %s\n", fullName, label, kv.Key, kv.Value) })
	})
	return v
}

// bucketBoundsMs are the upper bounds of a histogram's buckets. They lie around
// the latency objectives of interactive requests.
var bucketBoundsMs = [...]int64{1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 800, 1000, 2000, 5000, 10000, 30000}

// Histogram counts durations by bucket.
type Histogram struct {
	counts [len(bucketBoundsMs) + 1]atomic.Int64
	sumUs  atomic.Int64
}

// Observe records a duration.
func (h *Histogram) Observe(d time.Duration) {
	i := sort.Search(len(bucketBoundsMs), func(i int) bool { return d.Milliseconds() < bucketBoundsMs[i] })
	h.counts[i].Add(1)
	h.sumUs.Add(d.Microseconds())
}

// Histogram adds a histogram of durations, exported in milliseconds.
func (s *Set) Histogram(name string) *Histogram {
	h := &Histogram{}
	s.add(name, h.writeText)
	return h
}

func (h *Histogram) writeText(w io.Writer, fullName string) {
	total := int64(0)
	for i := range h.counts {
		total += h.counts[i].Load()
		upperBound := "+Inf"
		if i < len(bucketBoundsMs) {
			upperBound = strconv.FormatInt(bucketBoundsMs[i], 10)
		}
		fmt.Fprintf(w, "%s_bucket{le=%q} %d\n", fullName, upperBound, total)
	}
	fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", fullName, float64(h.sumUs.Load())/1000, fullName, total)
}

// ServeHTTP exports all metrics, sorted by name.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.names {
		s.writers[name](w, s.prefix+name)
	}
}
