package quarantine

import (
	"container/list"
	"sync"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// AnswerState is how far the response to an attempt has come.
type AnswerState int

const (
	// AnswerAwaited: no header has arrived.
	AnswerAwaited AnswerState = iota
	// AnswerStarted: the header has arrived, and fewer than ProgressEvents events.
	AnswerStarted
	// AnswerProgressed: the engine survived the start of the response.
	AnswerProgressed
)

// ProgressEvents is the number of events after which an engine has survived the start of a
// response: an engine that crashes at its start may still have sent the first event.
const ProgressEvents = 2

func (s AnswerState) String() string { return [...]string{"awaited", "started", "progressed"}[s] }

// maxAnsweredParts limits an Answered. An entry takes about 200 bytes.
const maxAnsweredParts = 8192

// Answered records on an entry host when a response last progressed on each part of a
// prompt, or when one to each request was last complete. The least recently answered are dropped. It is safe for
// concurrent use.
type Answered struct {
	mu    sync.Mutex
	parts map[string]*list.Element
	order *list.List // of answeredPart, least recently answered first
}

type answeredPart struct {
	fingerprint string
	at          time.Time
}

// NewAnswered returns an empty record.
func NewAnswered() *Answered {
	return &Answered{parts: map[string]*list.Element{}, order: list.New()}
}

// Record records that a response on the parts progressed.
func (a *Answered) Record(fingerprints [][]byte, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, f := range fingerprints {
		if e := a.parts[string(f)]; e != nil {
			e.Value = answeredPart{string(f), now}
			a.order.MoveToBack(e)
			continue
		}
		a.parts[string(f)] = a.order.PushBack(answeredPart{string(f), now})
		if a.order.Len() > maxAnsweredParts {
			delete(a.parts, a.order.Remove(a.order.Front()).(answeredPart).fingerprint)
		}
	}
}

// All reports whether a response has progressed on each of the parts.
func (a *Answered) All(fingerprints [][]byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, f := range fingerprints {
		if a.parts[string(f)] == nil {
			return false
		}
	}
	return true
}

// Since reports whether a response on the part progressed after the time.
func (a *Answered) Since(fingerprint []byte, at time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.parts[string(fingerprint)]
	return e != nil && e.Value.(answeredPart).at.After(at)
}

// ReportFor returns the last responses to the suspects and to what the marks name.
func (a *Answered) ReportFor(suspects [][]byte, named func(*apiv1.CrashMark) [][]byte, marks []*apiv1.CrashMark, now time.Time) []*apiv1.AnsweredPart {
	out := a.Report(suspects, now)
	for _, m := range marks {
		out = append(out, a.Report(named(m), now)...)
	}
	return out
}

// Report returns the last responses on those of the parts that are known.
func (a *Answered) Report(fingerprints [][]byte, now time.Time) []*apiv1.AnsweredPart {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*apiv1.AnsweredPart
	for _, f := range fingerprints {
		if e := a.parts[string(f)]; e != nil {
			age := now.Sub(e.Value.(answeredPart).at)
			out = append(out, &apiv1.AnsweredPart{Fingerprint: f, AgeMs: uint32(min(max(0, age), maxAge).Milliseconds())})
		}
	}
	return out
}

// maxAge is the highest age that is reported, far above any retention.
const maxAge = 30 * 24 * time.Hour
