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

// fakeHost responds with err, or never when it is silent.
type fakeHost struct {
	apiv1connect.FleetServiceClient
	silent   bool
	err      error
	requests int
}

func (f *fakeHost) Report(ctx context.Context, _ *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	f.requests++
	if f.silent {
		<-ctx.Done()
		return nil, fault.Wrap(ctx.Err(), fault.KindDeadline, "no response", "try again")
	}
	return &apiv1.ReportResponse{}, f.err
}

func newFakeControl(hosts ...*fakeHost) *Control {
	c := &Control{attemptTimeout: time.Second}
	for _, h := range hosts {
		c.endpoints = append(c.endpoints, &Endpoint{Fleet: h})
	}
	return c
}

// TestSilentHostIsSkippedAfterOneRequest guards against a silent control host
// that uses up a request's time and is tried first for every later one: its entry
// hosts would be cut off from the leader.
func TestSilentHostIsSkippedAfterOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeControl(&fakeHost{silent: true}, &fakeHost{})
		for _, want := range []bool{false, true, true} {
			// The request times out before the attempt: with equal timeouts, the
			// order in which they fire would decide whether the next host is tried.
			ctx, cancel := context.WithTimeout(t.Context(), c.attemptTimeout-time.Millisecond)
			_, err := c.Report(ctx, &apiv1.ReportRequest{})
			cancel()
			must.EqOp(t, want, err == nil)
		}
	})
}

// TestErrorOfSeveralHosts guards against retries at other hosts after an error
// that every host would return, and against a refusal by the last host that hides
// that an earlier one may have carried out the request.
func TestErrorOfSeveralHosts(t *testing.T) {
	kind := func(k fault.Kind) error { return fault.New(k, "failed", "repeat") }
	for name, tc := range map[string]struct {
		first, second error
		requests      int
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
			_, err := newFakeControl(&fakeHost{err: tc.first}, second).Report(t.Context(), &apiv1.ReportRequest{})
			must.EqOp(t, tc.requests, second.requests)
			must.EqOp(t, tc.want == "", err == nil)
			if err != nil {
				must.EqOp(t, tc.want, fault.KindOf(err))
			}
		})
	}
}

// TestNoControlHosts guards against a client without control hosts that returns
// neither a response nor an error, so that its callers dereference nil.
func TestNoControlHosts(t *testing.T) {
	_, err := newFakeControl().Report(t.Context(), &apiv1.ReportRequest{})
	must.EqOp(t, fault.KindInvalidSetting, fault.KindOf(err))
}
