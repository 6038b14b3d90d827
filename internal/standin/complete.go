package standin

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// complete serves a completion or a chat completion.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	e.observe(r, body)
	if f := e.activeFaults(); f.RefuseStatus != 0 && e.consumeFault(func(f *Faults) *int { return &f.Refuse }) {
		writeError(w, f.RefuseStatus, "refused")
		return
	}
	req, err := parseCompletion(body, chat)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	run, a, ok := e.acquireModel(req.model)
	if !ok {
		writeError(w, http.StatusNotFound, fmt.Sprintf("the model %q does not exist", req.model))
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = "unnamed-" + rand.Text()
	}
	e.recordExecution(id, r.Header.Get("Idempotency-Key"))
	if marker := e.activeFaults().CrashMarker; marker != "" && bytes.Contains(body, []byte(marker)) {
		e.releaseAdapter(a)
		e.Restart()
		panic(http.ErrAbortHandler)
	}
	if e.consumeFault(func(f *Faults) *int { return &f.Hang }) {
		defer e.releaseAdapter(a)
		select {
		case <-r.Context().Done():
		case <-run.ctx.Done():
		}
		panic(http.ErrAbortHandler)
	}
	j := e.newJob(run, a, id, req)
	if req.stream {
		j.startStream()
		e.writeStream(w, r, run, j.stream, 0, false)
		return
	}
	j.start(func(int) {})
	e.writeFull(w, r, j)
}

// acquireModel returns the named model. Its adapter counts as in use until
// releaseAdapter.
func (e *Engine) acquireModel(model string) (*run, *adapter, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if model == e.opts.BaseModel {
		return e.run, &adapter{}, true
	}
	a, ok := e.run.adapters[model]
	if !ok || !a.isReady() {
		return nil, nil, false
	}
	a.inUse++
	return e.run, a, true
}

func (e *Engine) releaseAdapter(a *adapter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.inUse--
}

// job is a completion that is queued or running.
type job struct {
	engine  *Engine
	run     *run
	adapter *adapter
	id      string
	req     completionRequest
	cached  int
	seq     *sequence
	stream  *stream
}

func (e *Engine) newJob(run *run, a *adapter, id string, req completionRequest) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := &job{engine: e, run: run, adapter: a, id: id, req: req}
	j.cached = run.prefixCache.cachePrompt(req.model, req.prompt)
	j.seq = &sequence{
		promptTokens: CountTokens(req.prompt), priority: req.priority, remaining: req.maxTokens,
		prefill: time.Duration(CountTokens(req.prompt)-j.cached) * e.opts.PrefillTime,
		done:    make(chan struct{}),
	}
	j.seq.endless = req.stream && e.consumeFault(func(f *Faults) *int { return &f.Endless })
	run.active[id] = j.cancel
	return j
}

func (j *job) cancel() { j.run.batch.cancel(j.seq) }

// start queues the completion and releases its adapter when it has ended.
func (j *job) start(emit func(i int)) {
	j.seq.emit = emit
	j.run.batch.add(j.seq)
	go func() {
		<-j.seq.done
		j.engine.releaseAdapter(j.adapter)
		j.engine.mu.Lock()
		delete(j.run.active, j.id)
		j.engine.mu.Unlock()
	}()
}

// startStream starts the completion and stores its events, so that the stream can
// be resumed.
func (j *job) startStream() {
	e := j.engine
	forget := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(j.run.streams, j.id)
	}
	j.stream = newStream(e.opts.ResumeWindow, j.cancel, forget)
	e.mu.Lock()
	if len(j.run.streams) < maxStreams {
		j.run.streams[j.id] = j.stream
	}
	e.mu.Unlock()
	completionID := "cmpl-" + j.id
	j.start(func(i int) {
		last := i == j.req.maxTokens-1 && !j.seq.endless
		j.stream.add(encode(j.req.chunk(completionID, CompletionToken(j.req.model, j.req.prompt, i), last)))
		if !last {
			return
		}
		if j.req.usage {
			c := j.req.chunk(completionID, "", true)
			c.Choices, c.Usage = []choice{}, j.req.usageOf(j.cached, j.req.maxTokens)
			j.stream.add(encode(c))
		}
		j.stream.end(false)
	})
	go func() {
		<-j.seq.done
		j.stream.end(true)
	}()
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return data
}

