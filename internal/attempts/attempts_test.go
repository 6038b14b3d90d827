package attempts

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/retry"
)

func failure(kind fault.Kind, run fault.Run) error {
	return fault.New(kind, "failed", "send the request again").WithRun(run)
}

// A non-repeatable request must not run twice, and no request may exceed its
// limits, its deadline or the retry budget.
func TestMayRetry(t *testing.T) {
	limits := Limits{Attempts: 4, Runs: 2, MinRemaining: 30 * time.Millisecond}
	plenty := time.Second
	none := func() bool { return false }
	for name, tc := range map[string]struct {
		attempts, ran int
		next          Next
		minRate       float64
		may           bool
	}{
		"not repeatable, not run":        {1, 0, Next{NotRun: true, Remaining: plenty}, 10, true},
		"not repeatable, may have run":   {1, 1, Next{Remaining: plenty}, 10, false},
		"not repeatable, one of two ran": {2, 1, Next{NotRun: true, Remaining: plenty}, 10, false},
		"repeatable, may have run":       {1, 1, Next{Repeatable: true, Remaining: plenty}, 10, true},
		"repeatable, ran too often":      {2, 2, Next{Repeatable: true, Remaining: plenty}, 10, false},
		"sent too often":                 {4, 0, Next{NotRun: true, Repeatable: true, Remaining: plenty}, 10, false},
		"too late":                       {1, 0, Next{NotRun: true, Remaining: 30 * time.Millisecond}, 10, false},
		"no other server":                {1, 1, Next{Repeatable: true, Remaining: plenty, HasOther: none}, 10, false},
		"no budget":                      {1, 1, Next{Repeatable: true, Remaining: plenty}, 0, false},
		"no budget, but free":            {1, 0, Next{NotRun: true, Free: true, Remaining: plenty}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			a := New(limits)
			for range tc.attempts {
				a.RecordAttempt()
			}
			for range tc.ran {
				a.MayHaveRun()
			}
			must.Eq(t, tc.may, a.MayRetry(tc.next, retry.NewBudget(retry.Options{MinRate: tc.minRate}), time.Unix(1000, 0)))
		})
	}
}

// The refusal of a later attempt must not hide that an earlier one may have
// run.
func TestFinalError(t *testing.T) {
	lost := failure(fault.KindBackendFailed, fault.OutcomeUnknown)
	full := failure(fault.KindOverloaded, fault.NotRun)
	a := New(Limits{})
	a.RecordFailure(full)
	must.Eq(t, full, a.FinalError(full))
	ran := New(Limits{})
	ran.MayHaveRun()
	must.Eq(t, fault.OutcomeUnknown, RunOf(ran.FinalError(full)))
	a.RecordFailure(lost)
	a.RecordFailure(full)
	must.Eq(t, lost, a.FinalError(full))
	must.NoError(t, a.FinalError(nil))
	cut := failure(fault.KindStreamCut, fault.Ran)
	must.Eq(t, cut, a.FinalError(cut))
	withdrawn := a.FinalError(failure(fault.KindKeyWithdrawn, fault.NotRun))
	must.Eq(t, fault.KindKeyWithdrawn, fault.KindOf(withdrawn))
	must.Eq(t, fault.OutcomeUnknown, RunOf(withdrawn))
}

// Parts that are joined without their lengths would give two different
// requests the same fingerprint.
func TestFingerprint(t *testing.T) {
	one := Fingerprint([]byte("ab"), []byte("c"))
	must.NotEq(t, one, Fingerprint([]byte("a"), []byte("bc")))
	must.Eq(t, one, Fingerprint([]byte("ab"), []byte("c")))
}

// A begun stream must neither outstay its caller nor leave a sound server that pauses, and must have time to move.
func TestContinuation(t *testing.T) {
	ms := time.Millisecond
	t0 := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		c             Continuation
		left, silence time.Duration
	}{
		"shortest patience":   {Continuation{Deadline: t0.Add(time.Minute), LastEvent: t0}, 2000 * ms, 800 * ms},
		"by the objective":    {Continuation{Deadline: t0.Add(time.Minute), LastEvent: t0, Objective: time.Second}, 4000 * ms, 2800 * ms},
		"by the gap":          {Continuation{Deadline: t0.Add(time.Minute), LastEvent: t0, Gap: 400 * ms}, 3200 * ms, 2000 * ms},
		"by the deadline":     {Continuation{Deadline: t0.Add(1500 * ms), LastEvent: t0, Gap: 400 * ms}, 1500 * ms, 300 * ms},
		"less the prompt":     {Continuation{Deadline: t0.Add(time.Minute), LastEvent: t0, Begin: 300 * ms}, 1700 * ms, 800 * ms},
		"the deadline passed": {Continuation{Deadline: t0.Add(-ms), LastEvent: t0}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.left, tc.c.TimeLeft(t0))
			must.Eq(t, tc.silence, tc.c.MaxSilence())
			waited, now := time.Duration(0), t0
			for n := 1; ; n++ {
				pause, ok := tc.c.Pause(n, now)
				if !ok {
					break
				}
				must.Between(t, 50*ms, pause, 400*ms)
				now, waited = now.Add(pause), waited+pause
			}
			must.LessEq(t, tc.left, waited)
			must.GreaterEq(t, tc.left-100*ms, waited)
		})
	}
}
