package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EngineOptions configure a stand-in engine. Zero values select the defaults.
type EngineOptions struct {
	// Name appears in the engine's state only.
	Name string
	// BaseModel is the name of the base model; default "base".
	BaseModel string
	// Slots is the number of adapter slots; default 8.
	Slots int
	// MaxBatch is the number of batch slots; default 16.
	MaxBatch int
	// TokenTime is the time of one step, which produces one token of each running
	// completion; default 20 ms.
	TokenTime time.Duration
	// PrefillTime is added before the first token for each prompt token that is
	// not cached; default 0.
	PrefillTime time.Duration
	// LoadTime is the time of an adapter load at the store's full speed; default
	// 0.25 s.
	LoadTime time.Duration
	// Store may be shared by several engines; by default the engine has its own.
	Store *WeightStore
	// PrefixTokens is the size of the prefix cache; default 65536.
	PrefixTokens int
	// KVTokens is the size of the KV cache, for the reported usage; default 262144.
	KVTokens int
	// CheckFencing makes the engine reject orders whose fencing number is lower than
	// one it has seen.
	CheckFencing bool
	// ResumeWindow is how long a stream without a reader is stored; default 5 s.
	ResumeWindow time.Duration
	// RestartTime is how long the engine refuses connections at a restart; default 0.
	RestartTime time.Duration
}

func orDefault[T int | time.Duration | string](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (o EngineOptions) withDefaults() EngineOptions {
	orDefault(&o.Name, "standin-engine")
	orDefault(&o.BaseModel, "base")
	orDefault(&o.Slots, 8)
	orDefault(&o.MaxBatch, 16)
	orDefault(&o.TokenTime, 20*time.Millisecond)
	orDefault(&o.LoadTime, 250*time.Millisecond)
	orDefault(&o.PrefixTokens, 65536)
	orDefault(&o.KVTokens, 262144)
	orDefault(&o.ResumeWindow, 5*time.Second)
	if o.Store == nil {
		o.Store = NewWeightStore(WeightStoreOptions{})
	}
	return o
}

// Engine is a stand-in engine. It runs no model: the text of a completion follows
// from the model's name and the prompt, see CompletionText.
type Engine struct {
	*server
	*recorder
	faultTable
	opts    EngineOptions
	swapper responseSwapper

	mu           sync.Mutex
	run          *run
	closed       bool
	restarts     int
	loads        int
	evictedInUse int
}

// run is the state that is lost when the engine restarts.
type run struct {
	startTime   float64
	ctx         context.Context
	cancel      context.CancelFunc
	batch       *batch
	prefixCache *prefixCache
	adapters    map[string]*adapter
	streams     map[string]*stream
	active      map[string]func()
	fence       uint64 // highest fencing number seen
}

type adapter struct {
	weights string
	ready   chan struct{}
	inUse   int
}

func (a *adapter) isReady() bool {
	select {
	case <-a.ready:
		return true
	default:
		return false
	}
}

// NewEngine returns a running engine without a listener; see Serve.
func NewEngine(opts EngineOptions) *Engine {
	e := &Engine{recorder: newRecorder(), opts: opts.withDefaults()}
	e.server = newServer(e.Handler())
	e.run = e.newRun(0)
	return e
}

// newRun starts a run. Its start time is later than that of the last run, even if
// the clock did not advance, since the start time identifies the run.
func (e *Engine) newRun(last float64) *run {
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{
		startTime: max(float64(time.Now().UnixMilli())/1000, last+0.01),
		ctx:       ctx, cancel: cancel,
		prefixCache: newPrefixCache(e.opts.PrefixTokens),
		adapters:    map[string]*adapter{},
		streams:     map[string]*stream{},
		active:      map[string]func(){},
	}
	r.batch = newBatch(e.opts.MaxBatch, func() time.Duration {
		return time.Duration(float64(e.opts.TokenTime) * e.slowFactor())
	})
	go r.batch.loop(ctx)
	return r
}

// Restart drops all connections and state, as a crash does, and starts cold with
// a new start time.
func (e *Engine) Restart() {
	e.mu.Lock()
	old := e.run
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.run = e.newRun(old.startTime)
	e.restarts++
	e.mu.Unlock()
	// Connections are dropped before the run is cancelled, so that no response of a
	// cancelled completion is sent.
	e.dropConns(e.opts.RestartTime)
	e.stop(old)
}

func (r *run) startID() string { return strconv.FormatFloat(r.startTime, 'f', -1, 64) }

func (e *Engine) stop(r *run) {
	r.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range r.streams {
		s.stop()
	}
}

// Silence stops all traffic on the connections that are open now, without closing
// them, and returns how many there are.
func (e *Engine) Silence() int { return e.silenceConns() }

// Shutdown finishes the running requests and stops.
func (e *Engine) Shutdown(ctx context.Context) error {
	err := e.http.Shutdown(ctx)
	e.Close()
	return err
}

// Close stops the engine at once and drops its connections.
func (e *Engine) Close() {
	_ = e.http.Close()
	e.dropConns(0)
	e.mu.Lock()
	e.closed = true
	old := e.run
	e.mu.Unlock()
	e.stop(old)
}

func (e *Engine) currentRun() *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.run
}

