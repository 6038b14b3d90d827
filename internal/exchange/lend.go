package exchange

import (
	"context"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
)

const (
	// lendTimeout bounds one call: later, the requests that wait have been refused.
	lendTimeout = 200 * time.Millisecond
	// lendGap is the least time between two calls, so that requests that come
	// together share one.
	lendGap = 25 * time.Millisecond
	// leaderLoans is the number of calls a second that all hosts together make at
	// most. With 70 hosts 25 ms apart, a leader on one core answered nobody in time.
	leaderLoans = 600
)

// lendPause returns the time between two calls of one of the hosts.
func lendPause(hosts int) time.Duration {
	return max(lendGap, time.Duration(hosts)*time.Second/leaderLoans)
}

// RequestTokens asks the leader for tokens for the requests that wait.
func (c *Client) RequestTokens() {
	select {
	case c.wanting <- struct{}{}:
	default:
	}
}

func (c *Client) lendLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wanting:
		}
		if wants := c.opts.Rates.Demands(); len(wants) > 0 {
			c.lend(ctx, wants)
		}
		sleep(ctx, lendPause(c.View().Hosts))
	}
}

// lend makes one call. Without an answer the requests go on waiting for the host's
// own part.
func (c *Client) lend(ctx context.Context, wants []quota.Demand) {
	c.mu.Lock()
	leader, lost := c.leader, c.lost
	c.mu.Unlock()
	if leader == "" || lost {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	req := &apiv1.LendRequest{Host: c.opts.Host}
	for _, w := range wants {
		req.Wants = append(req.Wants, &apiv1.TeamWant{Team: w.Team, Waiting: w.Waiting})
	}
	resp, err := c.peer(leader).Lend(ctx, req)
	if err != nil {
		c.log.Debug().Err(err).Str("control_host", leader).Msg("no loan")
		return
	}
	loans := make([]quota.Grant, 0, len(resp.GetLoans()))
	for _, l := range resp.GetLoans() {
		loans = append(loans, quota.Grant{
			Team: l.GetTeam(), Tokens: l.GetTokens(), Wait: time.Duration(l.GetWaitMs()) * time.Millisecond,
		})
	}
	c.opts.Rates.ApplyGrants(loans, c.opts.Now())
}
