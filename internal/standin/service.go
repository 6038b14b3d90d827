package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ServiceOptions configure a stand-in plain service. Zero values select the
// defaults.
type ServiceOptions struct {
	// Name appears in responses; default "standin-service".
	Name string
	// Delay is the time of a call; default 0.
	Delay time.Duration
	// RestartTime is how long the service refuses connections at a restart; default 0.
	RestartTime time.Duration
}

// Service is a stand-in plain service. Its response to any path describes the
// request, and it counts executions.
type Service struct {
	*server
	*recorder
	faultTable
	opts ServiceOptions

	mu       sync.Mutex
	bodies   map[string]map[string]int
	restarts int
}

// ServiceResponse is the response body of a Service.
type ServiceResponse struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query,omitempty"`
	SHA256  string `json:"sha256"`
	// Execution is how often the Idempotency-Key has run, including this run.
	Execution int `json:"execution"`
}

// NewService returns a service without a listener; see Serve.
func NewService(opts ServiceOptions) *Service {
	orDefault(&opts.Name, "standin-service")
	s := &Service{recorder: newRecorder(), opts: opts, bodies: map[string]map[string]int{}}
	s.server = newServer(s.Handler())
	return s
}

// Restart drops all connections, as a crash does. Counters are preserved.
func (s *Service) Restart() {
	s.mu.Lock()
	s.restarts++
	s.mu.Unlock()
	s.dropConns(s.opts.RestartTime)
}

// Silence stops all traffic on the connections that are open now, without closing
// them, and returns how many there are.
func (s *Service) Silence() int { return s.silenceConns() }

// Shutdown finishes the running calls and stops.
func (s *Service) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.Close()
	return err
}

// Close stops the service at once and drops its connections.
func (s *Service) Close() {
	_ = s.http.Close()
	s.dropConns(0)
}

// Handler serves every path.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/state", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, s.state(r.URL.Query().Has("full")))
	})
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) { s.handleFaults(w, r, s) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	s.observe(r, body)
	s.echo(w.Header(), r.Header.Get("X-Request-Id"))
	if f := s.activeFaults(); f.RefuseStatus != 0 && s.consumeFault(func(f *Faults) *int { return &f.Refuse }) {
		writeError(w, f.RefuseStatus, "refused")
		return
	}
	sum := sha256.Sum256(body)
	key, digest := r.Header.Get("Idempotency-Key"), hex.EncodeToString(sum[:])
	execution := s.recordExecution(r.Header.Get("X-Request-Id"), key)
	s.recordBody(key, digest)
	if marker := s.activeFaults().CrashMarker; marker != "" && bytes.Contains(body, []byte(marker)) {
		s.Restart()
		panic(http.ErrAbortHandler)
	}
	if s.consumeFault(func(f *Faults) *int { return &f.Hang }) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if waitFor(r.Context(), time.Duration(float64(s.opts.Delay)*s.slowFactor())) != nil ||
		s.consumeFault(func(f *Faults) *int { return &f.DropResponse }) {
		panic(http.ErrAbortHandler)
	}
	s.writeResponse(w, r, ServiceResponse{
		Service: s.opts.Name, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		SHA256: digest, Execution: execution,
	})
}

func (s *Service) echo(h http.Header, id string) {
	switch {
	case id == "", s.consumeFault(func(f *Faults) *int { return &f.NoEcho }):
	case s.consumeFault(func(f *Faults) *int { return &f.WrongEcho }):
		h.Set("X-Request-Id", "other-"+id)
	default:
		h.Set("X-Request-Id", id)
	}
}

func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, resp ServiceResponse) {
	data := encode(resp)
	w.Header().Set("Content-Type", "application/json")
	switch {
	case s.consumeFault(func(f *Faults) *int { return &f.Endless }):
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, strings.Repeat(" ", 4096)); err != nil {
				return
			}
		}
	case s.consumeFault(func(f *Faults) *int { return &f.CutStreams }):
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data[:min(s.activeFaults().CutAfter, len(data))])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		_, _ = w.Write(data)
	}
}

// recordBody counts the bodies that arrived with a key.
func (s *Service) recordBody(key, digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bodies[key] == nil {
		if len(s.bodies) >= maxRecorded {
			return
		}
		s.bodies[key] = map[string]int{}
	}
	s.bodies[key][digest]++
}

// Bodies returns how often each body, by its hex SHA-256, ran with the key.
func (s *Service) Bodies(key string) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for digest, n := range s.bodies[key] {
		out[digest] = n
	}
	return out
}

// ServiceState is the response body of GET /standin/state.
type ServiceState struct {
	Name     string `json:"name"`
	Restarts int    `json:"restarts"`
	Conns    int    `json:"connections"`
	// Keys is the number of distinct Idempotency-Keys, and Conflicting the number of
	// those that arrived with more than one body.
	Keys        int    `json:"keys"`
	Conflicting int    `json:"conflicting_keys"`
	Faults      Faults `json:"faults"`
	Record      Record `json:"record"`
}

// State returns the service's state and counters.
func (s *Service) State() ServiceState { return s.state(false) }

func (s *Service) state(full bool) ServiceState {
	st := ServiceState{Name: s.opts.Name, Conns: s.openConns(), Faults: s.activeFaults(), Record: s.record(full)}
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Restarts = s.restarts
	for key, bodies := range s.bodies {
		if key == "" {
			continue
		}
		st.Keys++
		if len(bodies) > 1 {
			st.Conflicting++
		}
	}
	return st
}
