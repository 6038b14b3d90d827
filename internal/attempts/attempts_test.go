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
