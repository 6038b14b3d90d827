package operator

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// fakeControl answers Status with status and err, and fails each Apply with err.
type fakeControl struct {
	apiv1connect.OperatorServiceClient
	status *apiv1.StatusResponse
	err    error
}

func (f *fakeControl) Status(context.Context, *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	return f.status, f.err
}

func (f *fakeControl) Apply(context.Context, *apiv1.ApplyRequest) (*apiv1.ApplyResponse, error) {
	return nil, f.err
}

func newCommand(f *fakeControl) (*command, *bytes.Buffer) {
	out := &bytes.Buffer{}
	control := client.NewControlFromEndpoints([]*client.Endpoint{{Operator: f}}, time.Second)
	return &command{Streams: Streams{Out: out}, control: control}, out
}

func hostStatus(name string, revision uint64, live bool) *apiv1.HostStatus {
	return &apiv1.HostStatus{Host: name, ConfigRevision: revision, Live: live}
}

// If a wait omits a host, or succeeds before every live host has confirmed the
// change, an operator relies on a withdrawal that is not in force.
func TestWaitNamesWhatIsMissing(t *testing.T) {
	for name, tc := range map[string]struct {
		hosts    []*apiv1.HostStatus
		revision uint64
		err      error
		want     []string
		inForce  bool
	}{
		"confirmed":        {[]*apiv1.HostStatus{hostStatus("a", 7, true), hostStatus("b", 8, true)}, 8, nil, []string{"change 7 on 2 live hosts"}, true},
		"silent host":      {[]*apiv1.HostStatus{hostStatus("a", 7, true), hostStatus("b", 6, false)}, 7, nil, []string{"on 1 live hosts", "not confirmed by b"}, true},
		"behind":           {[]*apiv1.HostStatus{hostStatus("a", 7, true), hostStatus("b", 6, true), hostStatus("c", 1, false)}, 7, nil, []string{"not confirmed by b", "not confirmed by c"}, false},
		"no host heard":    {nil, 7, nil, []string{"not heard from any host"}, false},
		"not accepted yet": {[]*apiv1.HostStatus{hostStatus("a", 6, true)}, 6, nil, []string{"last accepted change is 6"}, false},
		"no answer":        {nil, 0, fault.New(fault.KindUnavailable, "down", "start it"), []string{"no control host answered"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, out := newCommand(&fakeControl{status: &apiv1.StatusResponse{Revision: tc.revision, Hosts: tc.hosts}, err: tc.err})
				err := c.waitInForce(t.Context(), 7, time.Second)
				must.EqOp(t, tc.inForce, err == nil)
				text := out.String()
				if err != nil {
					text = err.Error()
				}
				for _, want := range tc.want {
					must.StrContains(t, text, want)
				}
			})
		})
	}
}
