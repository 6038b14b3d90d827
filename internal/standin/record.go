package standin

import (
	"maps"
	"net/http"
	"strings"
	"sync"
)

// Limits on what a recorder stores.
const (
	maxRecorded     = 200_000
	maxHeaderValues = 32
	maxRepeated     = 1000
)

// recorder counts executions and stores the headers of the requests.
type recorder struct {
	mu        sync.Mutex
	total     int
	byRequest map[string]int
	byKey     map[string]int
	headers   map[string]map[string]int
	watched   []string
	leaks     []string
	truncated bool
}

func newRecorder() *recorder {
	return &recorder{byRequest: map[string]int{}, byKey: map[string]int{}, headers: map[string]map[string]int{}}
}

// observe records the headers of a request and searches the request for the
// watched values.
func (r *recorder) observe(req *http.Request, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, values := range req.Header {
		known := r.headers[name]
		if known == nil {
			known = map[string]int{}
			r.headers[name] = known
		}
		for _, v := range values {
			if _, ok := known[v]; ok || len(known) < maxHeaderValues {
				known[v]++
			}
		}
	}
	for _, secret := range r.watched {
		if where := findSecret(req, body, secret); where != "" && len(r.leaks) < maxHeaderValues {
			r.leaks = append(r.leaks, where)
		}
	}
}

// findSecret returns the part of the request that contains the secret, or "".
func findSecret(req *http.Request, body []byte, secret string) string {
	if strings.Contains(req.URL.String(), secret) {
		return "URL"
	}
	for name, values := range req.Header {
		if strings.Contains(strings.Join(values, "\n"), secret) {
			return "header " + name
		}
	}
	if strings.Contains(string(body), secret) {
		return "body"
	}
	return ""
}

// recordExecution counts one execution and returns how often the key has run.
func (r *recorder) recordExecution(requestID, key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	r.count(r.byRequest, requestID)
	return r.count(r.byKey, key)
}

func (r *recorder) count(m map[string]int, id string) int {
	if id == "" {
		return 0
	}
	if _, ok := m[id]; !ok && len(m) >= maxRecorded {
		r.truncated = true
		return 0
	}
	m[id]++
	return m[id]
}

// Record describes the requests that a stand-in has received.
type Record struct {
	// Executions counts the requests that started to run.
	Executions int `json:"executions"`
	// MaxPerRequest and MaxPerKey are the highest counts of one X-Request-Id
	// and one Idempotency-Key.
	MaxPerRequest int `json:"max_per_request"`
	MaxPerKey     int `json:"max_per_key"`
	// Repeated counts the executions of identifiers and keys that ran more than
	// once, up to a limit.
	Repeated map[string]int `json:"repeated,omitempty"`
	// ByRequest and ByKey hold all counts; only GET /standin/state?full=1 returns
	// them.
	ByRequest map[string]int `json:"by_request,omitempty"`
	ByKey     map[string]int `json:"by_key,omitempty"`
	// Headers counts the first distinct values of each header by name.
	Headers map[string]map[string]int `json:"headers"`
	// Leaks lists the parts of requests in which watched values were found.
	Leaks []string `json:"leaks,omitempty"`
	// Truncated reports whether identifiers or keys went uncounted at the limit.
	Truncated bool `json:"truncated,omitempty"`
}

func (r *recorder) record(full bool) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Record{
		Executions: r.total, MaxPerRequest: maxCount(r.byRequest), MaxPerKey: maxCount(r.byKey),
		Headers: map[string]map[string]int{}, Leaks: append([]string(nil), r.leaks...), Truncated: r.truncated,
	}
	for name, values := range r.headers {
		out.Headers[name] = maps.Clone(values)
	}
	out.Repeated = map[string]int{}
	for _, m := range []map[string]int{r.byRequest, r.byKey} {
		for id, n := range m {
			if n > 1 && len(out.Repeated) < maxRepeated {
				out.Repeated[id] = n
			}
		}
	}
	if full {
		out.ByRequest, out.ByKey = maps.Clone(r.byRequest), maps.Clone(r.byKey)
	}
	return out
}

func maxCount(m map[string]int) int {
	highest := 0
	for _, n := range m {
		highest = max(highest, n)
	}
	return highest
}

// Executions returns how often the request identifier has run.
func (r *recorder) Executions(requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byRequest[requestID]
}

// ExecutionsByKey returns how often the Idempotency-Key has run.
func (r *recorder) ExecutionsByKey(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byKey[key]
}

// Watch makes the recorder search each later request for the values, for example
// callers' keys.
func (r *recorder) Watch(values ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watched = append(r.watched, values...)
}

// Leaks lists the parts of requests in which watched values were found.
func (r *recorder) Leaks() []string { return r.record(false).Leaks }