// StartID returns the start time that identifies the current run, as the metrics
// report it.
func (e *Engine) StartID() string { return e.currentRun().startID() }

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancelStream)
	mux.HandleFunc("POST /v1/load_lora_adapter", e.loadAdapter)
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.unloadAdapter)
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("GET /metrics", e.metrics)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	control := http.NewServeMux()
	control.HandleFunc("GET /standin/state", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, e.state(r.URL.Query().Has("full")))
	})
	control.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) { e.handleFaults(w, r, e) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/standin/") {
			control.ServeHTTP(w, r)
			return
		}
		e.echo(w.Header(), r.Header.Get("X-Request-Id"))
		mux.ServeHTTP(w, r)
	})
}

// echo returns the request's X-Request-Id in the response header.
func (e *Engine) echo(h http.Header, id string) {
	switch {
	case e.consumeFault(func(f *Faults) *int { return &f.NoEcho }):
	case e.consumeFault(func(f *Faults) *int { return &f.WrongEcho }):
		h.Set("X-Request-Id", "other-"+id)
	case id != "":
		h.Set("X-Request-Id", id)
	}
}

// EngineState is the response body of GET /standin/state.
type EngineState struct {
	Name         string    `json:"name"`
	StartID      string    `json:"start_id"`
	Running      int       `json:"running"`
	Waiting      int       `json:"waiting"`
	Adapters     []string  `json:"adapters"`
	Loads        int       `json:"loads"`
	Restarts     int       `json:"restarts"`
	Conns        int       `json:"connections"`
	Steps        int       `json:"steps"`
	Tokens       int       `json:"tokens"`
	EvictedInUse int       `json:"evicted_in_use"`
	Faults       Faults    `json:"faults"`
	Record       Record    `json:"record"`
	At           time.Time `json:"at"`
}

// State returns the engine's state and counters. Steps and Tokens count from the
// last restart.
func (e *Engine) State() EngineState { return e.state(false) }

func (e *Engine) state(full bool) EngineState {
	r := e.currentRun()
	st := EngineState{
		Name: e.opts.Name, StartID: e.StartID(), Conns: e.openConns(),
		Faults: e.activeFaults(), Record: e.record(full), At: time.Now(),
	}
	st.Running, st.Waiting = r.batch.counts()
	st.Steps, st.Tokens = r.batch.totals()
	e.mu.Lock()
	defer e.mu.Unlock()
	st.Adapters = r.readyAdapters()
	st.Loads, st.Restarts, st.EvictedInUse = e.loads, e.restarts, e.evictedInUse
	return st
}