// writeFull waits for the end of the completion and writes it as one response.
func (e *Engine) writeFull(w http.ResponseWriter, r *http.Request, j *job) {
	select {
	case <-j.seq.done:
	case <-r.Context().Done():
		j.cancel()
		return
	}
	if j.run.ctx.Err() != nil || e.consumeFault(func(f *Faults) *int { return &f.DropResponse }) {
		panic(http.ErrAbortHandler)
	}
	if j.seq.cancelled {
		writeError(w, http.StatusInternalServerError, "the request was cancelled")
		return
	}
	resp := swappableResponse{id: w.Header().Get("X-Request-Id"), body: encode(j.req.response("cmpl-"+j.id, j.cached))}
	if e.consumeFault(func(f *Faults) *int { return &f.SwapResponses }) {
		resp = e.swapper.swap(r, resp)
		w.Header().Set("X-Request-Id", resp.id)
	}
	w.Header().Set("Content-Type", "application/json")
	if e.consumeFault(func(f *Faults) *int { return &f.CutStreams }) {
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
		_, _ = w.Write(resp.body[:min(e.activeFaults().CutAfter, len(resp.body))])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(resp.body)
}

// responseSwapper swaps the responses of two requests, for the fault
// SwapResponses.
type responseSwapper struct {
	mu      sync.Mutex
	waiting chan swappableResponse
	partner chan swappableResponse
}

type swappableResponse struct {
	id   string
	body []byte
}

// swap waits for the response of a second request and returns it in place of own.
// It returns own when the request ends first.
func (c *responseSwapper) swap(r *http.Request, own swappableResponse) swappableResponse {
	c.mu.Lock()
	if c.waiting != nil {
		first, second := c.waiting, c.partner
		c.waiting, c.partner = nil, nil
		c.mu.Unlock()
		second <- own
		return <-first
	}
	first, second := make(chan swappableResponse, 1), make(chan swappableResponse, 1)
	c.waiting, c.partner = first, second
	first <- own
	c.mu.Unlock()
	select {
	case other := <-second:
		return other
	case <-r.Context().Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.waiting == first {
			c.waiting, c.partner = nil, nil
		}
		return own
	}
}

// resume serves the rest of a stream, from the event after Last-Event-ID.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.observe(r, nil)
	if e.consumeFault(func(f *Faults) *int { return &f.RefuseResume }) {
		writeError(w, http.StatusServiceUnavailable, "no room")
		return
	}
	run := e.currentRun()
	e.mu.Lock()
	s, ok := run.streams[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	after, err := strconv.ParseUint(strings.TrimSpace(r.Header.Get("Last-Event-ID")), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "Last-Event-ID is missing")
		return
	}
	if _, _, _, _, stored := s.after(after); !stored {
		writeError(w, http.StatusGone, "the events are no longer stored")
		return
	}
	e.writeStream(w, r, run, s, after, true)
}

// cancelStream ends a completion, streamed or not.
func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	e.observe(r, nil)
	run := e.currentRun()
	e.mu.Lock()
	cancel, ok := run.active[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no such request")
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}

// writeStream sends the stored and the new events that follow a sequence number.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, run *run, s *stream, after uint64, resumed bool) {
	s.attach()
	defer s.detach()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	out := &eventWriter{w: w, control: http.NewResponseController(w), cutAfter: -1}
	if e.consumeFault(func(f *Faults) *int { return &f.CutStreams }) {
		out.cutAfter = e.activeFaults().CutAfter
	}
	if resumed && e.consumeFault(func(f *Faults) *int { return &f.SkipOnResume }) {
		after++
	}
	if resumed && after > 0 && e.consumeFault(func(f *Faults) *int { return &f.RepeatOnResume }) {
		after--
	}
	out.flush()
	for {
		events, ended, aborted, changed, ok := s.after(after)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		for _, data := range events {
			after++
			out.event(after, data)
		}
		out.flush()
		switch {
		case ended && aborted:
			panic(http.ErrAbortHandler)
		case ended:
			out.event(after+1, []byte("[DONE]"))
			out.flush()
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-run.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// eventWriter writes events and aborts the response after cutAfter of them; -1
// means never.
type eventWriter struct {
	w        io.Writer
	control  *http.ResponseController
	written  int
	cutAfter int
}

func (o *eventWriter) event(seq uint64, data []byte) {
	if o.written == o.cutAfter {
		o.flush()
		panic(http.ErrAbortHandler)
	}
	o.written++
	fmt.Fprintf(o.w, "id: %d\ndata: %s\n\n", seq, data)
}

func (o *eventWriter) flush() { _ = o.control.Flush() }
