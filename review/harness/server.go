package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a backend server. It does only what the pages allow a sound one.
type server struct {
	rec     *record
	id      string
	service string
	version string
	address string
	slots   int
	born    int64
	models  []modelState
	// events and gap are the number of events of a stream and the pause between two.
	events int
	gap    time.Duration
	// work is how long a plain request takes.
	work time.Duration
	// crashes reports whether a request crashes every server that begins to run it; nil for none.
	crashes func(path string) bool
	// newIDs has each start get a new id.
	newIDs bool
	// engine is set where orders are carried out.
	engine *engine
	fleet  *fleet

	mu sync.Mutex
	// crashedAt holds when the server crashed.
	crashedAt []time.Time
	http      *http.Server
	starts    int
	running   int
	seq       int
	runs      []execution
}

// execution is one run of a request.
type execution struct {
	at                     time.Time
	attempt, path, tenant  string
	credential, lastEvent  string
	service, server, build string
}

// addServer starts a backend server and lists it.
func (f *fleet) addServer(host, port int, s *server) error {
	s.rec, s.fleet, s.address, s.born = f.rec, f, f.address(host, port), time.Now().UnixMilli()
	if err := s.listen(); err != nil {
		return err
	}
	f.closers = append(f.closers, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = s.http.Close()
	})
	e := entry{
		ID: s.id, Service: s.service, Address: s.address, Zone: zones[host%len(zones)], Version: s.version, Slots: s.slots,
		State: "ready", Born: s.born, Models: s.modelStates(),
	}
	if s.engine != nil || len(s.models) > 0 {
		e.Stage = "both"
	}
	f.list.add(e)
	return nil
}

// listen serves on the server's address.
func (s *server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http = srv
	s.starts++
	go func() { _ = srv.Serve(l) }()
	return nil
}

// downTime is how long a server that has crashed is down.
const downTime = 2 * time.Second

// crash ends the server, which is back after downTime. It breaks off all requests.
func (s *server) crash(cause string) {
	s.mu.Lock()
	srv, start := s.http, s.starts
	s.mu.Unlock()
	if srv.Close() != nil {
		return
	}
	s.mu.Lock()
	s.crashedAt = append(s.crashedAt, time.Now())
	s.mu.Unlock()
	s.rec.add("server %s crashes in its start %d, running %s", s.id, start, cause)
	time.Sleep(downTime)
	s.mu.Lock()
	old := s.id
	if s.newIDs {
		s.id = fmt.Sprintf("%s-%d", s.id, start+1)
	}
	s.seq, s.running, s.born = 0, 0, time.Now().UnixMilli()
	if s.engine != nil {
		s.engine.held, s.engine.adapters, s.engine.coming, s.engine.loads = false, nil, nil, 0
		s.relist()
	}
	id, born := s.id, s.born
	s.mu.Unlock()
	if err := s.listen(); err != nil {
		s.rec.add("server %s does not start: %v", id, err)
		return
	}
	s.fleet.list.restarted(old, id, born)
	s.rec.add("server %s is back as %s", old, id)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", s.id)
		return
	case "/report":
		s.report(w)
		return
	case "/order":
		s.order(w, r)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	if !s.holds(r.Header.Get("Model")) {
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Attempt-Id", attempt)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Attempt-Id", attempt)
	if _, err := io.Copy(io.Discard, r.Body); err != nil || attempt == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	load := fmt.Sprintf("%d,0,%d", s.running, s.slots)
	s.runs = append(s.runs, execution{
		at: time.Now(), attempt: attempt, path: r.URL.Path, tenant: r.Header.Get("Tenant"), credential: r.Header.Get("Credential"),
		lastEvent: r.Header.Get("Last-Event-Id"), service: s.service, server: s.id, build: s.version,
	})
	start := s.starts
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.starts == start {
			s.running--
		}
	}()
	s.rec.quiet("server %s (%s %s) runs %s, path %s, last event %q", s.id, s.service, s.version, attempt, r.URL.Path, r.Header.Get("Last-Event-Id"))
	w.Header().Set("Server-Seal", s.id+"."+attempt)
	w.Header().Set("Server-Load", load)
	w.Header().Set("Keep-Alive", "timeout=30")
	if s.crashes != nil && s.crashes(r.URL.Path) {
		go s.crash(attempt)
		<-r.Context().Done()
		return
	}
	if r.Header.Get("Model") == "" || s.events == 0 {
		if s.work > 0 {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(s.work):
			}
		}
		w.Header().Set("Content-Type", "text/plain")
		_, _ = fmt.Fprintf(w, "%s by %s\n", attempt, s.id)
		return
	}
	s.stream(w, r)
}

// holds reports whether the server holds what a request names.
func (s *server) holds(model string) bool {
	if s.engine == nil || model == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name, adapter, _ := strings.Cut(model, "/")
	return s.engine.held && name == s.engine.model && (adapter == "" || slices.Contains(s.engine.adapters, adapter))
}

// stream sends events with increasing ids, from the one after Last-Event-Id.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		first = n + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	control := http.NewResponseController(w)
	for n := first; n <= s.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: part %d by %s %s\n\n", n, n, s.service, s.version); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	coming := []string{}
	if s.engine != nil {
		for _, a := range s.engine.coming {
			coming = append(coming, s.engine.model+"/"+a+"@1")
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id": s.id, "born": s.born, "stage": "both", "models": s.modelStates(), "busy": false, "seq": s.seq, "queued": 0, "active": s.running,
		"kv_used": 0, "kv_total": 253369, "handles": 0, "coming": coming,
	})
}

// allRuns returns the runs so far.
func (s *server) allRuns() []execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]execution{}, s.runs...)
}
