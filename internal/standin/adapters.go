package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

type loadRequest struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// readyAdapters returns the sorted names of the ready adapters. The caller holds
// Engine.mu.
func (r *run) readyAdapters() []string {
	names := []string{}
	for name, a := range r.adapters {
		if a.isReady() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// readOrder reads a load or unload order and checks its fencing number. When it
// returns false, it has written the error response.
func (e *Engine) readOrder(w http.ResponseWriter, r *http.Request) (*run, loadRequest, bool) {
	var req loadRequest
	body, ok := readBody(w, r)
	if !ok {
		return nil, req, false
	}
	e.observe(r, body)
	if err := json.Unmarshal(body, &req); err != nil || req.Name == "" {
		writeError(w, http.StatusBadRequest, "lora_name is missing")
		return nil, req, false
	}
	run := e.currentRun()
	if !e.opts.CheckFencing {
		return run, req, true
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Number"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "X-Fencing-Number is missing")
		return nil, req, false
	}
	e.mu.Lock()
	old := fence < run.fence
	run.fence = max(run.fence, fence)
	e.mu.Unlock()
	if old {
		writeError(w, http.StatusPreconditionFailed, "the fencing number is lower than one seen before")
		return nil, req, false
	}
	return run, req, true
}

func (e *Engine) loadAdapter(w http.ResponseWriter, r *http.Request) {
	run, req, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	if req.Path == "" {
		writeError(w, http.StatusNotFound, "lora_path is missing")
		return
	}
	if e.consumeFault(func(f *Faults) *int { return &f.FailLoads }) {
		writeError(w, http.StatusInternalServerError, "the load failed")
		return
	}
	e.mu.Lock()
	a, known := run.adapters[req.Name]
	switch {
	case known && a.weights != req.Path:
		e.mu.Unlock()
		writeError(w, http.StatusBadRequest, "the adapter is loaded with other weights")
		return
	case !known && len(run.adapters) >= e.opts.Slots:
		e.mu.Unlock()
		writeError(w, http.StatusConflict, "no slot is free")
		return
	case !known:
		a = &adapter{weights: req.Path, ready: make(chan struct{})}
		run.adapters[req.Name] = a
		e.loads++
		go e.fetch(run, req.Name, a)
	}
	e.mu.Unlock()
	select {
	case <-a.ready:
		writeJSON(w, http.StatusOK, map[string]string{"status": "loaded"})
	case <-run.ctx.Done():
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
	}
}

// fetch loads the weights. A lost connection of the order does not stop it.
func (e *Engine) fetch(run *run, name string, a *adapter) {
	if e.opts.Store.Fetch(run.ctx, time.Duration(float64(e.opts.LoadTime)*e.slowFactor())) == nil {
		close(a.ready)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(run.adapters, name)
}

func (e *Engine) unloadAdapter(w http.ResponseWriter, r *http.Request) {
	run, req, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	a, known := run.adapters[req.Name]
	switch {
	case !known:
		writeError(w, http.StatusNotFound, "the adapter is not loaded")
	case !a.isReady():
		writeError(w, http.StatusConflict, "the adapter is being loaded")
	default:
		if a.inUse > 0 {
			e.evictedInUse++
		}
		delete(run.adapters, req.Name)
		writeJSON(w, http.StatusOK, map[string]string{"status": "unloaded"})
	}
}

type modelCard struct {
	ID     string  `json:"id"`
	Object string  `json:"object"`
	Parent *string `json:"parent"`
}

func (e *Engine) models(w http.ResponseWriter, r *http.Request) {
	e.observe(r, nil)
	run := e.currentRun()
	e.mu.Lock()
	names := run.readyAdapters()
	e.mu.Unlock()
	if e.activeFaults().InvalidReport == "names" {
		names = append(names, "no-version", "a:b:c", "x\x00y:1", strings.Repeat("long", 100)+":1")
	}
	cards := []modelCard{{ID: e.opts.BaseModel, Object: "model"}}
	for _, name := range names {
		cards = append(cards, modelCard{ID: name, Object: "model", Parent: &e.opts.BaseModel})
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": cards})
}

// invalidRunning maps a kind of invalid report to the value that the metrics
// then report as the number of running requests.
var invalidRunning = map[string]string{"negative": "-5", "nan": "NaN", "huge_value": "1e300"}

// hugeBody is larger than any limit on a scraped body.
const hugeBody = 64 << 20

func (e *Engine) metrics(w http.ResponseWriter, r *http.Request) {
	e.observe(r, nil)
	run := e.currentRun()
	running, waiting := run.batch.counts()
	reported, report := strconv.Itoa(running), e.activeFaults().InvalidReport
	if v, ok := invalidRunning[report]; ok {
		reported = v
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	label := fmt.Sprintf("{model_name=%q}", e.opts.BaseModel)
	fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running%s %s\n", label, reported)
	fmt.Fprintf(w, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting%s %d\n", label, waiting)
	fmt.Fprintf(w, "# TYPE vllm:kv_cache_usage_perc gauge\nvllm:kv_cache_usage_perc%s %g\n", label, e.kvUsage(run))
	fmt.Fprintf(w, "# TYPE process_start_time_seconds gauge\nprocess_start_time_seconds %s\n", run.startID())
	switch report {
	case "text":
		fmt.Fprint(w, "}{ this is no metric\n")
	case "huge_body":
		line := []byte("# " + strings.Repeat("x", 1022) + "\n")
		for n := 0; n < hugeBody; n += len(line) {
			if _, err := w.Write(line); err != nil {
				return
			}
		}
	}
}

func (e *Engine) kvUsage(run *run) float64 {
	e.mu.Lock()
	cached := run.prefixCache.lru.Len() * blockBytes / 4
	e.mu.Unlock()
	return min(1, float64(cached+run.batch.kvTokens())/float64(e.opts.KVTokens))
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "the body cannot be read")
		return nil, false
	}
	return body, true
}
