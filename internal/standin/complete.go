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
	if f := e.get(); f.RefuseStatus != 0 && e.take(func(f *Faults) *int { return &f.Refuse }) {
		writeError(w, f.RefuseStatus, "refused")
		return
	}
	req, err := parseCompletion(body, chat)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	run, a, ok := e.use(req.model)
	if !ok {
		writeError(w, http.StatusNotFound, fmt.Sprintf("the model %q does not exist", req.model))
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = "unnamed-" + rand.Text()
	}
	e.execute(id, r.Header.Get("Idempotency-Key"))
	if marker := e.get().CrashMarker; marker != "" && bytes.Contains(body, []byte(marker)) {
		e.release(a)
		e.Restart()
		panic(http.ErrAbortHandler)
	}
	if e.take(func(f *Faults) *int { return &f.Hang }) {
		defer e.release(a)
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
	e.writeWhole(w, r, j)
}

// use finds the model and counts its use until release.
func (e *Engine) use(model string) (*run, *adapter, bool) {
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

func (e *Engine) release(a *adapter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.inUse--
}

// job is one running completion.
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
	j.cached = run.prefix.use(req.model, req.prompt)
	j.seq = &sequence{
		prompt: CountTokens(req.prompt), priority: req.priority, left: req.maxTokens,
		prefill: time.Duration(CountTokens(req.prompt)-j.cached) * e.opts.PrefillTime,
		done:    make(chan struct{}),
	}
	j.seq.endless = req.stream && e.take(func(f *Faults) *int { return &f.Endless })
	run.active[id] = j.cancel
	return j
}

func (j *job) cancel() { j.run.batch.cancel(j.seq) }

// start queues the completion and releases its adapter at the end.
func (j *job) start(emit func(i int)) {
	j.seq.emit = emit
	j.run.batch.add(j.seq)
	go func() {
		<-j.seq.done
		j.engine.release(j.adapter)
		j.engine.mu.Lock()
		delete(j.run.active, j.id)
		j.engine.mu.Unlock()
	}()
}

// startStream starts the completion with its events kept for a resume.
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
	answerID := "cmpl-" + j.id
	j.start(func(i int) {
		last := i == j.req.maxTokens-1 && !j.seq.endless
		j.stream.add(encode(j.req.chunk(answerID, Token(j.req.model, j.req.prompt, i), last)))
		if !last {
			return
		}
		if j.req.usage {
			c := j.req.chunk(answerID, "", true)
			c.Choices, c.Usage = []choice{}, j.req.count(j.cached, j.req.maxTokens)
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

// writeWhole answers when the completion has ended.
func (e *Engine) writeWhole(w http.ResponseWriter, r *http.Request, j *job) {
	select {
	case <-j.seq.done:
	case <-r.Context().Done():
		j.cancel()
		return
	}
	if j.run.ctx.Err() != nil || e.take(func(f *Faults) *int { return &f.LoseAnswer }) {
		panic(http.ErrAbortHandler)
	}
	if j.seq.cancelled {
		writeError(w, http.StatusInternalServerError, "the request was cancelled")
		return
	}
	answer := crossed{id: w.Header().Get("X-Request-Id"), body: encode(j.req.whole("cmpl-"+j.id, j.cached))}
	if e.take(func(f *Faults) *int { return &f.CrossAnswers }) {
		answer = e.cross.swap(r, answer)
		w.Header().Set("X-Request-Id", answer.id)
	}
	w.Header().Set("Content-Type", "application/json")
	if e.take(func(f *Faults) *int { return &f.CutStreams }) {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
		_, _ = w.Write(answer.body[:min(e.get().CutAfter, len(answer.body))])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer.body)
}

// crossing interchanges two answers.
type crossing struct {
	mu      sync.Mutex
	waiting chan crossed
	partner chan crossed
}

type crossed struct {
	id   string
	body []byte
}

// swap waits for a second answer and returns it in place of the given one.
func (c *crossing) swap(r *http.Request, own crossed) crossed {
	c.mu.Lock()
	if c.waiting != nil {
		first, second := c.waiting, c.partner
		c.waiting, c.partner = nil, nil
		c.mu.Unlock()
		second <- own
		return <-first
	}
	first, second := make(chan crossed, 1), make(chan crossed, 1)
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

// resume serves the rest of a stream.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.observe(r, nil)
	run := e.present()
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
	if _, _, _, _, kept := s.after(after); !kept {
		writeError(w, http.StatusGone, "the events are no longer kept")
		return
	}
	e.writeStream(w, r, run, s, after, true)
}

// cancelStream ends a completion, streamed or not.
func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	e.observe(r, nil)
	run := e.present()
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

// writeStream sends the events after a sequence number as they come.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, run *run, s *stream, after uint64, resumed bool) {
	s.attach()
	defer s.detach()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	out := &eventWriter{w: w, control: http.NewResponseController(w), cutAfter: -1}
	if e.take(func(f *Faults) *int { return &f.CutStreams }) {
		out.cutAfter = e.get().CutAfter
	}
	if resumed && e.take(func(f *Faults) *int { return &f.SkipOnResume }) {
		after++
	}
	if resumed && after > 0 && e.take(func(f *Faults) *int { return &f.RepeatOnResume }) {
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

// eventWriter writes events and cuts the connection after a number of them.
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
