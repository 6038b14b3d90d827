// Package meter holds the counters and latency histograms of one process and
// writes them as text. The counters are expvar values, so that /debug/vars can
// show them too.
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
	write map[string]func(io.Writer, string)
}

// NewSet returns an empty set; its names begin with the prefix.
func NewSet(prefix string) *Set {
	return &Set{prefix: prefix, write: map[string]func(io.Writer, string){}}
}

func (s *Set) add(name string, write func(io.Writer, string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names = append(s.names, name)
	sort.Strings(s.names)
	s.write[name] = write
}

// Counter adds a counter.
func (s *Set) Counter(name string) *expvar.Int {
	v := new(expvar.Int)
	s.add(name, func(w io.Writer, full string) { fmt.Fprintf(w, "%s %d\n", full, v.Value()) })
	return v
}

// Gauge adds a value that is read when it is written.
func (s *Set) Gauge(name string, read func() float64) {
	s.add(name, func(w io.Writer, full string) {
		fmt.Fprintf(w, "%s %s\n", full, strconv.FormatFloat(read(), 'g', -1, 64))
	})
}

// Counters adds a family of counters by one label. The caller bounds its values.
func (s *Set) Counters(name, label string) *expvar.Map {
	v := new(expvar.Map)
	s.add(name, func(w io.Writer, full string) {
		v.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%s{%s=%q} %s\n", full, label, kv.Key, kv.Value) })
	})
	return v
}

// bounds are the upper bounds of the buckets of a histogram, in ms. They lie
// around the objectives of interactive requests.
var bounds = [...]int64{1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 800, 1000, 2000, 5000, 10000, 30000}

// Histogram counts durations.
type Histogram struct {
	counts [len(bounds) + 1]atomic.Int64
	sum    atomic.Int64 // microseconds
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
	i := sort.Search(len(bounds), func(i int) bool { return d.Milliseconds() < bounds[i] })
	h.counts[i].Add(1)
	h.sum.Add(d.Microseconds())
}

// Histogram adds a histogram of durations in ms.
func (s *Set) Histogram(name string) *Histogram {
	h := &Histogram{}
	s.add(name, h.text)
	return h
}

func (h *Histogram) text(w io.Writer, full string) {
	total := int64(0)
	for i := range h.counts {
		total += h.counts[i].Load()
		le := "+Inf"
		if i < len(bounds) {
			le = strconv.FormatInt(bounds[i], 10)
		}
		fmt.Fprintf(w, "%s_bucket{le=%q} %d\n", full, le, total)
	}
	fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", full, float64(h.sum.Load())/1000, full, total)
}

// ServeHTTP writes all metrics as text.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.names {
		s.write[name](w, s.prefix+name)
	}
}
