package control

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/api/v1/apiv1connect"
	"github.com/jasminesaddle/jasminesaddle/internal/client"
)

// slowSync is a ConfigService that responds after delay.
type slowSync struct {
	apiv1connect.ConfigServiceClient
	delay time.Duration
	resp  *apiv1.SyncResponse
}

func (s slowSync) Sync(ctx context.Context, _ *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.delay):
		return s.resp, nil
	}
}

// A follower must compute its age from the time at which it sent the request,
// and only from a response whose revision it has. Otherwise it would understate
// its age and serve a withdrawn key for longer than the limit.
func TestFollowerAgeCountsFromTheRequest(t *testing.T) {
	const unknown = time.Duration(math.MaxInt64)
	for name, tc := range map[string]struct {
		delay time.Duration
		resp  *apiv1.SyncResponse
		want  time.Duration
	}{
		"slow network":        {800 * time.Millisecond, &apiv1.SyncResponse{}, 800 * time.Millisecond},
		"held":                {800 * time.Millisecond, &apiv1.SyncResponse{HeldMs: 500}, 300 * time.Millisecond},
		"older at the leader": {100 * time.Millisecond, &apiv1.SyncResponse{AgeMs: 2000}, 2100 * time.Millisecond},
		"held time too long":  {100 * time.Millisecond, &apiv1.SyncResponse{HeldMs: 60_000}, 0},
		"follower is behind":  {100 * time.Millisecond, &apiv1.SyncResponse{Revision: 9}, unknown},
		"no response":         {time.Minute, &apiv1.SyncResponse{}, unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, "a")
				f.log.leader = &apiv1.Member{Host: "b", Address: "b"}
				f.endpoints["b"] = &client.Endpoint{Config: slowSync{delay: tc.delay, resp: tc.resp}}
				must.EqOp(t, tc.want != unknown, f.freshness.poll(t.Context()))
				must.EqOp(t, tc.want, f.Age(time.Now()))
				// If asOf lay in the future, the age would stay 0 for a while.
				if tc.want != unknown {
					time.Sleep(time.Second)
					must.EqOp(t, tc.want+time.Second, f.Age(time.Now()))
				}
			})
		})
	}
}
