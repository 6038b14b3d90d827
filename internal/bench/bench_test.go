package bench

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func shortConfig(policy Policy) Config {
	return Config{Deployment: Deployments()[0], Policy: policy, Seed: 3, Duration: 30 * time.Second}
}

// TestRunsRepeat checks that a seed always gives the same result. Measures that
// depended on map order or on parallel runs could not be compared.
func TestRunsRepeat(t *testing.T) {
	for _, p := range Policies() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			first := Run(shortConfig(p))
			must.Eq(t, first, Run(shortConfig(p)))
			must.Positive(t, first.Served)
		})
	}
}

// TestPoliciesMeetSameRequests checks that the requests do not depend on the policy.
func TestPoliciesMeetSameRequests(t *testing.T) {
	a, b := newSimulation(shortConfig(Policies()[0])), newSimulation(shortConfig(Policies()[1]))
	must.Eq(t, len(a.requests), len(b.requests))
	for i, r := range a.requests {
		must.Eq(t, r.arrived, b.requests[i].arrived)
		must.Eq(t, r.ref, b.requests[i].ref)
		must.Eq(t, r.withinRate, b.requests[i].withinRate)
	}
}

// TestOracle checks that neither the oracle nor the reference counts more than
// burst + rate x time as within the rate.
func TestOracle(t *testing.T) {
	var requests []*request
	for i := range 100 {
		requests = append(requests, &request{arrived: epoch.Add(time.Duration(i) * 100 * time.Millisecond), prompt: 44, output: maxOutput})
	}
	markTeam(requests, newBucket(1000, 900)) // 300 tokens each, 3000 tokens/s offered
	admitted := 0
	for _, r := range requests {
		if r.withinRate {
			admitted++
			must.Between(t, 0, r.oracleAdmitted.Sub(r.arrived), interactiveDeadline)
		}
	}
	must.Between(t, 40, admitted, 47) // (900 + 1000 x (10..13 s)) / 300
	ref := reference{newBucket(1000, 900)}
	ref.admit(requests[0], epoch)
	must.True(t, ref.chargeRefusal(requests[0], epoch))
	must.True(t, ref.chargeRefusal(requests[0], epoch))
	must.False(t, ref.chargeRefusal(requests[0], epoch))
	must.True(t, ref.chargeRefusal(requests[0], epoch.Add(300*time.Millisecond)))
}

// TestStoreLimits checks that the weight store is not faster than its limits.
func TestStoreLimits(t *testing.T) {
	for _, c := range []struct {
		loads int
		ticks int
	}{
		{1, 50}, {2, 50}, // 0.25 s
		{3, 75},        // three share the speed of two
		{6, 50 + 3*67}, // the fourth to sixth start at 3/s
	} {
		s, done, ticks := newStore(), 0, 0
		for range c.loads {
			s.queue = append(s.queue, &load{remaining: loadTime})
		}
		for ; done < c.loads; ticks++ {
			done += len(s.advance(epoch.Add(time.Duration(ticks) * tick)))
		}
		must.Between(t, c.ticks-2, ticks, c.ticks+60, must.Sprint(c.loads, " loads"))
	}
}

// TestTable checks that the table has a row for the policy.
func TestTable(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, WriteTable(&out, RunAll([]Config{shortConfig(Policies()[0])}, 1)))
	must.StrContains(t, out.String(), "jasmine")
}
