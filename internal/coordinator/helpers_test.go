package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// Guards against helpers that are cut off themselves, and against all hosts turning to the same ones.
func TestHelpers(t *testing.T) {
	const hosts, cutOff = 75, 40
	start(t, func(t *testing.T, c *Coordinator, _ *fakeLog, _ *fleet) {
		exchange := func(i int, wants bool) []*apiv1.Helper {
			resp, err := c.Exchange(context.Background(), &apiv1.ExchangeRequest{
				Host: fmt.Sprint("h", i), Address: fmt.Sprint("http://h", i), FailureDomain: fmt.Sprint(i % 3), CutOff: i < cutOff,
				WantsHelpers: wants,
			})
			must.NoError(t, err)
			return resp.GetHelpers()
		}
		for i := range hosts {
			must.SliceEmpty(t, exchange(i, false))
		}
		asked := map[string]int{}
		for i := range cutOff {
			helpers := exchange(i, true)
			must.Len(t, maxHelpers, helpers)
			near := 0
			for _, h := range helpers {
				var n int
				_, err := fmt.Sscanf(h.GetHost(), "h%d", &n)
				must.NoError(t, err)
				must.GreaterEq(t, cutOff, n)
				asked[h.GetHost()]++
				if h.GetFailureDomain() == fmt.Sprint(i%3) {
					near++
				}
			}
			must.Eq(t, maxHelpers/2, near)
		}
		must.MapLen(t, hosts-cutOff, asked, must.Sprint("some hosts help nobody"))
		time.Sleep(hostTimeout + time.Second)
		exchange(0, false)
		must.SliceEmpty(t, exchange(0, true), must.Sprint("hosts that are gone are helpers"))
	})
}
