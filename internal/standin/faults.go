package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Faults are the failures that a stand-in injects. A count is the number of times
// that the failure will still occur; a negative count means always.
type Faults struct {
	// FailLoads makes adapter loads fail.
	FailLoads int `json:"fail_loads,omitempty"`
	// Slow multiplies the time of loads, steps and service calls; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// CrashMarker crashes the stand-in when a request body contains it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// WrongEcho changes the X-Request-Id of the response, and NoEcho omits it.
	WrongEcho int `json:"wrong_echo,omitempty"`
	NoEcho    int `json:"no_echo,omitempty"`
	// SwapResponses swaps the responses of two requests that are not streamed,
	// including their X-Request-Id.
	SwapResponses int `json:"cross_answers,omitempty"`
	// CutStreams aborts responses: a stream after CutAfter events, any other after
	// CutAfter bytes.
	CutStreams int `json:"cut_streams,omitempty"`
	CutAfter   int `json:"cut_after,omitempty"`
	// Endless makes streams, and responses of a plain service, never end.
	Endless int `json:"endless,omitempty"`
	// SkipOnResume omits the first event of a resumed stream, and RepeatOnResume
	// sends the last event before it once more.
	SkipOnResume   int `json:"skip_on_resume,omitempty"`
	RepeatOnResume int `json:"repeat_on_resume,omitempty"`
	// RefuseResume refuses to resume streams with status 503.
	RefuseResume int `json:"refuse_resume,omitempty"`
	// Hang makes requests run without ever getting a response.
	Hang int `json:"hang,omitempty"`
	// Refuse makes requests fail with RefuseStatus before they run. It applies only
	// when RefuseStatus is set.
	Refuse       int `json:"refuse,omitempty"`
	RefuseStatus int `json:"refuse_status,omitempty"`
	// DropResponse runs requests and then drops their connections without a
	// response.
	DropResponse int `json:"lose_answer,omitempty"`
	// InvalidReport selects an invalid report of an engine about itself: "negative",
	// "nan" or "huge_value" (number of running requests), "names" (adapters),
	// "huge_body" or "text" (metrics page). The empty string means none.
	InvalidReport string `json:"nonsense,omitempty"`
}

// faultsRequest is the body of POST /standin/faults: the faults that replace the
// current ones, and actions that are done at once.
type faultsRequest struct {
	Faults
	// Restart drops all state and connections.
	Restart bool `json:"restart,omitempty"`
	// Silence stops all traffic on the open connections without closing them.
	Silence bool `json:"silence,omitempty"`
}

// faultTable holds the faults that a stand-in injects at present.
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

func (t *faultTable) activeFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// consumeFault reports whether the fault that field selects occurs now, and
// decrements its count if it is positive.
func (t *faultTable) consumeFault(field func(*Faults) *int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := field(&t.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// slowFactor returns the factor by which simulated durations are multiplied.
func (t *faultTable) slowFactor() float64 {
	if f := t.activeFaults().Slow; f > 0 {
		return f
	}
	return 1
}

// actions are the failures that POST /standin/faults brings about at once.
type actions interface {
	Restart()
	Silence() int
}

// handleFaults serves POST /standin/faults.
func (t *faultTable) handleFaults(w http.ResponseWriter, r *http.Request, a actions) {
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
