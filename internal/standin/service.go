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

// ServiceOptions configure a stand-in plain service.
type ServiceOptions struct {
	// Name appears in its answers; default "standin-service".
	Name string
	// Delay is the time of a call; default 0.
	Delay time.Duration
	// RestartTime is how long it is down at a restart; default 0.
	RestartTime time.Duration
}

// Service is a stand-in plain service. It answers each path with what it got and
// counts executions.
type Service struct {
	*server
	*recorder
	faultTable
	opts ServiceOptions

	mu       sync.Mutex
	bodies   map[string]map[string]int
	restarts int
}

// ServiceAnswer is the body of an answer of a Service.
type ServiceAnswer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query,omitempty"`
	SHA256  string `json:"sha256"`
	// Execution is how often the Idempotency-Key has run, with this run.
	Execution int `json:"execution"`
}

// NewService returns a service without a listener; see Serve.
func NewService(opts ServiceOptions) *Service {
	orDefault(&opts.Name, "standin-service")
	s := &Service{recorder: newRecorder(), opts: opts, bodies: map[string]map[string]int{}}
	s.server = newServer(s.Handler())
	return s
}

// Restart loses all connections, as a crash does. What was executed stays
// counted.
func (s *Service) Restart() {
	s.mu.Lock()
	s.restarts++
	s.mu.Unlock()
	s.dropAll(s.opts.RestartTime)
}

// Silence makes all open connections silent and returns how many there were.
func (s *Service) Silence() int { return s.silence() }

// Shutdown finishes the running calls and stops.
func (s *Service) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.Close()
	return err
}

// Close stops at once.
func (s *Service) Close() {
	_ = s.http.Close()
	s.dropAll(0)
}

// Handler serves every path.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/state", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, s.state(r.URL.Query().Has("full")))
	})
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, s) })
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
	if f := s.get(); f.RefuseStatus != 0 && s.take(func(f *Faults) *int { return &f.Refuse }) {
		writeError(w, f.RefuseStatus, "refused")
		return
	}
	sum := sha256.Sum256(body)
	key, digest := r.Header.Get("Idempotency-Key"), hex.EncodeToString(sum[:])
	execution := s.execute(r.Header.Get("X-Request-Id"), key)
	s.remember(key, digest)
	if marker := s.get().CrashMarker; marker != "" && bytes.Contains(body, []byte(marker)) {
		s.Restart()
		panic(http.ErrAbortHandler)
	}
	if s.take(func(f *Faults) *int { return &f.Hang }) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if waitFor(r.Context(), time.Duration(float64(s.opts.Delay)*s.slow())) != nil ||
		s.take(func(f *Faults) *int { return &f.LoseAnswer }) {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, ServiceAnswer{
		Service: s.opts.Name, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		SHA256: digest, Execution: execution,
	})
}

func (s *Service) echo(h http.Header, id string) {
	switch {
	case id == "", s.take(func(f *Faults) *int { return &f.NoEcho }):
	case s.take(func(f *Faults) *int { return &f.WrongEcho }):
		h.Set("X-Request-Id", "other-"+id)
	default:
		h.Set("X-Request-Id", id)
	}
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, a ServiceAnswer) {
	data := encode(a)
	w.Header().Set("Content-Type", "application/json")
	switch {
	case s.take(func(f *Faults) *int { return &f.Endless }):
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, strings.Repeat(" ", 4096)); err != nil {
				return
			}
		}
	case s.take(func(f *Faults) *int { return &f.CutStreams }):
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data[:min(s.get().CutAfter, len(data))])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		_, _ = w.Write(data)
	}
}

// remember counts the bodies that came with a key.
func (s *Service) remember(key, digest string) {
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

// ServiceState is what GET /standin/state answers.
type ServiceState struct {
	Name     string `json:"name"`
	Restarts int    `json:"restarts"`
	Conns    int    `json:"connections"`
	// Keys is the number of distinct Idempotency-Keys, and Conflicting counts
	// those that came with more than one body.
	Keys        int    `json:"keys"`
	Conflicting int    `json:"conflicting_keys"`
	Faults      Faults `json:"faults"`
	Record      Record `json:"record"`
}

// State returns what the service has done so far.
func (s *Service) State() ServiceState { return s.state(false) }

func (s *Service) state(full bool) ServiceState {
	st := ServiceState{Name: s.opts.Name, Conns: s.openConns(), Faults: s.get(), Record: s.record(full)}
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
