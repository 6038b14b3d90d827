package exchange

import (
	"context"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/quota"
)

const (
	// grantTimeout limits one call. After that time, the waiting requests have been
	// refused.
	grantTimeout = 200 * time.Millisecond
	// minGrantInterval is the minimum time between two calls, so that requests that arrive
	// together share one.
	minGrantInterval = 25 * time.Millisecond
	// maxGrantCallsPerSecond limits the calls of all hosts together, which otherwise take
	// the leader's processor from its other work as the fleet grows.
	maxGrantCallsPerSecond = 900
	// maxSavedCalls limits the calls that a host saves, which all hosts may make at once.
	maxSavedCalls = 4
)

// callPacer limits the calls of one host to its share of the calls of all hosts on average.
// It saves calls that were not needed, so that most requests are named at once: the mean time
// between two calls grows with the number of hosts, and how long a request may wait does not.
type callPacer struct {
	// perSecond limits the calls of all hosts together.
	perSecond float64
	// saved is the number of calls that may be made without a pause, as of at.
	saved float64
	at    time.Time
}

// next records a call and returns the time until the next one may follow.
func (p *callPacer) next(hosts int, now time.Time) time.Duration {
	perSecond := p.perSecond / float64(max(hosts, 1))
	p.saved = min(p.saved+now.Sub(p.at).Seconds()*perSecond, maxSavedCalls) - 1
	p.at = now
	return max(minGrantInterval, time.Duration((1-p.saved)/perSecond*float64(time.Second)))
}

// RequestTokens asks the leader for tokens for the requests that wait.
func (c *Client) RequestTokens() {
	select {
	case c.tokensRequested <- struct{}{}:
	default:
	}
}

func (c *Client) grantLoop(ctx context.Context) error {
	pacer := callPacer{perSecond: maxGrantCallsPerSecond}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.tokensRequested:
		}
		demands := c.opts.Rates.Demands()
		if len(demands) == 0 {
			continue
		}
		pause := pacer.next(c.View().Hosts, c.opts.Now())
		c.requestGrants(ctx, demands)
		sleep(ctx, pause)
	}
}

// requestGrants makes one call. Without a response, the requests continue to wait for this
// host's allocation.
func (c *Client) requestGrants(ctx context.Context, demands []quota.Demand) {
	c.mu.Lock()
	leader, lost := c.leader, c.leaderLost
	c.mu.Unlock()
	if leader == "" || lost {
		c.grants.Add("no_leader", 1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	req := &apiv1.LendRequest{Host: c.opts.Host}
	for _, w := range demands {
		req.Wants = append(req.Wants, &apiv1.TeamWant{Team: w.Team, Waiting: w.Waiting})
	}
	began := c.opts.Now()
	resp, err := c.peer(leader).Lend(ctx, req)
	if err != nil {
		c.grants.Add("failed", 1)
		c.log.Debug().Err(err).Str("control_host", leader).Msg("request for tokens failed")
		return
	}
	c.grantDuration.Observe(c.opts.Now().Sub(began))
	if !resp.GetLeadership().GetLeading() {
		c.grants.Add("not_leading", 1)
		return
	}
	c.grants.Add("answered", 1)
	grants := make([]quota.Grant, 0, len(resp.GetLoans()))
	for _, l := range resp.GetLoans() {
		grants = append(grants, quota.Grant{
			Team: l.GetTeam(), Tokens: l.GetTokens(), Wait: time.Duration(l.GetWaitMs()) * time.Millisecond,
		})
	}
	c.opts.Rates.ApplyGrants(grants, c.opts.Now())
}
