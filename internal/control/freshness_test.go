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

// slowSync answers after delay.
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

// A follower that counts from the answer, or from one that it has not caught up
// with, serves a withdrawn key for longer than the bound.
func TestFollowerAgeCountsFromTheQuestion(t *testing.T) {
	const unknown = time.Duration(math.MaxInt64)
	for name, tc := range map[string]struct {
		delay time.Duration
		resp  *apiv1.SyncResponse
		want  time.Duration
	}{
		"slow network":          {800 * time.Millisecond, &apiv1.SyncResponse{}, 800 * time.Millisecond},
		"held":                  {800 * time.Millisecond, &apiv1.SyncResponse{HeldMs: 500}, 300 * time.Millisecond},
		"older at the server":   {100 * time.Millisecond, &apiv1.SyncResponse{AgeMs: 2000}, 2100 * time.Millisecond},
		"held beyond the truth": {100 * time.Millisecond, &apiv1.SyncResponse{HeldMs: 60_000}, 0},
		"follower is behind":    {100 * time.Millisecond, &apiv1.SyncResponse{Revision: 9}, unknown},
		"no answer":             {time.Minute, &apiv1.SyncResponse{}, unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, "a")
				f.log.leader = &apiv1.Member{Host: "b", Address: "b"}
				f.endpoints["b"] = &client.Endpoint{Config: slowSync{delay: tc.delay, resp: tc.resp}}
				must.EqOp(t, tc.want != unknown, f.freshness.ask(t.Context()))
				must.EqOp(t, tc.want, f.Age(time.Now()))
				// An age in the future would hide the next second.
				if tc.want != unknown {
					time.Sleep(time.Second)
					must.EqOp(t, tc.want+time.Second, f.Age(time.Now()))
				}
			})
		})
	}
}
