package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// backend is a stand-in for a backend server of a plain service, as PROTOCOL.md describes it.
type backend struct {
	id, service, address, zone string
	slots                      int
	work, workGet              time.Duration
	born                       int64

	mu     sync.Mutex
	build  string // the version of its software
	server *http.Server
	// before is what the list shows until shownUntil, after a new start.
	before     state
	shownUntil time.Time
	runs       map[string]int // by Attempt-Id
}

// serve serves on the listener in the background.
func (b *backend) serve(l net.Listener) {
	server := &http.Server{Handler: b}
	b.mu.Lock()
	b.server = server
	b.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

func (b *backend) setBuild(build string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.build = build
}

// who returns the id of the server and the version of its software.
func (b *backend) who() (id, build string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.id, b.build
}

// setWork sets how long the server works on a request, and on a GET.
func (b *backend) setWork(d, get time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work, b.workGet = d, get
}

// state is what the list shows of a server.
type state struct {
	id, build string
	born      int64
}

// listLag is how long the list lags behind what happens.
const listLag = 800 * time.Millisecond

// shown returns what the list shows of the server now. One that has crashed remains on it.
func (b *backend) shown(now time.Time) state {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.shownUntil) {
		return b.before
	}
	return state{b.id, b.build, b.born}
}

// lifetime returns the id of the server, and how long it works on a request with the method.
func (b *backend) lifetime(method string) (id string, work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if method == http.MethodGet {
		return b.id, b.workGet
	}
	return b.id, b.work
}

// startBackend starts a sound backend server.
func (f *fleet) startBackend(id, service, zone string, host int) (*backend, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", f.net, host))
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, service: service, address: l.Addr().String(), zone: zone, slots: 6, build: "v1", work: 20 * time.Millisecond, workGet: 20 * time.Millisecond, born: time.Now().UnixMilli(), runs: map[string]int{}}
	b.serve(l)
	return b, nil
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	h := w.Header()
	self, work := b.lifetime(r.Method)
	h.Set("Instance-Id", self)
	h.Set("Server-Load", fmt.Sprintf("0,0,%d", b.slots))
	if id != "" {
		h.Set("Attempt-Id", id)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != self {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	b.runs[id]++
	b.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		b.stream(w, r)
		return
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	h.Set("Server-Seal", "3e1b.07."+id)
	_, _ = fmt.Fprintf(w, "%s ran %s %s with %d bytes", self, r.Method, r.URL.Path, len(body))
}

// totalRuns returns the number of runs of all requests.
func (b *backend) totalRuns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, runs := range b.runs {
		n += runs
	}
	return n
}

// startList starts the infrastructure's list of the backend servers.
func (f *fleet) startList(servers ...*backend) error {
	l, err := net.Listen("tcp", f.net+".240:0")
	if err != nil {
		return err
	}
	f.list = l.Addr().String()
	type entry struct {
		ID      string `json:"id"`
		Service string `json:"service"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
		Version string `json:"version"`
		Slots   int    `json:"slots"`
		State   string `json:"state"`
		Cold    int    `json:"cold_left_ms"`
		Born    int64  `json:"born"`
	}
	handler := func(w http.ResponseWriter, _ *http.Request) {
		entries := []entry{}
		for _, b := range servers {
			e := b.shown(time.Now())
			entries = append(entries, entry{e.id, b.service, b.address, b.zone, e.build, b.slots, "ready", 0, e.born})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(handler)) }()
	return nil
}

// isReady asks a front machine whether it is ready, as the infrastructure does.
func (f *fleet) isReady(m *machine) bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + f.addr(m.ip, f.ready) + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var attempts struct {
	sync.Mutex
	n int
}

func nextID() string {
	attempts.Lock()
	defer attempts.Unlock()
	attempts.n++
	return fmt.Sprintf("%016x", 0x1c41d07be2a30000+attempts.n)
}

// request sends one request on a new channel and returns its status, 0 for none, and the body or the error.
func (f *fleet) request(m *machine, method, path string, body string, within time.Duration) (int, string) {
	c := &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+f.addr(m.ip, f.front)+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = callerHost
	req.Header.Set("Attempt-Id", nextID())
	req.Header.Set("Credential", callerKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(within.Milliseconds()))
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}
