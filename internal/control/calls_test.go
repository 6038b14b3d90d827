package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// Expired call records must be removed: a full table refuses new calls. Younger
// records must stay, since without them their calls could run again.
func TestOldCallRecordsExpire(t *testing.T) {
	for _, tc := range []struct {
		after     time.Duration
		remaining int
	}{{callRetention, 1}, {callRetention + expireInterval, 0}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, "a")
			l := f.lead(t, 3)
			_, err := l.beginCall(t.Context(), &apiv1.BeginCall{
				Id:          &apiv1.CallId{Team: "t", Route: "r", IdempotencyKey: "k"},
				Fingerprint: make([]byte, 32), Owner: "h", OwnerIncarnation: 1, RequestId: "q",
			})
			must.NoError(t, err)
			must.EqOp(t, 1, f.machine.CallCount())
			time.Sleep(tc.after)
			l.tick(f.log.Lease(), time.Now())
			synctest.Wait()
			must.EqOp(t, tc.remaining, f.machine.CallCount())
			f.dropLeader()
		})
	}
}
