package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Faults are the failures that a stand-in brings about. A count is the number of
// times that the failure still happens; a negative count means always.
type Faults struct {
	// FailLoads makes adapter loads fail.
	FailLoads int `json:"fail_loads,omitempty"`
	// Slow multiplies the time of loads, steps and service calls; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// CrashMarker crashes the stand-in when a request body contains it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// WrongEcho answers with another request's identifier and NoEcho with none.
	WrongEcho int `json:"wrong_echo,omitempty"`
	NoEcho    int `json:"no_echo,omitempty"`
	// CrossAnswers interchanges two whole answers with their identifiers.
	CrossAnswers int `json:"cross_answers,omitempty"`
	// CutStreams cuts streams, or answers of a plain service, after CutAfter
	// events or bytes.
	CutStreams int `json:"cut_streams,omitempty"`
	CutAfter   int `json:"cut_after,omitempty"`
	// Endless makes streams and answers of a plain service never end.
	Endless int `json:"endless,omitempty"`
	// SkipOnResume and RepeatOnResume lose or repeat an event after a resume.
	SkipOnResume   int `json:"skip_on_resume,omitempty"`
	RepeatOnResume int `json:"repeat_on_resume,omitempty"`
	// Hang takes requests and never answers them.
	Hang int `json:"hang,omitempty"`
	// Refuse answers requests with RefuseStatus before they run.
	Refuse       int `json:"refuse,omitempty"`
	RefuseStatus int `json:"refuse_status,omitempty"`
	// LoseAnswer runs requests and drops their connections instead of answering.
	LoseAnswer int `json:"lose_answer,omitempty"`
	// Nonsense selects what an engine reports about itself: "negative", "nan",
	// "huge_value", "names", "huge_body", "text" or nothing.
	Nonsense string `json:"nonsense,omitempty"`
}

// faultsRequest is the body of POST /standin/faults: the faults that replace the
// present ones, and actions that happen once.
type faultsRequest struct {
	Faults
	// Restart loses all state and connections.
	Restart bool `json:"restart,omitempty"`
	// Silence makes all open connections silent.
	Silence bool `json:"silence,omitempty"`
}

type faultTable struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the faults.
func (t *faultTable) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

func (t *faultTable) get() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// take uses up one occurrence of the fault that field selects.
func (t *faultTable) take(field func(*Faults) *int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := field(&t.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// slow returns the factor for all durations.
func (t *faultTable) slow() float64 {
	if f := t.get().Slow; f > 0 {
		return f
	}
	return 1
}

// actions are the failures that happen at once.
type actions interface {
	Restart()
	Silence() int
}

func (t *faultTable) handle(w http.ResponseWriter, r *http.Request, a actions) {
	var req faultsRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	t.SetFaults(req.Faults)
	writeJSON(w, http.StatusOK, req.Faults)
	_ = http.NewResponseController(w).Flush()
	if req.Silence {
		a.Silence()
	}
	if req.Restart {
		a.Restart()
	}
}
