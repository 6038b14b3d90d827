package exchange

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/prompts"
)

// All hosts must book the prompts of an engine with one owner; the engines are spread over the control hosts that do not lead, and those of an owner that does not answer go to others until it does.
func TestOwnersOfLedgers(t *testing.T) {
	start(t, func(t *testing.T, c *fakeControl, client *Client) {
		owners := map[string]int{}
		ask := func(instance string) error {
			_, err := client.BookPrompt(context.Background(), prompts.Booking{Instance: instance, Tokens: 100, MaxWait: time.Second})
			return err
		}
		for i := range 40 {
			instance := fmt.Sprint("e", i)
			must.NoError(t, ask(instance))
			must.NoError(t, ask(instance))
			must.Eq(t, c.booked[len(c.booked)-1], c.booked[len(c.booked)-2])
			owners[c.booked[len(c.booked)-1]]++
		}
		must.MapLen(t, 2, owners, must.Sprint("the leader owns ledgers beside others"))
		must.Greater(t, 8, owners["a"])
		must.Greater(t, 8, owners["c"])

		client.MeasurePrompt(prompts.Measurement{Instance: "e1", Tokens: 900, Took: 50 * time.Millisecond})
		must.NoError(t, ask("e1"))
		must.NoError(t, ask("e1"))
		must.Len(t, 1, c.prompts)
		must.Eq(t, 50_000, c.prompts[0].GetTookUs())

		owner := client.ownerOf("e1")
		c.with(func() { c.silent = owner })
		must.Error(t, ask("e1"))
		must.NoError(t, ask("e1"), must.Sprint("another control host owns the ledger"))
		c.with(func() { c.silent = "" })
		time.Sleep(ownerPause)
		must.Eq(t, owner, client.ownerOf("e1"))
	})
}
