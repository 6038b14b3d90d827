// Package attempts decides whether a request may be retried after a failed
// attempt at a backend server, and which error a request ends with after all
// its attempts. All front ends use it, so that these rules exist only once.
//
// Invariants:
//   - A non-repeatable request is sent again only while no attempt may have
//     run.
//   - No error says "not run" when an earlier attempt may have run.
package attempts

import (
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/retry"
)

// Limits are the limits on the attempts of one request.
type Limits struct {
	// Attempts is the maximum number of attempts, Runs the maximum number of
	// attempts that may have run.
	Attempts, Runs int
	// BegunAttempts is Attempts once the response has begun, when it cannot be
	// refused any more; 0 for the same.
	BegunAttempts int
	// MinRemaining is the remaining time that another attempt needs at least.
	MinRemaining time.Duration
}

// Attempts counts the attempts of one request. It is not safe for concurrent
// use.
type Attempts struct {
	limits        Limits
	attempts, ran int
	// uncertain is the last error of an attempt that may have run.
	uncertain error
}

// New returns an Attempts without attempts.
func New(l Limits) Attempts { return Attempts{limits: l} }

// RecordAttempt counts an attempt.
func (a *Attempts) RecordAttempt() { a.attempts++ }

// Count returns the number of attempts.
func (a *Attempts) Count() int { return a.attempts }

// MayHaveRun records that the current attempt may have run.
func (a *Attempts) MayHaveRun() { a.ran++ }

// NeverRan reports whether no attempt may have run.
func (a *Attempts) NeverRan() bool { return a.ran == 0 }

// LastRun reports whether the current attempt is the last one that may run.
func (a *Attempts) LastRun() bool { return a.ran+1 >= a.limits.Runs }

// RunsLeft returns the number of further attempts that may run.
func (a *Attempts) RunsLeft() int { return max(0, a.limits.Runs-a.ran) }

// Next describes a request after a failed attempt.
type Next struct {
	// NotRun is true when the attempt has certainly not run. Repeatable is
	// true when the request may run more than once.
	NotRun, Repeatable bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Begun is true when the caller has a part of the response.
	Begun bool
	// Free is true when the failed attempt cost the backend server nothing, or
	// the retry has already been taken from the budget.
	Free bool
	// HasOther reports whether another backend server could serve the request;
	// nil when the caller checks that later.
	HasOther func() bool
}

// Verdict is whether another attempt may follow, or why not.
type Verdict string

// Verdicts.
const (
	Allowed       Verdict = "allowed"
	NoAttemptLeft Verdict = "no_attempt_left"
	NoRunLeft     Verdict = "no_run_left"
	NotRepeatable Verdict = "not_repeatable"
	TooLate       Verdict = "too_late"
	NoOtherServer Verdict = "no_other_server"
	NoBudget      Verdict = "no_budget"
)

// MayRetry reports whether another attempt may follow, and takes it from the
// budget.
func (a *Attempts) MayRetry(n Next, budget *retry.Budget, now time.Time) bool {
	return a.Judge(n, budget, now) == Allowed
}

// Judge returns whether another attempt may follow, and takes it from the
// budget if so.
func (a *Attempts) Judge(n Next, budget *retry.Budget, now time.Time) Verdict {
	neverRan := n.NotRun && a.ran == 0
	limit := a.limits.Attempts
	if n.Begun {
		limit = max(limit, a.limits.BegunAttempts)
	}
	switch {
	case a.attempts >= limit:
		return NoAttemptLeft
	case n.Remaining <= a.limits.MinRemaining:
		return TooLate
	case !neverRan && !n.Repeatable:
		return NotRepeatable
	case !neverRan && a.ran >= a.limits.Runs:
		return NoRunLeft
	case n.Free:
		return Allowed
	case n.HasOther != nil && !n.HasOther():
		return NoOtherServer
	case n.Begun && !budget.TakeReserved(now), !n.Begun && !budget.Take(now):
		return NoBudget
	}
	return Allowed
}

// RecordFailure records the error of an attempt.
func (a *Attempts) RecordFailure(err error) {
	if err != nil && RunOf(err) != fault.NotRun {
		a.uncertain = err
	}
}

// FinalError returns the error that the request ends with. That a later
// attempt did not run says nothing about an earlier one.
func (a *Attempts) FinalError(err error) error {
	if err == nil || RunOf(err) != fault.NotRun || a.uncertain == nil && a.ran == 0 {
		return err
	}
	if a.uncertain == nil {
		return fault.Wrap(err, fault.KindBackendFailed, "an earlier attempt may have run",
			"send the request again if it may be repeated").WithRun(fault.OutcomeUnknown)
	}
	e, ok := fault.As(err)
	if ok && (e.Kind == fault.KindKeyWithdrawn || e.Kind == fault.KindStaleView) {
		copied := *e
		return copied.WithRun(RunOf(a.uncertain))
	}
	return a.uncertain
}

// RunOf returns what an error says about whether the request ran; an error
// that says nothing means that the outcome is unknown.
func RunOf(err error) fault.Run {
	if e, ok := fault.As(err); ok && e.Run != "" {
		return e.Run
	}
	return fault.OutcomeUnknown
}
