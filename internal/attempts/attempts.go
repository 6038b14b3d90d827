// Package attempts decides what may follow a failed attempt at a backend server,
// and what a request may say of all its attempts at its end. Every front uses it,
// so that these decisions stand once.
//
// Invariants:
//   - A request that may not be repeated is sent again only while no attempt may
//     have run.
//   - No error says "not run" when an earlier attempt may have run.
package attempts

import (
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/retry"
)

// Limits bounds the attempts of one request.
type Limits struct {
	// Sends bounds all attempts, Runs those that may have run.
	Sends, Runs int
	// MinRemaining is the time that must be left for another attempt.
	MinRemaining time.Duration
}

// Attempts counts the attempts of one request. It is not safe for concurrent use.
type Attempts struct {
	limits     Limits
	sends, ran int
	// unsure is the last failure of an attempt that may have run.
	unsure error
}

// New returns a count without attempts.
func New(l Limits) Attempts { return Attempts{limits: l} }

// RecordAttempt counts an attempt.
func (a *Attempts) RecordAttempt() { a.sends++ }

// Count returns the number of attempts.
func (a *Attempts) Count() int { return a.sends }

// MayHaveRun notes that the present attempt may have run.
func (a *Attempts) MayHaveRun() { a.ran++ }

// NeverRan tells whether no attempt may have run.
func (a *Attempts) NeverRan() bool { return a.ran == 0 }

// LastRun tells whether the present attempt is the last one that may run.
func (a *Attempts) LastRun() bool { return a.ran+1 >= a.limits.Runs }

// Next describes a request after a failed attempt.
type Next struct {
	// NotRun is true when the attempt has certainly not run. Repeatable is true
	// when the request may run more than once.
	NotRun, Repeatable bool
	// Remaining is the time that is left.
	Remaining time.Duration
	// Free is true when the failed attempt cost the backend server nothing, or the
	// repeat has been taken from the budget already.
	Free bool
	// HasOther tells whether another backend server could serve the request; nil
	// when that is found out later.
	HasOther func() bool
}

// MayRetry tells whether another attempt may follow, and takes it from the budget.
func (a *Attempts) MayRetry(n Next, budget *retry.Budget, now time.Time) bool {
	if a.sends >= a.limits.Sends || n.Remaining <= a.limits.MinRemaining || !a.allowed(n) {
		return false
	}
	if n.Free {
		return true
	}
	if n.HasOther != nil && !n.HasOther() {
		return false
	}
	return budget.Take(now)
}

func (a *Attempts) allowed(n Next) bool {
	if n.NotRun && a.ran == 0 {
		return true
	}
	return n.Repeatable && a.ran < a.limits.Runs
}

// RecordFailure books the failure of an attempt.
func (a *Attempts) RecordFailure(err error) {
	if err != nil && RunOf(err) != fault.NotRun {
		a.unsure = err
	}
}

// FinalError returns the error that the request ends with. A later attempt that did
// not run says nothing about an earlier one.
func (a *Attempts) FinalError(err error) error {
	if err == nil || RunOf(err) != fault.NotRun || a.unsure == nil && a.ran == 0 {
		return err
	}
	if a.unsure == nil {
		return fault.Wrap(err, fault.KindBackendFailed, "an earlier attempt may have run",
			"send the request again if it may be repeated").WithRun(fault.OutcomeUnknown)
	}
	e, ok := fault.As(err)
	if ok && (e.Kind == fault.KindKeyWithdrawn || e.Kind == fault.KindStaleView) {
		copied := *e
		return copied.WithRun(RunOf(a.unsure))
	}
	return a.unsure
}

// RunOf returns what an error says about the run; an error that says nothing
// leaves the outcome unknown.
func RunOf(err error) fault.Run {
	if e, ok := fault.As(err); ok && e.Run != "" {
		return e.Run
	}
	return fault.OutcomeUnknown
}
