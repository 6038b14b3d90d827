package engine

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/pool"
)

// Phase is how far a failed attempt got.
type Phase int

const (
	// NotSent means that no byte of the request was sent.
	NotSent Phase = iota
	// MayHaveSent means that the engine may have received the request.
	MayHaveSent
	// ResponseStarted means that the engine's response header had arrived.
	ResponseStarted
)

func (p Phase) String() string {
	switch p {
	case NotSent:
		return "not_sent"
	case MayHaveSent:
		return "maybe_sent"
	default:
		return "answered"
	}
}

// Error is a failed request to an engine. It wraps a *fault.Error.
type Error struct {
	Engine string
	Phase  Phase

	fault *fault.Error
}

// Error returns the text of the fault.
func (e *Error) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *Error) Unwrap() error { return e.fault }

// Fault returns the typed error.
func (e *Error) Fault() *fault.Error { return e.fault }

// PhaseOf returns the phase of the first *Error in err's chain, or MayHaveSent,
// which guarantees nothing, when there is none.
func PhaseOf(err error) Phase {
	var e *Error
	if errors.As(err, &e) {
		return e.Phase
	}
	return MayHaveSent
}

// runOfPhase is what each phase implies about whether the request ran.
var runOfPhase = map[Phase]fault.Run{NotSent: fault.NotRun, MayHaveSent: fault.OutcomeUnknown, ResponseStarted: fault.OutcomeUnknown}

func (c *Client) errorf(phase Phase, kind fault.Kind, remedy, format string, args ...any) *Error {
	f := fault.New(kind, "engine "+c.name+" "+fmt.Sprintf(format, args...), remedy)
	return &Error{Engine: c.name, Phase: phase, fault: f.WithRun(runOfPhase[phase])}
}

// withRan records in the error that the engine ran the request.
func (e *Error) withRan() *Error {
	e.fault.WithRun(fault.Ran)
	return e
}

// transportError converts an error of the pool to one of this package.
func (c *Client) transportError(err error) *Error {
	e := &Error{Engine: c.name, Phase: MayHaveSent}
	var p *pool.Error
	if errors.As(err, &p) {
		switch {
		case p.ResponseStarted:
			e.Phase = ResponseStarted
		case !p.MayHaveSent:
			e.Phase = NotSent
		}
	}
	f, ok := fault.As(err)
	if !ok {
		f = fault.Wrap(err, fault.KindBackendFailed, "the request to engine "+c.name+" failed", "check the engine").
			WithRun(runOfPhase[e.Phase])
	}
	e.fault = f
	return e
}

const remedyEngine = "check the engine and its version"
