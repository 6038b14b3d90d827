package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// engine is what a server with an engine holds, and how it carries out orders.
type engine struct {
	model        string
	adapterSlots int
	// modelLoad and adapterLoad are how long loads take.
	modelLoad, adapterLoad time.Duration
	held                   bool
	adapters, coming       []string
	// late decides whether an order gets no answer and is carried out after lateBy; nil for none.
	late   func(op, adapter string, expect int) bool
	lateBy time.Duration
	// after is called after an order was left unanswered.
	after func()
	// over says how the engine came to hold too much; empty if it did not.
	over string
	// loads counts the loads that were accepted since the last start.
	loads int
}

// modelStates returns what the engine holds, as it stands in the list and the report. The caller holds mu.
func (s *server) modelStates() []modelState {
	if s.engine == nil {
		return s.models
	}
	if !s.engine.held {
		return []modelState{}
	}
	names := []string{}
	for _, a := range s.engine.adapters {
		names = append(names, a+"@1")
	}
	return []modelState{{Name: s.engine.model, Version: 1, Adapters: names}}
}

type orderBody struct {
	Op      string `json:"op"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Expect  *int   `json:"expect"`
	Holder  string `json:"holder"`
	Fence   int    `json:"fence"`
}

// order answers an order. Without an engine, all that is ordered is there already.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	if s.engine == nil {
		w.WriteHeader(http.StatusOK)
		return
	}
	var b orderBody
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.Holder == "" || b.Model != s.engine.model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	seq := s.seq
	isLate := s.engine.late != nil && b.Expect != nil && s.engine.late(b.Op, b.Adapter, *b.Expect)
	s.mu.Unlock()
	if isLate {
		s.rec.add("engine %s: %s %s, expect %d, gets no answer and will be carried out in %v", s.id, b.Op, b.Adapter, *b.Expect, s.engine.lateBy)
		time.AfterFunc(s.engine.lateBy, func() {
			s.rec.add("engine %s: the late order is carried out with status %d", s.id, s.execute(b, "late"))
		})
		if s.engine.after != nil {
			go s.engine.after()
		}
		<-r.Context().Done()
		return
	}
	status := s.execute(b, "at once")
	s.rec.add("engine %s: %s %q, expect %v at seq %d: %d", s.id, b.Op, b.Adapter, *b.Expect, seq, status)
	w.WriteHeader(status)
}

// execute carries out an order, and returns the status of its answer.
func (s *server) execute(b orderBody, when string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engine
	switch {
	case b.Expect != nil && *b.Expect != s.seq:
		return http.StatusConflict
	case b.Op == "unload":
		e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return a == b.Adapter })
		s.seq++
		s.relist()
		return http.StatusOK
	case b.Adapter == "":
		if e.held {
			return http.StatusOK
		}
		s.seq++
		s.later(e.modelLoad, func() { e.held = true })
		return http.StatusAccepted
	case !e.held:
		return http.StatusMisdirectedRequest
	case slices.Contains(e.adapters, b.Adapter) || slices.Contains(e.coming, b.Adapter):
		return http.StatusOK
	}
	s.seq++
	e.loads++
	e.coming = append(e.coming, b.Adapter)
	if n := len(e.adapters) + len(e.coming); n > e.adapterSlots {
		e.over = fmt.Sprintf("an order to load %s, carried out %s, makes %d adapters in %d slots", b.Adapter, when, n, e.adapterSlots)
	}
	s.later(e.adapterLoad, func() {
		e.coming = slices.DeleteFunc(e.coming, func(a string) bool { return a == b.Adapter })
		e.adapters = append(e.adapters, b.Adapter)
	})
	return http.StatusAccepted
}

// later changes what the engine holds after a while, unless it has started anew. The caller holds mu.
func (s *server) later(d time.Duration, change func()) {
	start := s.starts
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.starts == start {
			change()
			s.relist()
		}
	})
}

// relist updates what the list shows of the engine. The caller holds mu.
func (s *server) relist() { s.fleet.list.setModels(s.id, s.modelStates()) }
