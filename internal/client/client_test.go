package client

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// fakeHost answers with err, or never when it is silent.
type fakeHost struct {
	apiv1connect.FleetServiceClient
	silent bool
	err    error
	calls  int
}

func (f *fakeHost) Report(ctx context.Context, _ *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	f.calls++
	if f.silent {
		<-ctx.Done()
		return nil, fault.Wrap(ctx.Err(), fault.KindDeadline, "no answer", "try again")
	}
	return &apiv1.ReportResponse{}, f.err
}

func newFake(hosts ...*fakeHost) *Control {
	c := &Control{tryTimeout: time.Second}
	for _, h := range hosts {
		c.endpoints = append(c.endpoints, &Endpoint{Fleet: h})
	}
	return c
}

// A silent control host that uses up a whole call must not be the first choice
// of every later call: its entry hosts would be cut off from the leader.
func TestSilentHostIsLeftAfterOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFake(&fakeHost{silent: true}, &fakeHost{})
		for _, want := range []bool{false, true, true} {
			// The call ends before the try: with equal bounds, the order in which
			// the two end would decide whether the next host is asked.
			ctx, cancel := context.WithTimeout(t.Context(), c.tryTimeout-time.Millisecond)
			_, err := c.Report(ctx, &apiv1.ReportRequest{})
			cancel()
			must.EqOp(t, want, err == nil)
		}
	})
}

// An error that every host gives must not be asked of each of them, and a
// refusal by the last host must not hide that an earlier one may have acted.
func TestErrorOfSeveralHosts(t *testing.T) {
	kind := func(k fault.Kind) error { return fault.New(k, "failed", "repeat") }
	for name, tc := range map[string]struct {
		first, second error
		calls         int
		want          fault.Kind
	}{
		"refusal by content":          {kind(fault.KindMembership), nil, 0, fault.KindMembership},
		"other cluster":               {kind(fault.KindWrongCluster), nil, 0, fault.KindWrongCluster},
		"no leader anywhere":          {kind(fault.KindNotLeader), kind(fault.KindNotLeader), 1, fault.KindNotLeader},
		"lost answer, then no leader": {kind(fault.KindDeadline), kind(fault.KindNotLeader), 1, fault.KindDeadline},
		"outcome unknown, then down":  {kind(fault.KindOutcomeUnknown), kind(fault.KindUnavailable), 1, fault.KindOutcomeUnknown},
		"lost answer, then answered":  {kind(fault.KindDeadline), nil, 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			second := &fakeHost{err: tc.second}
			_, err := newFake(&fakeHost{err: tc.first}, second).Report(t.Context(), &apiv1.ReportRequest{})
			must.EqOp(t, tc.calls, second.calls)
			must.EqOp(t, tc.want == "", err == nil)
			if err != nil {
				must.EqOp(t, tc.want, fault.KindOf(err))
			}
		})
	}
}

// A client without control hosts must not answer with neither a result nor an
// error, which its callers would dereference.
func TestNoControlHosts(t *testing.T) {
	_, err := newFake().Report(t.Context(), &apiv1.ReportRequest{})
	must.EqOp(t, fault.KindInvalidSetting, fault.KindOf(err))
}
