package control

import (
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/peer"
)

// Two hosts that take each other for the leader must not forward a request in a
// loop, and a host without the leader lease must not serve it itself.
func TestForwardedOnceAndOnlyOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		leads, knows, held bool
		calls              int
		want               fault.Kind
	}{
		"to the leader":                {leads: true, knows: true, held: true, calls: 1},
		"to a host that forwards back": {knows: true, calls: 1, want: fault.KindNotLeader},
		"leader without a lease":       {leads: true, knows: true, calls: 1, want: fault.KindNotLeader},
		"no leader known":              {want: fault.KindNotLeader},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := newFixture(t, "a"), newFixture(t, "b")
				var toA, toB int
				a.endpoints["b"], b.endpoints["a"] = b.fleetEndpoint(&toB), a.fleetEndpoint(&toA)
				b.log.leader = &apiv1.Member{Host: "a", Address: "a"}
				if tc.knows {
					a.log.leader = &apiv1.Member{Host: "b", Address: "b"}
				}
				if tc.leads {
					b.lead(t, 3)
					b.log.setLease(3, tc.held)
				}
				resp, err := fleetHandler{a.Server}.Report(t.Context(), &apiv1.ReportRequest{Cluster: "c", Host: "h"})
				must.EqOp(t, tc.calls, toB)
				must.EqOp(t, 0, toA)
				if tc.want != "" {
					must.EqOp(t, tc.want, fault.KindOf(peer.FromConnect(err)))
				} else {
					must.NoError(t, err)
					must.EqOp(t, 3, resp.GetTerm())
				}
				b.dropLeader()
			})
		})
	}
}

// The leader's tables must be dropped with their term: otherwise tokens would be
// leased and adapters unloaded from state that another leader has changed since.
func TestTablesEndWithTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, "a")
		first := f.lead(t, 3)
		must.NotNil(t, first)
		f.log.setLease(4, false)
		must.Nil(t, f.activeLeader())
		f.tick(t.Context())
		must.Error(t, first.ctx.Err())
		second := f.lead(t, 5)
		must.True(t, second != first && second.lender != first.lender && second.fleet != first.fleet)
		f.dropLeader()
		must.Nil(t, f.activeLeader())
	})
}
